"""Choice of a backend for a new flow."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from apricottally.tagged.catalog import Entry
from apricottally.tagged.records import Backend, Route

if TYPE_CHECKING:
    from apricottally.tagged.state import NodeState

# Requests that a backend queues beyond its slots before it sheds.
QUEUE_LENGTH = 8
# Weights in requests in progress: an open flow, a backend of another zone,
# and one that is still slow after its start.
OPEN_FLOW_WEIGHT = 0.05
OTHER_ZONE_WEIGHT = 1.0
COLD_WEIGHT = 1.0
# Parts of a weighted route, in shares of its total weight.
_HASH_RANGE = 1 << 32


def choose(
    state: NodeState,
    route: Route,
    key: bytes,
    now: float,
    tried: tuple[int, ...] = (),
) -> Entry | None:
    """Return the backend with the least work that may take the flow.

    Backends that were tried come last, those in doubt before them. Returns
    None if no backend is known or all would shed the flow.
    """
    for service in order_services(route, key):
        found = _choose_of(state, service, now, tried)
        if found is not None:
            return found
    return None


def order_services(route: Route, key: bytes) -> list[str]:
    """Return the services of a route, the one that the key draws first."""
    targets = [target for target in route.targets if target.weight > 0]
    if len(targets) < 2:
        return [target.service for target in targets]
    total = sum(target.weight for target in targets)
    drawn = zlib.crc32(key) * total / _HASH_RANGE
    names = [target.service for target in targets]
    for position, target in enumerate(targets):
        drawn -= target.weight
        if drawn < 0:
            names.insert(0, names.pop(position))
            break
    return names


def _choose_of(
    state: NodeState,
    service: str,
    now: float,
    tried: tuple[int, ...],
) -> Entry | None:
    best: Entry | None = None
    best_rank: tuple[int, float, float] | None = None
    for entry in state.catalog.list_service(service):
        backend = entry.backend
        if backend is None or _is_gone(entry, now):
            continue
        busy = state.occupancy.busy(backend.tag)
        if busy >= backend.slots + QUEUE_LENGTH:
            continue
        doubt = 0
        if state.suspicion.is_doubted(backend.tag, backend.zone, now):
            doubt = 1
        if backend.tag in tried:
            doubt = 2
        score = _score(state, entry, backend, busy, now)
        rank = (doubt, score, state.rng.random())
        if best_rank is None or rank < best_rank:
            best = entry
            best_rank = rank
    return best


def _is_gone(entry: Entry, now: float) -> bool:
    return entry.removed_at is not None and now >= entry.usable_until


def _score(
    state: NodeState,
    entry: Entry,
    backend: Backend,
    busy: int,
    now: float,
) -> float:
    """Return the expected work before the flow's first request, per slot."""
    work = busy + OPEN_FLOW_WEIGHT * state.occupancy.open(backend.tag)
    if backend.zone != state.config.zone:
        work += OTHER_ZONE_WEIGHT
    if backend.cold_ms and now < state.cold_until(entry, backend):
        work += COLD_WEIGHT
    return work / max(backend.slots, 1)

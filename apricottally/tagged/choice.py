"""Choice of a backend for a new flow."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from typing import TYPE_CHECKING, TypeAlias

from apricottally.tagged.catalog import Entry
from apricottally.tagged.records import Backend, Route

if TYPE_CHECKING:
    from apricottally.tagged.state import NodeState

# Requests that may wait for a slot of a backend when a new flow is sent there;
# a backend sheds more. Where a service has several classes of urgency, the less
# urgent ones leave the queue to the most urgent, and for that the backend
# itself decides whether it is full.
QUEUE_LENGTH = 8
URGENT_QUEUE_LENGTH = 12
DEFERRED_QUEUE_LENGTH = 1
# Weights in requests in progress: an open flow, a backend of another zone,
# and one that is still slow after its start.
OPEN_FLOW_WEIGHT = 0.05
OTHER_ZONE_WEIGHT = 2.0
COLD_WEIGHT = 1.0
# Backends compared for one flow; of a larger service a random sample, half
# of it from this node's zone.
MAX_COMPARED = 64
# Parts of a weighted route, in shares of its total weight.
_HASH_RANGE = 1 << 32

# Suspicion, work, and a random number for equal work; the lowest is best.
_Rank: TypeAlias = tuple[int, float, float]


def choose(
    state: NodeState,
    route: Route,
    key: bytes,
    now: float,
    tried: tuple[int, ...] = (),
) -> Entry | None:
    """Return the backend with the least work that may take the flow.

    Backends that were tried come last, those suspected before them. Returns
    None if no backend is known or too many requests wait at each.
    """
    for service in order_services(route, key):
        state.demand.note(service, route.priority, now)
        limit = _limit_queue(state, route, service)
        found = _choose_of(state, service, now, tried, limit)
        if found is not None:
            return found
    return None


def _limit_queue(state: NodeState, route: Route, service: str) -> int:
    """Return how many requests of a route may wait at a backend."""
    priorities = state.demand.list_priorities(service)
    if len(priorities) == 1:
        return QUEUE_LENGTH
    if route.priority <= priorities[0]:
        return URGENT_QUEUE_LENGTH
    return DEFERRED_QUEUE_LENGTH


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
    limit: int,
) -> Entry | None:
    entries = state.catalog.list_candidates(service)
    if len(entries) > MAX_COMPARED:
        sample = _sample(state, service, entries)
        found = _find_best(state, sample, now, tried, limit)
        if found is not None:
            return found
    return _find_best(state, entries, now, tried, limit)


def _sample(
    state: NodeState,
    service: str,
    entries: tuple[Entry, ...],
) -> Iterable[Entry]:
    near = state.catalog.list_candidates(service, state.config.zone)
    half = MAX_COMPARED // 2
    yield from state.rng.sample(near, min(half, len(near)))
    yield from state.rng.sample(entries, half)


def _find_best(
    state: NodeState,
    entries: Iterable[Entry],
    now: float,
    tried: tuple[int, ...],
    limit: int,
) -> Entry | None:
    ranked: list[tuple[_Rank, Entry]] = []
    for entry in entries:
        backend = entry.backend
        if backend is None or entry.excludes_new_flows(now):
            continue
        busy = state.occupancy.busy(backend.tag)
        if busy >= backend.slots + limit:
            continue
        suspicion = _grade_suspicion(state, backend, now, tried)
        score = _score(state, entry, backend, busy, now)
        rank = (suspicion, score, state.rng.random())
        ranked.append((rank, entry))
    return min(ranked, key=_get_rank)[1] if ranked else None


def _get_rank(ranked: tuple[_Rank, Entry]) -> _Rank:
    return ranked[0]


def _grade_suspicion(
    state: NodeState,
    backend: Backend,
    now: float,
    tried: tuple[int, ...],
) -> int:
    """Return 0 for a backend without suspicion, more for one to avoid."""
    if backend.tag in tried:
        return 2
    return int(state.suspicion.is_suspect(backend.tag, backend.zone, now))


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

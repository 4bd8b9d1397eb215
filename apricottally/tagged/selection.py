"""Selection of a backend for a new flow."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from typing import TYPE_CHECKING, TypeAlias

from apricottally.tagged import coldstart
from apricottally.tagged.catalogentry import Entry
from apricottally.tagged.places.eligibility import list_eligible
from apricottally.tagged.records import Backend, Route

if TYPE_CHECKING:
    from apricottally.tagged.state import NodeState

# A new flow goes to a backend only if fewer requests than this wait for a slot
# there; backends shed requests beyond their queue. If a service has requests of
# several priorities, the less urgent ones leave the queue to the most urgent
# one, for which the backend itself decides whether its queue is full.
QUEUE_LIMIT = 8
URGENT_QUEUE_LIMIT = 12
DEFERRED_QUEUE_LIMIT = 1
# The same two limits if SYNs may wait at the nodes, where their order is kept:
# one for the most urgent or the only class, and one for the others.
WAITING_URGENT_LIMIT = 4
WAITING_DEFERRED_LIMIT = 1
# Load, in requests in progress, that is added for each open flow, for a backend
# in another zone, and for a backend that is still slow after its start.
OPEN_FLOW_WEIGHT = 0.05
OTHER_ZONE_PENALTY = 2.0
COLD_START_PENALTY = 1.0
# Number of backends compared for one flow. For a service with more backends, a
# random sample is compared, half of it from this node's zone.
MAX_CANDIDATES = 64
# Number of values of the hash that selects one of a route's weighted targets.
_HASH_RANGE = 1 << 32

# Suspicion level, load per slot, and a random number as tie-breaker; the lowest
# rank is best.
_Rank: TypeAlias = tuple[int, float, float]


def select_backend(
    state: NodeState,
    route: Route,
    key: bytes,
    now: float,
    tried_tags: tuple[int, ...] = (),
    *,
    is_repeated: bool = False,
) -> Entry | None:
    """Return the least loaded backend that may take the flow.

    `is_repeated` is set if the flow was counted as demand before.
    Backends that the flow has already tried rank last, suspected backends
    just before them. Backends in evacuated zones or outside the route's
    regions are left out. Returns None if no backend is left, or if every
    backend has a full queue or is cold and lacks a permit. The caller has to
    forward one SYN to the backend, as a permit is used for it.
    """
    for service in order_services(route, key):
        if not is_repeated:
            state.demand.count_request(service, route.priority, now)
        limit = get_queue_limit(state, route, service)
        found = _select_from_service(
            state, route, service, now, tried_tags, limit
        )
        if found is not None and coldstart.take_permit(state, found, now):
            return found
    return None


def count_demand(
    state: NodeState, route: Route, key: bytes, now: float
) -> None:
    """Count a flow that waits without a selection.

    All its services count, as if none had room.
    """
    for service in order_services(route, key):
        state.demand.count_request(service, route.priority, now)


def get_queue_limit(state: NodeState, route: Route, service: str) -> int:
    """Return how many requests may be queued at a backend of the service."""
    priorities = state.demand.list_active_priorities(service)
    if state.config.max_wait_s:
        if len(priorities) < 2 or route.priority <= priorities[0]:
            return WAITING_URGENT_LIMIT
        return WAITING_DEFERRED_LIMIT
    if len(priorities) == 1:
        return QUEUE_LIMIT
    if route.priority <= priorities[0]:
        return URGENT_QUEUE_LIMIT
    return DEFERRED_QUEUE_LIMIT


def order_services(route: Route, key: bytes) -> list[str]:
    """Return a route's services, first the one selected by the hashed key.

    The probability of each service is proportional to its weight.
    """
    targets = [target for target in route.targets if target.weight > 0]
    if len(targets) < 2:
        return [target.service for target in targets]
    total = sum(target.weight for target in targets)
    offset = zlib.crc32(key) * total / _HASH_RANGE
    names = [target.service for target in targets]
    for position, target in enumerate(targets):
        offset -= target.weight
        if offset < 0:
            names.insert(0, names.pop(position))
            break
    return names


def _select_from_service(
    state: NodeState,
    route: Route,
    service: str,
    now: float,
    tried_tags: tuple[int, ...],
    limit: int,
) -> Entry | None:
    entries = list_eligible(state, route, service)
    if len(entries) > MAX_CANDIDATES:
        sample = _sample_candidates(state, route, service, entries)
        found = _find_best(state, sample, now, tried_tags, limit)
        if found is not None:
            return found
    return _find_best(state, entries, now, tried_tags, limit)


def _sample_candidates(
    state: NodeState,
    route: Route,
    service: str,
    entries: tuple[Entry, ...],
) -> Iterable[Entry]:
    near = list_eligible(state, route, service, state.config.zone)
    half = MAX_CANDIDATES // 2
    yield from state.rng.sample(near, min(half, len(near)))
    yield from state.rng.sample(entries, half)


def _find_best(
    state: NodeState,
    entries: Iterable[Entry],
    now: float,
    tried_tags: tuple[int, ...],
    limit: int,
) -> Entry | None:
    ranked: list[tuple[_Rank, Entry]] = []
    for entry in entries:
        backend = entry.backend
        if backend is None or not _may_get_flow(state, entry, now):
            continue
        busy = state.occupancy.count_busy(backend.tag)
        if busy >= backend.slots + limit:
            continue
        suspicion = _get_suspicion_level(state, backend, now, tried_tags)
        score = _score(state, entry, backend, busy, now)
        rank = (suspicion, score, state.rng.random())
        ranked.append((rank, entry))
    return min(ranked, key=_get_rank)[1] if ranked else None


def _may_get_flow(state: NodeState, entry: Entry, now: float) -> bool:
    if entry.excludes_new_flows(now):
        return False
    return coldstart.is_available(state, entry, now)


def _get_rank(ranked: tuple[_Rank, Entry]) -> _Rank:
    return ranked[0]


def _get_suspicion_level(
    state: NodeState,
    backend: Backend,
    now: float,
    tried_tags: tuple[int, ...],
) -> int:
    """Return 0 for an unsuspected backend, 1 for a suspect, 2 if tried."""
    if backend.tag in tried_tags:
        return 2
    return int(state.suspicion.is_suspect(backend.tag, backend.zone, now))


def _score(
    state: NodeState,
    entry: Entry,
    backend: Backend,
    busy: int,
    now: float,
) -> float:
    """Return the load per slot that the flow's first request would meet."""
    load = busy + OPEN_FLOW_WEIGHT * state.occupancy.count_open(backend.tag)
    if backend.zone != state.config.zone:
        load += OTHER_ZONE_PENALTY
    if now < entry.cold_until:
        load += COLD_START_PENALTY
    return load / max(backend.slots, 1)

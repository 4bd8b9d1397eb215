"""Whether a service has room for hedges, and at which backend."""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally.tagged import coldstart, selection
from apricottally.tagged.flows import Flow
from apricottally.tagged.records import Backend

if TYPE_CHECKING:
    from apricottally.tagged.hedging.tables import ServiceHedging
    from apricottally.tagged.state import NodeState

# Share of a service's slots that must be free. Beyond it, slow answers may
# come from load, to which hedges would add.
MIN_FREE_SHARE = 0.3
# The free slots of a service are counted at most this often: for a service
# with 12,000 backends a count takes some milliseconds.
ROOM_CHECK_PERIOD_S = 0.1


def has_room(
    state: NodeState,
    service: str,
    found: ServiceHedging,
    now: float,
) -> bool:
    """Tell whether enough slots of a service are free for hedges."""
    if now - found.room_checked_at >= ROOM_CHECK_PERIOD_S:
        found.room_checked_at = now
        found.has_room = _is_mostly_free(state, service, now)
    return found.has_room


def find_backend(
    state: NodeState,
    flow: Flow,
    service: str,
    now: float,
) -> Backend | None:
    """Return the second backend for a flow of a service, None without one.

    It is the one that a retry would select, unless that is of another
    service, was already tried, is suspect, cold or has no free slot.
    """
    # A permit taken for a cold backend stays unused, which keeps the limit.
    entry = selection.select_backend(
        state, flow.route, flow.key, now, flow.tried_tags, is_repeated=True
    )
    if entry is None or entry.backend is None or now < entry.cold_until:
        return None
    if coldstart.find_limit(state, entry, now) is not None:
        return None
    backend = entry.backend
    if backend.service != service or backend.tag in flow.tried_tags:
        return None
    return backend if _count_free(state, backend, now) else None


def _is_mostly_free(state: NodeState, service: str, now: float) -> bool:
    slots = 0
    free = 0
    for entry in state.catalog.list_candidates(service):
        if entry.backend is not None and not entry.excludes_new_flows(now):
            slots += entry.backend.slots
            free += _count_free(state, entry.backend, now)
    return free > 0 and free >= MIN_FREE_SHARE * slots


def _count_free(state: NodeState, backend: Backend, now: float) -> int:
    """Return a backend's free slots, 0 if it is suspect."""
    if state.suspicion.is_suspect(backend.tag, backend.zone, now):
        return 0
    return max(backend.slots - state.occupancy.count_busy(backend.tag), 0)

"""Outlier detection: keeps new flows off backends that seem unreachable.

Failed polls alone or a few unanswered SYNs alone do not exclude a backend in a
zone with live nodes: polls may fail although the backend serves, and a SYN may
get lost. A backend that answers polls but repeatedly no SYN is ejected for a
short time and then tried again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally.backendselection import BackendLoad
from apricottally.flows import OwnedShard

if TYPE_CHECKING:
    from apricottally.state import NodeState

# Consecutive unanswered SYNs that exclude a backend: with failed polls, and
# without.
MISSES_WITH_FAILED_POLLS = 2
MISSES_ALONE = 4
# Time for which a backend with unanswered SYNs gets no new flows.
EJECTION_S = 5.0


def update_active(state: NodeState, owned: OwnedShard, now: float) -> None:
    """Update `owned.active`; use all backends if none seems reachable."""
    usable = [
        load for load in owned.loads if not _is_excluded(state, load, now)
    ]
    owned.active = usable or owned.loads


def record_answer(load: BackendLoad) -> None:
    """Record that the backend answered a SYN, which ends an ejection."""
    load.unanswered_syns = 0
    load.ejected_until = 0


def record_no_answer(state: NodeState, load: BackendLoad, now: float) -> None:
    """Record an unanswered SYN; eject the backend after MISSES_ALONE."""
    load.unanswered_syns += 1
    if load.unanswered_syns >= MISSES_ALONE:
        load.unanswered_syns = 0
        load.ejected_until = now + EJECTION_S
        state.counters.add('backend_left_out', 'no_answer')


def record_poll(load: BackendLoad, *, answered: bool) -> None:
    """Count consecutive failed polls."""
    load.failed_polls = 0 if answered else load.failed_polls + 1


def _is_excluded(state: NodeState, load: BackendLoad, now: float) -> bool:
    if now < load.ejected_until:
        return True
    if not load.failed_polls:
        return False
    # With no live node the zone is either unreachable or has no balancer; one
    # failed poll then excludes the backend.
    zone_has_no_node = not state.members.list_owner_candidates(
        load.backend.zone
    )
    return zone_has_no_node or load.unanswered_syns >= MISSES_WITH_FAILED_POLLS

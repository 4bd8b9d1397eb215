"""Backend servers that get no new flows since they seem dead or cut off.

Neither sign counts alone: polls may fail although a backend serves, and a SYN
may go unanswered since a packet was lost. A backend that answers polls but no
SYN is left out for a short time and tried again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally.balance import BackendLoad
from apricottally.flows import OwnedShard

if TYPE_CHECKING:
    from apricottally.state import NodeState

# SYNs without an answer in a row that count, with and without failed polls.
MISSES_WITH_FAILED_POLLS = 2
MISSES_ALONE = 4
# How long a backend that answers polls but no SYN is left out.
EJECTION_S = 5.0


def choose_active(state: NodeState, owned: OwnedShard, now: float) -> None:
    """Bring the backends that may get flows up to date; all if none may."""
    usable = [load for load in owned.loads if not _is_out(state, load, now)]
    owned.active = usable or owned.loads


def note_answer(load: BackendLoad) -> None:
    """Note that the backend answered a SYN."""
    load.missed = 0
    load.ejected_until = 0


def note_miss(state: NodeState, load: BackendLoad, now: float) -> None:
    """Note that a SYN went unanswered."""
    load.missed += 1
    if load.missed >= MISSES_ALONE:
        load.missed = 0
        load.ejected_until = now + EJECTION_S
        state.counters.add('backend_left_out', 'no_answer')


def note_poll(load: BackendLoad, *, answered: bool) -> None:
    """Note how a poll ended."""
    load.failed_polls = 0 if answered else load.failed_polls + 1


def _is_out(state: NodeState, load: BackendLoad, now: float) -> bool:
    if now < load.ejected_until:
        return True
    if not load.failed_polls:
        return False
    # A zone without live nodes may be cut off, or just have no balancer.
    is_alone = not state.members.alive(load.backend.zone)
    return is_alone or load.missed >= MISSES_WITH_FAILED_POLLS

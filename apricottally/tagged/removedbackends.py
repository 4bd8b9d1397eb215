"""What happens to packets of flows whose backend is not registered.

A missing registration does not mean that the backend is gone: it may have
lapsed while the backend was cut off, or a restored platform may lack it. Only
evidence ends a flow that may be served: the backend has announced that it
leaves, its address has been given to another one, or it fails a probe.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from apricottally.tagged.catalogentry import Entry

if TYPE_CHECKING:
    from apricottally.tagged.state import NodeState

# If the registration of a running backend expires, the backend renews it within
# 2 s. For longer than that, the registration or an answer has to be missing
# before anything is concluded.
CONFIRMATION_S = 2.5
# A flow may be discarded at this age, so that a backend that was registered
# before this node started has no older ones.
FLOW_LIFETIME_S = 60.0


class Treatment(enum.Enum):
    """What to do with a packet of a flow."""

    forward = 'forward'
    drop = 'drop'
    reset = 'reset'


def treat_removed(state: NodeState, entry: Entry, now: float) -> Treatment:
    """Return what to do with a packet for a backend.

    While records may be out of date, nothing is reset.
    """
    if entry.removed_at is None or entry.backend is None:
        return Treatment.forward
    is_current = state.freshness.is_current(now)
    if state.catalog.addresses.is_reused(entry):
        return Treatment.reset if is_current else Treatment.drop
    if not is_current or _is_recent(state, entry, now):
        return Treatment.forward
    if entry.backend.draining and not _has_answered(state, entry):
        return Treatment.reset
    if state.suspicion.is_unreachable(entry.backend.tag, now):
        return Treatment.reset
    return Treatment.forward


def treat_unknown(state: NodeState, now: float) -> Treatment:
    """Return what to do with a packet whose backend is in no record.

    It may have been registered before this node started, or before the
    platform was restored, and its registration may be missing since.
    """
    is_new = now - state.started_at < FLOW_LIFETIME_S
    may_be_missing = is_new or state.catalog.was_restored
    is_settled = now - state.freshness.current_since >= CONFIRMATION_S
    is_current = state.freshness.is_current(now) and is_settled
    return (
        Treatment.reset if is_current and not may_be_missing else Treatment.drop
    )


def needs_probe(state: NodeState, entry: Entry, now: float) -> bool:
    """Tell whether a removed backend has not answered for a while."""
    return entry.backend is not None and not _is_recent(state, entry, now)


def _is_recent(state: NodeState, entry: Entry, now: float) -> bool:
    """Tell whether the removal or an answer was just now."""
    removed_at = entry.removed_at
    if removed_at is None:
        return True
    return now - max(removed_at, _get_answered_at(state, entry)) < (
        CONFIRMATION_S
    )


def _has_answered(state: NodeState, entry: Entry) -> bool:
    """Tell whether the backend has answered since its removal."""
    removed_at = entry.removed_at
    return removed_at is None or _get_answered_at(state, entry) > removed_at


def _get_answered_at(state: NodeState, entry: Entry) -> float:
    if entry.backend is None:
        return float('-inf')
    return state.suspicion.last_response_at(entry.backend.tag)

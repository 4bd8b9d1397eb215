"""Graceful shutdown; the nodes of a zone stop a few at a time.

If too few nodes of a zone are ready, the network fabric sends packets to all of
them, including nodes that have exited. A node that is asked to stop therefore
stays ready while too many nodes of its zone are absent, unless its grace period
runs out. Then it reports that it is not ready, forwards packets until the
fabric has stopped sending them, and exits.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally.effects import Exit, LogValue
from apricottally.tagged.effects import Effect, WriteLog
from apricottally.tagged.events import ShutdownRequested

if TYPE_CHECKING:
    from apricottally.tagged.state import NodeState

# Share of a zone's nodes that may be absent at a time; one node always may.
MAX_ABSENT_SHARE = 0.25
# Time between the planned exit and the time when the process would be killed.
KILL_MARGIN_S = 1.5


def request_shutdown(
    state: NodeState, event: ShutdownRequested
) -> list[Effect]:
    """Record a shutdown request; a second one ends the process at once."""
    if state.stop_requested_at is not None:
        return [Exit(1)]
    state.stop_requested_at = event.now
    return [WriteLog('stop_requested', _build_log_fields(state, event.now))]


def tick(state: NodeState, now: float) -> list[Effect]:
    """End readiness when the zone allows it; exit `leave_s` later."""
    asked_at = state.stop_requested_at
    if asked_at is None:
        return []
    since = state.stopping_since
    if since is None:
        return _end_readiness_if_allowed(state, asked_at, now)
    if now - since < state.config.leave_s:
        return []
    return [WriteLog('stopped', _build_log_fields(state, now)), Exit(0)]


def _end_readiness_if_allowed(
    state: NodeState,
    asked_at: float,
    now: float,
) -> list[Effect]:
    config = state.config
    deadline = asked_at + config.grace_s - config.leave_s - KILL_MARGIN_S
    if now < deadline and not _can_leave_zone(state, now):
        return []
    state.stopping_since = now
    state.heartbeat_due = True
    return [WriteLog('stopping', _build_log_fields(state, now))]


def _can_leave_zone(state: NodeState, now: float) -> bool:
    neighbours = state.neighbours
    present = 1 + len(neighbours.list_alive(now, state.config.zone))
    absent = neighbours.count_absent(now)
    return absent < max(1, int(present * MAX_ABSENT_SHARE))


def _build_log_fields(state: NodeState, now: float) -> dict[str, LogValue]:
    return {
        'open_flows': len(state.flows.by_key),
        'absent': state.neighbours.count_absent(now),
    }

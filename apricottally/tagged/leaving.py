"""Graceful shutdown: nodes of a zone leave in turn.

A fabric that sees too few ready nodes in a zone sends packets to all of them,
also to those that have gone. A node that is asked to stop stays ready while
others of its zone are absent, as long as its time allows; then it is no longer
ready, carries packets until the fabric has turned away, and exits.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally.effects import Exit, LogValue
from apricottally.tagged.effects import Effect, WriteLog
from apricottally.tagged.events import ShutdownRequested

if TYPE_CHECKING:
    from apricottally.tagged.state import NodeState

# Part of a zone that may be absent at a time; one node always may.
ABSENT_SHARE = 0.25
# Time kept free before the process would be killed.
MARGIN_S = 1.5


def request(state: NodeState, event: ShutdownRequested) -> list[Effect]:
    """Take a request to stop; a second one ends the process at once."""
    if state.stop_requested_at is not None:
        return [Exit(1)]
    state.stop_requested_at = event.now
    return [WriteLog('stop_requested', _describe(state, event.now))]


def tick(state: NodeState, now: float) -> list[Effect]:
    """Leave when it is this node's turn, and exit some time later."""
    asked_at = state.stop_requested_at
    if asked_at is None:
        return []
    since = state.stopping_since
    if since is None:
        return _try_leaving(state, asked_at, now)
    if now - since < state.config.leave_s:
        return []
    return [WriteLog('stopped', _describe(state, now)), Exit(0)]


def _try_leaving(
    state: NodeState,
    asked_at: float,
    now: float,
) -> list[Effect]:
    config = state.config
    latest = asked_at + config.grace_s - config.leave_s - MARGIN_S
    if now < latest and not _is_turn(state, now):
        return []
    state.stopping_since = now
    state.heartbeat_due = True
    return [WriteLog('stopping', _describe(state, now))]


def _is_turn(state: NodeState, now: float) -> bool:
    neighbours = state.neighbours
    present = 1 + len(neighbours.list_alive(now, state.config.zone))
    absent = neighbours.count_absent(now)
    return absent < max(1, int(present * ABSENT_SHARE))


def _describe(state: NodeState, now: float) -> dict[str, LogValue]:
    return {
        'open_flows': len(state.flows.by_key),
        'absent': state.neighbours.count_absent(now),
    }

"""Graceful shutdown: stop admitting, hand over, forward until it is quiet.

The node announces that it is leaving, so that other nodes own its shards and
get what it admitted. It goes on forwarding until no packet has come for a
while.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from apricottally import membership, shardhandover
from apricottally.effects import Effect, Exit, WriteLog
from apricottally.events import ShutdownRequested

if TYPE_CHECKING:
    from apricottally.state import NodeState

# The fabric sends no more packets here once it has seen the node not ready.
QUIET_S = 2.0
MAX_DRAIN_S = 30.0
# Statuses of the process.
STATUS_DRAINED = 0
STATUS_FORCED = 1


@dataclass(slots=True)
class Shutdown:
    """Progress of a shutdown; `since` is None until one is asked for."""

    since: float | None = None
    packets: int = 0
    active_at: float = 0


def request(state: NodeState, event: ShutdownRequested) -> list[Effect]:
    """Start to leave; a second request ends the process at once."""
    shutdown = state.shutdown
    if shutdown.since is not None:
        return [WriteLog('shutdown_forced'), Exit(STATUS_FORCED)]
    shutdown.since = event.now
    shutdown.active_at = event.now
    leaving = membership.leave(state, event.now)
    return [WriteLog('shutdown_started'), *leaving]


def tick(state: NodeState, now: float) -> list[Effect]:
    """Exit when all is handed over and no packet has come for a while."""
    shutdown = state.shutdown
    if shutdown.since is None:
        return []
    packets = _count_packets(state)
    if packets != shutdown.packets:
        shutdown.packets = packets
        shutdown.active_at = now
    is_quiet = now - shutdown.active_at >= QUIET_S
    is_drained = is_quiet and shardhandover.is_done(state)
    if is_drained or now - shutdown.since >= MAX_DRAIN_S:
        return [WriteLog('shutdown_finished'), Exit(STATUS_DRAINED)]
    return []


def _count_packets(state: NodeState) -> int:
    counters = state.counters
    return counters.total('forwarded') + counters.total('handed_over')

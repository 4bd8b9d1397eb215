"""Graceful shutdown of a node.

The node announces that it is leaving, stops admitting flows and hands its
shards over to other nodes with the flows that it admitted. It continues to
forward packets until none has arrived for `IDLE_BEFORE_EXIT_S`.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from apricottally import membership, shardhandover
from apricottally.effects import Effect, Exit, WriteLog
from apricottally.events import ShutdownRequested

if TYPE_CHECKING:
    from apricottally.state import NodeState

# Once the network fabric has noticed that the node is not ready, it sends no
# more packets to it.
IDLE_BEFORE_EXIT_S = 2.0
MAX_DRAIN_S = 30.0
# Exit statuses of the process.
STATUS_DRAINED = 0
STATUS_FORCED = 1


@dataclass(slots=True)
class Shutdown:
    """Progress of a shutdown.

    `requested_at` is None until a shutdown is requested. `packet_count` is
    the number of packets forwarded up to `last_packet_at`.
    """

    requested_at: float | None = None
    packet_count: int = 0
    last_packet_at: float = 0


def request(state: NodeState, event: ShutdownRequested) -> list[Effect]:
    """Start a shutdown; a second request ends the process at once."""
    shutdown = state.shutdown
    if shutdown.requested_at is not None:
        return [WriteLog('shutdown_forced'), Exit(STATUS_FORCED)]
    shutdown.requested_at = event.now
    shutdown.last_packet_at = event.now
    leaving = membership.leave(state, event.now)
    return [WriteLog('shutdown_started'), *leaving]


def tick(state: NodeState, now: float) -> list[Effect]:
    """End the process if the node is drained or the time limit is over.

    A node is drained when its shards are handed over and no packet has
    arrived for `IDLE_BEFORE_EXIT_S`.
    """
    shutdown = state.shutdown
    if shutdown.requested_at is None:
        return []
    packets = _count_packets(state)
    if packets != shutdown.packet_count:
        shutdown.packet_count = packets
        shutdown.last_packet_at = now
    is_idle = now - shutdown.last_packet_at >= IDLE_BEFORE_EXIT_S
    is_drained = is_idle and shardhandover.is_done(state)
    if is_drained or now - shutdown.requested_at >= MAX_DRAIN_S:
        return [WriteLog('shutdown_finished'), Exit(STATUS_DRAINED)]
    return []


def _count_packets(state: NodeState) -> int:
    counters = state.counters
    return counters.total('forwarded') + counters.total('handed_over')

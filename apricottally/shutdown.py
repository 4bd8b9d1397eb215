"""Graceful shutdown: stop admitting, hand over what was admitted, drain.

The node announces that it is leaving, so that other nodes own its shards. It
finishes the SYNs that wait here, hands its counts to the next owners and
forwards packets until none has come for a while.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from apricottally import membership, messages, occupancy
from apricottally.admitted import Occupancy
from apricottally.effects import Effect, Exit, SendPeer, WriteLog
from apricottally.events import ShutdownRequested
from apricottally.messages import OccupancyReport

if TYPE_CHECKING:
    from apricottally.state import NodeState

# The fabric sends no more packets here once it has seen the node not ready.
QUIET_S = 2.0
MAX_DRAIN_S = 30.0
# Queued SYNs get this long before the counts are handed over without them.
MAX_QUEUE_S = 1.0
# Statuses of the process.
STATUS_DRAINED = 0
STATUS_FORCED = 1
# Flows in one message, each with its SYN of at most 60 bytes.
_FLOWS_PER_MESSAGE = 12


@dataclass(slots=True)
class Shutdown:
    """Progress of a shutdown; `since` is None until one is asked for."""

    since: float | None = None
    packets: int = 0
    active_at: float = 0
    handed_over: bool = False


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
    """Hand over when nothing waits here, and exit when no packet comes."""
    shutdown = state.shutdown
    if shutdown.since is None:
        return []
    effects: list[Effect] = []
    if not shutdown.handed_over and _may_hand_over(state, now):
        shutdown.handed_over = True
        effects += _hand_over(state, now)
    packets = _count_packets(state)
    if packets != shutdown.packets:
        shutdown.packets = packets
        shutdown.active_at = now
    is_quiet = now - shutdown.active_at >= QUIET_S
    is_drained = shutdown.handed_over and is_quiet
    if is_drained or now - shutdown.since >= MAX_DRAIN_S:
        effects += [WriteLog('shutdown_finished'), Exit(STATUS_DRAINED)]
    return effects


def receive_report(
    state: NodeState,
    now: float,
    source: object,
    message: OccupancyReport,
) -> list[Effect]:
    """Take over what a leaving owner had admitted."""
    occupancy.import_occupancy(state, now, message.occupancy)
    return []


def _may_hand_over(state: NodeState, now: float) -> bool:
    shutdown = state.shutdown
    if not occupancy.has_waiting(state):
        return True
    return now - (shutdown.since or now) >= MAX_QUEUE_S


def _hand_over(state: NodeState, now: float) -> list[Effect]:
    """Send the counts of each shard to its next owner."""
    effects: list[Effect] = []
    for exported in occupancy.export_occupancy(state, now):
        zone = exported.shard.split('/')[1]
        owner = state.owners.find(exported.shard, zone)
        if owner.name == state.members.own_name:
            state.counters.add('occupancy', 'no_next_owner')
            continue
        effects += [
            SendPeer(owner.peer, messages.encode(OccupancyReport(part)))
            for part in _split(exported)
        ]
    return effects


def _split(exported: Occupancy) -> list[Occupancy]:
    """Split what was admitted into parts that fit a datagram.

    The counts of a shard's 64 backends fit the first one.
    """
    flows = exported.flows
    parts = [msgspec.structs.replace(exported, flows=())]
    for start in range(0, len(flows), _FLOWS_PER_MESSAGE):
        part = msgspec.structs.replace(
            exported,
            counts=(),
            flows=flows[start : start + _FLOWS_PER_MESSAGE],
            part=len(parts),
        )
        parts.append(part)
    return parts


def _count_packets(state: NodeState) -> int:
    counters = state.counters
    return counters.total('forwarded') + counters.total('handed_over')

"""Handover of shards to a new owner while the former owner is still alive.

A shard changes owner when a node joins or leaves. The former owner immediately
sends the new one its counts, slot flows and waiting SYNs. Other nodes learn of
the change later. The former owner forwards packets that they still send to it,
since it knows that it no longer owns the shard.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from apricottally import gue, messages, occupancytransfer
from apricottally.addresses import Endpoint
from apricottally.effects import Effect, SendPacket, SendPeer
from apricottally.flows import OwnedShard, Phase
from apricottally.gue import MAX_HOPS, Direction, Handover
from apricottally.members import Member
from apricottally.messages import OccupancyReport
from apricottally.occupancymessage import Occupancy
from apricottally.shards import Shard

if TYPE_CHECKING:
    from apricottally.state import NodeState

# Slot flows in one message. Each includes its SYN of at most 60 bytes.
_FLOWS_PER_MESSAGE = 12
_WAITING = frozenset((Phase.waiting, Phase.retrying))


def tick(state: NodeState, now: float) -> list[Effect]:
    """Hand over each shard that this node owned and another one now owns."""
    effects: list[Effect] = []
    for owned in state.admissions.shards.values():
        if owned.is_owner:
            owned.handed_over = False
        elif owned.was_owner and not owned.handed_over:
            effects += _hand_over(state, now, owned)
    return effects


def is_done(state: NodeState) -> bool:
    """Tell whether all shards that this node lost are handed over."""
    return not any(
        owned.was_owner and not owned.handed_over and not owned.is_owner
        for owned in state.admissions.shards.values()
    )


def must_go_to_owner(
    state: NodeState,
    shard: Shard,
    handover: Handover | None,
) -> bool:
    """Tell whether a packet must be handed over to the owner of its shard.

    A packet that another node has handed over is handled here, unless this
    node has handed over the shard and the hop limit allows another hop.
    """
    if state.owners.owns_shard(shard.name, shard.zone):
        return False
    if handover is None:
        return True
    if handover.hops >= MAX_HOPS:
        return False
    owned = state.admissions.shards.get(shard.name)
    return owned is not None and owned.handed_over


def receive_report(
    state: NodeState,
    now: float,
    source: Endpoint,
    message: OccupancyReport,
) -> list[Effect]:
    """Import the flows and counts that a former owner sends."""
    occupancytransfer.import_occupancy(state, now, message.occupancy)
    return []


def _hand_over(
    state: NodeState,
    now: float,
    owned: OwnedShard,
) -> list[Effect]:
    owner = state.owners.find_owner(owned.shard.name, owned.shard.zone)
    if owner.name == state.members.own_name:
        # The records no longer contain the shard. Packets of its flows are
        # still forwarded, by the backend number that they carry.
        owned.handed_over = True
        return []
    owned.handed_over = True
    exported = occupancytransfer.export_shard(state, now, owned)
    waiting = _forward_waiting(state, owned, owner)
    occupancytransfer.drop_shard(state, owned)
    state.counters.add('occupancy', 'handed_over')
    reports = [
        SendPeer(owner.peer, messages.encode(OccupancyReport(part)))
        for part in _split(exported)
    ]
    return [*reports, *waiting]


def _forward_waiting(
    state: NodeState,
    owned: OwnedShard,
    owner: Member,
) -> list[Effect]:
    """Forward the SYNs of flows that are waiting or due for a retry."""
    handover = Handover(Direction.caller, MAX_HOPS, 0, 0)
    return [
        SendPacket(owner.packet, gue.encode_handover(handover, flow.syn))
        for flow in state.admissions.flows.values()
        if flow.owned is owned and flow.phase in _WAITING
    ]


def _split(exported: Occupancy) -> list[Occupancy]:
    """Split an occupancy into parts that each fit a datagram.

    The counts of a shard's 64 backends fit the first part.
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

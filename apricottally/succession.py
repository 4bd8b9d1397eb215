"""A shard whose owner changes while the former one lives: leaving, or a join.

The former owner hands over what it admitted and the SYNs that wait, at once.
Other nodes hear of the change later; what they still send to the former owner
it passes on, since it knows for certain that it is not the owner any more.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from apricottally import gue, messages, occupancy
from apricottally.addresses import Endpoint
from apricottally.admitted import Occupancy
from apricottally.effects import Effect, SendPacket, SendPeer
from apricottally.flows import OwnedShard, Phase
from apricottally.gue import MAX_HOPS, Direction, Handover
from apricottally.members import Member
from apricottally.messages import OccupancyReport
from apricottally.shards import Shard

if TYPE_CHECKING:
    from apricottally.state import NodeState

# Flows in one message, each with its SYN of at most 60 bytes.
_FLOWS_PER_MESSAGE = 12
_WAITING = frozenset((Phase.waiting, Phase.retrying))


def tick(state: NodeState, now: float) -> list[Effect]:
    """Hand over every shard that another live node owns by now."""
    effects: list[Effect] = []
    for owned in state.admissions.shards.values():
        if owned.is_owner:
            owned.handed_over = False
        elif owned.was_owner and not owned.handed_over:
            effects += _hand_over(state, now, owned)
    return effects


def is_done(state: NodeState) -> bool:
    """Tell whether this node has nothing left to hand over."""
    return not any(
        owned.was_owner and not owned.handed_over and not owned.is_owner
        for owned in state.admissions.shards.values()
    )


def is_for_owner(
    state: NodeState,
    shard: Shard,
    handover: Handover | None,
) -> bool:
    """Tell whether a packet has to go on to the owner, another node.

    One that was handed over stays, unless this node is the former owner.
    """
    if state.owners.owns(shard.name, shard.zone):
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
    """Take over what a former owner had admitted."""
    occupancy.import_occupancy(state, now, message.occupancy)
    return []


def _hand_over(
    state: NodeState,
    now: float,
    owned: OwnedShard,
) -> list[Effect]:
    owner = state.owners.find(owned.shard.name, owned.shard.zone)
    if owner.name == state.members.own_name:
        # The shard is gone from the records; its flows go on by their cookie.
        owned.handed_over = True
        return []
    owned.handed_over = True
    exported = occupancy.export_shard(state, now, owned)
    waiting = _take_waiting(state, owned, owner)
    occupancy.drop_shard(state, owned)
    state.counters.add('occupancy', 'handed_over')
    reports = [
        SendPeer(owner.peer, messages.encode(OccupancyReport(part)))
        for part in _split(exported)
    ]
    return [*reports, *waiting]


def _take_waiting(
    state: NodeState,
    owned: OwnedShard,
    owner: Member,
) -> list[Effect]:
    """Send the SYNs on for which nothing was decided."""
    handover = Handover(Direction.caller, MAX_HOPS, 0, 0)
    return [
        SendPacket(owner.packet, gue.encode_handover(handover, flow.syn))
        for flow in state.admissions.flows.values()
        if flow.owned is owned and flow.phase in _WAITING
    ]


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

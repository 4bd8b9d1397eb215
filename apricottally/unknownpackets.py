"""Packets whose address or backend number is not in this node's records.

A node with outdated records would otherwise lose packets of flows that other
nodes know. It hands such a packet over once, to a member chosen by flow key
and TSval: the caller's retransmission has another TSval and so reaches
another member. Dropping the packet is not sufficient, since a network fabric
that hashes by flow delivers the retransmission to the same node. The packet
cannot be handed to the shard's owner, since an unknown number has no shard.
A budget prevents packets for addresses that no node serves from doubling the
load of all nodes.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
import xxhash

from apricottally import addresses, gue, packet
from apricottally.effects import Effect, SendPacket
from apricottally.gue import Direction, Handover
from apricottally.inbound import InboundPacket
from apricottally.members import Member
from apricottally.packet import Segment

if TYPE_CHECKING:
    from apricottally.state import NodeState

# Hand-overs of unknown packets: rate per second and largest burst.
HANDOVERS_PER_S = 2000
HANDOVER_BURST = 2000


@dataclass(slots=True)
class HandoverBudget:
    """Token bucket of hand-overs; `refilled_at` is the last refill's time."""

    tokens: float = HANDOVER_BURST
    refilled_at: float = 0

    def take(self, now: float) -> bool:
        """Take one token; return whether one was available."""
        refill = max(0, now - self.refilled_at) * HANDOVERS_PER_S
        self.tokens = min(HANDOVER_BURST, self.tokens + refill)
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def receive_unknown(
    state: NodeState,
    inbound: InboundPacket,
    reason: str,
) -> list[Effect]:
    """Hand a packet over to another member, or drop it for `reason`.

    A packet that was handed over already is dropped. So is a packet with SYN:
    any member would admit it as if it owned the shard, and the SYN-ACK would
    go to the real owner, which does not know the flow.
    """
    if inbound.handover is not None or inbound.segment.flags & packet.SYN:
        return drop(state, reason)
    member = _choose_member(state, inbound.payload, inbound.segment)
    if member is None:
        return drop(state, reason)
    if not state.handover_budget.take(inbound.now):
        return drop(state, f'{reason}_budget')
    state.counters.add('handed_over', reason)
    return [build_handover(inbound, member, Direction.unknown)]


def build_handover(
    inbound: InboundPacket,
    member: Member,
    direction: Direction,
) -> Effect:
    """Return the effect that hands a packet over to a member."""
    handover = inbound.handover
    if handover is None:
        ip, port = inbound.source
        extension = Handover(direction, 1, port, addresses.parse_ip(ip))
    else:
        hops = handover.hops + 1
        extension = msgspec.structs.replace(handover, hops=hops)
    inner = inbound.payload[inbound.segment.start :]
    return SendPacket(member.packet, gue.encode_handover(extension, inner))


def drop(state: NodeState, reason: str) -> list[Effect]:
    """Drop the packet and count the reason."""
    state.counters.add('dropped', reason)
    return []


def _choose_member(
    state: NodeState,
    datagram: bytes,
    segment: Segment,
) -> Member | None:
    """Choose another member by flow key and TSval, None if there is none."""
    members = state.members.list_active()
    key = packet.read_caller_key(datagram, segment.start)
    hashed = xxhash.xxh3_64_intdigest(key, segment.ts_val)
    for step in range(min(2, len(members))):
        member = members[(hashed + step) % len(members)]
        if member.name != state.members.own_name:
            return member
    return None

"""Packets that this node's tables do not cover yet.

A node with older records would lose packets of flows that others know. It
hands such a packet over once, to a member chosen by flow key and TSval: the
caller's retransmission has another TSval and so reaches another member.
Dropping would rely on the retransmission reaching another node, which a
fabric that hashes by flow does not do. The shard's owner cannot be named,
since an unknown number has no shard. A budget keeps packets for addresses
that nobody serves from doubling the load of the fleet.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
import xxhash

from apricottally import addresses, gue, packet
from apricottally.arrivals import Arrival
from apricottally.effects import Effect, SendPacket
from apricottally.gue import Direction, Handover
from apricottally.members import Member
from apricottally.packet import Segment

if TYPE_CHECKING:
    from apricottally.state import NodeState

# Hand-overs of packets that this node does not know, per second and at once.
BUDGET_PER_S = 2000
BUDGET_BURST = 2000


@dataclass(slots=True)
class Budget:
    """A token bucket; `since` is the time of the last refill."""

    tokens: float = BUDGET_BURST
    since: float = 0

    def take(self, now: float) -> bool:
        """Take one token; tell whether there was one."""
        refill = max(0, now - self.since) * BUDGET_PER_S
        self.tokens = min(BUDGET_BURST, self.tokens + refill)
        self.since = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def receive_unknown(
    state: NodeState,
    arrival: Arrival,
    reason: str,
) -> list[Effect]:
    """Hand a packet over to another member, or drop it for `reason`.

    A packet that was handed over already is dropped. So is one with SYN: any
    member would admit it as if it owned the shard, and the SYN-ACK would go
    to the true owner, which knows nothing of it.
    """
    if arrival.handover is not None or arrival.segment.flags & packet.SYN:
        return drop(state, reason)
    member = _choose_member(state, arrival.payload, arrival.segment)
    if member is None:
        return drop(state, reason)
    if not state.unknown_budget.take(arrival.now):
        return drop(state, f'{reason}_budget')
    state.counters.add('handed_over', reason)
    return [wrap(arrival, member, Direction.unknown)]


def wrap(
    arrival: Arrival,
    member: Member,
    direction: Direction,
) -> Effect:
    """Return the effect that hands the packet over to a member."""
    handover = arrival.handover
    if handover is None:
        ip, port = arrival.source
        extension = Handover(direction, 1, port, addresses.parse_ip(ip))
    else:
        hops = handover.hops + 1
        extension = msgspec.structs.replace(handover, hops=hops)
    inner = arrival.payload[arrival.segment.start :]
    return SendPacket(member.packet, gue.encode_handover(extension, inner))


def drop(state: NodeState, reason: str) -> list[Effect]:
    """Drop the packet and count why."""
    state.counters.add('dropped', reason)
    return []


def _choose_member(
    state: NodeState,
    datagram: bytes,
    segment: Segment,
) -> Member | None:
    """Return another member by flow key and TSval, None if there is none."""
    members = state.members.eligible()
    key = packet.caller_key(datagram, segment.start)
    hashed = xxhash.xxh3_64_intdigest(key, segment.ts_val)
    for step in range(min(2, len(members))):
        member = members[(hashed + step) % len(members)]
        if member.name != state.members.own_name:
            return member
    return None

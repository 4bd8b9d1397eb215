"""Packets on the packet socket: routing by cookie, and hand-over to owners.

Packets with SYN, FIN or RST go through the owner of their backend shard. All
others go straight to the backend whose number their timestamps carry.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally import addresses, admission, gue, packet, shards
from apricottally.effects import Effect, SendPacket
from apricottally.errors import WireError
from apricottally.events import PacketReceived
from apricottally.gue import Direction, Handover
from apricottally.packet import Segment
from apricottally.routes import Route
from apricottally.shards import Shard

if TYPE_CHECKING:
    from apricottally.state import NodeState


def receive_packet(state: NodeState, event: PacketReceived) -> list[Effect]:
    """Forward, hand over, answer or drop one datagram."""
    datagram = event.payload
    try:
        start, handover = gue.decode(datagram)
        segment = packet.parse(datagram, start)
    except WireError as error:
        return _drop(state, error.reason)
    route = state.routes.find(segment.dst_ip, segment.dst_port)
    if route is not None:
        return _receive_from_caller(state, event, route, segment, handover)
    route = state.routes.find(segment.src_ip, segment.src_port)
    if route is not None:
        return _receive_from_backend(state, event, route, segment, handover)
    return _drop(state, 'unknown_address')


def _receive_from_caller(
    state: NodeState,
    event: PacketReceived,
    route: Route,
    segment: Segment,
    handover: Handover | None,
) -> list[Effect]:
    flags = segment.flags
    if flags & packet.SYN:
        return _receive_syn(state, event, route, segment, handover)
    if not segment.ts_ecr:
        return _drop(state, 'no_number')
    number = segment.ts_ecr & packet.NUMBER_MASK
    endpoint = route.service.endpoints.get(number)
    if endpoint is None:
        return _receive_unroutable(state, event, route, segment, handover)
    if not flags & packet.FIRST_OR_LAST:
        state.counters.counts['forwarded', 'caller'] += 1
        inner = packet.clear_number(event.payload, segment)
        return [SendPacket(endpoint, gue.PLAIN_HEADER + inner)]
    shard = route.service.shard_of[number]
    if _is_for_owner(state, shard, handover):
        return _hand_over(state, event, shard, segment, Direction.caller)
    return admission.receive_close(
        state,
        event.now,
        route,
        number,
        segment,
        event.payload,
        from_backend=False,
    )


def _receive_syn(
    state: NodeState,
    event: PacketReceived,
    route: Route,
    segment: Segment,
    handover: Handover | None,
) -> list[Effect]:
    if segment.flags & (packet.ACK | packet.FIN | packet.RST):
        return _drop(state, 'foreign_flags')
    if not segment.timestamps:
        return admission.refuse(state, segment, 'no_timestamps')
    key = packet.caller_key(event.payload, segment.start)
    shard = shards.choose_shard(route.service.shards, key)
    if shard is None:
        return admission.refuse(state, segment, 'no_backend')
    if _is_for_owner(state, shard, handover):
        return _hand_over(state, event, shard, segment, Direction.caller)
    return admission.receive_syn(
        state,
        event.now,
        route,
        shard,
        segment,
        event.payload,
    )


def _receive_unroutable(
    state: NodeState,
    event: PacketReceived,
    route: Route,
    segment: Segment,
    handover: Handover | None,
) -> list[Effect]:
    """Handle a packet whose number names no present backend."""
    known = route.service.backends.get(segment.ts_ecr & packet.NUMBER_MASK)
    if known is None:
        # This node may not have the newest numbers yet; the caller's TCP
        # sends the packet again, and it reaches another node.
        return _drop(state, 'unknown_number')
    if segment.flags & packet.RST:
        return _drop(state, 'backend_gone')
    state.counters.add('broken', 'outcome_unknown')
    answer = packet.reset_sender(segment)
    return [SendPacket(state.config.gateway, gue.encode(answer))]


def _receive_from_backend(
    state: NodeState,
    event: PacketReceived,
    route: Route,
    segment: Segment,
    handover: Handover | None,
) -> list[Effect]:
    if handover is None:
        backend_ip = addresses.parse_ip(event.source[0])
    else:
        backend_ip = handover.ip
    service = route.service
    number = service.numbers_by_ip.get(backend_ip)
    if number is None:
        return _drop(state, 'foreign_reply')
    flags = segment.flags
    if not flags & packet.FIRST_OR_LAST:
        if not segment.timestamps:
            return _drop(state, 'no_timestamps')
        state.counters.counts['forwarded', 'backend'] += 1
        inner = packet.write_number(event.payload, segment, number)
        return [SendPacket(state.config.gateway, gue.PLAIN_HEADER + inner)]
    shard = service.shard_of[number]
    if _is_for_owner(state, shard, handover):
        return _hand_over(state, event, shard, segment, Direction.backend)
    if flags & packet.SYN:
        return admission.receive_syn_ack(
            state,
            event.now,
            route,
            number,
            segment,
            event.payload,
        )
    return admission.receive_close(
        state,
        event.now,
        route,
        number,
        segment,
        event.payload,
        from_backend=True,
    )


def _is_for_owner(
    state: NodeState,
    shard: Shard,
    handover: Handover | None,
) -> bool:
    """Tell whether the packet has to go on to another node.

    A packet that was handed over once stays: nodes with different views
    would otherwise pass it around.
    """
    return handover is None and not state.owners.owns(shard.name, shard.zone)


def _hand_over(
    state: NodeState,
    event: PacketReceived,
    shard: Shard,
    segment: Segment,
    direction: Direction,
) -> list[Effect]:
    owner = state.owners.find(shard.name, shard.zone)
    ip, port = event.source
    handover = Handover(direction, 1, port, addresses.parse_ip(ip))
    inner = event.payload[segment.start :]
    state.counters.add('handed_over', direction.name)
    return [SendPacket(owner.packet, gue.encode_handover(handover, inner))]


def _drop(state: NodeState, reason: str) -> list[Effect]:
    state.counters.add('dropped', reason)
    return []

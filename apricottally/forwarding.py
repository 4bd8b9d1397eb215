"""Packets on the packet socket: routing by cookie, and hand-over to owners.

Packets with SYN, FIN or RST go through the owner of their backend shard. All
others go straight to the backend whose number their timestamps carry.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally import (
    addresses,
    admission,
    closing,
    endings,
    fastpath,
    gue,
    outbound,
    packet,
    silence,
    succession,
)
from apricottally.addresses import Endpoint
from apricottally.arrivals import Arrival
from apricottally.effects import Effect, SendPacket
from apricottally.errors import WireError
from apricottally.events import PacketReceived
from apricottally.explanation import Decision
from apricottally.gue import Direction, Handover
from apricottally.packet import Segment
from apricottally.routes import Route
from apricottally.shards import Shard
from apricottally.unknown import drop, receive_unknown, wrap

if TYPE_CHECKING:
    from apricottally.state import NodeState


def receive_packet(state: NodeState, event: PacketReceived) -> list[Effect]:
    """Forward, hand over, answer or drop one datagram."""
    effects = fastpath.forward(state, event)
    if effects is not None:
        return effects
    datagram = event.payload
    try:
        start, handover = gue.decode(datagram)
        segment = packet.parse(datagram, start)
    except WireError as error:
        return drop(state, error.reason)
    arrival = Arrival(event.now, event.source, datagram, segment, handover)
    effects = _receive_segment(state, arrival)
    return outbound.keep_valid(state, effects, arrival)


def _receive_segment(
    state: NodeState,
    arrival: Arrival,
) -> list[Effect]:
    route = state.routes.find(arrival.segment.dst_ip, arrival.segment.dst_port)
    if route is not None:
        return _receive_from_caller(state, arrival, route)
    route = state.routes.find(arrival.segment.src_ip, arrival.segment.src_port)
    if route is not None:
        return _receive_from_backend(state, arrival, route)
    return receive_unknown(state, arrival, 'unknown_address')


def _receive_from_caller(
    state: NodeState,
    arrival: Arrival,
    route: Route,
) -> list[Effect]:
    flags = arrival.segment.flags
    if flags & packet.SYN:
        return _receive_syn(state, arrival, route)
    if not flags & (packet.ACK | packet.RST):
        return drop(state, 'foreign_flags')
    if not arrival.segment.ts_ecr:
        return _receive_unnumbered(state, arrival, route)
    number = arrival.segment.ts_ecr & packet.NUMBER_MASK
    endpoint = route.service.endpoints.get(number)
    if endpoint is None:
        return _receive_unroutable(state, arrival, route)
    if not flags & packet.FIRST_OR_LAST:
        if _is_suspect(state, endpoint, arrival.segment, arrival.handover):
            return _track(state, arrival, route)
        return _forward(state, arrival, endpoint)
    return closing.close_from_caller(state, arrival, route, number)


def _forward(
    state: NodeState,
    arrival: Arrival,
    endpoint: Endpoint,
) -> list[Effect]:
    state.counters.counts['forwarded', 'caller'] += 1
    inner = packet.clear_number(arrival.payload, arrival.segment)
    return [SendPacket(endpoint, gue.PLAIN_HEADER + inner)]


def _is_suspect(
    state: NodeState,
    endpoint: Endpoint,
    segment: Segment,
    handover: Handover | None,
) -> bool:
    """Tell whether a data packet belongs to the tracker of its flow.

    One that was handed over as a caller's was found stale by its sender.
    """
    if handover is None:
        return state.clocks.is_stale(endpoint[0], segment.ts_ecr)
    return handover.direction == Direction.caller


def _track(
    state: NodeState,
    arrival: Arrival,
    route: Route,
) -> list[Effect]:
    """Forward a stale packet by way of its tracker; end a silent flow."""
    key = packet.caller_key(arrival.payload, arrival.segment.start)
    tracker = state.owners.find_tracker(key)
    if arrival.handover is None and tracker.name != state.members.own_name:
        state.counters.add('handed_over', 'stale')
        return [wrap(arrival, tracker, Direction.caller)]
    number = arrival.segment.ts_ecr & packet.NUMBER_MASK
    endpoint = route.service.endpoints[number]
    if silence.is_silent(state, arrival.now, key, endpoint[0], arrival.segment):
        return _end_silent(state, arrival, route, key)
    return _forward(state, arrival, endpoint)


def _end_silent(
    state: NodeState,
    arrival: Arrival,
    route: Route,
    key: bytes,
) -> list[Effect]:
    """Reset both ends; the backend's by way of the owner of its shard."""
    state.counters.add('broken', 'silent_flow')
    state.decisions.add(
        Decision(
            now=arrival.now,
            key=key,
            action='reset',
            rule='silent_flow',
            workspace=route.workspace,
            service=route.service.name,
            number=arrival.segment.ts_ecr & packet.NUMBER_MASK,
            version=route.service.version,
        ),
    )
    answer = packet.reset_sender(arrival.segment)
    effects: list[Effect] = [
        SendPacket(state.config.gateway, gue.encode(answer)),
    ]
    for inner in silence.build_backend_resets(arrival.segment):
        datagram = gue.encode(inner)
        segment = packet.parse(datagram, gue.PLAIN_LENGTH)
        made = Arrival(arrival.now, arrival.source, datagram, segment, None)
        effects += _receive_from_caller(state, made, route)
    return effects


def _receive_unnumbered(
    state: NodeState,
    arrival: Arrival,
    route: Route,
) -> list[Effect]:
    """Handle a caller's packet that carries no number.

    Kernels answer packets for a closed socket by a reset without timestamps.
    Only the owner may know the flow, which its key leads to as for a SYN.
    """
    if not arrival.segment.flags & packet.RST:
        return drop(state, 'no_number')
    key = packet.caller_key(arrival.payload, arrival.segment.start)
    service = route.service
    shard = state.owners.choose_shard(service.name, service.shards, key)
    if shard is None:
        return drop(state, 'reset_without_number')
    if succession.is_for_owner(state, shard, arrival.handover):
        return _hand_over(state, arrival, shard, Direction.caller)
    return endings.receive_bare_reset(
        state,
        arrival.now,
        key,
        arrival.segment,
        arrival.payload,
    )


def _receive_syn(
    state: NodeState,
    arrival: Arrival,
    route: Route,
) -> list[Effect]:
    if arrival.segment.flags & (packet.ACK | packet.FIN | packet.RST):
        return drop(state, 'foreign_flags')
    if not arrival.segment.timestamps:
        return admission.refuse(state, arrival.segment, 'no_timestamps')
    key = packet.caller_key(arrival.payload, arrival.segment.start)
    service = route.service
    shard = state.owners.choose_shard(service.name, service.shards, key)
    if shard is None:
        return admission.refuse(state, arrival.segment, 'no_backend')
    if succession.is_for_owner(state, shard, arrival.handover):
        # A node that has no time for a SYN refuses it before the hop.
        refusal = admission.screen_syn(
            state, arrival.now, route, arrival.segment, key
        )
        return refusal or _hand_over(state, arrival, shard, Direction.caller)
    return admission.receive_syn(
        state,
        arrival.now,
        route,
        shard,
        arrival.segment,
        arrival.payload,
    )


def _receive_unroutable(
    state: NodeState,
    arrival: Arrival,
    route: Route,
) -> list[Effect]:
    """Handle a packet whose number names no present backend."""
    known = route.service.backends.get(
        arrival.segment.ts_ecr & packet.NUMBER_MASK
    )
    if known is None:
        return receive_unknown(state, arrival, 'unknown_number')
    if arrival.segment.flags & packet.RST:
        return drop(state, 'backend_gone')
    state.counters.add('broken', 'outcome_unknown')
    answer = packet.reset_sender(arrival.segment)
    return [SendPacket(state.config.gateway, gue.encode(answer))]


def _receive_from_backend(
    state: NodeState,
    arrival: Arrival,
    route: Route,
) -> list[Effect]:
    if arrival.handover is None:
        source = arrival.source[0]
    else:
        source = addresses.format_ip(arrival.handover.ip)
    service = route.service
    number = service.numbers_by_source.get(source)
    if number is None:
        return _receive_foreign(state, arrival, source)
    flags = arrival.segment.flags
    if arrival.segment.timestamps and source in state.clocks.wanted:
        state.clocks.learn(source, arrival.segment.ts_val, arrival.now)
    if not flags & packet.FIRST_OR_LAST:
        if not arrival.segment.timestamps:
            return drop(state, 'no_timestamps')
        state.counters.counts['forwarded', 'backend'] += 1
        inner = packet.write_number(arrival.payload, arrival.segment, number)
        return [SendPacket(state.config.gateway, gue.PLAIN_HEADER + inner)]
    is_first = flags & packet.SYN or closing.answers_syn(arrival.segment)
    if not is_first:
        return closing.close_from_backend(state, arrival, route, number)
    shard = service.shard_of[number]
    if succession.is_for_owner(state, shard, arrival.handover):
        return _hand_over(state, arrival, shard, Direction.backend)
    return _receive_answer(state, arrival, route, number)


def _receive_answer(
    state: NodeState,
    arrival: Arrival,
    route: Route,
    number: int,
) -> list[Effect]:
    """Handle a backend's answer to a SYN at the owner of its shard."""
    if arrival.segment.flags & packet.SYN:
        others = packet.ACK | packet.FIN | packet.RST
        if arrival.segment.flags & others != packet.ACK:
            return drop(state, 'foreign_flags')
        receive = admission.receive_syn_ack
    else:
        receive = admission.receive_refusal
    return receive(
        state,
        arrival.now,
        route,
        number,
        arrival.segment,
        arrival.payload,
    )


def _receive_foreign(
    state: NodeState,
    arrival: Arrival,
    source: str,
) -> list[Effect]:
    """Handle a reply from an address that is no backend of the service."""
    if source in state.routes.service_of_ip:
        return drop(state, 'foreign_reply')
    return receive_unknown(state, arrival, 'foreign_reply')


def _hand_over(
    state: NodeState,
    arrival: Arrival,
    shard: Shard,
    direction: Direction,
) -> list[Effect]:
    owner = state.owners.find(shard.name, shard.zone)
    state.counters.add('handed_over', direction.name)
    return [wrap(arrival, owner, direction)]

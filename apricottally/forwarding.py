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
    shards,
    silence,
    succession,
)
from apricottally.addresses import Endpoint
from apricottally.effects import Effect, SendPacket
from apricottally.errors import WireError
from apricottally.events import PacketReceived
from apricottally.explanation import Decision
from apricottally.gue import Direction, Handover
from apricottally.outbound import Cause
from apricottally.packet import Segment
from apricottally.routes import Route
from apricottally.shards import Shard
from apricottally.strays import drop, receive_stray, wrap

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
    effects = _receive_segment(state, event, segment, handover)
    cause = Cause(datagram, segment, handover)
    return outbound.keep_valid(state, effects, cause)


def _receive_segment(
    state: NodeState,
    event: PacketReceived,
    segment: Segment,
    handover: Handover | None,
) -> list[Effect]:
    route = state.routes.find(segment.dst_ip, segment.dst_port)
    if route is not None:
        return _receive_from_caller(state, event, route, segment, handover)
    route = state.routes.find(segment.src_ip, segment.src_port)
    if route is not None:
        return _receive_from_backend(state, event, route, segment, handover)
    return receive_stray(state, event, segment, handover, 'unknown_address')


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
    if not flags & (packet.ACK | packet.RST):
        return drop(state, 'foreign_flags')
    if not segment.ts_ecr:
        return _receive_unnumbered(state, event, route, segment, handover)
    number = segment.ts_ecr & packet.NUMBER_MASK
    endpoint = route.service.endpoints.get(number)
    if endpoint is None:
        return _receive_unroutable(state, event, route, segment, handover)
    if not flags & packet.FIRST_OR_LAST:
        if _is_suspect(state, endpoint, segment, handover):
            return _track(state, event, route, segment, handover)
        return _forward(state, event, endpoint, segment)
    return closing.close_from_caller(
        state,
        event,
        route,
        number,
        segment,
        handover,
    )


def _forward(
    state: NodeState,
    event: PacketReceived,
    endpoint: Endpoint,
    segment: Segment,
) -> list[Effect]:
    state.counters.counts['forwarded', 'caller'] += 1
    inner = packet.clear_number(event.payload, segment)
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
    event: PacketReceived,
    route: Route,
    segment: Segment,
    handover: Handover | None,
) -> list[Effect]:
    """Forward a stale packet by way of its tracker; end a silent flow."""
    key = packet.caller_key(event.payload, segment.start)
    tracker = state.owners.find_tracker(key)
    if handover is None and tracker.name != state.members.own_name:
        state.counters.add('handed_over', 'stale')
        return [wrap(event, segment, tracker, Direction.caller)]
    number = segment.ts_ecr & packet.NUMBER_MASK
    endpoint = route.service.endpoints[number]
    if silence.is_silent(state, event.now, key, endpoint[0], segment):
        return _end_silent(state, event, route, key, segment)
    return _forward(state, event, endpoint, segment)


def _end_silent(
    state: NodeState,
    event: PacketReceived,
    route: Route,
    key: bytes,
    segment: Segment,
) -> list[Effect]:
    """Reset both ends; the backend's by way of the owner of its shard."""
    state.counters.add('broken', 'silent_flow')
    state.decisions.add(
        Decision(
            now=event.now,
            key=key,
            action='reset',
            rule='silent_flow',
            workspace=route.workspace,
            service=route.service.name,
            number=segment.ts_ecr & packet.NUMBER_MASK,
            version=route.service.version,
        ),
    )
    answer = packet.reset_sender(segment)
    effects: list[Effect] = [
        SendPacket(state.config.gateway, gue.encode(answer)),
    ]
    for inner in silence.build_backend_resets(segment):
        datagram = gue.encode(inner)
        made = PacketReceived(event.now, event.source, datagram)
        reset = packet.parse(datagram, gue.PLAIN_LENGTH)
        effects += _receive_from_caller(state, made, route, reset, None)
    return effects


def _receive_unnumbered(
    state: NodeState,
    event: PacketReceived,
    route: Route,
    segment: Segment,
    handover: Handover | None,
) -> list[Effect]:
    """Handle a caller's packet that carries no number.

    Kernels answer packets for a closed socket by a reset without timestamps.
    Only the owner may know the flow, which its key leads to as for a SYN.
    """
    if not segment.flags & packet.RST:
        return drop(state, 'no_number')
    key = packet.caller_key(event.payload, segment.start)
    service = route.service
    reachable = state.owners.list_reachable(service.name, service.shards)
    shard = shards.choose_shard(reachable, key)
    if shard is None:
        return drop(state, 'reset_without_number')
    if _is_for_owner(state, shard, handover):
        return _hand_over(
            state,
            event,
            shard,
            segment,
            Direction.caller,
            handover,
        )
    return endings.receive_bare_reset(
        state,
        event.now,
        key,
        segment,
        event.payload,
    )


def _receive_syn(
    state: NodeState,
    event: PacketReceived,
    route: Route,
    segment: Segment,
    handover: Handover | None,
) -> list[Effect]:
    if segment.flags & (packet.ACK | packet.FIN | packet.RST):
        return drop(state, 'foreign_flags')
    if not segment.timestamps:
        return admission.refuse(state, segment, 'no_timestamps')
    key = packet.caller_key(event.payload, segment.start)
    service = route.service
    reachable = state.owners.list_reachable(service.name, service.shards)
    shard = shards.choose_shard(reachable, key)
    if shard is None:
        return admission.refuse(state, segment, 'no_backend')
    if _is_for_owner(state, shard, handover):
        # A node that has no time for a SYN refuses it before the hop.
        refusal = admission.screen_syn(state, event.now, route, segment, key)
        return refusal or _hand_over(
            state,
            event,
            shard,
            segment,
            Direction.caller,
            handover,
        )
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
        return receive_stray(state, event, segment, handover, 'unknown_number')
    if segment.flags & packet.RST:
        return drop(state, 'backend_gone')
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
        source = event.source[0]
    else:
        source = addresses.format_ip(handover.ip)
    service = route.service
    number = service.numbers_by_source.get(source)
    if number is None:
        return _receive_foreign(state, event, source, segment, handover)
    flags = segment.flags
    if segment.timestamps and source in state.clocks.wanted:
        state.clocks.learn(source, segment.ts_val, event.now)
    if not flags & packet.FIRST_OR_LAST:
        if not segment.timestamps:
            return drop(state, 'no_timestamps')
        state.counters.counts['forwarded', 'backend'] += 1
        inner = packet.write_number(event.payload, segment, number)
        return [SendPacket(state.config.gateway, gue.PLAIN_HEADER + inner)]
    is_first = flags & packet.SYN or closing.answers_syn(segment)
    if not is_first:
        return closing.close_from_backend(
            state,
            event,
            route,
            number,
            segment,
            handover,
        )
    shard = service.shard_of[number]
    if _is_for_owner(state, shard, handover):
        return _hand_over(
            state,
            event,
            shard,
            segment,
            Direction.backend,
            handover,
        )
    return _receive_answer(state, event, route, number, segment)


def _receive_answer(
    state: NodeState,
    event: PacketReceived,
    route: Route,
    number: int,
    segment: Segment,
) -> list[Effect]:
    """Handle a backend's answer to a SYN at the owner of its shard."""
    if segment.flags & packet.SYN:
        others = packet.ACK | packet.FIN | packet.RST
        if segment.flags & others != packet.ACK:
            return drop(state, 'foreign_flags')
        receive = admission.receive_syn_ack
    else:
        receive = admission.receive_refusal
    return receive(
        state,
        event.now,
        route,
        number,
        segment,
        event.payload,
    )


def _receive_foreign(
    state: NodeState,
    event: PacketReceived,
    source: str,
    segment: Segment,
    handover: Handover | None,
) -> list[Effect]:
    """Handle a reply from an address that is no backend of the service."""
    if source in state.routes.service_of_ip:
        return drop(state, 'foreign_reply')
    return receive_stray(state, event, segment, handover, 'foreign_reply')


def _is_for_owner(
    state: NodeState,
    shard: Shard,
    handover: Handover | None,
) -> bool:
    """Tell whether the packet has to go on to another node."""
    if state.owners.owns(shard.name, shard.zone):
        return False
    if handover is None:
        return True
    return succession.passes_on(state, shard, handover)


def _hand_over(
    state: NodeState,
    event: PacketReceived,
    shard: Shard,
    segment: Segment,
    direction: Direction,
    former: Handover | None,
) -> list[Effect]:
    owner = state.owners.find(shard.name, shard.zone)
    state.counters.add('handed_over', direction.name)
    return [wrap(event, segment, owner, direction, former)]

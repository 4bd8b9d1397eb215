"""Routing of packets from the packet socket.

A backend's number travels in the low bits of the TCP timestamps, as a cookie
that the caller echoes. The owner of a backend's shard decides on SYNs and
their answers and is notified when a flow closes. All other packets go
straight to the backend whose number they carry.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally import (
    addresses,
    admission,
    fastpath,
    flowrelease,
    gue,
    outboundchecks,
    packet,
    shardhandover,
    silentflows,
    teardown,
)
from apricottally.addresses import Endpoint
from apricottally.effects import Effect, SendPacket
from apricottally.errors import WireError
from apricottally.events import PacketReceived
from apricottally.explanation import Decision
from apricottally.gue import Direction, Handover
from apricottally.inbound import InboundPacket
from apricottally.packet import Segment
from apricottally.routes import Route
from apricottally.shards import Shard
from apricottally.unknownpackets import build_handover, drop, receive_unknown

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
    inbound = InboundPacket(
        event.now, event.source, datagram, segment, handover
    )
    effects = _receive_segment(state, inbound)
    return outboundchecks.drop_invalid(state, effects, inbound)


def _receive_segment(
    state: NodeState,
    inbound: InboundPacket,
) -> list[Effect]:
    route = state.routes.find(inbound.segment.dst_ip, inbound.segment.dst_port)
    if route is not None:
        return _receive_from_caller(state, inbound, route)
    route = state.routes.find(inbound.segment.src_ip, inbound.segment.src_port)
    if route is not None:
        return _receive_from_backend(state, inbound, route)
    return receive_unknown(state, inbound, 'unknown_address')


def _receive_from_caller(
    state: NodeState,
    inbound: InboundPacket,
    route: Route,
) -> list[Effect]:
    flags = inbound.segment.flags
    if flags & packet.SYN:
        return _receive_syn(state, inbound, route)
    if not flags & (packet.ACK | packet.RST):
        return drop(state, 'foreign_flags')
    if not inbound.segment.ts_ecr:
        return _receive_without_number(state, inbound, route)
    number = inbound.segment.ts_ecr & packet.NUMBER_MASK
    endpoint = route.service.endpoints.get(number)
    if endpoint is None:
        return _receive_without_endpoint(state, inbound, route)
    if not flags & packet.SYN_FIN_RST:
        if _is_stale(state, endpoint, inbound.segment, inbound.handover):
            return _receive_stale(state, inbound, route)
        return _forward(state, inbound, endpoint)
    return teardown.forward_caller_close(state, inbound, route, number)


def _forward(
    state: NodeState,
    inbound: InboundPacket,
    endpoint: Endpoint,
) -> list[Effect]:
    state.counters.counts['forwarded', 'caller'] += 1
    inner = packet.clear_backend_number(inbound.payload, inbound.segment)
    return [SendPacket(endpoint, gue.PLAIN_HEADER + inner)]


def _is_stale(
    state: NodeState,
    endpoint: Endpoint,
    segment: Segment,
    handover: Handover | None,
) -> bool:
    """Return whether a data packet must go through its flow's tracker.

    The tracker is the node that follows a flow whose packets echo old
    timestamps. A caller's packet that another node handed over was found
    stale by that node.
    """
    if handover is None:
        return state.timestamp_clocks.is_stale(endpoint[0], segment.ts_ecr)
    return handover.direction == Direction.caller


def _receive_stale(
    state: NodeState,
    inbound: InboundPacket,
    route: Route,
) -> list[Effect]:
    """Forward a stale packet through its tracker, which ends silent flows."""
    key = packet.read_caller_key(inbound.payload, inbound.segment.start)
    tracker = state.owners.find_tracker(key)
    if inbound.handover is None and tracker.name != state.members.own_name:
        state.counters.add('handed_over', 'stale')
        return [build_handover(inbound, tracker, Direction.caller)]
    number = inbound.segment.ts_ecr & packet.NUMBER_MASK
    endpoint = route.service.endpoints[number]
    if silentflows.detect_silent_flow(
        state, inbound.now, key, endpoint[0], inbound.segment
    ):
        return _reset_silent_flow(state, inbound, route, key)
    return _forward(state, inbound, endpoint)


def _reset_silent_flow(
    state: NodeState,
    inbound: InboundPacket,
    route: Route,
    key: bytes,
) -> list[Effect]:
    """Reset both ends of a flow, the backend through its shard's owner."""
    state.counters.add('broken', 'silent_flow')
    state.decisions.add(
        Decision(
            now=inbound.now,
            key=key,
            action='reset',
            rule='silent_flow',
            workspace=route.workspace,
            service=route.service.name,
            number=inbound.segment.ts_ecr & packet.NUMBER_MASK,
            version=route.service.version,
        ),
    )
    answer = packet.build_reset_to_sender(inbound.segment)
    effects: list[Effect] = [
        SendPacket(state.config.gateway, gue.encode(answer)),
    ]
    for inner in silentflows.build_backend_resets(inbound.segment):
        datagram = gue.encode(inner)
        segment = packet.parse(datagram, gue.PLAIN_LENGTH)
        reset = InboundPacket(
            inbound.now, inbound.source, datagram, segment, None
        )
        effects += _receive_from_caller(state, reset, route)
    return effects


def _receive_without_number(
    state: NodeState,
    inbound: InboundPacket,
    route: Route,
) -> list[Effect]:
    """Handle a caller's packet that carries no backend number.

    Kernels answer packets for a closed socket with a reset without
    timestamps. Only the owner may know its flow; the flow key selects the
    shard as it does for a SYN.
    """
    if not inbound.segment.flags & packet.RST:
        return drop(state, 'no_number')
    key = packet.read_caller_key(inbound.payload, inbound.segment.start)
    service = route.service
    shard = state.owners.choose_shard(service.name, service.shards, key)
    if shard is None:
        return drop(state, 'reset_without_number')
    if shardhandover.must_go_to_owner(state, shard, inbound.handover):
        return _hand_over(state, inbound, shard, Direction.caller)
    return flowrelease.receive_reset_without_number(
        state,
        inbound.now,
        key,
        inbound.segment,
        inbound.payload,
    )


def _receive_syn(
    state: NodeState,
    inbound: InboundPacket,
    route: Route,
) -> list[Effect]:
    if inbound.segment.flags & (packet.ACK | packet.FIN | packet.RST):
        return drop(state, 'foreign_flags')
    if not inbound.segment.timestamps:
        return admission.refuse(state, inbound.segment, 'no_timestamps')
    key = packet.read_caller_key(inbound.payload, inbound.segment.start)
    service = route.service
    shard = state.owners.choose_shard(service.name, service.shards, key)
    if shard is None:
        return admission.refuse(state, inbound.segment, 'no_backend')
    if shardhandover.must_go_to_owner(state, shard, inbound.handover):
        # An overloaded node refuses a SYN before handing it over.
        refusal = admission.check_syn_budget(
            state, inbound.now, route, inbound.segment, key
        )
        return refusal or _hand_over(state, inbound, shard, Direction.caller)
    return admission.receive_syn(
        state,
        inbound.now,
        route,
        shard,
        inbound.segment,
        inbound.payload,
    )


def _receive_without_endpoint(
    state: NodeState,
    inbound: InboundPacket,
    route: Route,
) -> list[Effect]:
    """Handle a caller's packet whose backend number has no endpoint."""
    known = route.service.backends.get(
        inbound.segment.ts_ecr & packet.NUMBER_MASK
    )
    if known is None:
        return receive_unknown(state, inbound, 'unknown_number')
    if inbound.segment.flags & packet.RST:
        return drop(state, 'backend_gone')
    state.counters.add('broken', 'outcome_unknown')
    answer = packet.build_reset_to_sender(inbound.segment)
    return [SendPacket(state.config.gateway, gue.encode(answer))]


def _receive_from_backend(
    state: NodeState,
    inbound: InboundPacket,
    route: Route,
) -> list[Effect]:
    if inbound.handover is None:
        source = inbound.source[0]
    else:
        source = addresses.format_ip(inbound.handover.ip)
    service = route.service
    number = service.numbers_by_source.get(source)
    if number is None:
        return _receive_foreign_reply(state, inbound, source)
    flags = inbound.segment.flags
    if inbound.segment.timestamps and source in state.timestamp_clocks.due_ips:
        state.timestamp_clocks.add_reading(
            source, inbound.segment.ts_val, inbound.now
        )
    if not flags & packet.SYN_FIN_RST:
        if not inbound.segment.timestamps:
            return drop(state, 'no_timestamps')
        state.counters.counts['forwarded', 'backend'] += 1
        inner = packet.write_backend_number(
            inbound.payload, inbound.segment, number
        )
        return [SendPacket(state.config.gateway, gue.PLAIN_HEADER + inner)]
    is_first = flags & packet.SYN or teardown.is_syn_refusal(inbound.segment)
    if not is_first:
        return teardown.forward_backend_close(state, inbound, route, number)
    shard = service.shard_by_number[number]
    if shardhandover.must_go_to_owner(state, shard, inbound.handover):
        return _hand_over(state, inbound, shard, Direction.backend)
    return _receive_syn_reply(state, inbound, route, number)


def _receive_syn_reply(
    state: NodeState,
    inbound: InboundPacket,
    route: Route,
    number: int,
) -> list[Effect]:
    """Handle a backend's SYN-ACK or refusal at the owner of its shard."""
    if inbound.segment.flags & packet.SYN:
        others = packet.ACK | packet.FIN | packet.RST
        if inbound.segment.flags & others != packet.ACK:
            return drop(state, 'foreign_flags')
        receive = admission.receive_syn_ack
    else:
        receive = admission.receive_refusal
    return receive(
        state,
        inbound.now,
        route,
        number,
        inbound.segment,
        inbound.payload,
    )


def _receive_foreign_reply(
    state: NodeState,
    inbound: InboundPacket,
    source: str,
) -> list[Effect]:
    """Handle a reply from an address that is not a backend of the service."""
    if source in state.routes.service_of_ip:
        return drop(state, 'foreign_reply')
    return receive_unknown(state, inbound, 'foreign_reply')


def _hand_over(
    state: NodeState,
    inbound: InboundPacket,
    shard: Shard,
    direction: Direction,
) -> list[Effect]:
    owner = state.owners.find_owner(shard.name, shard.zone)
    state.counters.add('handed_over', direction.name)
    return [build_handover(inbound, owner, direction)]

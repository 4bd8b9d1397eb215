"""Checks invariants of the packets that leave the node.

The checks parse the finished packets and do not use the state of flows, so that
they detect faults in any module that builds packets. A packet that breaks an
invariant is not sent.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally import gue, packet
from apricottally.effects import Effect, SendPacket
from apricottally.errors import WireError
from apricottally.gue import Handover
from apricottally.inbound import InboundPacket
from apricottally.packet import Segment

if TYPE_CHECKING:
    from apricottally.state import NodeState

_REFUSAL = packet.RST | packet.ACK


def drop_invalid(
    state: NodeState,
    effects: list[Effect],
    cause: InboundPacket | None = None,
) -> list[Effect]:
    """Return the effects without packets that break an invariant.

    `cause` is the received packet that led to the effects, if any.
    """
    return [
        effect
        for effect in effects
        if not isinstance(effect, SendPacket) or _is_valid(state, effect, cause)
    ]


def _is_valid(
    state: NodeState,
    effect: SendPacket,
    cause: InboundPacket | None,
) -> bool:
    try:
        segment, handover = _parse(effect.payload)
    except WireError as error:
        return state.invariants.check(
            'malformed_packet',
            holds=False,
            detail=error.reason,
        )
    if handover is not None:
        return state.invariants.check(
            'second_handover',
            holds=not _is_repeated_handover(effect.payload, handover, cause),
        )
    if effect.dest == state.config.gateway:
        return _is_valid_reply(state, segment, cause)
    return _is_valid_request(state, effect, segment, cause)


def _parse(datagram: bytes) -> tuple[Segment, Handover | None]:
    start, handover = gue.decode(datagram)
    return packet.parse(datagram, start), handover


def _is_repeated_handover(
    datagram: bytes,
    handover: Handover,
    cause: InboundPacket | None,
) -> bool:
    """Tell whether a handover exceeds the hop limit or adds no hop."""
    if cause is None or cause.handover is None:
        return handover.hops > gue.MAX_HOPS
    inner = cause.payload[cause.segment.start :]
    if datagram[gue.HANDOVER_LENGTH :] != inner:
        return False
    is_next = handover.hops == cause.handover.hops + 1
    return not is_next or handover.hops > gue.MAX_HOPS


def _is_valid_reply(
    state: NodeState,
    segment: Segment,
    cause: InboundPacket | None,
) -> bool:
    check = state.invariants.check
    route = state.routes.find(segment.src_ip, segment.src_port)
    if not check('reply_of_no_service', holds=route is not None):
        return False
    numbered = not segment.flags & packet.SYN or segment.timestamps > 0
    if not check('syn_ack_without_number', holds=numbered):
        return False
    return check(
        'refusal_without_syn',
        holds=not _is_refusal_of_data(segment, cause),
    )


def _is_refusal_of_data(segment: Segment, cause: InboundPacket | None) -> bool:
    """Tell whether a refusal answers a caller's packet other than a SYN."""
    if segment.flags != _REFUSAL or segment.seq or cause is None:
        return False
    incoming = cause.segment
    caller = incoming.src_ip, incoming.src_port
    same_flow = caller == (segment.dst_ip, segment.dst_port)
    return same_flow and not incoming.flags & packet.SYN


def _is_valid_request(
    state: NodeState,
    effect: SendPacket,
    segment: Segment,
    cause: InboundPacket | None,
) -> bool:
    check = state.invariants.check
    route = state.routes.find(segment.dst_ip, segment.dst_port)
    own = (
        route is not None
        and state.routes.service_of_ip.get(effect.dest[0]) is route.service
    )
    if not check('foreign_backend', holds=own, detail=effect.dest):
        return False
    if route is None or segment.payload == segment.end:
        return True
    by_number = None
    if cause is not None and not segment.flags & packet.SYN:
        number = cause.segment.ts_ecr & packet.NUMBER_MASK
        by_number = route.service.endpoints.get(number)
    return check(
        'payload_without_number',
        holds=by_number == effect.dest,
        detail=effect.dest,
    )

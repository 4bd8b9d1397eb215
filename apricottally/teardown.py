"""FIN and RST packets: forwarded at once and reported to the shard's owner.

The last data of a response often carries the FIN. Its delivery must not
depend on the owner of the backend's shard, which may just have failed, so
the owner gets only a copy of the headers, called a notice. A caller's FIN
is not reported.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from apricottally import flowrelease, gue, packet, shardhandover
from apricottally.addresses import Endpoint
from apricottally.effects import Effect, SendPacket
from apricottally.gue import Direction, Handover
from apricottally.inbound import InboundPacket
from apricottally.packet import Segment
from apricottally.routes import Route
from apricottally.unknownpackets import build_handover

if TYPE_CHECKING:
    from apricottally.state import NodeState


def forward_caller_close(
    state: NodeState,
    inbound: InboundPacket,
    route: Route,
    number: int,
) -> list[Effect]:
    """Forward a caller's FIN or RST; a RST releases the flow's capacity."""
    if _is_notice(inbound.handover):
        return _notify_owner(
            state, inbound, route, number, Direction.caller_notice
        )
    inner = packet.clear_backend_number(inbound.payload, inbound.segment)
    endpoint = route.service.endpoints[number]
    effects: list[Effect] = [_forward(endpoint, inner)]
    if inbound.segment.flags & packet.RST:
        effects += _notify_owner(
            state, inbound, route, number, Direction.caller_notice
        )
    return effects


def forward_backend_close(
    state: NodeState,
    inbound: InboundPacket,
    route: Route,
    number: int,
) -> list[Effect]:
    """Forward a backend's FIN or RST; both release the flow's capacity."""
    if _is_notice(inbound.handover):
        return _notify_owner(
            state, inbound, route, number, Direction.backend_notice
        )
    inner = inbound.payload[inbound.segment.start :]
    if inbound.segment.timestamps:
        inner = packet.write_backend_number(
            inbound.payload, inbound.segment, number
        )
    notices = _notify_owner(
        state, inbound, route, number, Direction.backend_notice
    )
    return [_forward(state.config.gateway, inner), *notices]


def is_syn_refusal(segment: Segment) -> bool:
    """Return whether a backend's packet is the reset that refuses a SYN."""
    flags = segment.flags & (packet.RST | packet.ACK)
    return flags == packet.RST | packet.ACK and not segment.seq


def _is_notice(handover: Handover | None) -> bool:
    return handover is not None and handover.direction in {
        Direction.caller_notice,
        Direction.backend_notice,
    }


def _notify_owner(
    state: NodeState,
    inbound: InboundPacket,
    route: Route,
    number: int,
    direction: Direction,
) -> list[Effect]:
    shard = route.service.shard_by_number[number]
    if shardhandover.must_go_to_owner(state, shard, inbound.handover):
        owner = state.owners.find_owner(shard.name, shard.zone)
        state.counters.add('handed_over', direction.name)
        headers = packet.strip_payload(inbound.payload, inbound.segment)
        notice = msgspec.structs.replace(
            inbound,
            payload=headers,
            segment=packet.parse(headers, 0),
        )
        return [build_handover(notice, owner, direction)]
    from_backend = direction is Direction.backend_notice
    return _record_close(
        state, inbound, route, number, from_backend=from_backend
    )


def _record_close(
    state: NodeState,
    inbound: InboundPacket,
    route: Route,
    number: int,
    *,
    from_backend: bool,
) -> list[Effect]:
    make_key = packet.read_reply_key if from_backend else packet.read_caller_key
    key = make_key(inbound.payload, inbound.segment.start)
    return flowrelease.record_close(
        state,
        inbound.now,
        route,
        number,
        inbound.segment,
        key,
        from_backend=from_backend,
    )


def _forward(dest: Endpoint, inner: bytes) -> Effect:
    return SendPacket(dest, gue.encode(inner))

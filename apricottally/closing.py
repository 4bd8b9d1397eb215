"""FIN and RST: sent on at once, and told to the owner of the backend shard.

The last data of an answer often carries the FIN, so it must not depend on
the owner, which may just have died. The owner gets a copy of the headers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally import endings, gue, packet, succession
from apricottally.addresses import Endpoint
from apricottally.effects import Effect, SendPacket
from apricottally.events import PacketReceived
from apricottally.gue import Direction, Handover
from apricottally.packet import Segment
from apricottally.routes import Route
from apricottally.strays import wrap

if TYPE_CHECKING:
    from apricottally.state import NodeState


def close_from_caller(
    state: NodeState,
    event: PacketReceived,
    route: Route,
    number: int,
    segment: Segment,
    handover: Handover | None,
) -> list[Effect]:
    """Pass a caller's FIN or RST on; a RST frees what the flow held."""
    if _is_notice(handover):
        return _tell_owner(
            state,
            event,
            route,
            number,
            segment,
            handover,
            Direction.caller_notice,
        )
    inner = packet.clear_number(event.payload, segment)
    endpoint = route.service.endpoints[number]
    effects: list[Effect] = [_pass_on(endpoint, inner)]
    if segment.flags & packet.RST:
        effects += _tell_owner(
            state,
            event,
            route,
            number,
            segment,
            handover,
            Direction.caller_notice,
        )
    return effects


def close_from_backend(
    state: NodeState,
    event: PacketReceived,
    route: Route,
    number: int,
    segment: Segment,
    handover: Handover | None,
) -> list[Effect]:
    """Pass a backend's FIN or RST on; both free what the flow held."""
    if _is_notice(handover):
        return _tell_owner(
            state,
            event,
            route,
            number,
            segment,
            handover,
            Direction.backend_notice,
        )
    inner = event.payload[segment.start :]
    if segment.timestamps:
        inner = packet.write_number(event.payload, segment, number)
    told = _tell_owner(
        state,
        event,
        route,
        number,
        segment,
        handover,
        Direction.backend_notice,
    )
    return [_pass_on(state.config.gateway, inner), *told]


def answers_syn(segment: Segment) -> bool:
    """Tell whether a backend's packet is the reset that answers a SYN."""
    flags = segment.flags & (packet.RST | packet.ACK)
    return flags == packet.RST | packet.ACK and not segment.seq


def _is_notice(handover: Handover | None) -> bool:
    return handover is not None and handover.direction in {
        Direction.caller_notice,
        Direction.backend_notice,
    }


def _tell_owner(
    state: NodeState,
    event: PacketReceived,
    route: Route,
    number: int,
    segment: Segment,
    handover: Handover | None,
    direction: Direction,
) -> list[Effect]:
    shard = route.service.shard_of[number]
    owner = state.owners.find(shard.name, shard.zone)
    is_own = owner.name == state.members.own_name
    passes_on = handover is None or succession.passes_on(state, shard, handover)
    if passes_on and not is_own:
        state.counters.add('handed_over', direction.name)
        headers = packet.strip_payload(event.payload, segment)
        copied = PacketReceived(event.now, event.source, headers)
        parsed = packet.parse(headers, 0)
        return [wrap(copied, parsed, owner, direction, handover)]
    from_backend = direction is Direction.backend_notice
    return _note(
        state,
        event,
        route,
        number,
        segment,
        from_backend=from_backend,
    )


def _note(
    state: NodeState,
    event: PacketReceived,
    route: Route,
    number: int,
    segment: Segment,
    *,
    from_backend: bool,
) -> list[Effect]:
    make_key = packet.reply_key if from_backend else packet.caller_key
    key = make_key(event.payload, segment.start)
    return endings.note_close(
        state,
        event.now,
        route,
        number,
        segment,
        key,
        from_backend=from_backend,
    )


def _pass_on(dest: Endpoint, inner: bytes) -> Effect:
    return SendPacket(dest, gue.encode(inner))

"""FIN and RST: sent on at once, and told to the owner of the backend shard.

The last data of an answer often carries the FIN, so it must not depend on
the owner, which may just have died. The owner gets a copy of the headers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from apricottally import endings, gue, packet, succession
from apricottally.addresses import Endpoint
from apricottally.arrivals import Arrival
from apricottally.effects import Effect, SendPacket
from apricottally.gue import Direction, Handover
from apricottally.packet import Segment
from apricottally.routes import Route
from apricottally.unknown import wrap

if TYPE_CHECKING:
    from apricottally.state import NodeState


def close_from_caller(
    state: NodeState,
    arrival: Arrival,
    route: Route,
    number: int,
) -> list[Effect]:
    """Pass a caller's FIN or RST on; a RST frees what the flow held."""
    if _is_notice(arrival.handover):
        return _tell_owner(
            state, arrival, route, number, Direction.caller_notice
        )
    inner = packet.clear_number(arrival.payload, arrival.segment)
    endpoint = route.service.endpoints[number]
    effects: list[Effect] = [_pass_on(endpoint, inner)]
    if arrival.segment.flags & packet.RST:
        effects += _tell_owner(
            state, arrival, route, number, Direction.caller_notice
        )
    return effects


def close_from_backend(
    state: NodeState,
    arrival: Arrival,
    route: Route,
    number: int,
) -> list[Effect]:
    """Pass a backend's FIN or RST on; both free what the flow held."""
    if _is_notice(arrival.handover):
        return _tell_owner(
            state, arrival, route, number, Direction.backend_notice
        )
    inner = arrival.payload[arrival.segment.start :]
    if arrival.segment.timestamps:
        inner = packet.write_number(arrival.payload, arrival.segment, number)
    told = _tell_owner(state, arrival, route, number, Direction.backend_notice)
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
    arrival: Arrival,
    route: Route,
    number: int,
    direction: Direction,
) -> list[Effect]:
    shard = route.service.shard_of[number]
    if succession.is_for_owner(state, shard, arrival.handover):
        owner = state.owners.find(shard.name, shard.zone)
        state.counters.add('handed_over', direction.name)
        headers = packet.strip_payload(arrival.payload, arrival.segment)
        notice = msgspec.structs.replace(
            arrival,
            payload=headers,
            segment=packet.parse(headers, 0),
        )
        return [wrap(notice, owner, direction)]
    from_backend = direction is Direction.backend_notice
    return _note(state, arrival, route, number, from_backend=from_backend)


def _note(
    state: NodeState,
    arrival: Arrival,
    route: Route,
    number: int,
    *,
    from_backend: bool,
) -> list[Effect]:
    make_key = packet.reply_key if from_backend else packet.caller_key
    key = make_key(arrival.payload, arrival.segment.start)
    return endings.note_close(
        state,
        arrival.now,
        route,
        number,
        arrival.segment,
        key,
        from_backend=from_backend,
    )


def _pass_on(dest: Endpoint, inner: bytes) -> Effect:
    return SendPacket(dest, gue.encode(inner))

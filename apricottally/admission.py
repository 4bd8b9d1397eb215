"""First and last packets of flows at the owner of their backend shard."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from apricottally import gue, packet
from apricottally.effects import Effect, SendPacket
from apricottally.packet import Segment
from apricottally.routes import Route
from apricottally.shards import Shard

if TYPE_CHECKING:
    from apricottally.state import NodeState


@dataclass(slots=True)
class Pending:
    """A SYN sent to a backend, until its flow ends or is written off."""

    number: int
    service: str
    deadline: float


@dataclass(slots=True)
class Admissions:
    """Flows known to this owner, by flow key, and open flows by backend."""

    flows: dict[bytes, Pending] = field(default_factory=dict)
    open: dict[tuple[str, int], int] = field(default_factory=dict)


def receive_syn(
    state: NodeState,
    now: float,
    route: Route,
    shard: Shard,
    segment: Segment,
    datagram: bytes,
) -> list[Effect]:
    """Admit or refuse a flow whose first packet reached its owner."""
    key = packet.caller_key(datagram, segment.start)
    known = state.admissions.flows.get(key)
    if known is None:
        known = _admit(state, now, route, shard, key)
    if known is None:
        return refuse(state, segment, 'no_backend')
    endpoint = route.service.endpoints.get(known.number)
    if endpoint is None:
        return refuse(state, segment, 'no_backend')
    inner = packet.strip_payload(datagram, segment)
    return [SendPacket(endpoint, gue.encode(inner))]


def receive_syn_ack(
    state: NodeState,
    now: float,
    route: Route,
    number: int,
    segment: Segment,
    datagram: bytes,
) -> list[Effect]:
    """Pass a backend's SYN-ACK on if it comes from the chosen backend."""
    inner = packet.write_number(datagram, segment, number)
    return [SendPacket(state.config.gateway, gue.encode(inner))]


def receive_close(
    state: NodeState,
    now: float,
    route: Route,
    number: int,
    segment: Segment,
    datagram: bytes,
    *,
    from_backend: bool,
) -> list[Effect]:
    """Pass a FIN or RST on and free what the flow held."""
    if from_backend:
        key = packet.reply_key(datagram, segment.start)
        _release(state, key)
        inner = datagram[segment.start :]
        if segment.timestamps:
            inner = packet.write_number(datagram, segment, number)
        return [SendPacket(state.config.gateway, gue.encode(inner))]
    if segment.flags & packet.RST:
        _release(state, packet.caller_key(datagram, segment.start))
    endpoint = route.service.endpoints.get(number)
    if endpoint is None:
        return []
    inner = datagram[segment.start :]
    if segment.timestamps:
        inner = packet.clear_number(datagram, segment)
    return [SendPacket(endpoint, gue.encode(inner))]


def tick(state: NodeState, now: float) -> list[Effect]:
    """Write off flows past their deadline."""
    flows = state.admissions.flows
    expired = [key for key, known in flows.items() if known.deadline <= now]
    for key in expired:
        _release(state, key)
    return []


def refuse(state: NodeState, segment: Segment, reason: str) -> list[Effect]:
    """Answer a SYN with a reset: the work has not run."""
    state.counters.add('refused', reason)
    answer = packet.refuse_syn(segment)
    return [SendPacket(state.config.gateway, gue.encode(answer))]


def _admit(
    state: NodeState,
    now: float,
    route: Route,
    shard: Shard,
    key: bytes,
) -> Pending | None:
    counts = state.admissions.open
    service = route.service.name
    if not shard.numbers:
        return None
    number = min(
        shard.numbers,
        key=lambda candidate: counts.get((service, candidate), 0),
    )
    counts[service, number] = counts.get((service, number), 0) + 1
    known = Pending(number, service, now + route.template.max_run_ms / 1000)
    state.admissions.flows[key] = known
    return known


def _release(state: NodeState, key: bytes) -> None:
    known = state.admissions.flows.pop(key, None)
    if known is not None:
        state.admissions.open[known.service, known.number] -= 1

"""Packets of clients: the choice for new flows, the tag for open ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally.tagged import choice, observation, refusals, retrying
from apricottally.tagged.effects import Effect, Forward
from apricottally.tagged.events import PacketArrived
from apricottally.tagged.flows import Flow
from apricottally.tagged.packets import ACK, SYN, FlowPacket
from apricottally.tagged.records import Repetition, Route

if TYPE_CHECKING:
    from apricottally.tagged.state import NodeState


def receive(state: NodeState, event: PacketArrived) -> list[Effect]:
    """Send a packet on, or answer it."""
    packet = event.packet
    if packet.flags & SYN and not packet.flags & ACK:
        return _receive_first(state, packet, event.now)
    return _receive_later(state, packet, event.now)


def _receive_first(
    state: NodeState,
    packet: FlowPacket,
    now: float,
) -> list[Effect]:
    route = state.catalog.routes.get((packet.address, packet.port))
    if route is None:
        return refusals.refuse_unrouted(state, packet, now)
    flow = state.flows.by_key.get(packet.key)
    if flow is not None and flow.initial == packet.sequence:
        return _receive_copy(state, flow, now)
    entry = choice.choose(state, route, packet.key, now)
    if entry is None or entry.backend is None:
        return refusals.refuse_full(state, packet, route, now)
    backend = entry.backend
    state.flows.start(
        Flow(
            packet.key,
            backend.tag,
            route,
            now,
            now,
            syn=packet,
            tried=(backend.tag,),
            initial=packet.sequence,
        ),
    )
    state.counters.add('chosen', route.name)
    return [
        Forward(backend, packet.raw, backend.tag),
        refusals.log_choice(state, 'chosen', packet, entry, now),
    ]


def _receive_copy(
    state: NodeState,
    flow: Flow,
    now: float,
) -> list[Effect]:
    """Handle a client's copy of a first packet; late ones are dropped."""
    if flow.opened or flow.closed:
        return []
    return retrying.repeat_first(state, flow, now)


def _receive_later(
    state: NodeState,
    packet: FlowPacket,
    now: float,
) -> list[Effect]:
    flow = state.flows.by_key.get(packet.key)
    tag = packet.tag
    if flow is not None and flow.opened and not flow.closed:
        # A late answer of another backend may change the client's tag.
        tag = flow.tag
    entry = state.catalog.find_by_tag(tag)
    if entry is None or entry.backend is None:
        return refusals.answer_unknown(state, packet, now)
    route = state.catalog.routes.get((packet.address, packet.port))
    if route is None:
        return refusals.refuse_unrouted(state, packet, now)
    if entry.removed_at is not None and refusals.is_surely_gone(
        state, entry, now
    ):
        return refusals.reset(state, packet, 'backend_gone', now)
    observation.observe(state, flow, packet, tag, route, now)
    if packet.length:
        state.demand.note(entry.backend.service, route.priority, now)
        if _should_end(state, packet, tag, route, now):
            return refusals.reset(state, packet, 'backend_unreachable', now)
    return [Forward(entry.backend, packet.raw)]


def _should_end(
    state: NodeState,
    packet: FlowPacket,
    tag: int,
    route: Route,
    now: float,
) -> bool:
    """Tell whether the client is better off with a new flow."""
    if route.repetition is not Repetition.idempotent:
        return False
    if not state.suspicion.is_unreachable(tag, now):
        return False
    flow = state.flows.by_key.get(packet.key)
    if flow is not None:
        state.flows.close(flow)
    return True

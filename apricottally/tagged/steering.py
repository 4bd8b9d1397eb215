"""Handling of client packets.

A SYN is forwarded to a selected backend, whose tag is written into it. Later
packets carry that tag and are forwarded to the backend that it identifies.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally.tagged import flowtracking, refusals, retrying, selection
from apricottally.tagged.effects import Effect, Forward
from apricottally.tagged.events import PacketArrived
from apricottally.tagged.flows import Flow
from apricottally.tagged.hedging import hedgedsyns
from apricottally.tagged.packets import ACK, SYN, FlowPacket
from apricottally.tagged.records import Repetition, Route

if TYPE_CHECKING:
    from apricottally.tagged.state import NodeState


def handle_packet(state: NodeState, event: PacketArrived) -> list[Effect]:
    """Forward, refuse or drop a packet from a client."""
    packet = event.packet
    if packet.flags & SYN and not packet.flags & ACK:
        return _handle_syn(state, packet, event.now)
    return _handle_non_syn(state, packet, event.now)


def _handle_syn(
    state: NodeState,
    packet: FlowPacket,
    now: float,
) -> list[Effect]:
    route = state.catalog.routes.get((packet.address, packet.port))
    if route is None:
        return refusals.refuse_unrouted(state, packet, now)
    flow = state.flows.by_key.get(packet.key)
    if flow is not None and flow.initial_sequence == packet.sequence:
        return _handle_retransmitted_syn(state, flow, now)
    entry = selection.select_backend(state, route, packet.key, now)
    if entry is None or entry.backend is None:
        return refusals.refuse_overloaded(state, packet, route, now)
    backend = entry.backend
    flow = Flow(
        packet.key,
        backend.tag,
        route,
        now,
        now,
        syn=packet,
        tried_tags=(backend.tag,),
        initial_sequence=packet.sequence,
    )
    state.flows.insert(flow)
    hedgedsyns.track_opening(state, flow, backend.service, now)
    state.counters.add('chosen', route.name)
    return [
        Forward(backend, packet.raw, backend.tag),
        refusals.build_selection_log(state, 'chosen', packet, entry, now),
    ]


def _handle_retransmitted_syn(
    state: NodeState,
    flow: Flow,
    now: float,
) -> list[Effect]:
    """Retry a SYN that the client retransmitted; drop it if it is late."""
    if flow.established or flow.closed:
        return []
    return retrying.retry_retransmitted(state, flow, now)


def _handle_non_syn(
    state: NodeState,
    packet: FlowPacket,
    now: float,
) -> list[Effect]:
    flow = state.flows.by_key.get(packet.key)
    tag = packet.tag
    if flow is not None and flow.established and not flow.closed:
        # If the SYN went to several backends, a late SYN-ACK of another backend
        # may have changed the tag that the client sends.
        tag = flow.tag
    entry = state.catalog.find_by_tag(tag)
    if entry is None or entry.backend is None:
        return refusals.refuse_unknown_backend(state, packet, now)
    route = state.catalog.routes.get((packet.address, packet.port))
    if route is None:
        return refusals.refuse_unrouted(state, packet, now)
    if entry.removed_at is not None and refusals.is_removal_confirmed(
        state, entry, now
    ):
        return refusals.reset_flow(state, packet, 'backend_gone', now)
    if flowtracking.track_packet(state, flow, packet, tag, route, now):
        state.demand.count_request(entry.backend.service, route.priority, now)
    if packet.length and _should_reset(state, packet, tag, route, now):
        return refusals.reset_flow(state, packet, 'backend_unreachable', now)
    return [Forward(entry.backend, packet.raw)]


def _should_reset(
    state: NodeState,
    packet: FlowPacket,
    tag: int,
    route: Route,
    now: float,
) -> bool:
    """Tell whether to reset the flow, so that its client opens a new one.

    That is so if the backend is unreachable and the route's requests may be
    repeated. The flow is then closed.
    """
    if route.repetition is not Repetition.idempotent:
        return False
    if not state.suspicion.is_unreachable(tag, now):
        return False
    flow = state.flows.by_key.get(packet.key)
    if flow is not None:
        state.flows.close(flow)
    return True

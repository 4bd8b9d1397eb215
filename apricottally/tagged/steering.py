"""Handling of client packets.

A SYN is forwarded to a selected backend, whose tag is written into it. Later
packets carry that tag and are forwarded to the backend that it identifies.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally.tagged import (
    flowtracking,
    openings,
    probing,
    refusals,
    removedbackends,
    retrying,
    selection,
)
from apricottally.tagged.effects import Effect, Forward
from apricottally.tagged.events import PacketArrived
from apricottally.tagged.flows import Flow
from apricottally.tagged.packets import ACK, SYN, FlowPacket
from apricottally.tagged.queueing import admission
from apricottally.tagged.records import Repetition, Route
from apricottally.tagged.removedbackends import Treatment

if TYPE_CHECKING:
    from apricottally.tagged.state import NodeState


def handle_packet(state: NodeState, event: PacketArrived) -> list[Effect]:
    """Forward, refuse or drop a packet from a client."""
    packet = event.packet
    if packet.flags & SYN and not packet.flags & ACK:
        return _handle_syn(state, packet, event.now)
    if not state.config.max_wait_s:
        return _handle_non_syn(state, packet, event.now)
    was_busy = admission.begin_packet(state, packet)
    effects = _handle_non_syn(state, packet, event.now)
    return effects + admission.end_packet(state, packet, was_busy, event.now)


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
    if state.flows.backends.has_opened(packet, now):
        state.counters.add('dropped', 'opened_elsewhere')
        return []
    state.flows.backends.forget(packet.key)
    if state.config.max_wait_s:
        return admission.admit(state, packet, route, now)
    entry = selection.select_backend(state, route, packet.key, now)
    if entry is None:
        return refusals.refuse_overloaded(state, packet, route, now)
    return openings.forward_syn(state, packet, route, entry, now)


def _handle_retransmitted_syn(
    state: NodeState,
    flow: Flow,
    now: float,
) -> list[Effect]:
    """Retry a SYN that the client retransmitted; drop it if it is late."""
    if flow.established or flow.closed:
        return []
    if state.config.max_wait_s and retrying.is_answer_pending(state, flow, now):
        flow.seen_at = now
        return []
    return retrying.retry_retransmitted(state, flow, now)


def _handle_non_syn(
    state: NodeState,
    packet: FlowPacket,
    now: float,
) -> list[Effect]:
    flow = state.flows.by_key.get(packet.key)
    tag = _find_tag(state, flow, packet, now)
    entry = state.catalog.find_by_tag(tag)
    if entry is None or entry.backend is None:
        return refusals.refuse_unknown_backend(state, packet, now)
    treatment = removedbackends.treat_removed(state, entry, now)
    if treatment is Treatment.drop:
        state.counters.add('dropped', 'address_reused')
        return []
    route = state.catalog.routes.get((packet.address, packet.port))
    if route is None:
        return refusals.refuse_unrouted(state, packet, now)
    if treatment is Treatment.reset:
        return refusals.reset_flow(state, packet, 'backend_gone', now)
    if flowtracking.track_packet(state, flow, packet, tag, route, now):
        state.demand.count_request(entry.backend.service, route.priority, now)
    if packet.length and _should_reset(state, packet, tag, route, now):
        return refusals.reset_flow(state, packet, 'backend_unreachable', now)
    written_tag = None if tag == packet.tag else tag
    forward = Forward(entry.backend, packet.raw, written_tag)
    if not removedbackends.needs_probe(state, entry, now):
        return [forward]
    since = now - removedbackends.CONFIRMATION_S
    return [forward, *probing.request_probe(state, tag, since, now)]


def _find_tag(
    state: NodeState, flow: Flow | None, packet: FlowPacket, now: float
) -> int:
    """Return the tag of the backend that serves the flow of a packet.

    If the SYN went to several backends, a late SYN-ACK of another backend may
    have changed the tag that the client sends. The flow's own tag is written
    into the packet, so that its backend returns that one: most other nodes know
    the flow by its tag only.
    """
    if flow is not None and flow.established and not flow.closed:
        return flow.tag
    backends = state.flows.backends
    announced = backends.find_tag(packet.key, packet.sequence, now)
    return packet.tag if announced is None else announced


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

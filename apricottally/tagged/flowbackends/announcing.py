"""Tells other nodes which backend serves a flow, and hears it from them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally.addresses import Endpoint
from apricottally.tagged import messages
from apricottally.tagged.effects import Effect, SendPeer
from apricottally.tagged.flowbackends import corrections
from apricottally.tagged.flows import Flow
from apricottally.tagged.messages import FlowAnnouncement, FlowBackend
from apricottally.tagged.neighbours import Neighbour
from apricottally.tagged.packets import FlowPacket

if TYPE_CHECKING:
    from apricottally.tagged.state import NodeState

# Flows in one datagram; a key has 12 bytes.
MAX_FLOWS = 50
# An announcement is repeated, as datagrams may be lost.
REPETITION_DELAYS_S = (0, 0.2, 1)


def record_opened(
    state: NodeState, flow: Flow, syn: FlowPacket | None, now: float
) -> None:
    """Record an opened flow if its SYN may have gone to several backends."""
    if flow.initial_sequence is None or not flow.may_be_half_open_elsewhere:
        return
    if syn is not None:
        corrections.schedule(state, flow, syn, flow.tag, now)
    opened = FlowBackend(flow.key, flow.tag, flow.initial_sequence)
    state.flows.backends.record(opened, now)
    for delay_s in REPETITION_DELAYS_S:
        state.flows.due_announcements.add(flow.key, now + delay_s)


def tick(state: NodeState, now: float) -> list[Effect]:
    """Send the announcements that are due.

    The fabric sends the packets of a zone's clients to nodes of that zone, or
    of other zones while none of it is ready. In a large fleet only nodes of
    the same zone are told: a whole zone of it is hardly ever away.
    """
    effects: list[Effect] = []
    keys = state.flows.due_announcements.take_due(now)
    if keys:
        near = state.gossip_targets.list_near(now)
        receivers = tuple(neighbour.endpoint for neighbour in near)
        effects += _build(state.flows.backends.describe(keys, now), receivers)
    for endpoint in state.flows.due_newcomers.take_due(now):
        flows = state.flows.backends.describe_all(now)
        effects += _build(flows, (endpoint,))
    return effects


def tell_new(state: NodeState, neighbour: Neighbour, now: float) -> None:
    """Tell a node that has just started or come back all that is known."""
    is_same_zone = neighbour.peer.zone == state.config.zone
    if is_same_zone or state.neighbours.is_small(now):
        for delay_s in REPETITION_DELAYS_S:
            state.flows.due_newcomers.add(neighbour.endpoint, now + delay_s)


def receive(
    state: NodeState, announcement: FlowAnnouncement, now: float
) -> None:
    """Record announced flows, except those that this node knows better."""
    for announced in announcement.flows:
        flow = state.flows.by_key.get(announced.key)
        if flow is None or not _is_known_better(flow, announced):
            _record_announced(state, flow, announced, now)


def _record_announced(
    state: NodeState, flow: Flow | None, announced: FlowBackend, now: float
) -> None:
    backends = state.flows.backends
    sequence = announced.initial_sequence
    known_tag = backends.find_tag(announced.key, sequence, now)
    backends.record(announced, now)
    # Announcements are repeated.
    if known_tag != announced.tag:
        _correct_flow(state, flow, announced, now)


def _correct_flow(
    state: NodeState, flow: Flow | None, announced: FlowBackend, now: float
) -> None:
    """Correct the backend of a flow that moved here before it was announced.

    Backends that this node has sent the flow's SYN to are told as well.
    """
    if flow is None or flow.closed:
        return
    if not flow.established:
        if flow.syn is not None:
            corrections.schedule(state, flow, flow.syn, announced.tag, now)
        return
    tag = state.flows.backends.find_tag(flow.key, flow.sent_end, now)
    if tag is not None:
        state.flows.mark_established(flow, tag)


def _is_known_better(flow: Flow, announced: FlowBackend) -> bool:
    """Tell whether this node has seen the flow open, or a later one begin."""
    if flow.initial_sequence is None:
        return False
    is_other = flow.initial_sequence != announced.initial_sequence
    return is_other or flow.established


def _build(
    flows: list[FlowBackend], dests: tuple[Endpoint, ...]
) -> list[Effect]:
    if not dests:
        return []
    parts = [
        tuple(flows[start : start + MAX_FLOWS])
        for start in range(0, len(flows), MAX_FLOWS)
    ]
    return [
        SendPeer(dests, messages.encode(FlowAnnouncement(part)))
        for part in parts
    ]

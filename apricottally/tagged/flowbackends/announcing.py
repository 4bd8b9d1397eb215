"""Tells other nodes which backend serves a flow, and hears it from them."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from apricottally.addresses import Endpoint
from apricottally.tagged import messages
from apricottally.tagged.effects import Effect, SendPeer
from apricottally.tagged.flows import Flow
from apricottally.tagged.messages import FlowAnnouncement, FlowBackend
from apricottally.tagged.neighbours import Neighbour

if TYPE_CHECKING:
    from apricottally.tagged.state import NodeState

# Flows in one datagram; a key has 12 bytes.
MAX_FLOWS = 50


def record_opened(state: NodeState, flow: Flow, now: float) -> None:
    """Record an opened flow if its SYN went to several backends."""
    if len(flow.tried_tags) > 1:
        state.flows.backends.record_opened(flow.key, flow.tag, now)


def tick(state: NodeState, now: float) -> list[Effect]:
    """Announce the flows that have opened since the last tick.

    The fabric sends the packets of a zone's clients to nodes of that zone, or
    of other zones while none of it is ready. In a large fleet only nodes of
    the same zone are told: a whole zone of it is hardly ever away.
    """
    backends = state.flows.backends
    if not backends.unannounced:
        return []
    found = [backends.describe(key, now) for key in backends.unannounced]
    flows = [flow for flow in found if flow is not None]
    backends.unannounced = []
    receivers = [
        neighbour.endpoint for neighbour in state.gossip_targets.list_near(now)
    ]
    return list(_build(flows, tuple(receivers))) if receivers else []


def tell_new(
    state: NodeState, neighbour: Neighbour, now: float
) -> list[Effect]:
    """Tell a node that has just started or come back all that is known."""
    is_same_zone = neighbour.peer.zone == state.config.zone
    if not (is_same_zone or state.neighbours.is_small(now)):
        return []
    flows = state.flows.backends.describe_all(now)
    return list(_build(flows, (neighbour.endpoint,)))


def receive(
    state: NodeState, announcement: FlowAnnouncement, now: float
) -> list[Effect]:
    """Record announced flows, except those whose SYN passed through here."""
    for announced in announcement.flows:
        flow = state.flows.by_key.get(announced.key)
        if flow is None or flow.initial_sequence is None:
            state.flows.backends.record(announced, now)
    return []


def _build(
    flows: list[FlowBackend], dests: tuple[Endpoint, ...]
) -> Iterator[SendPeer]:
    for start in range(0, len(flows), MAX_FLOWS):
        part = FlowAnnouncement(tuple(flows[start : start + MAX_FLOWS]))
        yield SendPeer(dests, messages.encode(part))

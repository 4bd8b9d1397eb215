"""Updates of a flow's state from its client's packets.

Nodes see no packets from backends. The client's acknowledgements show that the
backend has answered.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally.tagged.flows import Flow, is_after
from apricottally.tagged.packets import FIN, RST, FlowPacket
from apricottally.tagged.records import Route

if TYPE_CHECKING:
    from apricottally.tagged.state import NodeState


def track_packet(
    state: NodeState,
    flow: Flow | None,
    packet: FlowPacket,
    tag: int,
    route: Route,
    now: float,
) -> None:
    """Update the flow of a packet; add the flow if the table lacks it."""
    if flow is None:
        if packet.flags & (FIN | RST):
            return
        flow = Flow(packet.key, tag, route, now, now)
        if not state.flows.adopt(flow, packet):
            return
    flow.seen_at = now
    if not flow.closed:
        _track_unclosed(state, flow, packet, tag, now)


def _track_unclosed(
    state: NodeState,
    flow: Flow,
    packet: FlowPacket,
    tag: int,
    now: float,
) -> None:
    if not flow.established:
        _complete_handshake(state, flow, packet, tag, now)
    elif is_after(packet.acknowledged, flow.acknowledged):
        flow.acknowledged = packet.acknowledged
        state.suspicion.record_response(tag, now)
        state.flows.finish_request(flow)
    if packet.length:
        _track_data(state, flow, packet, now)
    if packet.flags & (FIN | RST):
        state.flows.close(flow)


def _complete_handshake(
    state: NodeState,
    flow: Flow,
    packet: FlowPacket,
    tag: int,
    now: float,
) -> None:
    if tag == flow.tag and len(flow.tried_tags) == 1:
        state.answer_time.add(now - flow.syn_sent_at)
        state.durations.answer.add(now - flow.syn_sent_at)
    state.flows.mark_established(flow, tag)
    state.suspicion.record_response(tag, now)
    flow.acknowledged = packet.acknowledged
    flow.sent_end = packet.sequence


def _track_data(
    state: NodeState,
    flow: Flow,
    packet: FlowPacket,
    now: float,
) -> None:
    data_end = (packet.sequence + packet.length) & 0xFFFFFFFF
    if is_after(data_end, flow.sent_end):
        flow.sent_end = data_end
        state.flows.begin_request(flow, packet, now)

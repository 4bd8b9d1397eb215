"""Updates of a flow's state from its client's packets.

Nodes see no packets from backends. The client's acknowledgements show that the
backend has answered.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally.tagged.flowbackends import announcing
from apricottally.tagged.flows import Flow, is_after
from apricottally.tagged.hedging import hedgedsyns
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
) -> bool:
    """Update the flow of a packet; add the flow if the table lacks it.

    Returns whether the packet is the first one of a request.
    """
    if flow is None:
        if packet.flags & (FIN | RST):
            return False
        flow = Flow(packet.key, tag, route, now, now)
        if not state.flows.adopt(flow, packet):
            return False
    flow.seen_at = now
    if flow.closed:
        return False
    return _track_unclosed(state, flow, packet, tag, now)


def _track_unclosed(
    state: NodeState,
    flow: Flow,
    packet: FlowPacket,
    tag: int,
    now: float,
) -> bool:
    if not flow.established:
        _complete_handshake(state, flow, packet, tag, now)
    elif is_after(packet.acknowledged, flow.acknowledged):
        flow.acknowledged = packet.acknowledged
        state.suspicion.record_response(tag, now)
        state.flows.finish_request(flow)
    begins_request = _track_data(state, flow, packet, now)
    if packet.flags & (FIN | RST):
        state.flows.close(flow)
    return begins_request


def _complete_handshake(
    state: NodeState,
    flow: Flow,
    packet: FlowPacket,
    tag: int,
    now: float,
) -> None:
    if tag == flow.tag and not flow.retried:
        state.answer_time.add(now - flow.syn_sent_at)
        state.durations.answer.add(now - flow.syn_sent_at)
    hedgedsyns.track_answer(state, flow, tag, now)
    syn = flow.syn
    state.flows.mark_established(flow, tag)
    announcing.record_opened(state, flow, syn, now)
    state.suspicion.record_response(tag, now)
    flow.acknowledged = packet.acknowledged
    flow.sent_end = packet.sequence


def _track_data(
    state: NodeState,
    flow: Flow,
    packet: FlowPacket,
    now: float,
) -> bool:
    """Record new data; return whether it is the first of a request."""
    data_end = (packet.sequence + packet.length) & 0xFFFFFFFF
    if not packet.length or not is_after(data_end, flow.sent_end):
        return False
    begins_request = flow.request_packet is None
    flow.sent_end = data_end
    state.flows.begin_request(flow, packet, now)
    return begins_request

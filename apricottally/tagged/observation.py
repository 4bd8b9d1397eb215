"""What packets of a client show about the work of its backend."""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally.tagged.flows import Flow, is_after
from apricottally.tagged.packets import FIN, RST, FlowPacket
from apricottally.tagged.records import Route

if TYPE_CHECKING:
    from apricottally.tagged.state import NodeState


def observe(
    state: NodeState,
    flow: Flow | None,
    packet: FlowPacket,
    tag: int,
    route: Route,
    now: float,
) -> None:
    """Learn from a packet what its backend has done."""
    if flow is None:
        if packet.flags & (FIN | RST):
            return
        flow = Flow(packet.key, tag, route, now, now)
        if not state.flows.adopt(flow, packet):
            return
    flow.seen_at = now
    if not flow.closed:
        _observe_open(state, flow, packet, tag, now)


def _observe_open(
    state: NodeState,
    flow: Flow,
    packet: FlowPacket,
    tag: int,
    now: float,
) -> None:
    if not flow.opened:
        _note_opened(state, flow, packet, tag, now)
    elif is_after(packet.acknowledged, flow.acknowledged):
        flow.acknowledged = packet.acknowledged
        state.suspicion.note_proof(tag, now)
        state.flows.finish(flow)
    if packet.length:
        _observe_data(state, flow, packet, now)
    if packet.flags & (FIN | RST):
        state.flows.close(flow)


def _note_opened(
    state: NodeState,
    flow: Flow,
    packet: FlowPacket,
    tag: int,
    now: float,
) -> None:
    if tag == flow.tag and len(flow.tried) == 1:
        state.answer_time.add(now - flow.sent_at)
        state.durations.answer.add(now - flow.sent_at)
    state.flows.open_at(flow, tag)
    state.suspicion.note_proof(tag, now)
    flow.acknowledged = packet.acknowledged
    flow.sent_end = packet.sequence


def _observe_data(
    state: NodeState,
    flow: Flow,
    packet: FlowPacket,
    now: float,
) -> None:
    end = (packet.sequence + packet.length) & 0xFFFFFFFF
    if is_after(end, flow.sent_end):
        flow.sent_end = end
        state.flows.begin(flow, packet, now)

"""Packets of clients: the choice for new flows, the tag for open ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally.addresses import format_ip
from apricottally.tagged import choice
from apricottally.tagged.catalog import Entry
from apricottally.tagged.effects import (
    Effect,
    Forward,
    ProbeBackend,
    Reset,
    WriteLog,
)
from apricottally.tagged.events import PacketArrived, ProbeEnded
from apricottally.tagged.flows import Flow, is_after
from apricottally.tagged.packets import ACK, FIN, RST, SYN, FlowPacket
from apricottally.tagged.records import Repetition, Route

if TYPE_CHECKING:
    from apricottally.tagged.state import NodeState

# A registration that lapsed while its backend lives is back within 2 s.
GONE_AFTER_S = 2.5
# Tries of a first packet, the client's copies included.
MAX_TRIES = 4
# A request without progress for so long has its backend probed.
PROBE_AFTER_S = 0.12


def receive(state: NodeState, event: PacketArrived) -> list[Effect]:
    """Send a packet on, or answer it."""
    packet = event.packet
    if packet.flags & SYN and not packet.flags & ACK:
        return _receive_first(state, packet, event.now)
    return _receive_later(state, packet, event.now)


def retry_unanswered(state: NodeState, now: float) -> list[Effect]:
    """Send first packets that got no answer to another backend."""
    effects: list[Effect] = []
    opening = state.flows.opening
    wait_s = state.answer_time.timeout_s
    while opening and now - opening[0].sent_at >= wait_s:
        flow = opening.popleft()
        if flow.opened or flow.closed or flow.syn is None:
            continue
        if now - flow.sent_at < wait_s:
            # The client's copy was sent on meanwhile, which queued it again.
            continue
        counted = state.suspicion.note_miss(
            flow.tag, flow.key, flow.sent_at, now
        )
        if not counted:
            continue
        effects += _probe(state, flow.tag, flow.sent_at, now)
        if len(flow.tried) < MAX_TRIES - 1:
            effects += _try_another(state, flow, now, 'no_answer')
    return effects


def probe_silent(state: NodeState, now: float) -> list[Effect]:
    """Probe backends whose requests make no progress."""
    effects: list[Effect] = []
    awaiting = state.flows.awaiting
    while awaiting and now - awaiting[0][0] >= PROBE_AFTER_S:
        began_at, flow = awaiting.popleft()
        if flow.busy and flow.data_at == began_at:
            effects += _probe(state, flow.tag, began_at, now)
    return effects


def end_probe(state: NodeState, event: ProbeEnded) -> list[Effect]:
    """Take the end of a probe; end the flows of a dark backend.

    A client whose request may be repeated is told at once. One whose request
    may have run keeps its flow: the backend may still answer.
    """
    tag = event.tag
    now = event.now
    if event.reached:
        state.suspicion.note_proof(tag, now)
        return []
    state.counters.add('probe', 'failed')
    if not state.suspicion.note_unreached(tag, event.asked_at, now):
        return []
    effects: list[Effect] = [
        WriteLog('backend_dark', {'tag': tag, 'version': state.version})
    ]
    for flow in list(state.flows.by_key.values()):
        if flow.tag != tag or not flow.busy or flow.last is None:
            continue
        if flow.route.repetition is Repetition.idempotent:
            effects += _reset(state, flow.last, 'backend_dark', now)
    return effects


def _probe(
    state: NodeState,
    tag: int,
    since: float,
    now: float,
) -> list[Effect]:
    entry = state.catalog.find_tag(tag)
    if entry is None or entry.backend is None:
        return []
    if not state.suspicion.wants_probe(tag, since, now):
        return []
    state.counters.add('probe', 'begun')
    return [ProbeBackend(entry.backend)]


def _receive_first(
    state: NodeState,
    packet: FlowPacket,
    now: float,
) -> list[Effect]:
    route = state.catalog.routes.get((packet.address, packet.port))
    if route is None:
        return _refuse_unrouted(state, packet, now)
    flow = state.flows.by_key.get(packet.key)
    if flow is not None and not flow.closed and flow.syn is not None:
        if flow.syn.sequence == packet.sequence:
            return _repeat_first(state, flow, now)
    if flow is not None and flow.opened and flow.initial == packet.sequence:
        # A late copy of the first packet of a flow that has opened.
        return []
    entry = choice.choose(state, route, packet.key, now)
    if entry is None or entry.backend is None:
        return _refuse_full(state, packet, route, now)
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
        _log_choice(state, 'chosen', packet, entry, now),
    ]


def _repeat_first(state: NodeState, flow: Flow, now: float) -> list[Effect]:
    """Send the client's copy of a first packet to a backend that answers."""
    flow.seen_at = now
    state.suspicion.note_miss(flow.tag, flow.key, flow.sent_at, now)
    if len(flow.tried) < MAX_TRIES:
        return _try_another(state, flow, now, 'client_copy')
    entry = state.catalog.find_tag(flow.tag)
    if entry is None or entry.backend is None or flow.syn is None:
        return []
    return [Forward(entry.backend, flow.syn.raw, flow.tag)]


def _try_another(
    state: NodeState,
    flow: Flow,
    now: float,
    reason: str,
) -> list[Effect]:
    packet = flow.syn
    if packet is None:
        return []
    entry = choice.choose(state, flow.route, flow.key, now, flow.tried)
    if entry is None or entry.backend is None:
        state.counters.add('retry_skipped', reason)
        return []
    state.flows.move(flow, entry, now)
    state.counters.add('retried', reason)
    return [
        Forward(entry.backend, packet.raw, entry.backend.tag),
        _log_choice(state, f'retried_{reason}', packet, entry, now),
    ]


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
    entry = state.catalog.find_tag(tag)
    if entry is None or entry.backend is None:
        return _answer_unknown(state, packet, now)
    route = state.catalog.routes.get((packet.address, packet.port))
    if route is None:
        return _refuse_unrouted(state, packet, now)
    if entry.removed_at is not None and _is_surely_gone(state, entry, now):
        return _reset(state, packet, 'backend_gone', now)
    _observe(state, flow, packet, tag, route, now)
    if packet.length and _should_end(state, packet, tag, route, now):
        return _reset(state, packet, 'backend_dark', now)
    return [Forward(entry.backend, packet.raw)]


def _observe(
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
        state.flows.adopt(flow, packet)
    flow.seen_at = now
    if flow.closed:
        return
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
    if not state.suspicion.is_dark(tag, now):
        return False
    flow = state.flows.by_key.get(packet.key)
    if flow is not None:
        state.flows.close(flow)
    return True


def _is_surely_gone(state: NodeState, entry: Entry, now: float) -> bool:
    removed_at = entry.removed_at
    if removed_at is None or now - removed_at < GONE_AFTER_S:
        return False
    return state.freshness.is_current(now)


def _answer_unknown(
    state: NodeState,
    packet: FlowPacket,
    now: float,
) -> list[Effect]:
    """Handle a packet whose backend is in no record.

    A node that has just started, or whose records may be old, cannot tell
    that the backend is gone and leaves the packet to its retransmission.
    """
    settled = now - state.freshness.current_since >= GONE_AFTER_S
    if not packet.tag or not settled or not state.freshness.is_current(now):
        state.counters.add('dropped', 'unknown_backend')
        return []
    return _reset(state, packet, 'backend_unknown', now)


def _refuse_unrouted(
    state: NodeState,
    packet: FlowPacket,
    now: float,
) -> list[Effect]:
    if not state.freshness.is_current(now):
        state.counters.add('dropped', 'no_route')
        return []
    return _reset(state, packet, 'no_route', now)


def _refuse_full(
    state: NodeState,
    packet: FlowPacket,
    route: Route,
    now: float,
) -> list[Effect]:
    known = any(
        state.catalog.list_service(target.service) for target in route.targets
    )
    return _reset(state, packet, 'full' if known else 'no_backend', now)


def _reset(
    state: NodeState,
    packet: FlowPacket,
    reason: str,
    now: float,
) -> list[Effect]:
    if packet.flags & RST:
        return []
    state.counters.add('refused', reason)
    flow = state.flows.by_key.get(packet.key)
    if flow is not None:
        state.flows.close(flow)
    fields = {
        'flow': describe(packet),
        'reason': reason,
        'tag': packet.tag,
        'version': state.version,
        'age_ms': state.freshness.age_ms(now),
    }
    return [Reset(packet), WriteLog('refused', fields)]


def _log_choice(
    state: NodeState,
    event: str,
    packet: FlowPacket,
    entry: Entry,
    now: float,
) -> WriteLog:
    backend = entry.backend
    if backend is None:
        return WriteLog(event)
    return WriteLog(
        event,
        {
            'flow': describe(packet),
            'backend': backend.name,
            'service': backend.service,
            'busy': state.occupancy.busy(backend.tag),
            'own': state.occupancy.count_own(backend.tag).busy,
            'version': state.version,
            'age_ms': state.freshness.age_ms(now),
        },
    )


def describe(packet: FlowPacket) -> str:
    """Return the flow's id in logs: client, then the address it uses."""
    client = f'{format_ip(packet.client)}:{packet.client_port}'
    return f'{client}>{format_ip(packet.address)}:{packet.port}'

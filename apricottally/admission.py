"""Admission of flows at the node that owns their backend shard.

Handles the caller's SYN and the backend's SYN-ACK or reset. The owner decides
once, at the first SYN, whether to admit, queue or refuse a flow. It refuses
with a reset that answers the SYN, and never after forwarding a SYN-ACK.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally import (
    attempts,
    gue,
    outliers,
    ownership,
    packet,
    slotleaks,
)
from apricottally.backendselection import (
    correct_drift,
    record_report,
    record_shed,
)
from apricottally.effects import Effect, SendPacket
from apricottally.events import LoadReported
from apricottally.flows import (
    FLOW_RETENTION_S,
    Flow,
    OwnedShard,
    Phase,
    build_attempt_key,
)
from apricottally.model import Holding
from apricottally.packet import Segment
from apricottally.routes import Route
from apricottally.shards import Shard

if TYPE_CHECKING:
    from apricottally.state import NodeState


def receive_syn(
    state: NodeState,
    now: float,
    route: Route,
    shard: Shard,
    segment: Segment,
    datagram: bytes,
) -> list[Effect]:
    """Admit, queue or refuse the flow that a SYN starts."""
    ownership.reset_after_pause(state, now)
    admissions = state.admissions
    key = packet.read_caller_key(datagram, segment.start)
    known = admissions.flows.get(key)
    if known is not None and not _reuses_ports(known, segment):
        return _handle_repeated_syn(state, known, segment, datagram)
    attempt = build_attempt_key(key, segment.seq + 1)
    if attempt in admissions.foreign_syn_acks:
        # Another owner admitted this flow; its backend retransmits the SYN-ACK.
        state.counters.add('dropped', 'repeated_syn')
        return []
    if attempt in admissions.recent_refusals:
        state.counters.add('refused_again', 'repeated_syn')
        return [attempts.build_refusal(state, segment)]
    refusal = check_syn_budget(state, now, route, segment, key)
    if refusal:
        return refusal
    owned = ownership.ensure_shard(state, now, route.service, shard)
    if not owned.active:
        attempts.record_syn_refusal(state, now, route, key, 'no_backend')
        return refuse(state, segment, 'no_backend')
    admissions.recent_closes.discard(key)
    return _queue_flow(
        state,
        now,
        _build_flow(now, route, owned, key, segment, datagram),
    )


def check_syn_budget(
    state: NodeState,
    now: float,
    route: Route,
    segment: Segment,
    key: bytes,
) -> list[Effect]:
    """Refuse a SYN beyond the node's SYN budget; return [] if it is within.

    The owner checks this before it does other work for the SYN. A node that
    hands SYNs over to owners may check too, so that a SYN flood costs neither
    the handover nor the owner's time.
    """
    if state.admissions.budget.spend(now, route.template.urgency):
        return []
    attempts.record_syn_refusal(state, now, route, key, 'node_overload')
    return refuse(state, segment, 'node_overload')


def receive_syn_ack(
    state: NodeState,
    now: float,
    route: Route,
    number: int,
    segment: Segment,
    datagram: bytes,
) -> list[Effect]:
    """Forward a SYN-ACK, unless it is outdated or lacks TCP timestamps."""
    ownership.reset_after_pause(state, now)
    key = packet.read_reply_key(datagram, segment.start)
    flow = state.admissions.flows.get(key)
    if not segment.timestamps:
        return _reject_backend(state, now, route, number, segment, flow)
    if flow is None or number not in {flow.number, *flow.tried_numbers}:
        # Another owner chose this backend. A caller that gets several SYN-ACKs
        # accepts only one.
        state.counters.add('forwarded', 'foreign_syn_ack')
        state.admissions.foreign_syn_acks.add(
            build_attempt_key(key, segment.ack), now
        )
        effects = _forward_to_caller(state, number, segment, datagram)
        if flow is not None and flow.acknowledges_syn(segment):
            attempts.withdraw(state, now, flow)
        return effects
    is_current = flow.number == number and flow.acknowledges_syn(segment)
    if not is_current or flow.phase is Phase.over:
        return _drop_syn_ack(state, now, flow, number, segment)
    if flow.phase is Phase.sent:
        attempts.establish(state, now, flow)
    elif flow.holds is Holding.connection:
        state.admissions.timers.set(flow, now + FLOW_RETENTION_S)
    return _forward_to_caller(state, number, segment, datagram)


def receive_refusal(
    state: NodeState,
    now: float,
    route: Route,
    number: int,
    segment: Segment,
    datagram: bytes,
) -> list[Effect]:
    """Retry or refuse a flow whose SYN the backend answered with a reset.

    The backend has not run any work for the flow.
    """
    ownership.reset_after_pause(state, now)
    key = packet.read_reply_key(datagram, segment.start)
    flow = state.admissions.flows.get(key)
    if flow is None:
        if (
            build_attempt_key(key, segment.ack)
            in state.admissions.foreign_syn_acks
        ):
            state.counters.add('dropped', 'late_refusal')
            return []
        # Another owner chose this backend, which refuses the caller's SYN.
        return _forward_to_caller(state, number, segment, datagram)
    is_current = flow.number == number and flow.acknowledges_syn(segment)
    if not is_current or flow.syn_ack_forwarded or flow.load is None:
        state.counters.add('dropped', 'late_refusal')
        return []
    record_shed(flow.load, now)
    outliers.record_answer(flow.load)
    effects: list[Effect] = []
    if not attempts.retry(state, now, flow, 'shed'):
        attempts.release_backend(flow)
        effects = attempts.refuse_flow(state, now, flow, 'backend_refused')
    return effects + attempts.dispatch_waiting(state, now, flow.owned)


def receive_load(state: NodeState, event: LoadReported) -> list[Effect]:
    """Record the result of a load poll; dispatch flows if capacity is free."""
    admissions = state.admissions
    name = admissions.by_ip.get(event.backend_ip)
    load = admissions.loads.get(name) if name else None
    if load is None:
        state.counters.add('load_polls', 'unknown')
        return []
    outliers.record_poll(load, answered=event.report is not None)
    if event.report is None:
        state.counters.add('load_polls', 'failed')
        return []
    record_report(load, event.report, event.now)
    slotleaks.write_off(state, event.now, load)
    for owned in admissions.shards.values():
        if load in owned.loads:
            if owned.takeover_done:
                correct_drift(load, owned.active, event.now)
            return attempts.dispatch_waiting(state, event.now, owned)
    return []


def tick(state: NodeState, now: float, wall_s: float) -> list[Effect]:
    """Update shard ownership, handle due timers, dispatch waiting flows."""
    ownership.reset_after_pause(state, now)
    state.admissions.last_tick_at = now
    ownership.refresh_shards(state, now, wall_s)
    ownership.maintain_shards(state, now)
    state.admissions.recent_closes.expire(now)
    state.admissions.recent_refusals.expire(now)
    state.admissions.foreign_syn_acks.expire(now)
    effects = ownership.poll_loads(state, now)
    for flow in state.admissions.timers.pop_due(now):
        effects.extend(attempts.handle_timer(state, now, flow))
    for owned in list(state.admissions.shards.values()):
        effects.extend(attempts.dispatch_waiting(state, now, owned))
    return effects


def refuse(state: NodeState, segment: Segment, reason: str) -> list[Effect]:
    """Refuse a SYN with a reset, which tells the caller that no work ran."""
    state.counters.add('refused', reason)
    return [attempts.build_refusal(state, segment)]


def _reuses_ports(known: Flow, segment: Segment) -> bool:
    """Tell whether a SYN reuses the ports of a flow that has ended."""
    return known.phase is Phase.over and known.segment.seq != segment.seq


def _build_flow(
    now: float,
    route: Route,
    owned: OwnedShard,
    key: bytes,
    segment: Segment,
    datagram: bytes,
) -> Flow:
    syn, fields = _strip_syn(segment, datagram)
    deadline = now + route.template.max_wait_ms / 1000
    return Flow(key, route, owned, syn, fields, deadline)


def _strip_syn(segment: Segment, datagram: bytes) -> tuple[bytes, Segment]:
    """Return the SYN without payload (TCP Fast Open), and its parsed form."""
    if segment.payload == segment.end:
        return datagram[segment.start :], segment
    syn = packet.strip_payload(datagram, segment)
    return syn, packet.parse(syn, 0)


def _queue_flow(state: NodeState, now: float, flow: Flow) -> list[Effect]:
    owned = flow.owned
    if flow.holds is Holding.slot:
        owned.reserve.record_arrival(flow.route.template.urgency, now)
    reason = attempts.find_early_refusal(owned, flow, now)
    if reason:
        return attempts.refuse_flow(state, now, flow, reason)
    queue = owned.queues[flow.holds]
    pushed = queue.push(flow.build_queue_entry())
    if pushed.refused:
        return attempts.refuse_flow(state, now, flow, pushed.refused)
    state.admissions.flows[flow.key] = flow
    effects: list[Effect] = []
    for entry, displaced in pushed.displaced:
        effects.extend(
            attempts.refuse_flow(state, now, entry.item, displaced),
        )
    head = queue.peek()
    # Flows ahead in the queue found no backend, so only a flow at its head
    # needs a try.
    if head is not None and head.item is flow:
        effects += attempts.dispatch_waiting(state, now, owned)
    if flow.phase is Phase.waiting:
        attempts.record_decision(state, now, flow, 'wait', 'no_room')
    return effects


def _handle_repeated_syn(
    state: NodeState,
    flow: Flow,
    segment: Segment,
    datagram: bytes,
) -> list[Effect]:
    """Handle a retransmitted SYN without changing the earlier decision."""
    if flow.refusal_reason and not flow.syn_ack_forwarded:
        state.counters.add('refused_again', flow.refusal_reason)
        return [attempts.build_refusal(state, segment)]
    if flow.segment.seq != segment.seq:
        # The caller abandoned its first SYN and opens a flow on the same port.
        syn, fields = _strip_syn(segment, datagram)
        flow.syn = syn
        flow.segment = fields
    endpoint = flow.owned.service.endpoints.get(flow.number)
    if endpoint is None or flow.phase not in {Phase.sent, Phase.established}:
        state.counters.add('dropped', 'repeated_syn')
        return []
    state.counters.add('forwarded', 'repeated_syn')
    return [SendPacket(endpoint, gue.encode(flow.syn))]


def _drop_syn_ack(
    state: NodeState,
    now: float,
    flow: Flow,
    number: int,
    segment: Segment,
) -> list[Effect]:
    """Drop a late or duplicate SYN-ACK; reset the backend if it is late."""
    state.counters.add('dropped', 'late_syn_ack')
    if flow.syn_ack_forwarded and flow.number == number:
        # A duplicate SYN-ACK: a reset could cut off data still in flight.
        return []
    attempts.record_decision(state, now, flow, 'reset', 'late_syn_ack', number)
    return _reset_backend(flow.route, number, segment)


def _reject_backend(
    state: NodeState,
    now: float,
    route: Route,
    number: int,
    segment: Segment,
    flow: Flow | None,
) -> list[Effect]:
    """Reset a backend that sent a SYN-ACK without TCP timestamps.

    The balancer carries the backend number in the timestamps; without them
    it could not route the later packets of the flow.
    """
    effects = _reset_backend(route, number, segment)
    state.counters.add('dropped', 'backend_no_timestamps')
    if flow is None or flow.phase is not Phase.sent or flow.number != number:
        return effects
    attempts.release_backend(flow)
    reason = 'backend_no_timestamps'
    effects += attempts.refuse_flow(state, now, flow, reason)
    return effects + attempts.dispatch_waiting(state, now, flow.owned)


def _forward_to_caller(
    state: NodeState,
    number: int,
    segment: Segment,
    datagram: bytes,
) -> list[Effect]:
    """Forward a packet, with the backend's number in its TCP timestamps."""
    inner = datagram[segment.start :]
    if segment.timestamps:
        inner = packet.write_backend_number(datagram, segment, number)
    return [SendPacket(state.config.gateway, gue.encode(inner))]


def _reset_backend(
    route: Route,
    number: int,
    segment: Segment,
) -> list[Effect]:
    """Answer a SYN-ACK that is not forwarded to the caller with a reset."""
    endpoint = route.service.endpoints.get(number)
    if endpoint is None:
        return []
    answer = packet.build_reset_to_sender(segment)
    return [SendPacket(endpoint, gue.encode(answer))]

"""Decides which new flows are forwarded, wait or are refused.

It is used only if the node's `max_wait_s` is above 0. A flow for which no
backend has room waits at the node that received its SYN, unless it cannot be
served within its wait. A flow is reset only if no other node can have opened
it; otherwise it is dropped without an answer.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from typing import TYPE_CHECKING

from apricottally.tagged import openings, refusals, selection
from apricottally.tagged.effects import Effect, WriteLog
from apricottally.tagged.packets import FlowPacket
from apricottally.tagged.places import eligibility
from apricottally.tagged.queueing.lane import Lane, Rank
from apricottally.tagged.queueing.waiting import MAX_WAITING_FLOWS
from apricottally.tagged.queueing.waitingflow import (
    Scope,
    WaitingFlow,
    estimate_start,
)
from apricottally.tagged.records import Backend, Route

if TYPE_CHECKING:
    from apricottally.tagged.state import NodeState

# So many flows of a scope may wait at any rate of admission. The rate
# is 0 after the start and after a second in which no backend had room.
MIN_WAITING_FLOWS = 16
# Maximum number of tries of a client, each on a new flow that a node cannot
# tell from a first one. Each may use a third of the time that is to spare.
CLIENT_TRIES = 3
# On shutdown, the last waits end this long before the process does, so that
# several ticks are left for them.
STOP_MARGIN_S = 0.05
# After a pause of the process, SYNs that arrived during it are read for up to
# this long: 64 datagrams are read at a time.
BACKLOG_DURATION_S = 0.5
# Reasons of `refusals.explain_refusal` that pass by themselves.
_PASSING_REASONS = frozenset(('full', 'cold'))


def admit(
    state: NodeState, packet: FlowPacket, route: Route, now: float
) -> list[Effect]:
    """Forward, hold or refuse a SYN whose flow this node has not forwarded."""
    queue = state.waiting
    known = queue.by_key.get(packet.key)
    if known is not None:
        if known.packet.sequence == packet.sequence:
            known.add_copy(packet)
            return []
        # The client has abandoned the flow and uses its port again.
        queue.remove(known)
    flow = _build_flow(state, packet, route, now)
    lanes = queue.list_lanes(flow.scope[0])
    if any(lane.is_blocked_for(route.priority) for lane in lanes):
        selection.count_demand(state, route, packet.key, now)
        return _hold(state, flow, now)
    entry = selection.select_backend(state, route, packet.key, now)
    if entry is None:
        return _hold(state, flow, now)
    queue.record_admission(flow, now)
    return openings.forward_syn(state, packet, route, entry, now)


def tick(state: NodeState, now: float) -> list[Effect]:
    """End the waits that are over, and serve the queue."""
    queue = state.waiting
    effects: list[Effect] = []
    ended = queue.advance(now)
    if now >= _get_stop_time(state):
        ended += queue.remove_all()
    for flow in ended:
        effects.extend(_end(state, flow, 'wait_expired', now))
    return effects + _serve(state, list(queue.lanes.values()), now)


def recover_from_pause(state: NodeState, now: float) -> None:
    """Drop the flows whose wait has ended during a pause of the process.

    Their clients may have opened them through another node meanwhile. SYNs
    that arrived during the pause are still to be read.
    """
    state.waiting.backlog_until = now + BACKLOG_DURATION_S
    expired = state.waiting.advance(now)
    if expired:
        state.counters.add('dropped', 'waiting_moved', len(expired))


def begin_packet(state: NodeState, packet: FlowPacket) -> bool:
    """Prepare for a packet other than a SYN.

    Such a packet of a waiting flow shows that the client has opened the flow
    through another node, or has abandoned it: the flow waits no longer.
    Returns whether the flow has a request in progress.
    """
    flow = state.waiting.by_key.get(packet.key)
    if flow is not None:
        state.waiting.remove(flow)
        state.counters.add('dropped', 'waiting_moved')
    forwarded = state.flows.by_key.get(packet.key)
    return forwarded is not None and forwarded.busy


def end_packet(
    state: NodeState,
    packet: FlowPacket,
    was_busy: bool,
    now: float,
) -> list[Effect]:
    """Serve the queue if the packet has ended a request.

    `was_busy` is the result of `begin_packet`.
    """
    flow = state.flows.by_key.get(packet.key)
    if flow is None or flow.busy or not was_busy:
        return []
    if flow.request_seen_at:
        duration_s = now - flow.request_seen_at
        state.waiting.run_times.add(flow.route.name, duration_s)
    entry = state.catalog.find_by_tag(flow.tag)
    if entry is None or entry.backend is None or not state.waiting.by_key:
        return []
    return _serve_backend(state, entry.backend, now)


def _serve_backend(
    state: NodeState, backend: Backend, now: float
) -> list[Effect]:
    """Serve the flows of a backend's service if the backend has room."""
    lanes = state.waiting.list_lanes((backend.service,))
    free = backend.slots - state.occupancy.count_busy(backend.tag)
    for lane in lanes:
        first = lane.get_first()
        if first is not None:
            limit = selection.get_queue_limit(
                state, first.route, backend.service
            )
            if free + limit > 0:
                return _serve(state, lanes, now)
    return []


def _serve(state: NodeState, lanes: Iterable[Lane], now: float) -> list[Effect]:
    """Forward flows in their order until no lane has one with room.

    In each lane, the first flow without room ends the attempts.
    """
    effects: list[Effect] = []
    heads: list[tuple[Rank, Lane]] = []
    for lane in lanes:
        lane.blocked_priority = None
        _push_head(heads, lane)
    while heads:
        lane = heapq.heappop(heads)[1]
        flow = lane.get_first()
        if flow is None:
            continue
        if heads and lane.rank(flow) > heads[0][0]:
            # A flow of the same caller was admitted from another lane.
            _push_head(heads, lane)
            continue
        effects += _try_to_forward(state, lane, flow, now)
        if lane.blocked_priority is None:
            _push_head(heads, lane)
    return effects


def _push_head(heads: list[tuple[Rank, Lane]], lane: Lane) -> None:
    flow = lane.get_first()
    if flow is not None:
        # Ranks differ in the number of the flow, so that lanes are not
        # compared.
        heapq.heappush(heads, (lane.rank(flow), lane))


def _try_to_forward(
    state: NodeState, lane: Lane, flow: WaitingFlow, now: float
) -> list[Effect]:
    """Forward the first flow of a lane, or mark the lane as blocked."""
    packet = flow.packet
    queue = state.waiting
    # The configuration may have changed since the flow arrived.
    route = state.catalog.routes.get((packet.address, packet.port))
    if route is None:
        queue.remove(flow)
        return _end(state, flow, 'no_route', now)
    entry = selection.select_backend(
        state, route, packet.key, now, is_repeated=True
    )
    if entry is None:
        lane.blocked_priority = flow.route.priority
        return []
    queue.remove(flow)
    queue.record_admission(flow, now)
    waited_s = now - flow.queued_at
    state.durations.queue_wait.add(waited_s)
    return openings.forward_syn(state, packet, route, entry, now, waited_s)


def _build_flow(
    state: NodeState, packet: FlowPacket, route: Route, now: float
) -> WaitingFlow:
    queue = state.waiting
    # The packet may have been unread since the last tick.
    started_at = estimate_start(packet, min(state.ticked_at, now))
    wait_s = state.config.max_wait_s
    if route.timeout_ms:
        wait_s = min(wait_s, route.timeout_ms / 1000)
    late_at = float('inf')
    if route.latency_ms:
        run_s = queue.run_times.get_mean_s(route.name)
        needed_s = state.answer_time.mean_s + run_s
        spare_s = max(route.latency_ms / 1000 - needed_s, 0)
        late_at = started_at + spare_s / CLIENT_TRIES
    flow = WaitingFlow(
        packet,
        route,
        _get_scope(route),
        next(queue.numbers),
        started_at,
        queued_at=now,
        late_at=late_at,
        deadline=min(started_at + wait_s, _get_stop_time(state)),
        is_late=late_at <= now,
        is_backlog=state.is_paused(now) or now < queue.backlog_until,
    )
    flow.add_copy(packet)
    return flow


def _get_scope(route: Route) -> Scope:
    names = {target.service for target in route.targets if target.weight > 0}
    return tuple(sorted(names)), tuple(sorted(route.regions))


def _get_stop_time(state: NodeState) -> float:
    """Return when the last wait has to end, infinity unless stopping."""
    since = state.stopping_since
    if since is None:
        return float('inf')
    return since + state.config.leave_s - STOP_MARGIN_S


def _hold(state: NodeState, flow: WaitingFlow, now: float) -> list[Effect]:
    """Put a flow into the queue, or refuse it if it cannot be served."""
    reason = _explain_lasting_refusal(state, flow, now)
    if reason:
        return _end(state, flow, reason, now)
    queue = state.waiting
    lane = queue.add(flow)
    if lane.blocked_priority is None:
        lane.blocked_priority = flow.route.priority
    lane.blocked_priority = min(lane.blocked_priority, flow.route.priority)
    rate = queue.admitted.count(flow.scope)
    too_many = lane.size > _get_capacity(rate, state.config.max_wait_s)
    if lane.count_before(flow) >= _get_capacity(rate, flow.deadline - now):
        refused: WaitingFlow | None = flow
    elif too_many:
        refused = lane.get_last()
    elif len(queue.by_key) > MAX_WAITING_FLOWS:
        refused = queue.get_last()
    else:
        refused = None
    effects: list[Effect] = []
    if refused is not flow:
        state.counters.add('queued', flow.route.name)
        effects.append(_build_log(state, lane, flow))
    if refused is not None:
        queue.remove(refused)
        effects += _end(state, refused, 'queue_full', now)
    return effects


def _get_capacity(rate: float, wait_s: float) -> float:
    """Return how many flows can be admitted within a wait."""
    return max(MIN_WAITING_FLOWS, rate * wait_s)


def _explain_lasting_refusal(
    state: NodeState, flow: WaitingFlow, now: float
) -> str:
    """Return why a flow cannot be served by waiting, '' if it can."""
    reason = refusals.explain_refusal(state, flow.route, now)
    if reason not in _PASSING_REASONS:
        return reason
    if flow.deadline <= now:
        return 'wait_expired'
    has_usable = any(
        not entry.excludes_new_flows(now)
        for service in flow.scope[0]
        for entry in eligibility.list_eligible(state, flow.route, service)
    )
    return '' if has_usable else 'no_backend'


def _end(
    state: NodeState, flow: WaitingFlow, reason: str, now: float
) -> list[Effect]:
    """Reset a flow that is not in the queue, or drop it if it may be open."""
    if not flow.may_reset(now):
        state.counters.add('dropped', 'waiting_moved')
        return []
    packet = flow.packet
    other = state.flows.by_key.get(packet.key)
    state.invariants.check(
        'waiting_flow_forwarded',
        holds=other is None or other.initial_sequence != packet.sequence,
        detail=refusals.format_flow(packet),
    )
    return refusals.reset_flow(state, packet, reason, now)


def _build_log(state: NodeState, lane: Lane, flow: WaitingFlow) -> WriteLog:
    """Return the log event of a flow that waits.

    `position` is the number of flows in its class and more urgent ones.
    """
    queue = state.waiting
    return WriteLog(
        'queued',
        {
            'flow': refusals.format_flow(flow.packet),
            'position': lane.count_before(flow) + lane.count_class(flow),
            'waiting': len(queue.by_key),
            'admitted_per_s': queue.admitted.count(flow.scope),
            'caller_admitted': queue.callers.count(flow.packet.client),
        },
    )

"""Attempts of a flow: its SYN is sent to a backend, retried or refused."""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally import backendselection, gue, outliers, packet, retries
from apricottally.addresses import PACKET_PORT
from apricottally.backendselection import BackendLoad
from apricottally.effects import Effect, SendPacket
from apricottally.explanation import Decision
from apricottally.fairqueue import FairQueue
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

if TYPE_CHECKING:
    from apricottally.state import NodeState

# Time after sending a SYN in which its flow may be retried, and in which it is
# not refused for lack of an answer.
MIN_ANSWER_WAIT_S = 1.0
NO_NUMBER = -1


def record_decision(
    state: NodeState,
    now: float,
    flow: Flow,
    action: str,
    rule: str,
    number: int = NO_NUMBER,
) -> None:
    """Record a decision about a flow for the `why` command."""
    _add_decision(state, now, flow.route, flow.key, action, rule, number)


def record_syn_refusal(
    state: NodeState,
    now: float,
    route: Route,
    key: bytes,
    reason: str,
) -> None:
    """Record the refusal of a SYN for which no flow was created."""
    _add_decision(state, now, route, key, 'refuse', reason, NO_NUMBER)


def build_refusal(state: NodeState, segment: Segment) -> Effect:
    """Return the reset that tells the caller that no work ran for its SYN."""
    answer = packet.build_syn_refusal(segment)
    return SendPacket(state.config.gateway, gue.encode(answer))


def find_early_refusal(owned: OwnedShard, flow: Flow, now: float) -> str:
    """Return why a new flow cannot start by its deadline, '' if it can.

    The expected wait is the run time of the flows queued ahead, divided by
    the slots of the shard.
    """
    queue = owned.queues[flow.holds]
    if not queue:
        return ''
    route = flow.route
    urgency = route.template.urgency
    slots = owned.reserve.compute_limit(urgency, owned.slots, now)
    if not slots:
        return 'shed_class'
    ahead = queue.count_ahead(urgency, route.workspace)
    waits = [
        count * run_s / slots
        for count, run_s in zip(ahead, owned.reserve.mean_run_s, strict=False)
    ]
    left = flow.deadline - now
    if sum(waits) <= left:
        return ''
    return 'shed_class' if sum(waits[:-1]) > left else 'deadline'


def dispatch_waiting(
    state: NodeState,
    now: float,
    owned: OwnedShard,
) -> list[Effect]:
    """Send waiting flows to backends with room; refuse expired ones."""
    effects: list[Effect] = []
    if owned.retrying:
        effects += _dispatch_retrying(state, now, owned)
    for queue in owned.queues.values():
        for expired in queue.expire(now):
            if expired.item.phase is not Phase.waiting:
                continue
            reason = 'deadline' if owned.active else 'no_backend'
            effects.extend(refuse_flow(state, now, expired.item, reason))
        effects.extend(_dispatch_queued(state, now, owned, queue))
    return effects


def retry(
    state: NodeState,
    now: float,
    flow: Flow,
    reason: str,
) -> bool:
    """Release the flow's backend and schedule a retry; return False if refused.

    The released backend gets a reset only if its SYN-ACK arrives later. A
    reset sent now could break a flow that another owner has since established
    on that backend.
    """
    tries = len(flow.tried_numbers) + 1
    start = now + retries.draw_backoff(tries, state.rng)
    obstacle = retries.find_obstacle(tries, start, flow.deadline)
    if not obstacle and not _has_untried_backend(flow):
        obstacle = 'no_backend'
    if not obstacle and not state.admissions.retries.spend(
        flow.route.workspace,
    ):
        obstacle = 'budget'
    if obstacle:
        state.counters.add('retry_refused', obstacle)
        return False
    release_backend(flow)
    flow.retry_reason = reason
    flow.phase = Phase.retrying
    if start <= now:
        start = flow.deadline
        flow.owned.retrying.append(flow)
    state.admissions.timers.set(flow, start)
    return True


def handle_timer(state: NodeState, now: float, flow: Flow) -> list[Effect]:
    """Act on an expired timer, according to the phase of the flow."""
    if flow.phase is Phase.sent:
        return _handle_no_answer(state, now, flow)
    if flow.phase is Phase.retrying:
        return _handle_retry_timer(state, now, flow)
    if flow.phase is Phase.established and flow.holds is Holding.slot:
        # The flow has reached max_run_ms. Its packets are still forwarded, by
        # the backend number that they carry.
        state.counters.add('written_off', 'max_run')
        record_decision(state, now, flow, 'write_off', 'max_run', flow.number)
        flow.release_capacity()
        finish(state, now, flow)
        return []
    _forget(state, flow)
    return []


def release_backend(flow: Flow) -> None:
    """Free the slot or connection of a flow whose attempt has failed."""
    if flow.load is not None:
        flow.release_capacity()
        flow.tried_numbers += (flow.number,)
    flow.load = None


def refuse_flow(
    state: NodeState,
    now: float,
    flow: Flow,
    reason: str,
) -> list[Effect]:
    """Refuse the flow with a reset that answers its SYN."""
    state.invariants.check(
        'refusal_after_syn_ack',
        holds=not flow.syn_ack_forwarded,
        detail=flow,
    )
    state.counters.add('refused', reason)
    record_decision(state, now, flow, 'refuse', reason)
    if not flow.tried_numbers:
        route = flow.route
        queue = flow.owned.queues[flow.holds]
        queue.charge_refusal(route.template.urgency, route.workspace)
    flow.refusal_reason = reason
    if flow.tried_numbers:
        finish(state, now, flow)
    else:
        _forget(state, flow)
        attempt = build_attempt_key(flow.key, flow.segment.seq + 1)
        state.admissions.recent_refusals.add(attempt, now)
    return [build_refusal(state, flow.segment)]


def establish(state: NodeState, now: float, flow: Flow) -> None:
    """Mark the flow as established: its SYN-ACK is being forwarded."""
    flow.phase = Phase.established
    flow.syn_ack_forwarded = True
    if flow.load is not None:
        outliers.record_answer(flow.load)
    if flow.holds is Holding.connection:
        state.admissions.timers.set(flow, now + FLOW_RETENTION_S)
        return
    run_s = flow.route.template.max_run_ms / 1000
    state.admissions.timers.set(flow, flow.sent_at + run_s)
    if flow.load is not None:
        backendselection.record_accepted(flow.load, now)


def withdraw(state: NodeState, now: float, flow: Flow) -> None:
    """Stop handling a flow that another owner has admitted as well.

    The flow is not refused: its caller was sent the SYN-ACK of the backend
    that the other owner chose.
    """
    if flow.syn_ack_forwarded:
        return
    release_backend(flow)
    if flow in flow.owned.retrying:
        flow.owned.retrying.remove(flow)
    flow.syn_ack_forwarded = True
    record_decision(state, now, flow, 'withdraw', 'foreign_syn_ack')
    finish(state, now, flow)


def finish(state: NodeState, now: float, flow: Flow) -> None:
    """Mark a flow as over; keep it to recognize packets that arrive late."""
    flow.phase = Phase.over
    state.admissions.timers.set(flow, now + FLOW_RETENTION_S)


def _forget(state: NodeState, flow: Flow) -> None:
    flow.phase = Phase.over
    # A new flow may be stored under the same key.
    if state.admissions.flows.get(flow.key) is flow:
        state.admissions.flows.pop(flow.key)


def _choose_backend(
    owned: OwnedShard,
    flow: Flow,
    now: float,
) -> BackendLoad | None:
    if flow.holds is Holding.slot:
        urgency = flow.route.template.urgency
        if not owned.reserve.has_room(urgency, owned.slots, now):
            return None
    return backendselection.choose(
        owned.active,
        flow.holds,
        flow.key,
        now,
        takeover=owned.is_takeover(now),
        excluded=flow.tried_numbers,
    )


def _dispatch_queued(
    state: NodeState,
    now: float,
    owned: OwnedShard,
    queue: FairQueue[Flow],
) -> list[Effect]:
    effects: list[Effect] = []
    entry = queue.peek()
    while entry is not None:
        is_waiting = entry.item.phase is Phase.waiting
        load = _choose_backend(owned, entry.item, now) if is_waiting else None
        if is_waiting and load is None:
            break
        queue.pop()
        if load is not None:
            effects.append(send(state, now, entry.item, load))
        entry = queue.peek()
    return effects


def _dispatch_retrying(
    state: NodeState,
    now: float,
    owned: OwnedShard,
) -> list[Effect]:
    effects: list[Effect] = []
    for flow in owned.retrying.copy():
        load = _choose_backend(owned, flow, now)
        if load is not None and now < flow.deadline:
            owned.retrying.remove(flow)
            effects.append(send(state, now, flow, load))
    return effects


def send(
    state: NodeState,
    now: float,
    flow: Flow,
    load: BackendLoad,
) -> Effect:
    """Send the flow's SYN to a backend and take its slot or connection."""
    flow.acquire_capacity(load)
    state.invariants.check(
        'slot_over_admitted',
        holds=load.busy <= load.backend.slots,
        detail=load,
    )
    backendselection.update_credits(flow.owned.active, load, now)
    flow.phase = Phase.sent
    flow.sent_at = now
    state.admissions.timers.set(flow, now + retries.ANSWER_TIMEOUT_S)
    if flow.retry_reason:
        state.counters.add('retried', flow.retry_reason)
        record_decision(
            state, now, flow, 'retry', flow.retry_reason, flow.number
        )
    else:
        state.counters.add('admitted', flow.holds.value)
        state.admissions.retries.earn(flow.route.workspace)
        record_decision(
            state, now, flow, 'admit', 'least_outstanding', flow.number
        )
    endpoint = load.backend.ip, PACKET_PORT
    return SendPacket(endpoint, gue.encode(flow.syn))


def _handle_no_answer(state: NodeState, now: float, flow: Flow) -> list[Effect]:
    """Try another backend, or extend the wait; refuse the flow at its end."""
    if not flow.owned.is_owner:
        # The next owner may have received the SYN-ACK, so the flow may be open
        # and must not be refused.
        release_backend(flow)
        _forget(state, flow)
        return []
    if now < flow.sent_at + MIN_ANSWER_WAIT_S and now < flow.deadline:
        if flow.load is not None:
            outliers.record_no_answer(state, flow.load, now)
        if retry(state, now, flow, 'no_answer'):
            return []
    last = max(flow.deadline, flow.sent_at + MIN_ANSWER_WAIT_S)
    if now < last:
        state.admissions.timers.set(flow, last)
        return []
    release_backend(flow)
    return refuse_flow(state, now, flow, 'deadline')


def _handle_retry_timer(
    state: NodeState, now: float, flow: Flow
) -> list[Effect]:
    if now < flow.deadline:
        flow.owned.retrying.append(flow)
        state.admissions.timers.set(flow, flow.deadline)
        return []
    if flow in flow.owned.retrying:
        flow.owned.retrying.remove(flow)
    is_shed = flow.retry_reason == 'shed'
    reason = 'backend_refused' if is_shed else 'deadline'
    return refuse_flow(state, now, flow, reason)


def _has_untried_backend(flow: Flow) -> bool:
    """Tell whether the shard has a backend that the flow has not tried."""
    tried_numbers = {*flow.tried_numbers, flow.number}
    return any(
        load.backend.number not in tried_numbers for load in flow.owned.active
    )


def _add_decision(
    state: NodeState,
    now: float,
    route: Route,
    key: bytes,
    action: str,
    rule: str,
    number: int,
) -> None:
    state.decisions.add(
        Decision(
            now,
            key,
            action,
            rule,
            route.workspace,
            route.service.name,
            number,
            route.service.version,
        ),
    )

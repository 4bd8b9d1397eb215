"""Tries of a flow: sent to a backend, tried again, refused, ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally import balance, gue, outliers, packet, retries
from apricottally.addresses import PACKET_PORT
from apricottally.balance import BackendLoad
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

# Time after which a backend that has not answered a SYN is given up, even if
# no retry is possible.
ANSWER_LIMIT_S = 1.0
NO_NUMBER = -1


def decide(
    state: NodeState,
    now: float,
    flow: Flow,
    action: str,
    rule: str,
    number: int = NO_NUMBER,
) -> None:
    """Keep a decision about a flow for `why`."""
    _note(state, now, flow.route, flow.key, action, rule, number)


def note_refusal(
    state: NodeState,
    now: float,
    route: Route,
    key: bytes,
    reason: str,
) -> None:
    """Keep the refusal of a SYN that has no state."""
    _note(state, now, route, key, 'refuse', reason, NO_NUMBER)


def answer_refusal(state: NodeState, segment: Segment) -> Effect:
    """Return the reset that answers a SYN: the work has not run."""
    answer = packet.build_syn_refusal(segment)
    return SendPacket(state.config.gateway, gue.encode(answer))


def find_early_refusal(owned: OwnedShard, flow: Flow, now: float) -> str:
    """Return why a new flow cannot start in time, empty if it may.

    The expected wait is the work queued ahead over the slots of the shard.
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


def place_waiting(
    state: NodeState,
    now: float,
    owned: OwnedShard,
) -> list[Effect]:
    """Send waiting flows for which there is room, in order."""
    effects: list[Effect] = []
    if owned.retrying:
        effects += _place_retrying(state, now, owned)
    for queue in owned.queues.values():
        for expired in queue.expire(now):
            if expired.item.phase is not Phase.waiting:
                continue
            reason = 'deadline' if owned.active else 'no_backend'
            effects.extend(refuse_flow(state, now, expired.item, reason))
        effects.extend(_place_queued(state, now, owned, queue))
    return effects


def retry(
    state: NodeState,
    now: float,
    flow: Flow,
    reason: str,
) -> bool:
    """Give the flow's backend up for another; tell whether that is allowed.

    The backend given up is reset only when its SYN-ACK comes late. An earlier
    reset may hit a flow that another owner has established there meanwhile.
    """
    tries = len(flow.tried_numbers) + 1
    start = now + retries.draw_backoff(tries, state.rng)
    obstacle = retries.find_obstacle(tries, start, flow.deadline)
    if not obstacle and not _has_other(flow):
        obstacle = 'no_backend'
    if not obstacle and not state.admissions.retries.spend(
        flow.route.workspace,
    ):
        obstacle = 'budget'
    if obstacle:
        state.counters.add('retry_refused', obstacle)
        return False
    give_up(flow)
    flow.retry_reason = reason
    flow.phase = Phase.retrying
    if start <= now:
        start = flow.deadline
        flow.owned.retrying.append(flow)
    state.admissions.timers.set(flow, start)
    return True


def wake(state: NodeState, now: float, flow: Flow) -> list[Effect]:
    """Do what the flow's timer was set for."""
    if flow.phase is Phase.sent:
        return _miss_answer(state, now, flow)
    if flow.phase is Phase.retrying:
        return _wake_retry(state, now, flow)
    if flow.phase is Phase.established and flow.holds is Holding.slot:
        # The flow ran too long; its packets go on by their cookie.
        state.counters.add('written_off', 'max_run')
        decide(state, now, flow, 'write_off', 'max_run', flow.number)
        flow.release_capacity()
        finish(state, now, flow)
        return []
    _forget(state, flow)
    return []


def give_up(flow: Flow) -> None:
    """Free what the flow holds at a backend that has not answered it."""
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
    """Answer the flow's SYN with a reset: nothing has run."""
    state.invariants.check(
        'refusal_after_syn_ack',
        holds=not flow.syn_ack_forwarded,
        detail=flow,
    )
    state.counters.add('refused', reason)
    decide(state, now, flow, 'refuse', reason)
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
    return [answer_refusal(state, flow.segment)]


def establish(state: NodeState, now: float, flow: Flow) -> None:
    """Note that a SYN-ACK of the flow was passed on."""
    flow.phase = Phase.established
    flow.syn_ack_forwarded = True
    if flow.load is not None:
        outliers.note_answer(flow.load)
    if flow.holds is Holding.connection:
        state.admissions.timers.set(flow, now + FLOW_RETENTION_S)
        return
    run_s = flow.route.template.max_run_ms / 1000
    state.admissions.timers.set(flow, flow.sent_at + run_s)
    if flow.load is not None:
        balance.note_accepted(flow.load, now)


def withdraw(state: NodeState, now: float, flow: Flow) -> None:
    """End this owner's part in a flow that another owner has admitted.

    Its caller was sent the other backend's SYN-ACK, so it is not refused.
    """
    if flow.syn_ack_forwarded:
        return
    give_up(flow)
    if flow in flow.owned.retrying:
        flow.owned.retrying.remove(flow)
    flow.syn_ack_forwarded = True
    decide(state, now, flow, 'withdraw', 'foreign_syn_ack')
    finish(state, now, flow)


def finish(state: NodeState, now: float, flow: Flow) -> None:
    """Keep an ended flow for late packets only."""
    flow.phase = Phase.over
    state.admissions.timers.set(flow, now + FLOW_RETENTION_S)


def _forget(state: NodeState, flow: Flow) -> None:
    flow.phase = Phase.over
    # A new flow may have the key by now.
    if state.admissions.flows.get(flow.key) is flow:
        state.admissions.flows.pop(flow.key)


def _choose(
    owned: OwnedShard,
    flow: Flow,
    now: float,
) -> BackendLoad | None:
    if flow.holds is Holding.slot:
        urgency = flow.route.template.urgency
        if not owned.reserve.has_room(urgency, owned.slots, now):
            return None
    return balance.choose(
        owned.active,
        flow.holds,
        flow.key,
        now,
        takeover=owned.is_takeover(now),
        excluded=flow.tried_numbers,
    )


def _place_queued(
    state: NodeState,
    now: float,
    owned: OwnedShard,
    queue: FairQueue[Flow],
) -> list[Effect]:
    effects: list[Effect] = []
    entry = queue.peek()
    while entry is not None:
        is_waiting = entry.item.phase is Phase.waiting
        load = _choose(owned, entry.item, now) if is_waiting else None
        if is_waiting and load is None:
            break
        queue.pop()
        if load is not None:
            effects.append(send(state, now, entry.item, load))
        entry = queue.peek()
    return effects


def _place_retrying(
    state: NodeState,
    now: float,
    owned: OwnedShard,
) -> list[Effect]:
    effects: list[Effect] = []
    for flow in owned.retrying.copy():
        load = _choose(owned, flow, now)
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
    """Send the flow's SYN to a backend, whose slot or connection it takes."""
    flow.acquire_capacity(load)
    state.invariants.check(
        'slot_over_admitted',
        holds=load.busy <= load.backend.slots,
        detail=load,
    )
    balance.spend_credit(flow.owned.active, load, now)
    flow.phase = Phase.sent
    flow.sent_at = now
    state.admissions.timers.set(flow, now + retries.ANSWER_TIMEOUT_S)
    if flow.retry_reason:
        state.counters.add('retried', flow.retry_reason)
        decide(state, now, flow, 'retry', flow.retry_reason, flow.number)
    else:
        state.counters.add('admitted', flow.holds.value)
        state.admissions.retries.earn(flow.route.workspace)
        decide(state, now, flow, 'admit', 'least_outstanding', flow.number)
    endpoint = load.backend.ip, PACKET_PORT
    return SendPacket(endpoint, gue.encode(flow.syn))


def _miss_answer(state: NodeState, now: float, flow: Flow) -> list[Effect]:
    """Try another backend, or wait on for the one that has not answered."""
    if not flow.owned.is_owner:
        # The SYN-ACK may have gone to the next owner, so the flow may be open.
        give_up(flow)
        _forget(state, flow)
        return []
    if now < flow.sent_at + ANSWER_LIMIT_S and now < flow.deadline:
        if flow.load is not None:
            outliers.note_miss(state, flow.load, now)
        if retry(state, now, flow, 'no_answer'):
            return []
    last = max(flow.deadline, flow.sent_at + ANSWER_LIMIT_S)
    if now < last:
        state.admissions.timers.set(flow, last)
        return []
    give_up(flow)
    return refuse_flow(state, now, flow, 'deadline')


def _wake_retry(state: NodeState, now: float, flow: Flow) -> list[Effect]:
    if now < flow.deadline:
        flow.owned.retrying.append(flow)
        state.admissions.timers.set(flow, flow.deadline)
        return []
    if flow in flow.owned.retrying:
        flow.owned.retrying.remove(flow)
    is_shed = flow.retry_reason == 'shed'
    reason = 'backend_refused' if is_shed else 'deadline'
    return refuse_flow(state, now, flow, reason)


def _has_other(flow: Flow) -> bool:
    """Tell whether the shard has a backend that was not tried yet."""
    tried_numbers = {*flow.tried_numbers, flow.number}
    return any(
        load.backend.number not in tried_numbers for load in flow.owned.active
    )


def _note(
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

"""Forwarding of slowly answered SYNs to a second backend as well.

The client opens the flow at the one backend whose answer it acknowledges. Only
the SYN goes to both, so that no request is executed twice.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally.tagged import refusals
from apricottally.tagged.effects import Effect, Forward, WriteLog
from apricottally.tagged.flows import Flow
from apricottally.tagged.hedging import capacity
from apricottally.tagged.hedging.hedges import Hedge
from apricottally.tagged.records import Backend, Repetition

if TYPE_CHECKING:
    from apricottally.tagged.hedging.tables import ServiceHedging
    from apricottally.tagged.state import NodeState


def track_opening(
    state: NodeState,
    flow: Flow,
    service: str,
    now: float,
) -> None:
    """Count a new flow of a service, whose first SYN is forwarded now.

    If its requests may be repeated, its SYN may be hedged.
    """
    if not state.hedging.share:
        return
    found = state.hedging.record_opening(service, now)
    if flow.route.repetition is not Repetition.idempotent:
        return
    if state.flows.by_key.get(flow.key) is flow:
        found.waiting.append(flow)
        state.hedging.pending[service] = found


def track_answer(
    state: NodeState,
    flow: Flow,
    tag: int,
    now: float,
) -> None:
    """Record that a client has opened its flow at the backend with a tag.

    The time since the first SYN is a sample for the service. If another
    backend than the first has answered, it is a lower bound. It is included,
    because without the slowest answers the percentile would fall further and
    further.
    """
    if flow.hedge is not None:
        won = tag == flow.hedge.tag
        state.counters.add('hedge', 'won' if won else 'lost')
    if (
        not flow.tried_tags
        or flow.first_sent_at < state.hedging.measurable_since
    ):
        return
    first = state.catalog.find_by_tag(flow.tried_tags[0])
    if first is None or first.backend is None:
        return
    found = state.hedging.services.get(first.backend.service)
    if found is not None:
        found.answers.add(now - flow.first_sent_at, now)


def send_due(state: NodeState, now: float) -> list[Effect]:
    """Forward SYNs without an answer after the percentile of their service."""
    state.hedging.release_expired(state.occupancy, now)
    effects: list[Effect] = []
    for service, found in list(state.hedging.pending.items()):
        effects += _send_due_of_service(state, service, found, now)
        if not found.waiting:
            state.hedging.pending.pop(service)
    return effects


def _send_due_of_service(
    state: NodeState,
    service: str,
    found: ServiceHedging,
    now: float,
) -> list[Effect]:
    delay_s = found.answers.estimate_s(now)
    if delay_s is None:
        found.waiting.clear()
        return []
    effects: list[Effect] = []
    timeout_s = state.answer_time.timeout_s
    due_s = min(delay_s, timeout_s)
    waiting = found.waiting
    while waiting and now - waiting[0].first_sent_at >= due_s:
        flow = waiting.popleft()
        # After the time-out, the SYN is retried instead.
        is_late = now - flow.first_sent_at >= timeout_s
        if not is_late and _is_unanswered(flow):
            effects += _hedge(state, flow, service, found, now)
    return effects


def _is_unanswered(flow: Flow) -> bool:
    """Tell whether only the first backend can have answered, and has not."""
    return flow.syn is not None and len(flow.tried_tags) == 1


def _hedge(
    state: NodeState,
    flow: Flow,
    service: str,
    found: ServiceHedging,
    now: float,
) -> list[Effect]:
    """Forward a flow's SYN to a second backend if that is allowed."""
    if not found.limit.allows_hedge(now):
        state.counters.add('hedge', 'over_limit')
        return []
    if not capacity.has_room(state, service, found, now):
        state.counters.add('hedge', 'busy')
        return []
    backend = capacity.find_backend(state, flow, service, now)
    if backend is None:
        state.counters.add('hedge', 'no_backend')
        return []
    found.limit.record_hedge(now)
    state.flows.add_hedge(flow, Hedge(backend.tag, now))
    state.hedging.hedged.append(flow)
    state.counters.add('hedge', 'sent')
    return _build_effects(flow, backend, found, now)


def _build_effects(
    flow: Flow,
    backend: Backend,
    found: ServiceHedging,
    now: float,
) -> list[Effect]:
    if flow.syn is None:
        return []
    percentile_s = found.answers.estimate_s(now) or 0
    return [
        Forward(backend, flow.syn.raw, backend.tag),
        WriteLog(
            'hedged',
            {
                'flow': refusals.format_flow(flow.syn),
                'backend': backend.name,
                'delay_ms': round((now - flow.first_sent_at) * 1000),
                'percentile_ms': round(percentile_s * 1000),
                'extra': found.limit.count_hedges(now),
                'openings': found.limit.count_openings(now),
            },
        ),
    ]

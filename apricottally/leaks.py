"""Slots that an owner counts as taken although their flows have ended.

The end of a flow is told to the owner that the telling node knows. While
views differ that may be another node, and the slot would stay taken until
`max_run_ms`. Reports show it: two in a row with fewer busy slots than counted.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally import attempts
from apricottally.balance import BackendLoad
from apricottally.flows import Flow, Phase
from apricottally.model import Holding

if TYPE_CHECKING:
    from apricottally.state import NodeState

# Reports in a row that have to show the leak.
REPORTS = 2
# Flows younger than this may be missing from a report that lags.
MIN_AGE_S = 5.0


def write_off(state: NodeState, now: float, load: BackendLoad) -> None:
    """Free the slots of the oldest flows that reports do not confirm."""
    report = load.report
    if report is None or not load.is_fresh(now) or now < load.distrusted_until:
        load.unconfirmed = 0
        return
    excess = load.busy - load.started - report.busy
    load.unconfirmed = load.unconfirmed + 1 if excess > 0 else 0
    if load.unconfirmed < REPORTS:
        return
    old = [
        flow
        for flow in state.admissions.flows.values()
        if flow.load is load and _is_old(flow, now)
    ]
    old.sort(key=_sent_at)
    for flow in old[:excess]:
        state.counters.add('written_off', 'unconfirmed')
        attempts.decide(
            state,
            now,
            flow,
            'write_off',
            'unconfirmed',
            flow.number,
        )
        flow.release_capacity()
        attempts.finish(state, now, flow)


def _is_old(flow: Flow, now: float) -> bool:
    is_slot = flow.holds is Holding.slot and flow.phase is Phase.established
    return is_slot and now - flow.sent_at >= MIN_AGE_S


def _sent_at(flow: Flow) -> float:
    return flow.sent_at

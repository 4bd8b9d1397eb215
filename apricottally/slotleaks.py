"""Frees slots that an owner counts as busy although their flows have ended.

A node that sees the end of a flow notifies the node that it believes to be the
owner. While membership views differ, the notice may go to another node; the
slot would then stay busy until `max_run_ms`. Two consecutive load reports with
fewer busy slots than counted reveal such a leak.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally import attempts
from apricottally.backendselection import BackendLoad
from apricottally.flows import Flow, Phase
from apricottally.model import Holding

if TYPE_CHECKING:
    from apricottally.state import NodeState

# Consecutive reports that must show a leak before slots are freed.
MIN_REPORTS = 2
# A report may lag and not include flows younger than this.
MIN_FLOW_AGE_S = 5.0


def write_off(state: NodeState, now: float, load: BackendLoad) -> None:
    """Free the slots of the oldest flows that exceed the reported count."""
    report = load.report
    if report is None or not load.is_fresh(now) or now < load.distrusted_until:
        load.unconfirmed_reports = 0
        return
    excess = load.busy - load.started_since_poll - report.busy
    load.unconfirmed_reports = load.unconfirmed_reports + 1 if excess > 0 else 0
    if load.unconfirmed_reports < MIN_REPORTS:
        return
    candidates = [
        flow
        for flow in state.admissions.flows.values()
        if flow.load is load and _may_have_leaked(flow, now)
    ]
    candidates.sort(key=_sent_at)
    for flow in candidates[:excess]:
        state.counters.add('written_off', 'unconfirmed')
        attempts.record_decision(
            state,
            now,
            flow,
            'write_off',
            'unconfirmed',
            flow.number,
        )
        flow.release_capacity()
        attempts.finish(state, now, flow)


def _may_have_leaked(flow: Flow, now: float) -> bool:
    is_slot = flow.holds is Holding.slot and flow.phase is Phase.established
    return is_slot and now - flow.sent_at >= MIN_FLOW_AGE_S


def _sent_at(flow: Flow) -> float:
    return flow.sent_at

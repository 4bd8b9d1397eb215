"""Forwarding of unanswered SYNs to another backend."""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally.tagged import coldstart, probing, refusals, selection
from apricottally.tagged.catalogentry import Entry
from apricottally.tagged.effects import Effect, Forward
from apricottally.tagged.flows import Flow
from apricottally.tagged.places import eligibility
from apricottally.tagged.records import Route

if TYPE_CHECKING:
    from apricottally.tagged.state import NodeState


# Maximum number of backends selected for a SYN and its retransmissions. The
# last one is selected only when the client retransmits.
MAX_SYN_ATTEMPTS = 4


def retry_unanswered(state: NodeState, now: float) -> list[Effect]:
    """Forward SYNs that were not answered in time to another backend."""
    effects: list[Effect] = []
    half_open = state.flows.half_open
    wait_s = state.answer_time.timeout_s
    while half_open and now - half_open[0].syn_sent_at >= wait_s:
        flow = half_open.popleft()
        # If the SYN was forwarded again since, a later entry has the flow too.
        if flow.syn is not None and now - flow.syn_sent_at >= wait_s:
            effects += _handle_unanswered(state, flow, now)
    return effects


def _handle_unanswered(
    state: NodeState, flow: Flow, now: float
) -> list[Effect]:
    """Record an unanswered SYN, probe its backend and try another one."""
    is_miss = state.suspicion.record_miss(
        flow.tag, flow.key, flow.syn_sent_at, now
    )
    if not is_miss:
        return []
    effects = probing.request_probe(state, flow.tag, flow.syn_sent_at, now)
    if len(flow.tried_tags) < MAX_SYN_ATTEMPTS - 1:
        effects += forward_to_another(state, flow, now, 'no_answer')
    return effects


def is_answer_pending(state: NodeState, flow: Flow, now: float) -> bool:
    """Tell whether the SYN was forwarded too recently to be unanswered.

    A SYN that has waited may be forwarded just before the client's copy
    arrives. The copy must not make the backend suspect.
    """
    return now - flow.syn_sent_at < state.answer_time.timeout_s


def retry_retransmitted(
    state: NodeState, flow: Flow, now: float
) -> list[Effect]:
    """Forward a SYN that the client has retransmitted.

    It goes to another backend, or after the last attempt to the same one if
    that may still get new flows.
    """
    flow.seen_at = now
    state.suspicion.record_miss(flow.tag, flow.key, flow.syn_sent_at, now)
    if len(flow.tried_tags) < MAX_SYN_ATTEMPTS:
        return forward_to_another(state, flow, now, 'client_copy')
    entry = state.catalog.find_by_tag(flow.tag)
    if entry is None or entry.backend is None or flow.syn is None:
        return []
    if not may_get_copy(state, flow.route, entry, now):
        state.counters.add('retry_skipped', 'client_copy')
        return []
    return [Forward(entry.backend, flow.syn.raw, flow.tag)]


def may_get_copy(
    state: NodeState, route: Route, entry: Entry, now: float
) -> bool:
    """Tell whether a copy of a SYN may go to a backend that was sent it."""
    if not eligibility.is_eligible(state, route, entry, now):
        return False
    return coldstart.take_permit(state, entry, now)


def forward_to_another(
    state: NodeState,
    flow: Flow,
    now: float,
    reason: str,
) -> list[Effect]:
    """Forward a flow's SYN to the best backend, preferably an untried one."""
    packet = flow.syn
    if packet is None:
        return []
    entry = selection.select_backend(
        state, flow.route, flow.key, now, flow.tried_tags
    )
    if entry is None or entry.backend is None:
        state.counters.add('retry_skipped', reason)
        return []
    state.flows.reassign(flow, entry, now)
    state.counters.add('retried', reason)
    return [
        Forward(entry.backend, packet.raw, entry.backend.tag),
        refusals.build_selection_log(
            state, f'retried_{reason}', packet, entry, now
        ),
    ]

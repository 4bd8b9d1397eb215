"""Probes of backends that do not answer, and the handling of the results."""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally.effects import LogValue
from apricottally.tagged import coldstart, refusals
from apricottally.tagged.catalogentry import Entry
from apricottally.tagged.effects import Effect, ProbeBackend, WriteLog
from apricottally.tagged.events import ProbeEnded
from apricottally.tagged.records import Backend
from apricottally.tagged.suspicion import NEVER

if TYPE_CHECKING:
    from apricottally.tagged.state import NodeState


# A backend is probed if a request to it is not acknowledged for this long.
PROBE_AFTER_S = 0.12


def probe_stalled(state: NodeState, now: float) -> list[Effect]:
    """Probe backends with requests that have been pending for too long.

    Also repeats the probes of backends that refused a connection.
    """
    effects: list[Effect] = []
    pending_requests = state.flows.pending_requests
    while pending_requests and now - pending_requests[0][0] >= PROBE_AFTER_S:
        began_at, flow = pending_requests.popleft()
        if flow.busy and flow.request_seen_at == began_at:
            effects += request_probe(state, flow.tag, began_at, now)
    due_probes = state.suspicion.due_probes
    while due_probes and due_probes[0].due_at <= now:
        due = due_probes.popleft()
        effects += request_probe(state, due.tag, due.since, now)
    return effects


def handle_probe_result(state: NodeState, event: ProbeEnded) -> list[Effect]:
    """Record a probe's result; reset flows of an unreachable backend.

    Only flows whose pending request may be repeated are reset, so that their
    clients can send it again at once. Other requests may have been executed;
    their flows are kept, as the backend may still answer.
    """
    tag = event.tag
    now = event.now
    if event.reached:
        state.suspicion.record_response(tag, now)
        return []
    state.counters.add('probe', 'failed')
    if not event.conclusive:
        state.counters.add('probe', 'inconclusive')
        return []
    if event.refused and state.suspicion.record_connection_refused(
        tag, event.requested_at, now
    ):
        state.counters.add('probe', 'refused')
        return []
    if not state.suspicion.record_failed_probe(tag, event.requested_at, now):
        return []
    coldstart.record_unreachable(state, tag, now)
    fields: dict[str, LogValue] = {
        'tag': tag,
        'version': state.configuration_version,
    }
    effects: list[Effect] = [WriteLog('backend_unreachable', fields)]
    for flow in state.flows.list_repeatable(tag):
        if flow.request_packet is not None:
            effects += refusals.reset_flow(
                state, flow.request_packet, 'backend_unreachable', now
            )
    return effects


def request_probe(
    state: NodeState,
    tag: int,
    since: float,
    now: float,
) -> list[Effect]:
    """Probe a backend, unless it has answered a client after `since`."""
    entry = state.catalog.find_by_tag(tag)
    if entry is None or entry.backend is None:
        return []
    reference = _find_reference(state, entry)
    if reference is None:
        return []
    if not state.suspicion.claim_probe(tag, since, now):
        return []
    state.counters.add('probe', 'begun')
    return [ProbeBackend(entry.backend, reference)]


def _find_reference(state: NodeState, probed: Entry) -> Backend | None:
    """Return the backend that answered last, preferably of this zone.

    A failed probe of `probed` is conclusive only if this backend accepts a
    connection. Returns None if no other registered backend has answered.
    """
    best: Backend | None = None
    best_rank = (False, NEVER)
    for entry in state.catalog.entries():
        backend = entry.backend
        if backend is None or entry is probed or not entry.is_registered():
            continue
        last_response_at = state.suspicion.last_response_at(backend.tag)
        rank = (backend.zone == state.config.zone, last_response_at)
        if last_response_at > NEVER and rank > best_rank:
            best = backend
            best_rank = rank
    return best

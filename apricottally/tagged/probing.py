"""Probes of backends whose requests make no progress, and what follows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally.effects import LogValue
from apricottally.tagged import refusals
from apricottally.tagged.catalog import Entry
from apricottally.tagged.effects import Effect, ProbeBackend, WriteLog
from apricottally.tagged.events import ProbeEnded
from apricottally.tagged.records import Backend
from apricottally.tagged.suspicion import NEVER

if TYPE_CHECKING:
    from apricottally.tagged.state import NodeState


# A request without progress for so long has its backend probed.
PROBE_AFTER_S = 0.12


def probe_silent(state: NodeState, now: float) -> list[Effect]:
    """Probe backends whose requests make no progress."""
    effects: list[Effect] = []
    awaiting = state.flows.awaiting
    while awaiting and now - awaiting[0][0] >= PROBE_AFTER_S:
        began_at, flow = awaiting.popleft()
        if flow.busy and flow.data_at == began_at:
            effects += probe(state, flow.tag, began_at, now)
    return effects


def end_probe(state: NodeState, event: ProbeEnded) -> list[Effect]:
    """Take the end of a probe; end the flows of an unreachable backend.

    A client whose request may be repeated is told at once. One whose request
    may have run keeps its flow: the backend may still answer.
    """
    tag = event.tag
    now = event.now
    if event.reached:
        state.suspicion.note_proof(tag, now)
        return []
    state.counters.add('probe', 'failed')
    if not event.conclusive:
        state.counters.add('probe', 'inconclusive')
        return []
    if not state.suspicion.note_unreachable(tag, event.requested_at, now):
        return []
    fields: dict[str, LogValue] = {
        'tag': tag,
        'version': state.configuration_version,
    }
    effects: list[Effect] = [WriteLog('backend_unreachable', fields)]
    for flow in state.flows.list_repeatable(tag):
        if flow.last is not None:
            effects += refusals.reset(
                state, flow.last, 'backend_unreachable', now
            )
    return effects


def probe(
    state: NodeState,
    tag: int,
    since: float,
    now: float,
) -> list[Effect]:
    """Probe a backend, unless it has proved itself since a time."""
    entry = state.catalog.find_by_tag(tag)
    if entry is None or entry.backend is None:
        return []
    if not state.suspicion.wants_probe(tag, since, now):
        return []
    reference = _find_reference(state, entry)
    if reference is None:
        return []
    state.counters.add('probe', 'begun')
    return [ProbeBackend(entry.backend, reference)]


def _find_reference(state: NodeState, probed: Entry) -> Backend | None:
    """Return the backend that proved itself last, this zone's first."""
    best: Backend | None = None
    best_rank = (False, NEVER)
    for entry in state.catalog.entries():
        backend = entry.backend
        if backend is None or entry is probed or not entry.is_registered():
            continue
        proved_at = state.suspicion.proved_at(backend.tag)
        rank = (backend.zone == state.config.zone, proved_at)
        if proved_at > NEVER and rank > best_rank:
            best = backend
            best_rank = rank
    return best

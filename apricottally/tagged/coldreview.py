"""Periodic work for cold backends: membership, silent backends and clean-up."""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally.tagged import coldstart, probing
from apricottally.tagged.effects import Effect

if TYPE_CHECKING:
    from apricottally.tagged.state import NodeState

# A backend that was unreachable for this time counts as answered: without
# traffic or a reference for probes, nothing shows that it answers.
MAX_SILENCE_S = 60.0


def review(state: NodeState, now: float) -> list[Effect]:
    """Update the membership, probe silent backends and return log effects."""
    cold_starts = state.cold_starts
    if not cold_starts.list_limited(state.catalog.configuration):
        return []
    cold_starts.membership.review(state.neighbours.by_name.values(), now)
    effects: list[Effect] = list(cold_starts.refused)
    cold_starts.refused = []
    for tag, silence in cold_starts.silences.items():
        _note_answer(state, tag, silence, now)
        if silence.is_probe_due(now):
            silence.probed_at = now
            effects += probing.request_probe(state, tag, silence.since, now)
    return effects


def purge(state: NodeState, now: float) -> None:
    """Drop what is known of backends that are gone or warm."""
    cold_starts = state.cold_starts
    catalog = state.catalog
    for tag in list(cold_starts.silences):
        if catalog.find_by_tag(tag) is None:
            cold_starts.silences.pop(tag)
    for name in list(cold_starts.starts):
        if catalog.find_by_name(name) is None:
            cold_starts.starts.pop(name)
    names = {resource.decode() for resource in cold_starts.permits.resources()}
    for name in names | cold_starts.logged_at.keys():
        entry = catalog.find_by_name(name)
        if entry is None or coldstart.find_limit(state, entry, now) is None:
            cold_starts.permits.forget(name.encode())
            cold_starts.logged_at.pop(name, None)


def _note_answer(
    state: NodeState, tag: int, silence: coldstart.Silence, now: float
) -> None:
    """Note when a backend has answered after it was unreachable."""
    if silence.answered_at is not None:
        return
    is_over = now - silence.since > MAX_SILENCE_S
    if is_over or state.suspicion.last_response_at(tag) > silence.since:
        silence.answered_at = now

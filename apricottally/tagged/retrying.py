"""Further tries of first packets that got no answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally.tagged import choice, probing, refusals
from apricottally.tagged.effects import Effect, Forward
from apricottally.tagged.flows import Flow

if TYPE_CHECKING:
    from apricottally.tagged.state import NodeState


# Tries of a first packet, the client's copies included.
MAX_TRIES = 4


def retry_unanswered(state: NodeState, now: float) -> list[Effect]:
    """Send first packets that got no answer to another backend."""
    effects: list[Effect] = []
    opening = state.flows.opening
    wait_s = state.answer_time.timeout_s
    while opening and now - opening[0].sent_at >= wait_s:
        flow = opening.popleft()
        # A try that was made meanwhile has queued the flow again.
        if flow.syn is not None and now - flow.sent_at >= wait_s:
            effects += _miss(state, flow, now)
    return effects


def _miss(state: NodeState, flow: Flow, now: float) -> list[Effect]:
    """Count a first packet without answer, and try again."""
    counted = state.suspicion.note_miss(flow.tag, flow.key, flow.sent_at, now)
    if not counted:
        return []
    effects = probing.probe(state, flow.tag, flow.sent_at, now)
    if len(flow.tried) < MAX_TRIES - 1:
        effects += try_another(state, flow, now, 'no_answer')
    return effects


def repeat_first(state: NodeState, flow: Flow, now: float) -> list[Effect]:
    """Send the client's copy of a first packet to a backend that answers."""
    flow.seen_at = now
    state.suspicion.note_miss(flow.tag, flow.key, flow.sent_at, now)
    if len(flow.tried) < MAX_TRIES:
        return try_another(state, flow, now, 'client_copy')
    entry = state.catalog.find_by_tag(flow.tag)
    if entry is None or entry.backend is None or flow.syn is None:
        return []
    return [Forward(entry.backend, flow.syn.raw, flow.tag)]


def try_another(
    state: NodeState,
    flow: Flow,
    now: float,
    reason: str,
) -> list[Effect]:
    """Send a first packet to the backend that is best but those tried."""
    packet = flow.syn
    if packet is None:
        return []
    entry = choice.choose(state, flow.route, flow.key, now, flow.tried)
    if entry is None or entry.backend is None:
        state.counters.add('retry_skipped', reason)
        return []
    state.flows.move(flow, entry, now)
    state.counters.add('retried', reason)
    return [
        Forward(entry.backend, packet.raw, entry.backend.tag),
        refusals.log_choice(state, f'retried_{reason}', packet, entry, now),
    ]

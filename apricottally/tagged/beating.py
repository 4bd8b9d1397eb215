"""Beats between nodes: occupancy, revision and membership in one datagram."""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally.addresses import Endpoint
from apricottally.errors import WireError
from apricottally.tagged import messages, spread
from apricottally.tagged.effects import Effect, SendPeer, WriteLog
from apricottally.tagged.events import PeerArrived
from apricottally.tagged.messages import Beat, Delta
from apricottally.tagged.occupancy import Report

if TYPE_CHECKING:
    from apricottally.tagged.state import NodeState

# Longest and shortest time between two beats.
IDLE_PERIOD_S = 0.25
BUSY_PERIOD_S = 0.02
# Shortest time between two beats to other zones, whose bytes are dear.
OTHER_ZONES_PERIOD_S = 0.1
MAX_LOADS = 100


def tick(state: NodeState, now: float) -> list[Effect]:
    """Send a beat if one is due, and notice silent neighbours."""
    effects: list[Effect] = [
        _log_neighbour(state, 'neighbour_lost', name)
        for name in state.occupancy.drop_silent(now)
    ]
    contacts = state.neighbours.list_contacts(now, state.rng)
    if contacts:
        effects.append(SendPeer(tuple(contacts), _build(state, now)))
    if _is_due(state, now):
        effects += _beat(state, now)
    return effects


def receive(state: NodeState, event: PeerArrived) -> list[Effect]:
    """Handle a datagram of another node; a malformed one is only counted."""
    try:
        message = messages.decode(event.payload)
    except WireError as error:
        state.counters.add('peer_dropped', error.reason)
        return []
    if isinstance(message, Delta):
        return spread.receive_delta(state, message, event.now)
    return _receive_beat(state, message, event.now)


def _is_due(state: NodeState, now: float) -> bool:
    since = now - state.beaten_at
    if state.beat_due or since >= IDLE_PERIOD_S:
        return True
    return state.occupancy.changed and since >= BUSY_PERIOD_S


def _receive_beat(state: NodeState, beat: Beat, now: float) -> list[Effect]:
    name = beat.sender.name
    if name == state.config.name:
        return []
    neighbour, fresh = state.neighbours.hear(beat, now)
    state.occupancy.take_report(
        name,
        Report(now, beat.sender.incarnation, beat.sequence, beat.loads),
    )
    if beat.sender.zone == state.config.zone:
        state.suspicion.note_words(beat.dark, now)
    effects = spread.note_revision(state, neighbour, beat.age_ms, now)
    if fresh:
        endpoint = neighbour.endpoint
        effects.append(SendPeer((endpoint,), _build(state, now)))
        effects.append(_log_neighbour(state, 'neighbour_found', name))
    return effects


def _beat(state: NodeState, now: float) -> list[Effect]:
    targets = _list_endpoints(state, now)
    if not targets:
        state.beaten_at = now
        return []
    payload = _build(state, now)
    size = len(payload) * len(targets)
    urgent = state.beat_due or now - state.beaten_at >= IDLE_PERIOD_S
    if not (state.budget.take(now, size) or urgent):
        return []
    state.beaten_at = now
    state.beat_due = False
    state.occupancy.changed = False
    return [SendPeer(tuple(targets), payload)]


def _list_endpoints(state: NodeState, now: float) -> list[Endpoint]:
    targets = state.neighbours.list_targets(now, state.rng)
    if state.beat_due or now - state.beaten_afar_at >= OTHER_ZONES_PERIOD_S:
        state.beaten_afar_at = now
        return [neighbour.endpoint for neighbour in targets]
    return [
        neighbour.endpoint
        for neighbour in targets
        if neighbour.peer.zone == state.config.zone
    ]


def _build(state: NodeState, now: float) -> bytes:
    state.sequence += 1
    beat = Beat(
        state.neighbours.own,
        state.sequence,
        state.stopping,
        state.catalog.revision,
        state.freshness.age_ms(now),
        state.occupancy.list_loads(MAX_LOADS),
        state.suspicion.list_dark(now),
        state.neighbours.sample_known(now, state.rng),
    )
    return messages.encode(beat)


def _log_neighbour(state: NodeState, event: str, name: str) -> WriteLog:
    alive = len(state.occupancy.reports)
    return WriteLog(event, {'neighbour': name, 'alive': alive})

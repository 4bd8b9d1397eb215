"""Heartbeats: occupancy, revision and membership in one datagram."""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally.addresses import Endpoint
from apricottally.errors import WireError
from apricottally.tagged import messages, spread
from apricottally.tagged.effects import Effect, SendPeer, WriteLog
from apricottally.tagged.events import PeerArrived
from apricottally.tagged.messages import Delta, Heartbeat
from apricottally.tagged.occupancy import Report

if TYPE_CHECKING:
    from apricottally.tagged.state import NodeState

# Longest and shortest time between two heartbeats.
IDLE_PERIOD_S = 0.25
BUSY_PERIOD_S = 0.02
# Shortest time between two heartbeats to other zones, whose bytes are dear.
OTHER_ZONES_PERIOD_S = 0.1
MAX_LOADS = 100


def tick(state: NodeState, now: float) -> list[Effect]:
    """Send a heartbeat if one is due, and notice silent neighbours."""
    effects: list[Effect] = [
        _log_neighbour(state, 'neighbour_lost', name)
        for name in state.occupancy.drop_silent(now)
    ]
    contacts = state.neighbours.list_contacts(now, state.rng)
    if contacts:
        effects.append(SendPeer(tuple(contacts), _build(state, now)))
    if _is_due(state, now):
        effects += _send(state, now)
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
    return _receive_heartbeat(state, message, event.now)


def _is_due(state: NodeState, now: float) -> bool:
    since = now - state.heartbeat_at
    if state.heartbeat_due or since >= IDLE_PERIOD_S:
        return True
    return state.occupancy.changed and since >= BUSY_PERIOD_S


def _receive_heartbeat(
    state: NodeState, heartbeat: Heartbeat, now: float
) -> list[Effect]:
    name = heartbeat.sender.name
    if name == state.config.name:
        return []
    neighbour, fresh = state.neighbours.hear(heartbeat, now)
    state.occupancy.take_report(
        name,
        Report(
            now,
            heartbeat.sender.incarnation,
            heartbeat.sequence,
            heartbeat.loads,
        ),
    )
    if heartbeat.sender.zone == state.config.zone:
        state.suspicion.note_reported(heartbeat.unreachable, now)
    effects = spread.note_revision(state, neighbour, heartbeat.age_ms, now)
    if fresh:
        endpoint = neighbour.endpoint
        effects.append(SendPeer((endpoint,), _build(state, now)))
        effects.append(_log_neighbour(state, 'neighbour_found', name))
    return effects


def _send(state: NodeState, now: float) -> list[Effect]:
    targets = _list_endpoints(state, now)
    if not targets:
        state.heartbeat_at = now
        return []
    payload = _build(state, now)
    size = len(payload) * len(targets)
    urgent = state.heartbeat_due or now - state.heartbeat_at >= IDLE_PERIOD_S
    if not (state.budget.take(now, size) or urgent):
        return []
    state.heartbeat_at = now
    state.heartbeat_due = False
    state.occupancy.changed = False
    return [SendPeer(tuple(targets), payload)]


def _list_endpoints(state: NodeState, now: float) -> list[Endpoint]:
    targets = state.neighbours.list_targets(now, state.rng)
    if (
        state.heartbeat_due
        or now - state.remote_heartbeat_at >= OTHER_ZONES_PERIOD_S
    ):
        state.remote_heartbeat_at = now
        return [neighbour.endpoint for neighbour in targets]
    return [
        neighbour.endpoint
        for neighbour in targets
        if neighbour.peer.zone == state.config.zone
    ]


def _build(state: NodeState, now: float) -> bytes:
    state.sequence += 1
    heartbeat = Heartbeat(
        state.neighbours.own,
        state.sequence,
        state.stopping,
        state.catalog.revision,
        state.freshness.age_ms(now),
        state.occupancy.list_loads(MAX_LOADS),
        state.suspicion.list_unreachable(now),
        state.neighbours.sample_known(now, state.rng),
    )
    return messages.encode(heartbeat)


def _log_neighbour(state: NodeState, event: str, name: str) -> WriteLog:
    alive = len(state.occupancy.reports)
    return WriteLog(event, {'neighbour': name, 'alive': alive})

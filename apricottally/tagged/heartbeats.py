"""Heartbeats: backend load, record revision and membership in one datagram."""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally.addresses import Endpoint
from apricottally.errors import WireError
from apricottally.tagged import dissemination, messages
from apricottally.tagged.clocks import exchange
from apricottally.tagged.effects import Effect, SendPeer, WriteLog
from apricottally.tagged.events import PeerArrived
from apricottally.tagged.flowbackends import announcing
from apricottally.tagged.messages import (
    ClockRequest,
    Delta,
    FlowAnnouncement,
    Heartbeat,
)
from apricottally.tagged.neighbours import Neighbour
from apricottally.tagged.occupancy import NeighbourReport
from apricottally.tagged.zoneloads import sharing

if TYPE_CHECKING:
    from apricottally.tagged.state import NodeState

# Limits of the time between two heartbeats; changed loads are sent early.
MAX_PERIOD_S = 0.25
MIN_PERIOD_S = 0.02
# Minimum time between heartbeats to other zones: cross-zone traffic is costly.
MIN_REMOTE_PERIOD_S = 0.1
MAX_LOADS = 100


def tick(state: NodeState, now: float) -> list[Effect]:
    """Send due heartbeats and drop the load reports of silent neighbours."""
    effects: list[Effect] = [
        _log_neighbour(state, 'neighbour_lost', name)
        for name in state.occupancy.expire_reports(now)
    ]
    state.occupancy.expire_sums(now)
    contacts = state.neighbours.list_contacts(now, state.rng)
    if contacts:
        effects.append(SendPeer(tuple(contacts), _encode(state, now)))
    if _is_due(state, now):
        effects += _send(state, now)
    return effects


def receive(state: NodeState, event: PeerArrived) -> list[Effect]:
    """Handle a datagram from another node; malformed ones are only counted."""
    try:
        message = messages.decode(event.payload)
    except WireError as error:
        state.counters.add('peer_dropped', error.reason)
        return []
    if isinstance(message, Heartbeat):
        return _receive_heartbeat(state, message, event.now)
    if isinstance(message, Delta):
        return dissemination.receive_delta(state, message, event.now)
    if isinstance(message, ClockRequest):
        return exchange.answer(state, message, event.source, event.now)
    if isinstance(message, FlowAnnouncement):
        announcing.receive(state, message, event.now)
    else:
        exchange.receive_reply(state, message, event.now)
    return []


def _is_due(state: NodeState, now: float) -> bool:
    elapsed = now - state.last_heartbeat_at
    if state.heartbeat_due or elapsed >= MAX_PERIOD_S:
        return True
    return state.occupancy.changed and elapsed >= MIN_PERIOD_S


def _receive_heartbeat(
    state: NodeState, heartbeat: Heartbeat, now: float
) -> list[Effect]:
    name = heartbeat.sender.name
    if name == state.config.name:
        return []
    as_of = exchange.place_heartbeat(state, heartbeat, now)
    if exchange.is_late(as_of, now):
        state.counters.add('peer_dropped', 'late')
        return []
    neighbour, is_new = state.neighbours.record_heartbeat(heartbeat, now)
    state.occupancy.record_report(
        name,
        NeighbourReport(
            now,
            heartbeat.sender.incarnation,
            heartbeat.sequence,
            heartbeat.loads,
            heartbeat.sender.zone,
        ),
    )
    sharing.receive(state, heartbeat, as_of, now)
    if heartbeat.sender.zone == state.config.zone:
        state.suspicion.record_neighbour_report(heartbeat.unreachable, now)
    effects = exchange.request_if_due(state, neighbour, now)
    effects += dissemination.compare_records(
        state, neighbour, dissemination.confirm_as_of(as_of, heartbeat), now
    )
    if is_new:
        endpoint = neighbour.endpoint
        effects.append(SendPeer((endpoint,), _encode(state, now)))
        effects.append(_log_neighbour(state, 'neighbour_found', name))
        announcing.tell_new(state, neighbour, now)
    return effects


def _send(state: NodeState, now: float) -> list[Effect]:
    near, partners = _list_endpoints(state, now)
    if not (near or partners):
        state.last_heartbeat_at = now
        return []
    outgoing = sharing.address(state, _build(state, now), near, partners, now)
    urgent = (
        state.heartbeat_due or now - state.last_heartbeat_at >= MAX_PERIOD_S
    )
    if not (state.heartbeat_budget.take(now, outgoing.size) or urgent):
        return []
    if partners:
        state.last_remote_heartbeat_at = now
        state.remote_round += 1
    sharing.mark_sent(state, outgoing, now)
    state.last_heartbeat_at = now
    state.heartbeat_due = False
    state.occupancy.changed = False
    return list(outgoing.datagrams)


def _list_endpoints(
    state: NodeState, now: float
) -> tuple[list[Endpoint], list[Endpoint]]:
    """Return the receivers among the near nodes and among the partners.

    The turn of partners ends when they have been sent a heartbeat. Otherwise
    a node whose heartbeats are limited by the budget would rarely reach them.
    """
    near = state.gossip_targets.list_near(now)
    partners: list[Neighbour] = []
    period_s = sharing.get_remote_period(state, MIN_REMOTE_PERIOD_S, now)
    if state.heartbeat_due or now - state.last_remote_heartbeat_at >= period_s:
        partners = state.gossip_targets.list_next_partners(
            now, state.remote_round + 1
        )
        if not partners:
            state.last_remote_heartbeat_at = now
    else:
        near = [
            neighbour
            for neighbour in near
            if neighbour.peer.zone == state.config.zone
        ]
    return (
        [neighbour.endpoint for neighbour in near],
        [neighbour.endpoint for neighbour in partners],
    )


def _encode(state: NodeState, now: float) -> bytes:
    return messages.encode(_build(state, now))


def _build(state: NodeState, now: float) -> Heartbeat:
    state.heartbeat_sequence += 1
    return Heartbeat(
        state.neighbours.own,
        state.heartbeat_sequence,
        state.stopping,
        state.catalog.revision,
        state.configuration_version,
        state.freshness.age_ms(now),
        state.occupancy.list_loads(MAX_LOADS),
        state.suspicion.list_unreachable(now),
        state.neighbours.sample_alive(now, state.rng),
        state.cold_starts.membership.zone_size,
        sent_ms=state.clock.read(now),
    )


def _log_neighbour(state: NodeState, event: str, name: str) -> WriteLog:
    alive = len(state.occupancy.reports)
    return WriteLog(event, {'neighbour': name, 'alive': alive})

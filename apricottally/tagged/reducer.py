"""The reducer: applies an event to the state and returns the effects.

It does no I/O. Time comes from the events and random numbers come from the
generator in the state, so that a run can be reproduced from its seed.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from apricottally.tagged import (
    coldreview,
    dissemination,
    heartbeats,
    platformreads,
    probing,
    retrying,
    shutdown,
    steering,
)
from apricottally.tagged.effects import Effect, WriteLog
from apricottally.tagged.events import (
    Event,
    PacketArrived,
    PeerArrived,
    ProbeEnded,
    ReadFailed,
    RecordsChanged,
    RecordsListed,
    ShutdownRequested,
    SnapshotPulled,
    Ticked,
)
from apricottally.tagged.flowbackends import announcing, corrections
from apricottally.tagged.hedging import hedgedsyns
from apricottally.tagged.places import transitions
from apricottally.tagged.queueing import admission
from apricottally.tagged.state import NodeState

REVIEW_PERIOD_S = 0.05
PURGE_PERIOD_S = 2.0


def reduce(state: NodeState, event: Event) -> list[Effect]:
    """Apply one event to the state and return the resulting effects."""
    return _HANDLERS[type(event)](state, event)


def _tick(state: NodeState, event: Ticked) -> list[Effect]:
    now = event.now
    effects: list[Effect] = []
    gap = now - state.ticked_at
    paused = state.is_paused(now)
    state.ticked_at = now
    if paused:
        effects += _recover_from_pause(state, gap)
    else:
        effects += hedgedsyns.send_due(state, now)
        effects += retrying.retry_unanswered(state, now)
        effects += probing.probe_stalled(state, now)
        effects += admission.tick(state, now)
    if now - state.reviewed_at >= REVIEW_PERIOD_S:
        state.reviewed_at = now
        state.flows.expire_silent_requests(now)
        state.suspicion.review(state.catalog.entries(), now)
        effects += transitions.tick(state, now)
        effects += platformreads.tick(state, now)
        effects += coldreview.review(state, now)
    if now - state.purged_at >= PURGE_PERIOD_S:
        state.purged_at = now
        _purge(state, now)
    if state.freshness.detect_outage(now):
        fields = state.freshness.describe(now)
        effects.append(WriteLog('records_stale', fields))
    effects += announcing.tick(state, now)
    effects += corrections.tick(state, now)
    effects += heartbeats.tick(state, now)
    return effects + shutdown.tick(state, now)


def _recover_from_pause(state: NodeState, gap: float) -> list[Effect]:
    """Recover from a pause of the process.

    Replies may have arrived unread: suspicions are dropped, and time-outs of
    opening flows are extended by the pause.
    """
    state.suspicion.clear()
    state.hedging.measurable_since = state.ticked_at
    for flow in state.flows.half_open:
        flow.syn_sent_at += gap
    admission.recover_from_pause(state, state.ticked_at)
    state.counters.add('paused', 'tick_late')
    return [WriteLog('paused', {'gap_ms': int(gap * 1000)})]


def _purge(state: NodeState, now: float) -> None:
    configuration = state.catalog.configuration
    if configuration is None:
        return
    idle_s = configuration.idle_timeout_ms / 1000
    state.flows.purge(now, idle_s)
    state.hedging.purge(now)
    state.clock_bounds.purge(now)
    state.flows.backends.purge(idle_s, now)
    for tag in state.catalog.purge_removed(now):
        state.suspicion.forget(tag)
        state.occupancy.forget(tag)
    coldreview.purge(state, now)


_HANDLERS: dict[type, Callable[[NodeState, Any], list[Effect]]] = {
    PacketArrived: steering.handle_packet,
    PeerArrived: heartbeats.receive,
    Ticked: _tick,
    RecordsListed: platformreads.receive_list,
    RecordsChanged: platformreads.receive_changes,
    ReadFailed: platformreads.receive_failure,
    ProbeEnded: probing.handle_probe_result,
    SnapshotPulled: dissemination.apply_snapshot,
    ShutdownRequested: shutdown.request_shutdown,
}

"""Decides when this node reads the platform's records.

The first live node in hash order leads its zone. The leader of the first zone
watches the platform and relays changes. The other leaders read it if their
records have not been confirmed for longer than a watch takes, any other node
only if its own records are stale, with a delay that grows with its rank in hash
order. A node without records lists them at once.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from apricottally.effects import LogValue
from apricottally.tagged import dissemination, rejections
from apricottally.tagged.effects import (
    Effect,
    ListRecords,
    WatchRecords,
    WriteLog,
)
from apricottally.tagged.events import ReadFailed, RecordsChanged, RecordsListed
from apricottally.tagged.revisions import NO_REVISION, Revision

if TYPE_CHECKING:
    from apricottally.tagged.state import NodeState

# Time that a confirmation takes from the leader that watches to the others.
CONFIRMATION_DELAY_S = 0.5
# Additional record age, per rank in hash order, before a node reads. Ranks
# above `MAX_RANK` follow more closely, so that the last one does not wait much
# longer; if they read together, a large zone would do so after an outage.
RANK_DELAY_S = 0.15
MAX_RANK = 16
HIGH_RANK_DELAY_S = 0.02
# Base and maximum of the exponential back-off, with jitter, after failed reads.
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
# Additional back-off per rank in hash order.
RANK_BACKOFF_S = 0.3
# A full list is repeated after this time in case a watch has missed a change.
RELIST_PERIOD_S = 15.0
# Nodes that start together have discovered each other after this time.
DISCOVERY_S = 0.5


class Phase(enum.Enum):
    """Phase of a read: `reading` is in progress, `waiting` is back-off."""

    idle = 'idle'
    reading = 'reading'
    waiting = 'waiting'


@dataclass(slots=True)
class ReadState:
    """State of this node's reads of the platform.

    `must_list` is set before the first list, and if the platform no longer has
    the history that a watch needs. `lost_histories` counts such watches since
    the last one that was answered. `rejected` has the entries that were logged
    as not usable, with their revisions.
    """

    phase: Phase = Phase.idle
    must_list: bool = True
    retry_at: float = 0
    failures: int = 0
    lost_histories: int = 0
    listed_at: float = float('-inf')
    rejected: dict[str, Revision] = field(default_factory=dict)


def tick(state: NodeState, now: float) -> list[Effect]:
    """Start a list or watch if one is due."""
    reads = state.read_state
    if reads.phase is Phase.reading:
        return []
    if reads.phase is Phase.waiting and now < reads.retry_at:
        return []
    reads.phase = Phase.idle
    if not _should_read(state, now):
        return []
    reads.phase = Phase.reading
    if reads.must_list or now - reads.listed_at > RELIST_PERIOD_S:
        return [ListRecords()]
    return [WatchRecords(state.catalog.revision, state.config.watch_wait_s)]


def receive_list(state: NodeState, event: RecordsListed) -> list[Effect]:
    """Apply a complete list and start the next read if one is due."""
    reads = state.read_state
    effects = _finish_read(state, event.now)
    state.durations.platform_call.add(event.now - event.requested_at)
    reads.must_list = False
    reads.listed_at = event.now
    effects.append(_log_list(state, event))
    effects += rejections.record_listed(state, event.rejected)
    effects += dissemination.apply_list(state, event)
    return effects + tick(state, event.now)


def receive_changes(state: NodeState, event: RecordsChanged) -> list[Effect]:
    """Apply the changes from a watch and start the next read if one is due.

    A watch without changes confirms that the records are current.
    """
    effects = _finish_read(state, event.now)
    state.read_state.lost_histories = 0
    state.durations.platform_call.add(event.now - event.requested_at)
    effects += rejections.record_changed(state, event.rejected)
    effects += dissemination.apply_watched_changes(state, event)
    return effects + tick(state, event.now)


def receive_failure(state: NodeState, event: ReadFailed) -> list[Effect]:
    """Handle a failed read.

    If the platform has compacted its history, the records are listed at once;
    after any other failure the node backs off, also if the history is lost
    again after that list.
    """
    reads = state.read_state
    state.counters.add('read_failed', event.reason)
    if event.compacted:
        return _replace_history(state, event.now)
    reads.failures += 1
    _back_off(state, reads.failures, event.now)
    if reads.failures > 1:
        return []
    fields: dict[str, LogValue] = {
        'reason': event.reason,
        **state.freshness.describe(event.now),
        **_describe_known_revision(state),
    }
    return [WriteLog('platform_lost', fields)]


def _replace_history(state: NodeState, now: float) -> list[Effect]:
    """List the records, as no watch can continue from those known here."""
    reads = state.read_state
    reads.must_list = True
    reads.lost_histories += 1
    log = _log_lost_history(state, now)
    if reads.lost_histories > 1:
        _back_off(state, reads.lost_histories, now)
        return [log]
    reads.phase = Phase.idle
    return [log, *tick(state, now)]


def _back_off(state: NodeState, failures: int, now: float) -> None:
    """Delay the next read; the delay grows with the failures in a row."""
    delay = INITIAL_BACKOFF_S * 2 ** min(failures, 10)
    delay = min(delay, MAX_BACKOFF_S) * state.rng.uniform(0.5, 1)
    rank = min(state.neighbours.rank_in_zone(now), MAX_RANK)
    state.read_state.retry_at = now + delay + rank * RANK_BACKOFF_S
    state.read_state.phase = Phase.waiting


def _finish_read(state: NodeState, now: float) -> list[Effect]:
    reads = state.read_state
    reads.phase = Phase.idle
    if not reads.failures:
        return []
    fields = {
        'failures': reads.failures,
        **state.freshness.describe(now),
    }
    reads.failures = 0
    return [WriteLog('platform_regained', fields)]


def _log_list(state: NodeState, event: RecordsListed) -> WriteLog:
    return WriteLog(
        'records_listed',
        {
            'epoch': event.revision.epoch,
            'revision': event.revision.number,
            **_describe_known_revision(state),
            'records': len(event.changes),
        },
    )


def _log_lost_history(state: NodeState, now: float) -> WriteLog:
    fields = {
        **_describe_known_revision(state),
        **state.freshness.describe(now),
    }
    return WriteLog('history_lost', fields)


def _describe_known_revision(state: NodeState) -> dict[str, LogValue]:
    revision = state.catalog.revision
    return {
        'known_epoch': revision.epoch,
        'known_revision': revision.number,
    }


def _should_read(state: NodeState, now: float) -> bool:
    if state.catalog.revision == NO_REVISION:
        return True
    rank = state.neighbours.rank_in_zone(now)
    age = now - state.freshness.confirmed_at
    if age > state.config.stale_s + _get_rank_delay(rank):
        return True
    settled = now - state.started_at > DISCOVERY_S
    if rank or state.stopping or not settled:
        return False
    if not state.neighbours.rank_of_zone(now):
        return True
    return age > state.config.watch_wait_s + CONFIRMATION_DELAY_S


def _get_rank_delay(rank: int) -> float:
    """Return the additional record age before a node of a rank reads."""
    above = max(rank - MAX_RANK, 0)
    return (rank - above) * RANK_DELAY_S + above * HIGH_RANK_DELAY_S

"""Which node reads the platform, and when.

In each zone the first live node in hash order watches the platform and passes
changes on. Every other node reads for itself only when what it holds is too
old, those next in order first. A node that has just started reads the list
once.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

from apricottally.effects import LogValue
from apricottally.tagged import spread
from apricottally.tagged.effects import (
    Effect,
    ListRecords,
    WatchRecords,
    WriteLog,
)
from apricottally.tagged.events import ReadFailed, RecordsChanged, RecordsListed

if TYPE_CHECKING:
    from apricottally.tagged.state import NodeState

# Nodes that are next in order wait so much longer before they read.
RANK_DELAY_S = 0.15
MAX_RANK = 16
# Exponential back-off with jitter between failed reads.
FIRST_DELAY_S = 0.1
MAX_DELAY_S = 1.0
# Further back-off of a node for each one that comes before it.
RANK_BACKOFF_S = 0.3
# A reader lists anew after this time, in case a watch has missed a change.
RELIST_S = 15.0
# Nodes that start together know each other after this time.
SETTLE_S = 0.5


class Phase(enum.Enum):
    """What the node is doing."""

    idle = 'idle'
    reading = 'reading'
    waiting = 'waiting'


@dataclass(slots=True)
class Reading:
    """This node's part in reading the platform.

    `must_list` says that history was lost, so that only a list helps.
    """

    phase: Phase = Phase.idle
    must_list: bool = True
    retry_at: float = 0
    failures: int = 0
    listed_at: float = float('-inf')


def tick(state: NodeState, now: float) -> list[Effect]:
    """Start a read if this node should."""
    reading = state.reading
    if reading.phase is Phase.reading:
        return []
    if reading.phase is Phase.waiting and now < reading.retry_at:
        return []
    reading.phase = Phase.idle
    if not _should_read(state, now):
        return []
    reading.phase = Phase.reading
    if reading.must_list or now - reading.listed_at > RELIST_S:
        return [ListRecords()]
    return [WatchRecords(state.catalog.revision, state.config.watch_wait_s)]


def receive_list(state: NodeState, event: RecordsListed) -> list[Effect]:
    """Take a complete list and pass on what is new."""
    reading = state.reading
    effects = _regain(state, event.now)
    state.durations.platform_call.add(event.now - event.asked_at)
    reading.must_list = False
    reading.listed_at = event.now
    effects += spread.take_list(state, event)
    return effects + tick(state, event.now)


def receive_changes(state: NodeState, event: RecordsChanged) -> list[Effect]:
    """Take changes and pass them on; a watch without any confirms."""
    effects = _regain(state, event.now)
    state.durations.platform_call.add(event.now - event.asked_at)
    effects += spread.take_watched(state, event)
    return effects + tick(state, event.now)


def receive_failure(state: NodeState, event: ReadFailed) -> list[Effect]:
    """Try again later, or at once if only the history is gone."""
    reading = state.reading
    state.counters.add('read_failed', event.reason)
    if event.compacted and not reading.must_list:
        reading.must_list = True
        reading.phase = Phase.idle
        return tick(state, event.now)
    reading.failures += 1
    delay = FIRST_DELAY_S * 2 ** min(reading.failures, 10)
    delay = min(delay, MAX_DELAY_S) * state.rng.uniform(0.5, 1)
    rank = min(state.neighbours.rank_in_zone(event.now), MAX_RANK)
    reading.retry_at = event.now + delay + rank * RANK_BACKOFF_S
    reading.phase = Phase.waiting
    if reading.failures > 1:
        return []
    fields: dict[str, LogValue] = {
        'reason': event.reason,
        'age_ms': state.freshness.age_ms(event.now),
        'revision': state.catalog.revision,
    }
    return [WriteLog('platform_lost', fields)]


def _regain(state: NodeState, now: float) -> list[Effect]:
    reading = state.reading
    reading.phase = Phase.idle
    if not reading.failures:
        return []
    fields = {
        'failures': reading.failures,
        'age_ms': state.freshness.age_ms(now),
    }
    reading.failures = 0
    return [WriteLog('platform_regained', fields)]


def _should_read(state: NodeState, now: float) -> bool:
    if not state.catalog.revision:
        return True
    rank = min(state.neighbours.rank_in_zone(now), MAX_RANK)
    age = now - state.freshness.confirmed_at
    if age > state.config.stale_s + rank * RANK_DELAY_S:
        return True
    settled = now - state.started_at > SETTLE_S
    return rank == 0 and settled and not state.stopping

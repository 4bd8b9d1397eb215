"""The platform's key-value service in memory, for simulations in one process.

It has the revisions, compare-and-swap and ordered watches of the etcd v3
protocol, and faults that a simulation switches on.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from apricottally.effects import SwapRecord
from apricottally.events import (
    Event,
    PlatformLost,
    Record,
    RecordsReceived,
    SwapCompleted,
)
from standins.timeline import Timeline

# The same delay for all calls keeps the events of a watch in order.
CALL_DELAY_S = 0.005


@dataclass(slots=True)
class Watcher:
    """A client of the service; `feed` delivers events to it.

    `is_reachable` returns whether the network connects it with the service.
    `next_index` is the position in the history of the first change to send,
    None until the records are listed.
    """

    feed: Callable[[Event], None]
    is_reachable: Callable[[], bool]
    next_index: int | None = None


@dataclass(frozen=True, slots=True)
class PlatformCopy:
    """A copy of the service's records."""

    revision: int
    records: dict[str, Record]


@dataclass(slots=True)
class FakePlatform:
    """Records by key, their history, and the watchers by name.

    `down` refuses calls. The next `lose_answers` swaps take effect, but their
    answers are lost; the next `lose_calls` are lost before taking effect.
    """

    timeline: Timeline
    revision: int = 1
    records: dict[str, Record] = field(default_factory=dict)
    history: list[Record] = field(default_factory=list)
    watchers: dict[str, Watcher] = field(default_factory=dict)
    down: bool = False
    lose_answers: int = 0
    lose_calls: int = 0
    calls: int = 0

    def write(self, key: str, value: bytes | None) -> Record:
        """Store a value, or delete the key if the value is None."""
        self.revision += 1
        record = Record(key, self.revision, value)
        if value is None:
            self.records.pop(key, None)
        else:
            self.records[key] = record
        self.history.append(record)
        for name in self.watchers:
            self._schedule_changes(name)
        return record

    def begin_outage(self) -> None:
        """Start an outage, which ends all watches."""
        self.down = True
        for name in list(self.watchers):
            self._send_changes(name)

    def restore(self, older: PlatformCopy, bump: int) -> None:
        """Go back to a copy; `bump` is added to its revision.

        Watchers lose their watch.
        """
        self.begin_outage()
        self.down = False
        self.revision = older.revision + bump
        self.records = dict(older.records)
        self.history.clear()

    def take_copy(self) -> PlatformCopy:
        """Return a copy of the records to restore them from."""
        return PlatformCopy(self.revision, dict(self.records))

    def watch(self, name: str, watcher: Watcher) -> None:
        """Send a caller all records, and from then on each change."""
        self.calls += 2
        self.watchers[name] = watcher
        self.timeline.schedule(
            CALL_DELAY_S, lambda: self._send_records(name, watcher)
        )

    def swap(self, caller: Watcher, effect: SwapRecord) -> None:
        """Compare and swap after a delay; answer with an event."""
        self.calls += 1
        self.timeline.schedule(
            CALL_DELAY_S, lambda: self._run_swap(caller, effect)
        )

    def _send_records(self, name: str, watcher: Watcher) -> None:
        if self.watchers.get(name) is not watcher:
            return
        if self.down or not watcher.is_reachable():
            self.watchers.pop(name)
            watcher.feed(PlatformLost(self.timeline.now, 'unavailable'))
            return
        watcher.next_index = len(self.history)
        event = RecordsReceived(
            self.timeline.now,
            tuple(self.records.values()),
            self.revision,
            complete=True,
        )
        self.timeline.schedule(CALL_DELAY_S, lambda: watcher.feed(event))

    def _schedule_changes(self, name: str) -> None:
        self.timeline.schedule(CALL_DELAY_S, lambda: self._send_changes(name))

    def _send_changes(self, name: str) -> None:
        """Send a watcher all changes that it has not received yet."""
        watcher = self.watchers.get(name)
        if watcher is None or watcher.next_index is None:
            return
        if self.down or not watcher.is_reachable():
            self.watchers.pop(name)
            watcher.feed(PlatformLost(self.timeline.now, 'watch_ended'))
            return
        records = tuple(self.history[watcher.next_index :])
        watcher.next_index = len(self.history)
        event = RecordsReceived(
            self.timeline.now,
            records,
            self.revision,
            complete=False,
        )
        if records:
            self.timeline.schedule(CALL_DELAY_S, lambda: watcher.feed(event))

    def _run_swap(self, caller: Watcher, effect: SwapRecord) -> None:
        outcome = 'unknown'
        if caller.is_reachable() and not self.down:
            outcome = self._compare_and_swap(effect)
        event = SwapCompleted(
            self.timeline.now,
            effect.op_id,
            effect.key,
            outcome,
        )
        self.timeline.schedule(CALL_DELAY_S, lambda: caller.feed(event))

    def _compare_and_swap(self, effect: SwapRecord) -> str:
        if self.lose_calls:
            self.lose_calls -= 1
            return 'unknown'
        current = self.records.get(effect.key)
        if (current.version if current else 0) != effect.version:
            return 'conflict'
        self.write(effect.key, effect.value)
        if self.lose_answers:
            self.lose_answers -= 1
            return 'unknown'
        return 'stored'

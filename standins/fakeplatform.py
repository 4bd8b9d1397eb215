"""The platform's key-value service in memory, for runs within a process.

It has the revisions, compare-and-swap and ordered watches of the published
etcd v3 protocol, and faults that a run switches on.
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

# One delay for all calls keeps the order of a watch's answers.
DELAY_S = 0.005


@dataclass(slots=True)
class Watcher:
    """A caller's way to get events, and how much of the history it has.

    `reaches` tells whether calls get through at the moment.
    """

    feed: Callable[[Event], None]
    reaches: Callable[[], bool]
    seen: int | None = None


@dataclass(slots=True)
class FakePlatform:
    """Keys with their versions, and their watchers by name.

    `down` refuses calls. `lose_answers` lets that many swaps take effect
    without an answer; `lose_calls` drops them before they do.
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
        """Store a value, or delete the key if it is None."""
        self.revision += 1
        record = Record(key, self.revision, value)
        if value is None:
            self.records.pop(key, None)
        else:
            self.records[key] = record
        self.history.append(record)
        for name in self.watchers:
            self._plan_show(name)
        return record

    def stop(self) -> None:
        """Start an outage."""
        self.down = True
        for name in list(self.watchers):
            self._show(name)

    def watch(self, name: str, watcher: Watcher) -> None:
        """List the content for a caller and watch from then on."""
        self.calls += 2
        self.watchers[name] = watcher
        self.timeline.schedule(DELAY_S, lambda: self._list(name, watcher))

    def swap(self, caller: Watcher, effect: SwapRecord) -> None:
        """Compare and swap, and answer later."""
        self.calls += 1
        self.timeline.schedule(DELAY_S, lambda: self._swap(caller, effect))

    def _list(self, name: str, watcher: Watcher) -> None:
        if self.watchers.get(name) is not watcher:
            return
        if self.down or not watcher.reaches():
            self.watchers.pop(name)
            watcher.feed(PlatformLost(self.timeline.now, 'unavailable'))
            return
        watcher.seen = len(self.history)
        event = RecordsReceived(
            self.timeline.now,
            tuple(self.records.values()),
            self.revision,
            complete=True,
        )
        self.timeline.schedule(DELAY_S, lambda: watcher.feed(event))

    def _plan_show(self, name: str) -> None:
        self.timeline.schedule(DELAY_S, lambda: self._show(name))

    def _show(self, name: str) -> None:
        """Give a watcher all changes since those it has seen."""
        watcher = self.watchers.get(name)
        if watcher is None or watcher.seen is None:
            return
        if self.down or not watcher.reaches():
            self.watchers.pop(name)
            watcher.feed(PlatformLost(self.timeline.now, 'watch_ended'))
            return
        records = tuple(self.history[watcher.seen :])
        watcher.seen = len(self.history)
        event = RecordsReceived(
            self.timeline.now,
            records,
            self.revision,
            complete=False,
        )
        if records:
            self.timeline.schedule(DELAY_S, lambda: watcher.feed(event))

    def _swap(self, caller: Watcher, effect: SwapRecord) -> None:
        outcome = 'unknown'
        if caller.reaches() and not self.down:
            outcome = self._compare(effect)
        event = SwapCompleted(
            self.timeline.now,
            effect.op_id,
            effect.key,
            outcome,
        )
        self.timeline.schedule(DELAY_S, lambda: caller.feed(event))

    def _compare(self, effect: SwapRecord) -> str:
        if self.lose_calls:
            self.lose_calls -= 1
            return 'unknown'
        held = self.records.get(effect.key)
        if (held.version if held else 0) != effect.version:
            return 'conflict'
        self.write(effect.key, effect.value)
        if self.lose_answers:
            self.lose_answers -= 1
            return 'unknown'
        return 'stored'

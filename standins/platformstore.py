"""Key-value store of the platform stand-in, with every revision of each key.

Entries are `KeyValue` messages of the etcd v3 API and are never changed in
place. Revisions only increase; all writes of one transaction share one.
"""

import bisect
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from apricottally.etcd_pb2 import Event, KeyValue

MAX_VALUE_BYTES = 1_000_000
# As `range_end` this value selects all keys from `key` on.
OPEN_RANGE_END = b'\0'
# The revision of an empty store.
FIRST_REVISION = 1


class StoreError(Exception):
    """A request that the store refuses, with the error message of etcd."""


class TooLargeError(StoreError):
    """A value of more than `MAX_VALUE_BYTES`."""


class CompactedError(StoreError):
    """A revision that has been compacted."""


class FutureError(StoreError):
    """A revision that does not exist yet."""


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """A snapshot of the store to restore it from."""

    revision: int
    entries: tuple[KeyValue, ...]


class Store:
    """Key-value store with history.

    `cluster_id` changes when the store is restored from a copy, as etcd's does.
    `revision` is that of the last commit. The history up to
    `compacted_revision` is unavailable. `listeners` are called after each
    commit.
    """

    def __init__(self) -> None:
        self.cluster_id = 1
        self.revision = FIRST_REVISION
        self.compacted_revision = 0
        self.listeners: set[Callable[[], object]] = set()
        self._events: list[Event] = []
        self._event_revisions: list[int] = []
        self._events_by_key: defaultdict[bytes, list[Event]] = defaultdict(list)
        # Every key that was ever written, sorted.
        self._keys: list[bytes] = []
        self._uncommitted = False

    def take_copy(self) -> StoreCopy:
        """Return a snapshot of the current entries."""
        entries = self.list_range(b'\0', OPEN_RANGE_END)
        return StoreCopy(self.revision, tuple(entries))

    def restore(self, older: StoreCopy, bump: int = 0) -> None:
        """Go back to a snapshot, without its history.

        `bump` is added to its revision, and the history up to there is marked
        as compacted: etcd's options `--bump-revision` and `--mark-compacted`.
        """
        self.cluster_id += 1
        self.revision = older.revision + bump
        self.compacted_revision = self.revision if bump else 0
        self._events = [Event(type=Event.PUT, kv=kv) for kv in older.entries]
        self._events.sort(key=lambda event: event.kv.mod_revision)
        self._event_revisions = [
            event.kv.mod_revision for event in self._events
        ]
        self._events_by_key.clear()
        for event in self._events:
            self._events_by_key[event.kv.key].append(event)
        self._keys = sorted(self._events_by_key)

    def find(self, key: bytes) -> KeyValue | None:
        """Return the current entry of a key, None if there is none."""
        events = self._events_by_key.get(key)
        if not events or events[-1].type == Event.DELETE:
            return None
        return events[-1].kv

    def list_range(
        self,
        key: bytes,
        range_end: bytes,
        revision: int = 0,
    ) -> list[KeyValue]:
        """Return the entries of a range at a revision (0: now), by key.

        Raises `CompactedError` and `FutureError`.
        """
        if revision:
            self._check_revision(revision)
        keys = self._select_keys(key, range_end)
        found = (self._find_at(each, revision) for each in keys)
        return [entry for entry in found if entry is not None]

    def put(self, key: bytes, value: bytes, lease: int = 0) -> KeyValue | None:
        """Write a key and return its previous entry; raises `TooLargeError`."""
        self.check_value(value)
        previous = self.find(key)
        revision = self.revision + 1
        entry = KeyValue(
            key=key,
            value=value,
            lease=lease,
            mod_revision=revision,
            create_revision=previous.create_revision if previous else revision,
            version=previous.version + 1 if previous else 1,
        )
        self._append(Event(type=Event.PUT, kv=entry, prev_kv=previous))
        return previous

    def check_value(self, value: bytes) -> None:
        """Raise `TooLargeError` if a value is too large."""
        if len(value) > MAX_VALUE_BYTES:
            raise TooLargeError('etcdserver: request is too large')

    def delete_range(self, key: bytes, range_end: bytes) -> list[KeyValue]:
        """Delete the keys of a range and return their previous entries."""
        previous = self.list_range(key, range_end)
        for entry in previous:
            tombstone = KeyValue(key=entry.key, mod_revision=self.revision + 1)
            self._append(Event(type=Event.DELETE, kv=tombstone, prev_kv=entry))
        return previous

    def commit(self) -> None:
        """Commit the writes of a request, if any, as one revision."""
        if not self._uncommitted:
            return
        self._uncommitted = False
        self.revision += 1
        for listener in tuple(self.listeners):
            listener()

    def list_events(
        self,
        key: bytes,
        range_end: bytes,
        start_revision: int,
    ) -> list[Event]:
        """Return the committed events of a range from a revision on.

        Raises `CompactedError`.
        """
        if start_revision <= self.compacted_revision:
            raise CompactedError(
                'etcdserver: mvcc: required revision has been compacted',
            )
        start = bisect.bisect_left(self._event_revisions, start_revision)
        return [
            event
            for event in self._events[start:]
            if is_in_range(key, range_end, event.kv.key)
        ]

    def compact(self, revision: int) -> None:
        """Make the history up to a revision unavailable."""
        self.compacted_revision = max(
            self.compacted_revision, min(revision, self.revision)
        )

    def _append(self, event: Event) -> None:
        self._uncommitted = True
        self._events.append(event)
        self._event_revisions.append(event.kv.mod_revision)
        key = event.kv.key
        if key not in self._events_by_key:
            bisect.insort(self._keys, key)
        self._events_by_key[key].append(event)

    def _select_keys(self, key: bytes, range_end: bytes) -> list[bytes]:
        """Return the keys of a range that were ever written, sorted."""
        if not range_end:
            return [key] if key in self._events_by_key else []
        start = bisect.bisect_left(self._keys, key)
        if range_end == OPEN_RANGE_END:
            return self._keys[start:]
        return self._keys[start : bisect.bisect_left(self._keys, range_end)]

    def _check_revision(self, revision: int) -> None:
        if revision < self.compacted_revision:
            raise CompactedError(
                'etcdserver: mvcc: required revision has been compacted',
            )
        if revision > self.revision:
            raise FutureError(
                'etcdserver: mvcc: required revision is a future revision',
            )

    def _find_at(self, key: bytes, revision: int) -> KeyValue | None:
        if not revision:
            return self.find(key)
        events = self._events_by_key[key]
        index = bisect.bisect_right(
            events,
            revision,
            key=lambda event: event.kv.mod_revision,
        )
        if not index or events[index - 1].type == Event.DELETE:
            return None
        return events[index - 1].kv


def is_in_range(key: bytes, range_end: bytes, candidate: bytes) -> bool:
    """Return whether `candidate` is in a range, as the etcd API defines it."""
    if not range_end:
        return candidate == key
    if range_end == OPEN_RANGE_END:
        return candidate >= key
    return key <= candidate < range_end

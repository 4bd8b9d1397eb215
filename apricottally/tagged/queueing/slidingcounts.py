"""Counts of events by key within a sliding window of time."""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable
from typing import Generic, TypeVar

Key = TypeVar('Key', bound=Hashable)


class SlidingCounts(Generic[Key]):
    """How often each key was recorded within the last `window_s` seconds.

    At most `max_records` records are kept, the newest ones, and so at most as
    many keys.
    """

    __slots__ = ('_counts', '_max_records', '_records', '_window_s')

    def __init__(self, window_s: float, max_records: int) -> None:
        self._window_s = window_s
        self._max_records = max_records
        self._records: deque[tuple[float, Key]] = deque()
        self._counts: dict[Key, int] = {}

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records)

    def record(self, key: Key, now: float) -> None:
        """Count a key; times must not decrease."""
        self._records.append((now, key))
        self._counts[key] = self._counts.get(key, 0) + 1

    def count(self, key: Key) -> int:
        """Return the count of a key."""
        return self._counts.get(key, 0)

    def expire(self, now: float) -> set[Key]:
        """Drop records outside the window or beyond the limit.

        Returns the keys whose counts have changed.
        """
        records = self._records
        end = now - self._window_s
        changed: set[Key] = set()
        while records and (
            records[0][0] <= end or len(records) > self._max_records
        ):
            key = records.popleft()[1]
            changed.add(key)
            left = self._counts[key] - 1
            if left:
                self._counts[key] = left
            else:
                self._counts.pop(key)
        return changed

"""Items that are due at a time."""

from __future__ import annotations

import heapq
import itertools
from typing import Generic, TypeVar

_Item = TypeVar('_Item')


class Schedule(Generic[_Item]):
    """Items by the time at which they are due."""

    __slots__ = ('_counter', '_heap')

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, _Item]] = []
        # Keeps the order of items that are due at the same time.
        self._counter = itertools.count()

    def add(self, item: _Item, due_at: float) -> None:
        """Add an item that is due at a time."""
        heapq.heappush(self._heap, (due_at, next(self._counter), item))

    def take_due(self, now: float) -> list[_Item]:
        """Remove and return the items that are due."""
        found: list[_Item] = []
        while self._heap and self._heap[0][0] <= now:
            found.append(heapq.heappop(self._heap)[-1])
        return found

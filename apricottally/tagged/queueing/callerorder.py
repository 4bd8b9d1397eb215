"""Waiting flows of one class, ordered by caller and age.

The next flow is the oldest one of the caller with the fewest flows admitted
(max-min fairness). The last one is the youngest of the caller that would have
the most if all its flows were admitted. Each caller has one valid entry in two
heaps; entries that a change has made invalid are dropped when they reach the
top, or when they are the majority.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from typing import TypeAlias

from apricottally.tagged.queueing.slidingcounts import SlidingCounts
from apricottally.tagged.queueing.waitingflow import WaitingFlow

# Heaps with fewer entries than this plus two for each caller are not rebuilt.
_MIN_REBUILD_ENTRIES = 64

# Admitted flows of the caller, number of the flow, caller. In the heap of last
# flows both numbers are negative, and the first one includes waiting flows.
_HeapEntry: TypeAlias = tuple[int, int, int]


class CallerOrder:
    """The waiting flows of one class."""

    __slots__ = ('_admitted', '_by_caller', '_first', '_last', 'size')

    def __init__(self, admitted: SlidingCounts[int]) -> None:
        self.size = 0
        self._admitted = admitted
        # The flows of each caller by number, oldest first.
        self._by_caller: dict[int, OrderedDict[int, WaitingFlow]] = {}
        self._first: list[_HeapEntry] = []
        self._last: list[_HeapEntry] = []

    def add(self, flow: WaitingFlow) -> None:
        """Add a flow as the youngest of its caller."""
        caller = flow.packet.client
        flows = self._by_caller.get(caller)
        if flows is None:
            flows = OrderedDict()
            self._by_caller[caller] = flows
        flows[flow.number] = flow
        self.size += 1
        self.update(caller)

    def remove(self, flow: WaitingFlow) -> None:
        """Remove a flow that is in this order."""
        caller = flow.packet.client
        flows = self._by_caller[caller]
        flows.pop(flow.number)
        self.size -= 1
        if not flows:
            self._by_caller.pop(caller)
        self.update(caller)

    def update(self, caller: int) -> None:
        """Move a caller whose flows or count have changed to its place."""
        flows = self._by_caller.get(caller)
        if flows is None:
            return
        count = self._admitted.count(caller)
        heapq.heappush(self._first, (count, next(iter(flows)), caller))
        total = count + len(flows)
        heapq.heappush(self._last, (-total, -next(reversed(flows)), caller))
        most = 2 * len(self._by_caller) + _MIN_REBUILD_ENTRIES
        if len(self._first) > most or len(self._last) > most:
            self._rebuild()

    def get_first(self) -> WaitingFlow | None:
        """Return the flow to admit next, None if there is none."""
        heap = self._first
        while heap:
            count, number, caller = heap[0]
            flows = self._by_caller.get(caller)
            is_current = self._admitted.count(caller) == count
            if flows and is_current and next(iter(flows)) == number:
                return flows[number]
            heapq.heappop(heap)
        return None

    def get_last(self) -> WaitingFlow | None:
        """Return the flow to admit last, None if there is none."""
        heap = self._last
        while heap:
            total, number, caller = heap[0]
            flows = self._by_caller.get(caller)
            count = -total - len(flows or ())
            is_current = self._admitted.count(caller) == count
            if flows and is_current and next(reversed(flows)) == -number:
                return flows[-number]
            heapq.heappop(heap)
        return None

    def _rebuild(self) -> None:
        self._first.clear()
        self._last.clear()
        for caller, flows in self._by_caller.items():
            count = self._admitted.count(caller)
            self._first.append((count, next(iter(flows)), caller))
            total = count + len(flows)
            self._last.append((-total, -next(reversed(flows)), caller))
        heapq.heapify(self._first)
        heapq.heapify(self._last)

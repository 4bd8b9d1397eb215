"""Heap of deadlines, keyed by flow."""

import heapq
import math
from dataclasses import dataclass, field

from standins.tcpoutput import Flow


@dataclass(slots=True)
class TimerHeap:
    """Deadlines of flows, earliest first.

    Entries are never cancelled: the caller of `pop` discards an entry whose
    time differs from the flow's current deadline. `sequence` keeps entries of
    equal time in order of insertion.
    """

    heap: list[tuple[float, int, Flow]] = field(default_factory=list)
    sequence: int = 0

    @property
    def earliest(self) -> float:
        """The earliest deadline, infinite if the heap is empty."""
        return self.heap[0][0] if self.heap else math.inf

    def push(self, due: float, flow: Flow) -> None:
        """Add a deadline, in monotonic seconds."""
        self.sequence += 1
        heapq.heappush(self.heap, (due, self.sequence, flow))

    def pop(self, now: float) -> tuple[float, Flow] | None:
        """Remove and return the earliest entry, None if none is due."""
        if self.earliest > now:
            return None
        due, _, flow = heapq.heappop(self.heap)
        return due, flow

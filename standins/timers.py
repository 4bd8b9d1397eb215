"""Times at which something may be due, earliest first."""

import heapq
import math
from dataclasses import dataclass, field

from standins.tcpoutput import Flow


@dataclass(slots=True)
class Timers:
    """A heap of times by flow.

    Entries are never taken back: who pops one compares it with the time that
    is due now.
    """

    heap: list[tuple[float, int, Flow]] = field(default_factory=list)
    count: int = 0

    @property
    def earliest(self) -> float:
        """The earliest time, infinite if there is none."""
        return self.heap[0][0] if self.heap else math.inf

    def push(self, due: float, flow: Flow) -> None:
        """Add a time, in monotonic seconds."""
        self.count += 1
        heapq.heappush(self.heap, (due, self.count, flow))

    def pop(self, now: float) -> tuple[float, Flow] | None:
        """Remove and return the earliest entry if its time has come."""
        if self.earliest > now:
            return None
        due, _, flow = heapq.heappop(self.heap)
        return due, flow

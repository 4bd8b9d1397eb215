"""Simulated time: actions in the order of their times."""

import heapq
from collections.abc import Callable


class Timeline:
    """Actions to come; `now` is simulated monotonic time in seconds."""

    def __init__(self) -> None:
        self.now = float(0)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0

    def plan(self, delay: float, action: Callable[[], None]) -> None:
        """Run an action after a delay; equal times keep their order."""
        self._order += 1
        entry = (self.now + delay, self._order, action)
        heapq.heappush(self._queue, entry)

    def run(self, duration_s: float) -> None:
        """Run all actions of the next seconds."""
        end = self.now + duration_s
        while self._queue and self._queue[0][0] <= end:
            entry = heapq.heappop(self._queue)
            self.now = entry[0]
            entry[2]()
        self.now = end

"""Scheduler of actions in simulated time."""

import heapq
from collections.abc import Callable


class Timeline:
    """Queue of actions; `now` is simulated monotonic time in seconds."""

    def __init__(self) -> None:
        self.now = float(0)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
        """Run an action after `delay` seconds.

        Actions due at the same time run in the order of these calls.
        """
        self._sequence += 1
        entry = (self.now + delay, self._sequence, action)
        heapq.heappush(self._queue, entry)

    def run(self, duration_s: float) -> None:
        """Advance time by `duration_s` and run the actions due by then."""
        end = self.now + duration_s
        while self._queue and self._queue[0][0] <= end:
            entry = heapq.heappop(self._queue)
            self.now = entry[0]
            entry[2]()
        self.now = end

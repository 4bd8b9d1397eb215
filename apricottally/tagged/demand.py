"""Which priorities have a significant share of a service's requests.

Only the traffic counts: the priority of a hardly used route is ignored.
"""

from __future__ import annotations

from collections import Counter

# Length of a counting window. The current and the previous window are used.
WINDOW_S = 5.0
# Share of a service's requests from which a priority is active.
MIN_PRIORITY_SHARE = 0.05


class Demand:
    """Recent requests of each service by the priority of their route."""

    __slots__ = ('_current_counts', '_previous_counts', '_window_start')

    def __init__(self) -> None:
        self._window_start = float('-inf')
        self._current_counts: dict[str, Counter[int]] = {}
        self._previous_counts: dict[str, Counter[int]] = {}

    def count_request(self, service: str, priority: int, now: float) -> None:
        """Count a request; priority 0 is the most urgent."""
        if now - self._window_start > WINDOW_S:
            recent = now - self._window_start < 2 * WINDOW_S
            self._previous_counts = self._current_counts if recent else {}
            self._current_counts = {}
            self._window_start = now
        counts = self._current_counts.get(service)
        if counts is None:
            counts = Counter()
            self._current_counts[service] = counts
        counts[priority] += 1

    def list_active_priorities(self, service: str) -> list[int]:
        """Return the service's active priorities, most urgent first."""
        counts = self.count_recent(service)
        # Of many priorities, each may have less than the minimum share.
        most = max(counts.values(), default=0)
        min_count = min(MIN_PRIORITY_SHARE * counts.total(), most)
        return sorted(
            priority for priority, count in counts.items() if count >= min_count
        )

    def count_recent(self, service: str) -> Counter[int]:
        """Return the service's recent requests by priority."""
        current = self._current_counts.get(service, Counter())
        return current + self._previous_counts.get(service, Counter())

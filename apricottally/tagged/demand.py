"""Which classes of urgency have a real part in the work of a service.

A class is known by its traffic: routes that are hardly used define none.
"""

from __future__ import annotations

from collections import Counter

# Requests are counted over this time and the one before.
WINDOW_S = 5.0
# Smallest part of a service's requests that makes a class.
CLASS_SHARE = 0.05


class Demand:
    """Requests of each service by the priority of their route."""

    __slots__ = ('_counts', '_former', '_since')

    def __init__(self) -> None:
        self._since = float('-inf')
        self._counts: dict[str, Counter[int]] = {}
        self._former: dict[str, Counter[int]] = {}

    def note(self, service: str, priority: int, now: float) -> None:
        """Count a request for a service; 0 is the most urgent priority."""
        if now - self._since > WINDOW_S:
            recent = now - self._since < 2 * WINDOW_S
            self._former = self._counts if recent else {}
            self._counts = {}
            self._since = now
        counts = self._counts.get(service)
        if counts is None:
            counts = Counter()
            self._counts[service] = counts
        counts[priority] += 1

    def list_priorities(self, service: str) -> list[int]:
        """Return the priorities of the service's classes, most urgent first."""
        counts = self._counts.get(service, Counter())
        counts = counts + self._former.get(service, Counter())
        least = CLASS_SHARE * counts.total()
        return sorted(
            priority for priority, count in counts.items() if count >= least
        )

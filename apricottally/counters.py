"""Counters of the core, read by the monitoring endpoint.

A counter has a name, such as `refused`, and a reason, such as `deadline`.
Counters are part of the state, because one effect per packet would cost more
than the forwarding decision itself.
"""

from collections import defaultdict


class Counters:
    """Counts by name and reason that only increase."""

    __slots__ = ('counts',)

    def __init__(self) -> None:
        self.counts: defaultdict[tuple[str, str], int] = defaultdict(int)

    def add(self, name: str, reason: str, amount: int = 1) -> None:
        """Add `amount` to the counter."""
        self.counts[name, reason] += amount

    def total(self, name: str, reason: str | None = None) -> int:
        """Return the count of one reason, or of all reasons if None."""
        if reason is not None:
            return self.counts.get((name, reason), 0)
        return sum(
            count
            for (counted, _), count in self.counts.items()
            if counted == name
        )

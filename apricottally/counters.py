"""Counters of the core, read by the monitoring endpoint.

A counter has a name, such as `refused`, and a reason, such as `deadline`.
They live in the state, since an effect a packet would cost more than the
decision itself.
"""

from collections import defaultdict


class Counters:
    """Monotone counts by name and reason."""

    __slots__ = ('counts',)

    def __init__(self) -> None:
        self.counts: defaultdict[tuple[str, str], int] = defaultdict(int)

    def add(self, name: str, reason: str, amount: int = 1) -> None:
        """Add `amount` to the counter."""
        self.counts[name, reason] += amount

    def total(self, name: str, reason: str | None = None) -> int:
        """Return a counter, or the sum over all its reasons."""
        if reason is not None:
            return self.counts.get((name, reason), 0)
        return sum(
            count
            for (counted, _), count in self.counts.items()
            if counted == name
        )

"""Times as of which something is known."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AsOf:
    """A time as of which something is known, and who said it.

    `at` is in this node's clock and never after the moment that it stands for:
    the time when a request was sent, or a reading of a neighbour's clock placed
    by `ClockBounds`. The time when a message arrived is no such time, as the
    message may have lain unread. `source` is for logs.
    """

    at: float
    source: str

    def earlier(self, age_ms: int) -> AsOf:
        """Return the time `age_ms` before this one."""
        return AsOf(self.at - age_ms / 1000, self.source)

"""Bounds of how far the clocks of other nodes are ahead of this node's.

This node sends a request at its own time s, and the neighbour reads it at the
time r of its clock. As it reads the request after it was sent, its clock is
ahead of this node's by r - s at most. A reading of its clock, less this bound,
is never after the moment of the reading, however long a message with it was on
its way.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

from apricottally.tagged.clocks.asof import AsOf

# Largest difference in speed between two clocks, in seconds a second. Clocks
# without any synchronization differ by less than 0.0002.
MAX_DRIFT = 0.001
# A bound that has not been measured again for this time is dropped; its drift
# is then 0.3 s.
BOUND_LIFETIME_S = 300.0


class Sender(NamedTuple):
    """A process of a node that sends messages."""

    name: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class ClockBound:
    """How far the clock of one process is ahead of this node's at most.

    `lead_s` holds for the time `measured_at`; it grows with the drift since.
    """

    incarnation: int
    lead_s: float
    measured_at: float

    def compute_lead(self, now: float) -> float:
        """Return the bound that holds now, in seconds."""
        return self.lead_s + (now - self.measured_at) * MAX_DRIFT


class NodeClock:
    """This node's clock as it is stated to others: milliseconds since start.

    Readings are rounded down, so that what they stand for is not after them.
    """

    __slots__ = ('_started_at',)

    def __init__(self, started_at: float) -> None:
        self._started_at = started_at

    def read(self, now: float) -> int:
        """Return the reading at a time, rounded down."""
        return math.floor((now - self._started_at) * 1000)

    def read_up(self, now: float) -> int:
        """Return the reading at a time, rounded up."""
        return math.ceil((now - self._started_at) * 1000)

    def locate(self, reading_ms: int) -> float:
        """Return the time of a reading."""
        return self._started_at + reading_ms / 1000


class ClockBounds:
    """The bounds for the neighbours, by name."""

    __slots__ = ('_by_name',)

    def __init__(self) -> None:
        self._by_name: dict[str, ClockBound] = {}

    def find(self, sender: Sender, now: float) -> ClockBound | None:
        """Return the bound for a process, if it is not out of date."""
        bound = self._by_name.get(sender.name)
        if bound is None or bound.incarnation != sender.incarnation:
            return None
        if now - bound.measured_at > BOUND_LIFETIME_S:
            return None
        return bound

    def record(self, sender: Sender, lead_s: float, now: float) -> None:
        """Record a measured bound; an earlier one that is lower is kept."""
        known = self.find(sender, now)
        if known is not None:
            lead_s = min(lead_s, known.compute_lead(now))
        bound = ClockBound(sender.incarnation, lead_s, now)
        self._by_name[sender.name] = bound

    def place(
        self, sender: Sender, reading_ms: int, source: str, now: float
    ) -> AsOf | None:
        """Return a time that is not after a reading of a neighbour's clock.

        Returns None without a bound. A reading in the future shows that this
        node's clock has stood still since the measurement, as that of a
        suspended VM: the bound is dropped.
        """
        bound = self.find(sender, now)
        if bound is None:
            return None
        at = reading_ms / 1000 - bound.compute_lead(now)
        if at > now:
            self._by_name.pop(sender.name)
            return None
        return AsOf(at, source)

    def purge(self, now: float) -> None:
        """Drop the bounds that are out of date."""
        expired = [
            name
            for name, bound in self._by_name.items()
            if now - bound.measured_at > BOUND_LIFETIME_S
        ]
        for name in expired:
            self._by_name.pop(name)

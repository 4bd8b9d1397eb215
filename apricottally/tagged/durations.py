"""Histograms of durations, kept by the core and shown as metrics."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field

# Upper ends of the buckets in seconds; the last bucket has none.
BOUNDS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
)


@dataclass(slots=True)
class Histogram:
    """Counts by bucket, with the sum of all durations in seconds."""

    counts: list[int] = field(default_factory=lambda: [0] * (len(BOUNDS_S) + 1))
    sum_s: float = 0

    def add(self, duration_s: float) -> None:
        """Count one duration."""
        self.counts[bisect_left(BOUNDS_S, duration_s)] += 1
        self.sum_s += duration_s

    def list_cumulative(self) -> list[tuple[str, int]]:
        """Return the label of each bucket's end and the count up to it."""
        labels = [str(bound) for bound in BOUNDS_S]
        total = 0
        found = []
        for label, count in zip([*labels, '+Inf'], self.counts, strict=True):
            total += count
            found.append((label, total))
        return found


@dataclass(slots=True)
class Durations:
    """What is measured, by name of the metric.

    `answer` is the time from a first packet to the client's reaction,
    `platform_call` that of reads of the platform, `in_force` the age of
    records when they are applied, `choice_age` that when a backend is chosen.
    """

    answer: Histogram = field(default_factory=Histogram)
    platform_call: Histogram = field(default_factory=Histogram)
    in_force: Histogram = field(default_factory=Histogram)
    choice_age: Histogram = field(default_factory=Histogram)

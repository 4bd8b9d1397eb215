"""Histograms of durations, filled by the reducer, exported as metrics."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field

# Upper bounds of the buckets in seconds. One more bucket has no upper bound.
BUCKET_BOUNDS_S = (
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
    """Number of durations in each bucket, and the sum of all durations."""

    counts: list[int] = field(
        default_factory=lambda: [0] * (len(BUCKET_BOUNDS_S) + 1)
    )
    sum_s: float = 0

    def add(self, duration_s: float) -> None:
        """Add one duration to its bucket and to the sum."""
        self.counts[bisect_left(BUCKET_BOUNDS_S, duration_s)] += 1
        self.sum_s += duration_s

    def list_cumulative_counts(self) -> list[tuple[str, int]]:
        """Return each bucket's upper bound, as text, and the count up to it."""
        labels = [str(bound) for bound in BUCKET_BOUNDS_S]
        total = 0
        rows = []
        for label, count in zip([*labels, '+Inf'], self.counts, strict=True):
            total += count
            rows.append((label, total))
        return rows


@dataclass(slots=True)
class Durations:
    """All histograms of a node; the fields are named like the metrics.

    `answer` is the time from forwarding a SYN to the client's next packet,
    `platform_call` the duration of reads from the platform, `in_force` the
    age of records when they are applied, `choice_age` the age of the records
    when a backend is selected, `queue_wait` how long a forwarded SYN has
    waited for a backend.
    """

    answer: Histogram = field(default_factory=Histogram)
    platform_call: Histogram = field(default_factory=Histogram)
    in_force: Histogram = field(default_factory=Histogram)
    choice_age: Histogram = field(default_factory=Histogram)
    queue_wait: Histogram = field(default_factory=Histogram)

"""Percentile of the recent answer times of a service."""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections import deque
from dataclasses import dataclass, field

PERCENTILE = 0.95
# With fewer samples, the percentile is unknown: it would be the maximum.
MIN_SAMPLES = 20
MAX_SAMPLES = 512
SAMPLE_LIFETIME_S = 30.0


@dataclass(slots=True)
class AnswerPercentile:
    """The newest answer times of a service, in seconds."""

    # Time and value of each sample, oldest first, and all values in order.
    _samples: deque[tuple[float, float]] = field(default_factory=deque)
    _ordered: list[float] = field(default_factory=list)

    def add(self, sample_s: float, now: float) -> None:
        """Add the answer time of a flow, or a lower bound of it."""
        if len(self._samples) >= MAX_SAMPLES:
            self._drop_oldest()
        self._samples.append((now, sample_s))
        insort(self._ordered, sample_s)

    def estimate_s(self, now: float) -> float | None:
        """Return the percentile in seconds, None with too few samples."""
        while self._samples and now - self._samples[0][0] > SAMPLE_LIFETIME_S:
            self._drop_oldest()
        count = len(self._ordered)
        if count < MIN_SAMPLES:
            return None
        return self._ordered[math.ceil(PERCENTILE * count) - 1]

    def _drop_oldest(self) -> None:
        _, sample_s = self._samples.popleft()
        self._ordered.pop(bisect_left(self._ordered, sample_s))

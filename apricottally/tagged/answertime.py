"""The time that backends take to answer the first packet of a flow."""

from __future__ import annotations

from dataclasses import dataclass

# Weights of a new sample in the mean and in the deviation, as in TCP.
_GAIN = 0.125
_DEVIATION_GAIN = 0.25
_DEVIATIONS = 4
MIN_TIMEOUT_S = 0.04
MAX_TIMEOUT_S = 0.15
# Longer times come from lost packets and would hide them.
MAX_SAMPLE_S = 0.2


@dataclass(slots=True)
class AnswerTime:
    """Smoothed time from a first packet to the client's reaction.

    `timeout_s` is the time after which an answer is taken as lost.
    """

    mean_s: float = 0.02
    deviation_s: float = 0.01
    timeout_s: float = 0.06

    def add(self, sample_s: float) -> None:
        """Take the time of one flow."""
        if sample_s > MAX_SAMPLE_S:
            return
        error = sample_s - self.mean_s
        self.mean_s += _GAIN * error
        self.deviation_s += _DEVIATION_GAIN * (abs(error) - self.deviation_s)
        timeout = self.mean_s + _DEVIATIONS * self.deviation_s
        self.timeout_s = min(max(timeout, MIN_TIMEOUT_S), MAX_TIMEOUT_S)

"""Estimate of how long backends take to answer the SYN of a new flow."""

from __future__ import annotations

from dataclasses import dataclass

# Weights of a new sample in the mean and in the mean deviation, and the number
# of deviations added to the mean, as in TCP's retransmission timer (RFC 6298).
_GAIN = 0.125
_DEVIATION_GAIN = 0.25
_DEVIATIONS = 4
MIN_TIMEOUT_S = 0.04
MAX_TIMEOUT_S = 0.15
# Longer samples come from lost packets. Including them would raise the
# time-out, so that later losses would be noticed late.
MAX_SAMPLE_S = 0.2


@dataclass(slots=True)
class AnswerTime:
    """Smoothed time from forwarding a SYN to the client's next packet.

    The client sends that packet when it has the backend's answer. If none
    arrives within `timeout_s`, the SYN or its answer is treated as lost.
    """

    mean_s: float = 0.02
    deviation_s: float = 0.01
    timeout_s: float = 0.06

    def add(self, sample_s: float) -> None:
        """Update the estimate with the time measured on one flow."""
        if sample_s > MAX_SAMPLE_S:
            return
        error = sample_s - self.mean_s
        self.mean_s += _GAIN * error
        self.deviation_s += _DEVIATION_GAIN * (abs(error) - self.deviation_s)
        timeout = self.mean_s + _DEVIATIONS * self.deviation_s
        self.timeout_s = min(max(timeout, MIN_TIMEOUT_S), MAX_TIMEOUT_S)

"""Limits the SYNs a second of one node; sheds the least urgent first."""

from apricottally.model import Urgency

# SYNs a second that one node admits or queues by default.
DEFAULT_SYNS_PER_S = 5000.0
# Bucket capacity, in seconds of the SYN rate.
BURST_S = 0.1
# Minimum bucket capacity. A smaller bucket reserves too few tokens for urgent
# SYNs that happen to arrive together.
MIN_BURST_TOKENS = 32.0
# Fraction of the bucket that an urgency class leaves to more urgent classes.
_RESERVES = {
    Urgency.urgent: float(0),
    Urgency.normal: 0.25,
    Urgency.background: 0.5,
}


class SynBudget:
    """A token bucket that reserves its last tokens for urgent classes."""

    __slots__ = ('_burst', '_rate', '_tokens', '_updated')

    def __init__(self, syns_per_s: float = DEFAULT_SYNS_PER_S) -> None:
        self._rate = syns_per_s
        self._burst = max(syns_per_s * BURST_S, MIN_BURST_TOKENS)
        self._tokens = self._burst
        self._updated = float(0)

    def spend(self, now: float, urgency: Urgency) -> bool:
        """Take a token for a SYN; return False if its class has none left."""
        elapsed = now - self._updated
        if elapsed > 0:
            self._updated = now
            refilled = self._tokens + elapsed * self._rate
            self._tokens = min(refilled, self._burst)
        if self._tokens < 1 + _RESERVES[urgency] * self._burst:
            return False
        self._tokens -= 1
        return True

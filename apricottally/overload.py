"""Budget of SYNs a second of one node, the least urgent shed first."""

from apricottally.model import Urgency

# SYNs a second that one node admits or queues by default.
DEFAULT_SYNS_PER_S = 5000.0
# Tokens saved up at most, as seconds of the budget.
BURST_S = 0.1
# Tokens that the bucket holds at least: of a smaller one, too few are kept for
# urgent SYNs that arrive together by chance.
MIN_BURST = 32.0
# Part of the bucket that a class must leave for more urgent ones.
_RESERVES = {
    Urgency.urgent: float(0),
    Urgency.normal: 0.25,
    Urgency.background: 0.5,
}


class SynBudget:
    """A token bucket whose lower part only more urgent classes may use."""

    __slots__ = ('_burst', '_rate', '_tokens', '_updated')

    def __init__(self, syns_per_s: float = DEFAULT_SYNS_PER_S) -> None:
        self._rate = syns_per_s
        self._burst = max(syns_per_s * BURST_S, MIN_BURST)
        self._tokens = self._burst
        self._updated = float(0)

    def spend(self, now: float, urgency: Urgency) -> bool:
        """Take a token for a SYN; tell whether its class may have one."""
        elapsed = now - self._updated
        if elapsed > 0:
            self._updated = now
            refilled = self._tokens + elapsed * self._rate
            self._tokens = min(refilled, self._burst)
        if self._tokens < 1 + _RESERVES[urgency] * self._burst:
            return False
        self._tokens -= 1
        return True

"""Token bucket that limits traffic which a node itself generates."""

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """Allows `rate` units a second on average and `burst` units at once."""

    rate: float
    burst: float
    level: float = -1
    filled_at: float = 0

    def take(self, now: float, amount: float) -> bool:
        """Take `amount` units if available; tell whether they were taken."""
        if self.level < 0:
            self.level = self.burst
            self.filled_at = now
        gained = max(0, now - self.filled_at) * self.rate
        self.level = min(self.burst, self.level + gained)
        self.filled_at = max(now, self.filled_at)
        if amount > self.level:
            return False
        self.level -= amount
        return True

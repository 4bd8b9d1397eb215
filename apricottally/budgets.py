"""Token buckets that bound what a node sends on its own account."""

from dataclasses import dataclass


@dataclass(slots=True)
class Budget:
    """Allows `rate` bytes a second on average and `burst` at once."""

    rate: float
    burst: float
    level: float = -1
    filled_at: float = 0

    def take(self, now: float, amount: float) -> bool:
        """Take `amount` bytes if they are left; tell whether they were."""
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

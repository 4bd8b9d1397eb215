"""The fabric's view of the live balancers; failures show with a delay."""

import random

# How long a balancer that stopped answering still receives packets.
DEFAULT_LAG_S = 1.5


class BalancerView:
    """Live balancers according to the latest polls.

    A balancer that answers that it is not ready is removed immediately. One
    that does not answer is removed at the first poll `lag_s` or more after it
    was last ready.
    """

    def __init__(self, lag_s: float = DEFAULT_LAG_S) -> None:
        self._lag_s = lag_s
        self._last_ready: dict[str, float] = {}
        self._live: list[str] = []

    @property
    def live(self) -> list[str]:
        """Addresses of the live balancers, sorted."""
        return self._live

    def record_poll(self, now: float, ip: str, *, ready: bool | None) -> None:
        """Record the result of a poll; `ready` is None without an answer."""
        if ready:
            self._last_ready[ip] = now
        elif ready is None:
            last_ready = self._last_ready.get(ip)
            if last_ready is not None and now - last_ready >= self._lag_s:
                del self._last_ready[ip]
        else:
            self._last_ready.pop(ip, None)
        self._live = sorted(self._last_ready)

    def choose(self, rng: random.Random) -> str | None:
        """Return a random live balancer, None if there is none."""
        return rng.choice(self._live) if self._live else None

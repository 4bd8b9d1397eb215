"""The fabric's view of the live balancers, which lags behind the truth."""

import random

# A balancer that stopped answering is still sent packets for this long.
LAG_S = 1.5


class BalancerView:
    """Balancers by address, as the last polls showed them.

    One that says it is not ready is left out at once. One that does not
    answer is kept for `lag_s` after its last answer.
    """

    def __init__(self, lag_s: float = LAG_S) -> None:
        self._lag_s = lag_s
        self._ready_at: dict[str, float] = {}
        self._live: list[str] = []

    @property
    def live(self) -> list[str]:
        """The addresses that packets are sprayed over."""
        return self._live

    def observe(self, now: float, ip: str, *, ready: bool | None) -> None:
        """Take the result of a poll; None says that no answer came."""
        if ready:
            self._ready_at[ip] = now
        elif ready is None:
            seen = self._ready_at.get(ip)
            if seen is not None and now - seen >= self._lag_s:
                del self._ready_at[ip]
        else:
            self._ready_at.pop(ip, None)
        self._live = sorted(self._ready_at)

    def choose(self, rng: random.Random) -> str | None:
        """Return a balancer for one packet, None if none is known."""
        return rng.choice(self._live) if self._live else None

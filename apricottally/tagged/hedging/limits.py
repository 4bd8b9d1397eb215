"""Limit of a service's hedges to a share of its openings."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

# The limit holds in any period of this length.
WINDOW_S = 10.0
# Openings within this time of each other are counted together and leave the
# window together, as early as the first of them.
_GROUP_S = 0.1
# Each hedge needs the openings of two, so that steady demand uses at most half
# of the share. They lie between it and the previous hedge. A window with n
# hedges, n > 1, thus has the openings of 2 * (n - 1) >= n hedges, even if it
# starts and ends with a hedge.
_HEDGES_PAID = 2


@dataclass(slots=True)
class _Group:
    """A number of openings, the first of them at `started_at`."""

    started_at: float
    count: int = 0


@dataclass(slots=True)
class HedgeLimit:
    """Openings and hedges of one service at this node.

    `share` is the maximum number of hedges for each opening, 0 to 1. There is
    no minimum allowance, so that the sum over all nodes is within the share.
    """

    share: float
    # Openings since the last hedge, and in the window.
    _unused: int = 0
    _recent: int = 0
    _groups: deque[_Group] = field(default_factory=deque)
    _hedged_at: deque[float] = field(default_factory=deque)

    def record_opening(self, now: float) -> None:
        """Count a flow whose first SYN is forwarded to the service."""
        self._drop_expired(now)
        groups = self._groups
        if not groups or now - groups[-1].started_at >= _GROUP_S:
            groups.append(_Group(now))
        groups[-1].count += 1
        self._recent += 1
        self._unused += 1

    def record_hedge(self, now: float) -> None:
        """Count a hedge, which uses up the openings so far."""
        self._hedged_at.append(now)
        self._unused = 0

    def allows_hedge(self, now: float) -> bool:
        """Tell whether one more hedge is within the limit."""
        openings = min(self._unused, self.count_openings(now))
        return self.share * openings >= _HEDGES_PAID

    def count_openings(self, now: float) -> int:
        """Return the openings in the last `WINDOW_S`, rounded down."""
        self._drop_expired(now)
        return self._recent

    def count_hedges(self, now: float) -> int:
        """Return the hedges in the last `WINDOW_S`."""
        self._drop_expired(now)
        return len(self._hedged_at)

    def _drop_expired(self, now: float) -> None:
        start = now - WINDOW_S
        while self._groups and self._groups[0].started_at <= start:
            self._recent -= self._groups.popleft().count
        while self._hedged_at and self._hedged_at[0] < start:
            self._hedged_at.popleft()

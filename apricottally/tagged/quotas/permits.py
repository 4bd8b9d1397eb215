"""Permits: shares of a rate that one node at a time may use.

A rate of R a second is split into R permits, rounded down, or one if R is below
1. Each may be used once in a second, or once in 1/R seconds. Rounding up, as
with periods of `permits / R`, would allow more than R in one second.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from apricottally.tagged.quotas.ring import Arc, place_permit

# Added to the time between two uses of a permit: the second use may reach the
# resource faster than the first.
TRANSIT_MARGIN_S = 0.1
# Bounds the cost of a lookup; a higher rate is limited to this number a second.
MAX_PERMITS = 256


@dataclass(slots=True)
class _Share:
    """The permits of one resource on an arc, with the time of their last use.

    Times by index are kept if the arc or the rate changes.
    """

    count: int
    arc: Arc | None
    held: tuple[int, ...] = ()
    used_at: dict[int, float] = field(default_factory=dict)


class Permits:
    """The permits that a node holds, by resource.

    `arc` is this node's part of the ring, None while it may use no permit.
    """

    __slots__ = ('_shares',)

    def __init__(self) -> None:
        self._shares: dict[bytes, _Share] = {}

    def take(
        self, resource: bytes, rate: float, arc: Arc | None, now: float
    ) -> bool:
        """Use a permit for a resource of `rate` a second; tell if one is left.

        A rate of 0 has no permits.
        """
        index = self._find_unused(resource, rate, arc, now)
        if index is None:
            return False
        self._shares[resource].used_at[index] = now
        return True

    def would_allow(
        self, resource: bytes, rate: float, arc: Arc | None, now: float
    ) -> bool:
        """Tell whether `take` would find a permit."""
        return self._find_unused(resource, rate, arc, now) is not None

    def count_held(self, resource: bytes) -> int:
        """Return the number of permits held at the last look-up."""
        share = self._shares.get(resource)
        return 0 if share is None or share.arc is None else len(share.held)

    def forget(self, resource: bytes) -> None:
        """Drop the permits of a resource that is not used any more."""
        self._shares.pop(resource, None)

    def resources(self) -> Iterable[bytes]:
        """Return the resources for which permits are kept."""
        return self._shares.keys()

    def _find_unused(
        self, resource: bytes, rate: float, arc: Arc | None, now: float
    ) -> int | None:
        if rate <= 0:
            return None
        share = self._refresh(resource, count_permits(rate), arc)
        if arc is None:
            return None
        period_s = compute_period_s(rate)
        for index in share.held:
            if now - share.used_at.get(index, -math.inf) >= period_s:
                return index
        return None

    def _refresh(self, resource: bytes, count: int, arc: Arc | None) -> _Share:
        share = self._shares.get(resource)
        if share is None:
            share = _Share(0, None)
            self._shares[resource] = share
        if arc is None or (share.count == count and share.arc == arc):
            return share
        share.count = count
        share.arc = arc
        share.held = tuple(
            index
            for index in range(count)
            if arc.covers(place_permit(resource, index))
        )
        return share


def count_permits(rate: float) -> int:
    """Return the number of permits into which a rate is split."""
    return max(1, min(int(rate), MAX_PERMITS))


def compute_period_s(rate: float) -> float:
    """Return the least time between two uses of a permit."""
    return max(1, 1 / rate) + TRANSIT_MARGIN_S

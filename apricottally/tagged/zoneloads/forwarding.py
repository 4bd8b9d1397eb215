"""Forwarding of another zone's sums to the nodes of this zone.

Only some nodes of a zone hear directly from a given other zone. Each of them
forwards the newest sums that it has heard, unless sums that are about as new
have been forwarded by another one.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from apricottally.tagged.zoneloads.counts import SUM_LIFETIME_S
from apricottally.tagged.zoneloads.wire import (
    BACKEND_BYTES,
    MAX_ZONES,
    ZoneLoads,
)

# Sums are forwarded if they are newer by this than those that the zone's nodes
# have. It is half of the time between two heartbeats of a node to other zones.
MIN_STEP_S = 0.1
LONG_AGO = float('-inf')


@dataclass(frozen=True, slots=True)
class HeardSums:
    """Packed sums that a node of the zone itself has sent."""

    zone: str
    made_at: float
    loads: bytes


class Forwarding:
    """The sums that this node may forward, by their zone."""

    __slots__ = ('_heard', '_shared_at')

    def __init__(self) -> None:
        self._heard: dict[str, HeardSums] = {}
        # When the newest sums were made that nodes of this zone have sent to
        # each other.
        self._shared_at: dict[str, float] = {}

    def record_heard(self, heard: HeardSums) -> None:
        """Record sums received from a node of their own zone."""
        known = self._heard.get(heard.zone)
        if known is None or heard.made_at > known.made_at:
            self._heard[heard.zone] = heard

    def record_shared(self, zone: str, made_at: float) -> None:
        """Record sums of a zone that a node of this zone has forwarded."""
        self._shared_at[zone] = max(made_at, self._get_shared_at(zone))

    def list_due(self, now: float, max_backends: int) -> tuple[ZoneLoads, ...]:
        """Return the sums to forward now, those shared longest ago first.

        They are of at most `MAX_ZONES` zones and have at most `max_backends`
        backends together; what exceeds this is left out.
        """
        found: list[ZoneLoads] = []
        room = max_backends * BACKEND_BYTES
        for heard in sorted(self._list_new(now), key=self._get_order):
            loads = heard.loads[:room]
            if loads or not heard.loads:
                room -= len(loads)
                age_ms = math.ceil((now - heard.made_at) * 1000)
                found.append(ZoneLoads(heard.zone, age_ms, loads))
        return tuple(found[:MAX_ZONES])

    def mark_forwarded(self, sent: tuple[ZoneLoads, ...], now: float) -> None:
        """Record that this node has forwarded sums."""
        for sums in sent:
            self.record_shared(sums.zone, now - sums.age_ms / 1000)
            self._heard.pop(sums.zone)

    def _list_new(self, now: float) -> list[HeardSums]:
        return [
            heard
            for heard in self._heard.values()
            if now - heard.made_at <= SUM_LIFETIME_S
            and heard.made_at - self._get_shared_at(heard.zone) >= MIN_STEP_S
        ]

    def _get_shared_at(self, zone: str) -> float:
        return self._shared_at.get(zone, LONG_AGO)

    def _get_order(self, heard: HeardSums) -> tuple[float, str]:
        return self._get_shared_at(heard.zone), heard.zone

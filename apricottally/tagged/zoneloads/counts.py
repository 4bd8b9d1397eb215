"""Requests in progress that other zones have placed, by zone and tag.

A node hears of another zone in two ways: sums of the whole zone, and reports
of single nodes. Both contain the requests of these single nodes, so the larger
one counts. Methods that change counts return by how much the total over all
other zones changes at each tag.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

# Sums are sent every 0.1 s by each node of a busy zone; older ones are dropped
# because the backends' queues have changed.
SUM_LIFETIME_S = 0.5


@dataclass(slots=True)
class _Zone:
    """What is known of one zone; `made_at` is when its sums were made."""

    singles: dict[int, int] = field(default_factory=dict)
    sums: dict[int, int] = field(default_factory=dict)
    made_at: float = float('-inf')

    def count(self, tag: int) -> int:
        return max(self.singles.get(tag, 0), self.sums.get(tag, 0))


class ZoneCounts:
    """Counts of all zones but this node's own."""

    __slots__ = ('_totals', '_zones')

    def __init__(self) -> None:
        self._zones: dict[str, _Zone] = {}
        self._totals: dict[int, int] = {}

    def count(self, tag: int) -> int:
        """Return the requests of all other zones at a backend."""
        return self._totals.get(tag, 0)

    def list_zones(self) -> dict[str, float]:
        """Return when the current sums of each zone were made."""
        return {
            name: zone.made_at
            for name, zone in self._zones.items()
            if zone.made_at > float('-inf')
        }

    def add_single(self, name: str, tag: int, step: int) -> int:
        """Add requests of a single node; return the change of the total."""
        zone = self._get_zone(name)
        before = zone.count(tag)
        busy = zone.singles.get(tag, 0) + step
        if busy:
            zone.singles[tag] = busy
        else:
            zone.singles.pop(tag, None)
        return self._add(tag, zone.count(tag) - before)

    def replace_sums(
        self, name: str, made_at: float, sums: dict[int, int]
    ) -> dict[int, int]:
        """Replace the sums of a zone, unless the new ones are older."""
        zone = self._get_zone(name)
        if made_at < zone.made_at:
            return {}
        return self._set_sums(zone, made_at, sums)

    def expire(self, now: float) -> dict[int, int]:
        """Drop the sums that are older than `SUM_LIFETIME_S`."""
        changes: dict[int, int] = {}
        for name, made_at in self.list_zones().items():
            if now - made_at > SUM_LIFETIME_S:
                zone = self._zones[name]
                for tag, step in self._set_sums(
                    zone, float('-inf'), {}
                ).items():
                    changes[tag] = changes.get(tag, 0) + step
                if not zone.singles:
                    self._zones.pop(name)
        return changes

    def _get_zone(self, name: str) -> _Zone:
        zone = self._zones.get(name)
        if zone is None:
            zone = _Zone()
            self._zones[name] = zone
        return zone

    def _set_sums(
        self, zone: _Zone, made_at: float, sums: dict[int, int]
    ) -> dict[int, int]:
        tags = zone.sums.keys() | sums.keys()
        before = _count_all(zone, tags)
        zone.sums = sums
        zone.made_at = made_at
        changes = {
            tag: self._add(tag, zone.count(tag) - busy)
            for tag, busy in before.items()
        }
        return {tag: step for tag, step in changes.items() if step}

    def _add(self, tag: int, step: int) -> int:
        total = self._totals.get(tag, 0) + step
        if total:
            self._totals[tag] = total
        else:
            self._totals.pop(tag, None)
        return step


def _count_all(zone: _Zone, tags: Iterable[int]) -> dict[int, int]:
    return {tag: zone.count(tag) for tag in tags}

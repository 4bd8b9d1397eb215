"""Requests in progress and open flows at each backend, by backend tag.

A node infers its own counts from the packets of its clients and adds the counts
that its neighbours, the other nodes, report. Each report of a neighbour
replaces that neighbour's previous report. Requests that other zones have placed
are counted by `ZoneCounts`, which also knows sums of whole zones.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from apricottally.tagged.messages import Load
from apricottally.tagged.zoneloads.counts import ZoneCounts

# If a neighbour sends no report for longer, its clients have moved to other
# nodes.
REPORT_LIFETIME_S = 1.5


@dataclass(slots=True)
class LoadCount:
    """Requests in progress (`busy`) and open flows at one backend."""

    busy: int = 0
    open: int = 0


@dataclass(slots=True)
class NeighbourReport:
    """The latest counts of a neighbour.

    `sequence` numbers the heartbeats of one `incarnation`, that is, between
    two restarts of the neighbour.
    """

    received_at: float
    incarnation: int
    sequence: int
    loads: tuple[Load, ...]
    zone: str = ''


@dataclass(slots=True)
class Occupancy:
    """This node's counts, and those of all other nodes (`others`).

    `zone` is this node's zone.
    """

    zone: str = ''
    own: dict[int, LoadCount] = field(default_factory=dict)
    others: dict[int, LoadCount] = field(default_factory=dict)
    reports: dict[str, NeighbourReport] = field(default_factory=dict)
    other_zones: ZoneCounts = field(default_factory=ZoneCounts)
    # Whether this node's counts have changed since its last heartbeat.
    changed: bool = False

    def get_own_count(self, tag: int) -> LoadCount:
        """Return this node's mutable counts for a backend, created if new."""
        count = self.own.get(tag)
        if count is None:
            count = LoadCount()
            self.own[tag] = count
        return count

    def add_busy(self, tag: int, step: int) -> None:
        """Count a request that starts (1) or ends (-1)."""
        self.get_own_count(tag).busy += step
        self.changed = True

    def add_open(self, tag: int, step: int) -> None:
        """Count a flow that opens (1) or closes (-1)."""
        self.get_own_count(tag).open += step
        self.changed = True

    def count_busy(self, tag: int) -> int:
        """Return the requests in progress at a backend, of all nodes."""
        own = self.own.get(tag)
        others = self.others.get(tag)
        return (own.busy if own else 0) + (others.busy if others else 0)

    def count_open(self, tag: int) -> int:
        """Return the open flows at a backend, of all nodes."""
        own = self.own.get(tag)
        others = self.others.get(tag)
        return (own.open if own else 0) + (others.open if others else 0)

    def forget(self, tag: int) -> None:
        """Drop the counts of a backend that has left, unless in use."""
        for counts in (self.own, self.others):
            count = counts.get(tag)
            if count is not None and not (count.busy or count.open):
                counts.pop(tag)

    def record_report(self, name: str, report: NeighbourReport) -> None:
        """Replace a neighbour's report, unless the new one is out of date."""
        previous = self.reports.get(name)
        if previous is not None:
            same_incarnation = previous.incarnation == report.incarnation
            if same_incarnation and previous.sequence >= report.sequence:
                return
            self._add_loads(previous, -1)
        self.reports[name] = report
        self._add_loads(report, 1)

    def remove_report(self, name: str) -> None:
        """Remove a neighbour's report from the sums."""
        previous = self.reports.pop(name, None)
        if previous is not None:
            self._add_loads(previous, -1)

    def expire_reports(self, now: float) -> list[str]:
        """Remove the reports of silent neighbours; return their names."""
        silent = [
            name
            for name, report in self.reports.items()
            if now - report.received_at > REPORT_LIFETIME_S
        ]
        for name in silent:
            self.remove_report(name)
        return silent

    def list_loads(self, limit: int) -> tuple[Load, ...]:
        """Return this node's counts for the busiest backends, up to `limit`."""
        loads = [
            Load(tag, count.busy, count.open)
            for tag, count in self.own.items()
            if count.busy or count.open
        ]
        if len(loads) > limit:
            loads.sort(key=lambda load: (-load.busy, -load.open))
        return tuple(loads[:limit])

    def list_zone_busy(self) -> list[tuple[int, int]]:
        """Return backend tags with the requests that this zone has placed."""
        return [
            (tag, self.count_busy(tag) - self.other_zones.count(tag))
            for tag in self.own.keys() | self.others.keys()
        ]

    def record_sums(
        self, zone: str, made_at: float, sums: dict[int, int]
    ) -> None:
        """Replace the sums of another zone, unless the new ones are older."""
        self._add_busy(self.other_zones.replace_sums(zone, made_at, sums))

    def expire_sums(self, now: float) -> None:
        """Remove the sums of other zones that are out of date."""
        self._add_busy(self.other_zones.expire(now))

    def _add_loads(self, report: NeighbourReport, sign: int) -> None:
        is_near = report.zone == self.zone
        for load in report.loads:
            count = self._get_count_of_others(load.tag)
            count.open += sign * load.open
            busy = sign * load.busy
            count.busy += (
                busy
                if is_near
                else self.other_zones.add_single(report.zone, load.tag, busy)
            )

    def _add_busy(self, changes: Mapping[int, int]) -> None:
        for tag, step in changes.items():
            self._get_count_of_others(tag).busy += step

    def _get_count_of_others(self, tag: int) -> LoadCount:
        count = self.others.get(tag)
        if count is None:
            count = LoadCount()
            self.others[tag] = count
        return count

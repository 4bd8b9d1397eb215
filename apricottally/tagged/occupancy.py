"""Requests in progress and open flows at each backend, by its tag.

A node counts what it infers from its own clients' packets and adds what its
neighbours report. A neighbour's report replaces its former one.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from apricottally.tagged.messages import Load

# A neighbour that is silent for longer has lost its clients to other nodes.
REPORT_LIFE_S = 1.5


@dataclass(slots=True)
class Count:
    """Requests in progress and flows open."""

    busy: int = 0
    open: int = 0


@dataclass(slots=True)
class Report:
    """What a neighbour reported last."""

    at: float
    incarnation: int
    sequence: int
    loads: tuple[Load, ...]


@dataclass(slots=True)
class Occupancy:
    """Own counts, and the sums of the neighbours' reports."""

    own: dict[int, Count] = field(default_factory=dict)
    others: dict[int, Count] = field(default_factory=dict)
    reports: dict[str, Report] = field(default_factory=dict)
    # Set when an own count changes, cleared when it is sent.
    changed: bool = False

    def count_own(self, tag: int) -> Count:
        """Return this node's count for a backend, to be changed."""
        count = self.own.get(tag)
        if count is None:
            count = Count()
            self.own[tag] = count
        return count

    def add_busy(self, tag: int, step: int) -> None:
        """Count a request that starts (1) or ends (-1)."""
        self.count_own(tag).busy += step
        self.changed = True

    def add_open(self, tag: int, step: int) -> None:
        """Count a flow that opens (1) or closes (-1)."""
        self.count_own(tag).open += step
        self.changed = True

    def busy(self, tag: int) -> int:
        """Return the requests in progress at a backend, from all reports."""
        own = self.own.get(tag)
        others = self.others.get(tag)
        return (own.busy if own else 0) + (others.busy if others else 0)

    def open(self, tag: int) -> int:
        """Return the flows open at a backend, from all reports."""
        own = self.own.get(tag)
        others = self.others.get(tag)
        return (own.open if own else 0) + (others.open if others else 0)

    def take_report(self, name: str, report: Report) -> None:
        """Replace a neighbour's report, unless a newer one is held."""
        held = self.reports.get(name)
        if held is not None:
            same = held.incarnation == report.incarnation
            if same and held.sequence >= report.sequence:
                return
            self._add(held.loads, -1)
        self.reports[name] = report
        self._add(report.loads, 1)

    def drop_report(self, name: str) -> None:
        """Forget what a neighbour reported."""
        held = self.reports.pop(name, None)
        if held is not None:
            self._add(held.loads, -1)

    def drop_silent(self, now: float) -> list[str]:
        """Forget the reports of silent neighbours; return their names."""
        silent = [
            name
            for name, report in self.reports.items()
            if now - report.at > REPORT_LIFE_S
        ]
        for name in silent:
            self.drop_report(name)
        return silent

    def list_loads(self, limit: int) -> tuple[Load, ...]:
        """Return this node's counts, the busiest `limit` backends."""
        loads = [
            Load(tag, count.busy, count.open)
            for tag, count in self.own.items()
            if count.busy or count.open
        ]
        if len(loads) > limit:
            loads.sort(key=lambda load: (-load.busy, -load.open))
        return tuple(loads[:limit])

    def _add(self, loads: Iterable[Load], sign: int) -> None:
        for load in loads:
            count = self.others.get(load.tag)
            if count is None:
                count = Count()
                self.others[load.tag] = count
            count.busy += sign * load.busy
            count.open += sign * load.open

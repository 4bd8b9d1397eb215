"""Aggregation of the log lines of many nodes in bounded memory.

Lines are counted per node and interval. If there are too many counts, the
interval is doubled and the counts are merged, so that a log of any length can
be read.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import msgspec

from apricottally.loglines import LogLine, list_suppressed, parse_line

MAX_CELLS = 100_000
MAX_STORY_LINES = 1000
MAX_EXAMPLES = 3
MAX_EXAMPLE_CHARACTERS = 120
_UNKNOWN_ZONE = '-'
_RETRIED_PREFIX = 'retried_'


@dataclass(slots=True)
class Activity:
    """Counts of one interval; `max_age_ms` is the oldest age of records."""

    chosen: int = 0
    refused: int = 0
    retried: int = 0
    unreachable: int = 0
    max_age_ms: int = 0


class IntervalRow(msgspec.Struct, frozen=True):
    """Activity of a group of nodes in the interval that begins at `start_s`.

    `group` is a zone, a node, or empty for all nodes. The time is in seconds
    after the first line of the log.
    """

    start_s: float
    group: str
    activity: Activity


class ReasonRow(msgspec.Struct, frozen=True):
    """How often an event was logged with a reason, and by how many nodes."""

    event: str
    reason: str
    count: int
    nodes: int


class Deviation(msgspec.Struct, frozen=True):
    """A node whose count of an event differs from the mean of all nodes."""

    node: str
    zone: str
    event: str
    count: int
    mean: float


@dataclass(slots=True)
class LogAnalysis:
    """Counts of the lines added so far.

    `story` has the lines of the flow `flow`. `suppressed` counts the lines
    that nodes left out of their logs, by event. `first_at` is the time of the
    first line that was added.
    """

    flow: str = ''
    step_s: float = 1.0
    line_count: int = 0
    malformed_count: int = 0
    malformed_examples: list[str] = field(default_factory=list)
    story: list[LogLine] = field(default_factory=list)
    suppressed: Counter[str] = field(default_factory=Counter)
    zones: dict[str, str] = field(default_factory=dict)
    first_at: float | None = None
    _cells: dict[tuple[int, str], Activity] = field(default_factory=dict)
    _reasons: dict[str, Counter[tuple[str, str]]] = field(default_factory=dict)

    def read(self, lines: Iterable[bytes]) -> None:
        """Add all lines of a log."""
        for line in lines:
            parsed = parse_line(line)
            if parsed is not None:
                self.add(parsed)
            elif line.strip():
                self._add_malformed(line)

    def add(self, line: LogLine) -> None:
        """Add one line."""
        self.line_count += 1
        if self.first_at is None:
            self.first_at = line.time
        if line.zone:
            self.zones[line.node] = line.zone
        if self.flow and line.flow == self.flow:
            self._add_to_story(line)
        self.suppressed.update(dict(list_suppressed(line)))
        reasons = self._reasons.setdefault(line.node, Counter())
        reasons[line.event, line.reason] += 1
        self._count(line, self.first_at)

    def list_intervals(self, group_by: str = '') -> list[IntervalRow]:
        """Return the activity by interval and by `zone`, `node` or neither."""
        merged: dict[tuple[int, str], Activity] = {}
        for (index, node), activity in self._cells.items():
            key = (index, self._find_group(node, group_by))
            _merge(merged.setdefault(key, Activity()), activity)
        return [
            IntervalRow(index * self.step_s, group, merged[index, group])
            for index, group in sorted(merged)
        ]

    def list_reasons(self) -> list[ReasonRow]:
        """Return all events by reason, the most frequent first."""
        total: Counter[tuple[str, str]] = Counter()
        nodes: Counter[tuple[str, str]] = Counter()
        for counts in self._reasons.values():
            total.update(counts)
            nodes.update(counts.keys())
        return [
            ReasonRow(*key, count, nodes[key])
            for key, count in total.most_common()
        ]

    def list_deviations(self, limit: int) -> list[Deviation]:
        """Return the counts that differ most from the mean over all nodes.

        The difference is taken in units of the square root of the mean, the
        spread to be expected of rare independent events.
        """
        ranked = sorted(self._iterate_deviations(), key=_rank_deviation)
        return ranked[:limit]

    def _iterate_deviations(self) -> Iterator[Deviation]:
        by_event = {
            node: _sum_by_event(counts)
            for node, counts in self._reasons.items()
        }
        total: Counter[str] = Counter()
        for counts in by_event.values():
            total.update(counts)
        for event, count in total.items():
            mean = count / len(by_event)
            for node, counts in by_event.items():
                zone = self._find_group(node, 'zone')
                yield Deviation(node, zone, event, counts[event], mean)

    def _find_group(self, node: str, group_by: str) -> str:
        if group_by == 'node':
            return node
        if group_by == 'zone':
            return self.zones.get(node, _UNKNOWN_ZONE)
        return ''

    def _count(self, line: LogLine, first_at: float) -> None:
        index = math.floor((line.time - first_at) / self.step_s)
        cell = self._cells.setdefault((index, line.node), Activity())
        _count_line(cell, line)
        while len(self._cells) > max(MAX_CELLS, 2 * len(self._reasons)):
            self._double_step()

    def _double_step(self) -> None:
        self.step_s *= 2
        merged: dict[tuple[int, str], Activity] = {}
        for (index, node), activity in self._cells.items():
            cell = merged.setdefault((index // 2, node), Activity())
            _merge(cell, activity)
        self._cells = merged

    def _add_to_story(self, line: LogLine) -> None:
        if len(self.story) < MAX_STORY_LINES:
            self.story.append(line)

    def _add_malformed(self, line: bytes) -> None:
        self.malformed_count += 1
        if len(self.malformed_examples) < MAX_EXAMPLES:
            text = line.decode(errors='replace').strip()
            self.malformed_examples.append(text[:MAX_EXAMPLE_CHARACTERS])


def _count_line(activity: Activity, line: LogLine) -> None:
    if line.event == 'chosen':
        activity.chosen += 1
    elif line.event == 'refused':
        activity.refused += 1
    elif line.event.startswith(_RETRIED_PREFIX):
        activity.retried += 1
    elif line.event == 'backend_unreachable':
        activity.unreachable += 1
    activity.max_age_ms = max(activity.max_age_ms, line.age_ms or 0)


def _merge(activity: Activity, other: Activity) -> None:
    """Add the counts of another interval or node to `activity`."""
    activity.chosen += other.chosen
    activity.refused += other.refused
    activity.retried += other.retried
    activity.unreachable += other.unreachable
    activity.max_age_ms = max(activity.max_age_ms, other.max_age_ms)


def _sum_by_event(counts: Counter[tuple[str, str]]) -> Counter[str]:
    summed: Counter[str] = Counter()
    for (event, _), count in counts.items():
        summed[event] += count
    return summed


def _rank_deviation(found: Deviation) -> tuple[float, str, str]:
    distance = abs(found.count - found.mean) / math.sqrt(found.mean)
    return -distance, found.node, found.event

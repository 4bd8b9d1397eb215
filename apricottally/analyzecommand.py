"""Command `analyze`: summarizes logs of nodes on the users' platform."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from operator import attrgetter
from pathlib import Path
from typing import BinaryIO

import msgspec

from apricottally.loganalysis import (
    Deviation,
    IntervalRow,
    LogAnalysis,
    ReasonRow,
)
from apricottally.loglines import LogLine
from apricottally.output import Answer, CommandError, ExitStatus, format_table

DEFAULT_DEVIATIONS = 10
# File name that stands for standard input.
_STDIN_NAME = '-'
_TIMELINE_HEADERS = (
    'START_S',
    'GROUP',
    'CHOSEN',
    'RETRIED',
    'REFUSED',
    'UNREACHABLE',
    'MAX_AGE_MS',
)


class Report(msgspec.Struct, frozen=True):
    """JSON document of the command.

    `step_s` is the length of the intervals of `timeline` in seconds.
    `suppressed` counts lines that nodes did not write, `malformed` lines that
    could not be read.
    """

    lines: int
    malformed: int
    malformed_examples: list[str]
    suppressed: dict[str, int]
    step_s: float
    timeline: list[IntervalRow]
    reasons: list[ReasonRow]
    deviations: list[Deviation]
    flow: list[LogLine]


async def analyze(options: argparse.Namespace) -> Answer:
    """Read logs and summarize them; with `--plot`, also draw the timeline."""
    analysis = LogAnalysis(flow=options.flow or '')
    for name in options.file or [_STDIN_NAME]:
        with _open_log(name) as stream:
            analysis.read(stream)
    report = _build_report(analysis, options)
    if options.plot is not None:
        _plot(report, options.plot)
    return Answer(report, _format_report(report))


@contextmanager
def _open_log(name: str) -> Iterator[BinaryIO]:
    """Open a log file, or standard input for `-`.

    Raises `CommandError` if the file cannot be read.
    """
    if name == _STDIN_NAME:
        yield sys.stdin.buffer
        return
    try:
        with Path(name).open('rb') as stream:
            yield stream
    except OSError as error:
        problem = f'{name}: {error.strerror}'
        raise CommandError(ExitStatus.file_refused, problem) from error


def _plot(report: Report, path: Path) -> None:
    try:
        from apricottally import logplot
    except ImportError as error:
        problem = '--plot needs matplotlib: install apricottally[plot]'
        raise CommandError(ExitStatus.usage, problem) from error
    try:
        logplot.draw_timeline(report.timeline, path)
    except (OSError, ValueError) as error:
        raise CommandError(ExitStatus.usage, f'{path}: {error}') from error


def _build_report(analysis: LogAnalysis, options: argparse.Namespace) -> Report:
    return Report(
        lines=analysis.line_count,
        malformed=analysis.malformed_count,
        malformed_examples=analysis.malformed_examples,
        suppressed=dict(analysis.suppressed),
        step_s=analysis.step_s,
        timeline=analysis.list_intervals(options.by or ''),
        reasons=analysis.list_reasons(),
        deviations=analysis.list_deviations(options.top),
        flow=sorted(analysis.story, key=attrgetter('time')),
    )


def _format_report(report: Report) -> str:
    parts = [f'{report.lines} lines, {report.malformed} malformed']
    parts += [f'  malformed: {text}' for text in report.malformed_examples]
    parts += [
        f'  not logged: {count} of {name}'
        for name, count in sorted(report.suppressed.items())
    ]
    if report.flow:
        parts += ['', *(line.text for line in report.flow)]
    parts += ['', _format_timeline(report.timeline)]
    parts += ['', _format_reasons(report.reasons)]
    parts += ['', _format_deviations(report.deviations)]
    return '\n'.join(parts)


def _format_timeline(rows: list[IntervalRow]) -> str:
    cells = [
        (
            f'{row.start_s:g}',
            row.group,
            row.activity.chosen,
            row.activity.retried,
            row.activity.refused,
            row.activity.unreachable,
            row.activity.max_age_ms,
        )
        for row in rows
    ]
    return format_table(_TIMELINE_HEADERS, cells)


def _format_reasons(rows: list[ReasonRow]) -> str:
    cells = [(row.event, row.reason, row.count, row.nodes) for row in rows]
    return format_table(('EVENT', 'REASON', 'LINES', 'NODES'), cells)


def _format_deviations(rows: list[Deviation]) -> str:
    cells = [
        (row.node, row.zone, row.event, row.count, f'{row.mean:.1f}')
        for row in rows
    ]
    return format_table(('NODE', 'ZONE', 'EVENT', 'LINES', 'MEAN'), cells)

"""Plot of the timeline of node logs; needs the extra `plot`."""

from collections.abc import Sequence
from pathlib import Path

from matplotlib.figure import Figure

from apricottally.loganalysis import IntervalRow

_SIZE_INCHES = (10, 6)
_SERIES = ('chosen', 'retried', 'refused', 'unreachable')


def draw_timeline(rows: Sequence[IntervalRow], path: Path) -> None:
    """Write a PNG or SVG file with the activity of all groups over time.

    The format follows from the suffix of `path`; raises `ValueError` if it is
    unknown, and `OSError` if the file cannot be written.
    """
    figure = Figure(figsize=_SIZE_INCHES, layout='constrained')
    counts_plot, age_plot = figure.subplots(2, 1, sharex=True)
    for group in sorted({row.group for row in rows}):
        of_group = [row for row in rows if row.group == group]
        starts = [row.start_s for row in of_group]
        for name in _SERIES:
            counts = [getattr(row.activity, name) for row in of_group]
            label = f'{group} {name}'.strip()
            counts_plot.plot(
                starts, counts, label=label, drawstyle='steps-post'
            )
        ages = [row.activity.max_age_ms for row in of_group]
        age_plot.plot(starts, ages, label=group, drawstyle='steps-post')
    counts_plot.set_ylabel('log lines per interval')
    counts_plot.legend(loc='upper left')
    age_plot.set_ylabel('oldest records, ms')
    age_plot.set_xlabel('seconds after the first line')
    figure.savefig(path)

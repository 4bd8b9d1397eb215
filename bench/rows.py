"""Rows of docs/BENCH.md."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Row:
    """One measured figure.

    `command` repeats it. `target` is the stated target, empty if none is;
    `baseline` is the figure of the named baseline in the same run.
    """

    name: str
    command: str
    seed: int
    figure: str
    target: str = ''
    baseline: str = ''

"""Rows of docs/BENCH.md."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Row:
    """One measured figure.

    `command` repeats the measurement. `target` is the required figure, empty if
    there is none; `baseline` has the figures of baselines in the same run.
    """

    name: str
    command: str
    seed: int
    figure: str
    target: str = ''
    baseline: str = ''

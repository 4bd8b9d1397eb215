"""Formats the results of a run as a text table."""

from demo.audit import Findings

_FIRST_COLUMN = 'figure'


def format_table(findings: dict[str, Findings]) -> str:
    """Return a table: a row for each figure, a column for each deployment."""
    names = dict.fromkeys(
        name for found in findings.values() for name in found.figures
    )
    rows = [(_FIRST_COLUMN, *findings)]
    for name in names:
        cells = [found.figures.get(name, '-') for found in findings.values()]
        rows.append((name, *cells))
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return '\n'.join(_format_row(row, widths) for row in rows)


def _format_row(row: tuple[str, ...], widths: list[int]) -> str:
    cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
    return ' | '.join(cells).rstrip()

"""Output of the command-line tool: tables, JSON documents and errors."""

import enum
import sys
from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

from apricottally.tomltables import Fault


class ExitStatus(enum.IntEnum):
    """Exit statuses of the tool; `usage` is also the status of argparse."""

    done = 0
    usage = 2
    file_refused = 3
    reference_refused = 4
    conflict = 5
    platform_failed = 6
    outcome_unknown = 7
    node_unreachable = 8
    not_in_time = 9
    differs = 10
    not_found = 11


@dataclass(frozen=True, slots=True)
class Answer:
    """Result of a command: `document` for JSON output, `text` for tables."""

    document: object
    text: str
    status: ExitStatus = ExitStatus.done


@dataclass(frozen=True, slots=True)
class Failure:
    """JSON document that is printed for a failed command."""

    error: str
    message: str
    faults: list[Fault] = field(default_factory=list)


class CommandError(Exception):
    """Failure of a command, with its exit status and the faults found."""

    def __init__(
        self,
        status: ExitStatus,
        message: str,
        faults: Sequence[Fault] = (),
    ) -> None:
        super().__init__(message)
        self.status = status
        self.message = message
        self.faults = list(faults)


def format_table(
    headers: Sequence[str],
    rows: Sequence[Sequence[object]],
) -> str:
    """Return rows as text, each column as wide as its widest cell."""
    cells = [[str(cell) for cell in row] for row in (headers, *rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    lines = [
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        for row in cells
    ]
    return '\n'.join(line.rstrip() for line in lines)


def print_answer(answer: Answer, *, as_json: bool) -> None:
    """Print the result of a command to standard output."""
    print(_encode(answer.document) if as_json else answer.text)


def print_failure(error: CommandError, *, as_json: bool) -> None:
    """Print the failure of a command to standard error."""
    if as_json:
        failure = Failure(error.status.name, error.message, error.faults)
        print(_encode(failure), file=sys.stderr)
        return
    lines = [f'error: {error.message}']
    lines += [f'  {fault.path}: {fault.problem}' for fault in error.faults]
    print('\n'.join(lines), file=sys.stderr)


def _encode(document: object) -> str:
    encoded = msgspec.json.encode(document)
    return msgspec.json.format(encoded, indent=2).decode()

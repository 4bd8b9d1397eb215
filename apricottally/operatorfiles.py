"""Operators' TOML files, read into templates and workspaces."""

import re
from dataclasses import dataclass
from pathlib import Path
from typing import TypeAlias

from apricottally import model
from apricottally.errors import ModelError
from apricottally.model import Holding, Template, Urgency, Workspace
from apricottally.tomltables import Fault, read_fields, read_table

Body: TypeAlias = Template | Workspace

_NAME = re.compile(r'\A[A-Za-z0-9][A-Za-z0-9._-]{0,62}\Z')
_NAME_WORDS = 'must be 1 to 63 letters, digits, ".", "_" or "-"'


@dataclass(frozen=True, slots=True)
class Kind:
    """What operators publish: its key prefix and a valid sample.

    The sample's values stand in for faulty fields while others are checked.
    """

    prefix: str
    sample: Body


KINDS: dict[str, Kind] = {
    'template': Kind(
        model.TEMPLATE_PREFIX,
        Template('sample', Urgency.normal, 1, Holding.connection),
    ),
    'workspace': Kind(
        model.WORKSPACE_PREFIX,
        Workspace('192.0.2.1', {'sample': 1}),
    ),
}


def build_key(kind: str, name: str) -> str:
    """Return the key of a document; raises a group of `ModelError`."""
    if not _NAME.match(name):
        raise group_faults('name', [Fault('name', _NAME_WORDS)])
    return KINDS[kind].prefix + name


def load_file(kind: str, path: Path) -> Body:
    """Read a file; raises an `ExceptionGroup` of `ModelError`, one a fault."""
    table, faults = read_table(path)
    body = KINDS[kind].sample
    if not faults:
        body, faults = read_fields(body, table)
        faults += [
            Fault(error.path, error.problem)
            for error in model.list_faults(body)
        ]
    if faults:
        raise group_faults(str(path), faults)
    return body


def group_faults(
    title: str,
    faults: list[Fault],
) -> ExceptionGroup[ModelError]:
    """Return the faults as one group of errors."""
    errors = [ModelError(fault.path, fault.problem) for fault in faults]
    return ExceptionGroup(title, errors)

"""Reads templates and workspaces from the TOML files of operators."""

import re
from dataclasses import dataclass
from pathlib import Path
from typing import TypeAlias

from apricottally import model
from apricottally.errors import ModelError
from apricottally.model import Holding, Template, Urgency, Workspace
from apricottally.tomltables import Fault, read_fields, read_table

Body: TypeAlias = Template | Workspace

_NAME_PATTERN = re.compile(r'\A[A-Za-z0-9][A-Za-z0-9._-]{0,62}\Z')
_NAME_REQUIREMENT = 'must be 1 to 63 letters, digits, ".", "_" or "-"'


@dataclass(frozen=True, slots=True)
class Kind:
    """Kind of document that operators publish, with its key prefix.

    `sample` is a valid document. Its values replace invalid fields of a file
    so that the remaining fields can still be checked.
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
    """Return the key of a document.

    Raises an `ExceptionGroup` with a `ModelError` if the name is invalid.
    """
    if not _NAME_PATTERN.match(name):
        raise group_faults('name', [Fault('name', _NAME_REQUIREMENT)])
    return KINDS[kind].prefix + name


def load_file(kind: str, path: Path) -> Body:
    """Read a template or workspace from a TOML file.

    Raises an `ExceptionGroup` with one `ModelError` per fault.
    """
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
    """Return an exception group with one `ModelError` per fault."""
    errors = [ModelError(fault.path, fault.problem) for fault in faults]
    return ExceptionGroup(title, errors)

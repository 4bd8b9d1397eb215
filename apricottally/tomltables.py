"""Reads tables of TOML files into structs and reports all faults at once.

The decoder of msgspec stops at the first fault. This module converts each
field separately. A faulty field gets the value of a sample struct, so that
checks across fields can still run.
"""

import enum
import tomllib
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, TypeVar, get_args, get_origin

import msgspec

Body = TypeVar('Body', bound=msgspec.Struct)

# Key path of a fault that concerns the whole file.
WHOLE_FILE = '$'

_TYPE_WORDS: dict[Any, str] = {
    str: 'text',
    int: 'a whole number',
    float: 'a number',
    dict: 'a table',
    tuple: 'a list',
}


@dataclass(frozen=True, slots=True)
class Fault:
    """A problem with the value at a key path."""

    path: str
    problem: str


def read_table(path: Path) -> tuple[dict[str, Any], list[Fault]]:
    """Parse a TOML file; return an empty table if that fails."""
    try:
        return tomllib.loads(path.read_text(encoding='utf-8')), []
    except OSError as error:
        problem = f'cannot be read: {error.strerror}'
    except ValueError as error:
        problem = f'is not valid TOML: {error}'
    return {}, [Fault(WHOLE_FILE, problem)]


def read_fields(
    sample: Body,
    table: object,
    path: str = '',
) -> tuple[Body, list[Fault]]:
    """Return the sample updated with the valid fields of a table.

    The second result lists the faults of the table.
    """
    if not isinstance(table, dict):
        problem = f'expected a table, got `{type(table).__name__}`'
        return sample, [Fault(path or WHOLE_FILE, problem)]
    known = {each.name: each for each in msgspec.structs.fields(sample)}
    faults = [
        Fault(join_path(path, key), f'unknown key; known: {", ".join(known)}')
        for key in table
        if key not in known
    ]
    values = {}
    for name, info in known.items():
        value, field_faults = _read_field(info, table, join_path(path, name))
        faults += field_faults
        if value is not msgspec.UNSET:
            values[name] = value
    return msgspec.structs.replace(sample, **values), faults


def join_path(path: str, name: str) -> str:
    """Return the key path of a name within the table at `path`."""
    return f'{path}.{name}' if path else name


def describe_type(kind: Any) -> str:
    """Return a description of the values that a type allows."""
    for part in get_args(kind)[1:] if get_origin(kind) is Annotated else ():
        if isinstance(part, msgspec.Meta) and part.description:
            return part.description
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return ', '.join(str(member.value) for member in kind)
    return _TYPE_WORDS.get(get_origin(kind) or kind, str(kind))


def _read_field(
    info: msgspec.structs.FieldInfo,
    table: dict[str, Any],
    path: str,
) -> tuple[Any, list[Fault]]:
    if info.name not in table and info.required:
        allowed = describe_type(info.type)
        return msgspec.UNSET, [Fault(path, f'missing; allowed: {allowed}')]
    value = table.get(info.name, info.default)
    return _convert(value, info.type, path)


def _convert(value: Any, kind: Any, path: str) -> tuple[Any, list[Fault]]:
    """Convert a value; convert the entries of a table or list separately.

    Faulty entries are left out. If no valid entry remains, the value is
    unset.
    """
    origin = get_origin(kind)
    if origin is dict and isinstance(value, dict):
        entry_kind = get_args(kind)[1]
        paths = [join_path(path, key) for key in value]
        entries, faults = _convert_all(value.values(), entry_kind, paths)
        pairs = zip(value, entries, strict=True)
        collected: Any = {
            key: entry for key, entry in pairs if entry is not msgspec.UNSET
        }
    elif origin is tuple and isinstance(value, list):
        entry_kind = get_args(kind)[0]
        paths = [f'{path}[{index}]' for index in range(len(value))]
        entries, faults = _convert_all(value, entry_kind, paths)
        collected = tuple(
            entry for entry in entries if entry is not msgspec.UNSET
        )
    else:
        return _convert_plain(value, kind, path)
    unset = faults and not collected
    return msgspec.UNSET if unset else collected, faults


def _convert_all(
    raw_values: Iterable[Any],
    kind: Any,
    paths: list[str],
) -> tuple[list[Any], list[Fault]]:
    converted = [
        _convert(value, kind, path)
        for value, path in zip(raw_values, paths, strict=True)
    ]
    entries = [entry for entry, _ in converted]
    return entries, [fault for _, faults in converted for fault in faults]


def _convert_plain(value: Any, kind: Any, path: str) -> tuple[Any, list[Fault]]:
    try:
        return msgspec.convert(value, kind), []
    except msgspec.ValidationError:
        allowed = describe_type(kind)
    problem = f'{value!r} is refused; allowed: {allowed}'
    return msgspec.UNSET, [Fault(path, problem)]

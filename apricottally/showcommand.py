"""Command `show`: lists records of the platform, or shows one of them."""

import argparse
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from apricottally import model
from apricottally.configcommands import connect_platform
from apricottally.decoding import decode_json
from apricottally.errors import DecodingError, ModelError
from apricottally.events import Record
from apricottally.output import Answer, CommandError, ExitStatus, format_table

KEY_PREFIXES: dict[str, str] = {
    'template': model.TEMPLATE_PREFIX,
    'workspace': model.WORKSPACE_PREFIX,
    'backends': model.BACKEND_PREFIX,
    'vm': model.MACHINE_PREFIX,
}


@dataclass(frozen=True, slots=True)
class Shown:
    """Record in the output of `show`.

    `problem` says why nodes reject its value; it is empty for a valid value.
    """

    key: str
    version: int
    author: str
    op: str
    body: Any
    problem: str = ''


async def show(options: argparse.Namespace) -> Answer:
    """Show one record, all records of a kind, or all records but the VMs."""
    if options.name is not None:
        return await _show_one(options)
    prefixes = (
        [KEY_PREFIXES[options.kind]] if options.kind else [model.ROOT_PREFIX]
    )
    async with connect_platform(options) as client:
        records, revision = await client.list_prefix(prefixes[0])
    shown = [describe_record(record) for record in records]
    rows = [
        (each.key, each.version, each.author, each.problem or _summarize(each))
        for each in shown
    ]
    table = format_table(('KEY', 'VERSION', 'AUTHOR', 'CONTENT'), rows)
    document = {'revision': revision, 'records': shown}
    return Answer(document, table)


async def _show_one(options: argparse.Namespace) -> Answer:
    key = KEY_PREFIXES[options.kind] + options.name
    async with connect_platform(options) as client:
        record = await client.read(key)
    if record is None:
        raise CommandError(ExitStatus.not_found, f'{key} does not exist')
    shown = describe_record(record)
    lines = [f'# {key} version {shown.version}']
    if shown.op:
        lines.append(f'# by {shown.author}, operation {shown.op}')
    if shown.problem:
        lines.append(f'# rejected by nodes: {shown.problem}')
    return Answer(shown, '\n'.join([*lines, format_toml(shown.body)]))


def _load_object(value: bytes) -> dict[str, Any]:
    """Return a JSON object, or an empty one for anything else."""
    try:
        return decode_json(value, dict[str, Any])
    except DecodingError:
        return {}


def describe_record(record: Record) -> Shown:
    """Decode the value of a record for output."""
    value = record.value or b''
    problem = ''
    try:
        model.decode_record(record.key, value)
    except ModelError as error:
        problem = str(error)
    content = _load_object(value)
    if record.key.startswith(model.MACHINE_PREFIX):
        return Shown(record.key, record.version, '', '', content, problem)
    return Shown(
        record.key,
        record.version,
        content.get('author', ''),
        content.get('op', ''),
        content.get('body', {}),
        problem,
    )


def format_toml(body: dict[str, Any]) -> str:
    """Return the body as TOML that `publish` accepts as a file."""
    plain = [
        f'{_quote_key(name)} = {json.dumps(field)}'
        for name, field in body.items()
        if not _is_table(field)
    ]
    tables = [
        _format_table(name, field)
        for name, field in body.items()
        if _is_table(field)
    ]
    return '\n'.join([*plain, *tables])


def _is_table(field: object) -> bool:
    if isinstance(field, list):
        return bool(field) and isinstance(field[0], dict)
    return isinstance(field, dict)


def _format_table(name: str, field: Any) -> str:
    if isinstance(field, dict):
        return f'[{name}]\n{format_toml(field)}'
    entries = [f'[[{name}]]\n{format_toml(entry)}' for entry in field]
    return '\n'.join(entries)


def _quote_key(name: str) -> str:
    bare = name.replace('-', '').replace('_', '')
    plain = bare.isascii() and bare.isalnum()
    return name if plain else json.dumps(name)


def _summarize_template(body: dict[str, Any]) -> str:
    return f'{body["service"]}:{body["port"]} {body["urgency"]}'


def _summarize_workspace(body: dict[str, Any]) -> str:
    return f'{body["address"]} {", ".join(sorted(body["templates"]))}'


def _summarize_backends(body: dict[str, Any]) -> str:
    return f'{len(body["backends"])} backend server(s)'


def _summarize_machine(body: dict[str, Any]) -> str:
    service = body['service'] or 'balancer'
    return f'{service} {body["zone"]} {body["ip"]} {body["state"]}'


_SUMMARIES: dict[str, Callable[[dict[str, Any]], str]] = {
    model.TEMPLATE_PREFIX: _summarize_template,
    model.WORKSPACE_PREFIX: _summarize_workspace,
    model.BACKEND_PREFIX: _summarize_backends,
    model.MACHINE_PREFIX: _summarize_machine,
}


def _summarize(shown: Shown) -> str:
    for prefix, summarize in _SUMMARIES.items():
        if shown.key.startswith(prefix):
            return summarize(shown.body)
    return ''

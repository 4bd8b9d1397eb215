"""Commands for the configuration that is stored in the platform."""

import argparse
import getpass
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass
from typing import Any

import msgspec

from apricottally import model, publishing, references
from apricottally.errors import (
    ApricottallyError,
    ConflictError,
    ModelError,
    NotAcceptedError,
    OutcomeUnknownError,
    PlatformError,
    PublishError,
)
from apricottally.events import Record
from apricottally.operatorfiles import Body, build_key, load_file
from apricottally.output import Answer, CommandError, ExitStatus, format_table
from apricottally.platformcalls import CALL_TIMEOUT_S, ClientLimits
from apricottally.platformclient import PlatformClient, open_platform
from apricottally.publishing import Change, Outcome, Publication, StoredKey
from apricottally.tomltables import Fault

# Calls that fit into `--timeout`, so that there is time left to read the key
# back after a lost response.
_CALLS_PER_TIMEOUT = 4

_EXIT_STATUSES: dict[type[PublishError], ExitStatus] = {
    NotAcceptedError: ExitStatus.platform_failed,
    ConflictError: ExitStatus.conflict,
    OutcomeUnknownError: ExitStatus.outcome_unknown,
}


@dataclass(frozen=True, slots=True)
class Difference:
    """Field with its stored value and its value in the file.

    None means that the field is missing on that side.
    """

    path: str
    stored: object
    file: object


async def validate(options: argparse.Namespace) -> Answer:
    """Check a file or, with `stored`, the whole stored configuration."""
    if options.kind == 'stored':
        return await _validate_stored(options)
    if options.name is None or options.file is None:
        raise CommandError(ExitStatus.usage, 'validate needs a NAME and a FILE')
    key, body = _load_document(options)
    checked = 'fields'
    if options.platform is not None:
        async with connect_platform(options) as client:
            await _check_references(client, key, body)
        checked = 'fields and references'
    document = {'key': key, 'checked': checked}
    return Answer(document, f'{options.file}: {checked} are valid')


async def publish(options: argparse.Namespace) -> Answer:
    """Write a template or workspace from a file."""
    key, body = _load_document(options)
    return await _publish_change(options, key, body)


async def delete(options: argparse.Namespace) -> Answer:
    """Delete a template or workspace."""
    with translate_errors():
        key = build_key(options.kind, options.name)
    return await _publish_change(options, key, None)


async def diff(options: argparse.Namespace) -> Answer:
    """Compare a file with the stored document."""
    key, body = _load_document(options)
    async with connect_platform(options) as client:
        stored = await publishing.read_stored(client, key)
    with translate_errors():
        stored_body = _decode_body(stored, type(body))
    differences = _list_differences(_flatten(stored_body), _flatten(body))
    lines = []
    for each in differences:
        if each.stored is not None:
            lines.append(f'- {each.path} = {_format_value(each.stored)}')
        if each.file is not None:
            lines.append(f'+ {each.path} = {_format_value(each.file)}')
    document = {
        'key': key,
        'version': stored.version,
        'differences': differences,
    }
    if not differences:
        message = f'{key} version {stored.version}: no difference'
        return Answer(document, message)
    return Answer(document, '\n'.join(lines), ExitStatus.differs)


async def history(options: argparse.Namespace) -> Answer:
    """Show the writes of a key that its stored document still lists."""
    with translate_errors():
        key = build_key(options.kind, options.name)
    async with connect_platform(options) as client:
        stored = await publishing.read_stored(client, key)
    if not stored.version:
        raise _build_not_found_error(key)
    shown = len(stored.operations)
    document = {
        'key': key,
        'version': stored.version,
        'created_version': stored.created_version,
        'writes_since_created': stored.write_count,
        'author': stored.author,
        'operations': stored.operations,
        'operations_not_shown': max(stored.write_count - shown, 0),
    }
    rows = [
        ('now' if not age else f'{age} before', operation, author)
        for age, operation, author in _list_writes(stored)
    ]
    table = format_table(('WRITE', 'OPERATION', 'AUTHOR'), rows)
    text = (
        f'{key} version {stored.version}, created at version '
        f'{stored.created_version}, {stored.write_count} write(s) since\n'
        f'{table}\n'
        'The platform keeps only the current value. Earlier values, their '
        'authors, write times, and writes before a deletion or before the '
        f'latest {model.MAX_RECENT_OPERATIONS + 1} cannot be shown.'
    )
    return Answer(document, text)


@asynccontextmanager
async def connect_platform(
    options: argparse.Namespace,
) -> AsyncIterator[PlatformClient]:
    """Connect to the platform; its errors are raised as `CommandError`."""
    if options.platform is None:
        raise CommandError(ExitStatus.usage, 'needs --platform IP:PORT')
    call_s = min(CALL_TIMEOUT_S, options.timeout / _CALLS_PER_TIMEOUT)
    with translate_errors():
        async with open_platform(
            options.platform, ClientLimits(call_s)
        ) as client:
            yield client


@contextmanager
def translate_errors() -> Iterator[None]:
    """Raise errors of files, publishing and the platform as `CommandError`."""
    try:
        yield
    except ExceptionGroup as group:
        faults = [
            Fault(error.path, error.problem)
            for error in group.exceptions
            if isinstance(error, ModelError)
        ]
        message = f'{group.message}: {len(faults)} fault(s), nothing written'
        raise CommandError(
            ExitStatus.file_refused,
            message,
            faults,
        ) from group
    except (ModelError, PublishError, PlatformError) as error:
        raise _convert_error(error) from error


def _convert_error(error: ApricottallyError) -> CommandError:
    if isinstance(error, PublishError):
        return CommandError(_EXIT_STATUSES[type(error)], str(error))
    if isinstance(error, ModelError):
        message = f'nodes reject the stored value: {error}'
        return CommandError(ExitStatus.file_refused, message)
    return CommandError(
        ExitStatus.platform_failed,
        f'the platform did not answer ({error}); nothing was written. '
        'Run the command again when the platform is reachable.',
    )


def _load_document(options: argparse.Namespace) -> tuple[str, Body]:
    with translate_errors():
        key = build_key(options.kind, options.name)
        return key, load_file(options.kind, options.file)


async def _publish_change(
    options: argparse.Namespace,
    key: str,
    body: Body | None,
) -> Answer:
    change = Change(
        key,
        body,
        options.author or _find_author(),
        options.operation or publishing.generate_operation_id(),
        options.expect,
    )
    async with connect_platform(options) as client:
        await _check_references(client, key, body)
        published = await publishing.publish(client, change, options.timeout)
    if published.outcome is Outcome.absent:
        raise _build_not_found_error(key)
    return Answer(published, _describe_publication(published))


def _find_author() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError) as error:
        problem = 'cannot determine the login name; needs --author NAME'
        raise CommandError(ExitStatus.usage, problem) from error


async def _check_references(
    client: PlatformClient,
    key: str,
    body: Body | None,
) -> None:
    """Reject a change that adds dangling references or conflicts.

    Conflicts are, for example, two workspaces with the same address and port.
    """
    records = await _read_configuration(client)
    faults = references.list_added_faults(records, key, body)
    if faults:
        raise CommandError(
            ExitStatus.reference_refused,
            f'{key} was not accepted: it is inconsistent with the rest '
            'of the configuration. Nothing was written.',
            faults,
        )


async def _read_configuration(client: PlatformClient) -> list[Record]:
    templates, revision = await client.list_prefix(model.TEMPLATE_PREFIX)
    workspaces, _ = await client.list_prefix(model.WORKSPACE_PREFIX, revision)
    return templates + workspaces


async def _validate_stored(options: argparse.Namespace) -> Answer:
    async with connect_platform(options) as client:
        records = await _read_configuration(client)
    faults = references.build_catalogue(records).list_faults()
    for record in records:
        try:
            model.decode_record(record.key, record.value or b'')
        except ModelError as error:
            faults.append(Fault(record.key, str(error)))
    if faults:
        raise CommandError(
            ExitStatus.reference_refused,
            f'the stored configuration has {len(faults)} fault(s)',
            faults,
        )
    document = {'records': len(records)}
    return Answer(document, f'{len(records)} stored documents are valid')


def _describe_publication(published: Publication) -> str:
    key = published.key
    version = published.version
    if published.outcome is Outcome.unchanged:
        return f'unchanged: {key} already has this content, version {version}'
    if published.outcome is Outcome.superseded:
        return (
            f'accepted: {key}, operation {published.op}; a later write has '
            'replaced it'
        )
    deleted = published.outcome is Outcome.deleted
    message = f'{"deleted" if deleted else "accepted"}: {key}'
    if not version:
        return f'{message} no longer exists'
    return (
        f'{message} version {version} (was {published.former_version}), '
        f'operation {published.op}\n'
        'Check whether it is in force: apricottally status --node IP:PORT '
        f'--wait 7 --key {key} --version {version}'
    )


def _build_not_found_error(key: str) -> CommandError:
    return CommandError(ExitStatus.not_found, f'{key} does not exist')


def _decode_body(stored: StoredKey, kind: type[Body]) -> Body | None:
    if stored.document is None:
        return None
    return model.decode_json(stored.document.body, kind)


def _flatten(body: Body | None) -> dict[str, Any]:
    """Return the fields of a body by key path, such as `templates.NAME`."""
    if body is None:
        return {}
    fields = msgspec.to_builtins(body)
    templates = fields.pop('templates', {})
    nested = {f'templates.{name}': each for name, each in templates.items()}
    return {**fields, **nested}


def _list_differences(
    stored: dict[str, Any],
    file: dict[str, Any],
) -> list[Difference]:
    paths = sorted({*stored, *file})
    return [
        Difference(path, stored.get(path), file.get(path))
        for path in paths
        if stored.get(path) != file.get(path)
    ]


def _list_writes(stored: StoredKey) -> list[tuple[int, str, str]]:
    return [
        (age, operation, stored.author if not age else 'not kept')
        for age, operation in enumerate(stored.operations)
    ]


def _format_value(field: object) -> str:
    return msgspec.json.encode(field).decode()

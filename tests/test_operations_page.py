"""The operations page matches the code, and its commands work."""

import asyncio
import re
import shlex
from pathlib import Path

import msgspec
import pytest

from apricottally import addresses, commands
from apricottally.events import ShutdownRequested
from apricottally.model import Template, Workspace
from apricottally.operatorfiles import KINDS
from apricottally.output import ExitStatus
from apricottally.platformclient import open_platform as open_client
from apricottally.settings import SAMPLE, load_settings
from apricottally.tomltables import describe_type
from standins.platform import open_platform
from tests import codetexts
from tests.asyncruns import LOOPBACK_ANY_PORT, iterate_sequentially, run
from tests.controlnodes import open_control_node

PAGE = Path(__file__).parent.parent.joinpath('docs/OPERATIONS.md').read_text()
NODES = ('127.0.1.1:6082', '127.0.1.2:6082')
PLATFORM = '127.0.0.1:2379'


def list_rows(heading: str) -> list[list[str]]:
    """Return the rows of the table whose first column has this heading."""
    table = PAGE.split(f'\n| {heading} |', 1)[1].split('\n\n', 1)[0]
    return [
        [cell.strip() for cell in line.strip('|').split(' | ')]
        for line in table.splitlines()[2:]
    ]


def list_code_words(heading: str) -> set[str]:
    """Return the words in backquotes in the first column of a table."""
    return {
        word
        for row in list_rows(heading)
        for word in re.findall('`([^`]+)`', row[0])
    }


def list_files() -> dict[str, str]:
    """Return the TOML files shown on the page, by name."""
    return dict(re.findall(r'\n(\S+\.toml):\n\n```toml\n(.+?)```', PAGE, re.S))


def list_commands() -> list[str]:
    blocks = re.findall('```console\n(.+?)```', PAGE, re.S)
    return [
        line.removeprefix('$ ')
        for block in blocks
        for line in block.splitlines()
    ]


def show_default(info: msgspec.structs.FieldInfo) -> str:
    if info.required:
        return 'required'
    return 'empty' if info.default == () else str(info.default)


def test_settings_reference() -> None:
    """The settings reference has the keys, types and defaults of the code."""
    expected = {}
    for table in msgspec.structs.fields(SAMPLE):
        for info in msgspec.structs.fields(table.type):
            allowed = describe_type(info.type)
            if info.name == 'seeds':
                allowed = 'list of "IP:PORT"'
            path = f'`{table.name}.{info.name}`'
            expected[path] = [allowed, show_default(info)]
    assert {row[0]: row[1:3] for row in list_rows('key')} == expected


def test_settings_example(tmp_path) -> None:
    """Guards against an example of node settings that a node rejects."""
    path = tmp_path / 'node.toml'
    path.write_text(list_files()['node.toml'])
    assert load_settings(path).node.name == 'node-1'


def test_field_reference() -> None:
    """The field reference has the fields and defaults of the code.

    These are the fields of template and workspace files.
    """
    expected = {
        f'`{info.name}`': show_default(info)
        for kind in (Template, Workspace)
        for info in msgspec.structs.fields(kind)
    }
    assert {row[0]: row[2] for row in list_rows('field')} == expected


def test_exit_statuses() -> None:
    """Guards against an exit status that the page does not document."""
    documented = [int(row[0]) for row in list_rows('exit status')]
    assert documented == [status.value for status in ExitStatus]


@pytest.mark.parametrize(
    ('heading', 'list_used'),
    [
        ('counter', codetexts.list_counters),
        ('reason or rule', codetexts.list_reasons),
        ('event', codetexts.list_events),
    ],
)
def test_words_are_explained(heading, list_used) -> None:
    """The page explains every counter, reason and log event in the code."""
    used = list_used()
    assert used
    assert used - list_code_words(heading) == set()


class Site:
    """Platform and nodes, with their endpoints on the page and in the test."""

    def __init__(self, platform) -> None:
        self.addresses = {
            PLATFORM: addresses.format_endpoint(platform.endpoint),
        }
        self.tasks = []

    async def serve_node(
        self,
        name: str,
        page_endpoint: str,
        nodes_started,
    ) -> None:
        stopped = asyncio.Event()
        async with open_control_node(name) as node:
            self.addresses[page_endpoint] = addresses.format_endpoint(
                node.endpoint,
            )
            node.on_submit = lambda event: (
                stopped.set() if isinstance(event, ShutdownRequested) else None
            )
            self.tasks.append(asyncio.create_task(self.follow(node)))
            nodes_started.release()
            await stopped.wait()

    async def follow(self, node) -> None:
        endpoint = addresses.parse_endpoint(self.addresses[PLATFORM])
        async with open_client(endpoint) as client:
            async for batch in client.list_and_watch():
                if batch.records:
                    node.receive(*batch.records)

    def translate(self, command: str) -> list[str]:
        program, *arguments = shlex.split(command)
        assert program == 'apricottally'
        return [self.addresses.get(word, word) for word in arguments]


def test_commands_of_the_page(tmp_path, monkeypatch, capsys) -> None:
    """Guards against a command on the page that fails as shown."""
    monkeypatch.chdir(tmp_path)
    for name, text in list_files().items():
        (tmp_path / name).write_text(text)

    async def scenario() -> None:
        async with open_platform(LOOPBACK_ANY_PORT) as platform:
            site = Site(platform)
            nodes_started = asyncio.Semaphore(0)
            for number, page_endpoint in enumerate(NODES, start=1):
                serving = site.serve_node(
                    f'node-{number}',
                    page_endpoint,
                    nodes_started,
                )
                site.tasks.append(asyncio.create_task(serving))
            async for _ in iterate_sequentially(NODES):
                await nodes_started.acquire()
            async for command in iterate_sequentially(list_commands()):
                status = await commands.run(site.translate(command))
                printed = capsys.readouterr()
                assert status == 0, f'{command}\n{printed.out}{printed.err}'
            for task in site.tasks:
                task.cancel()
            await asyncio.gather(*site.tasks, return_exceptions=True)

    assert len(list_commands()) > len(KINDS)
    run(scenario())

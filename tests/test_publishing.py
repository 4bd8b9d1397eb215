"""Command-line tool run against the platform stand-in, with faults."""

import asyncio
import contextlib
import re

import msgspec
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from apricottally import addresses, commands, model
from apricottally.model import Document
from apricottally.publishing import StoredKey, classify_deletion, classify_write
from standins.platform import Change, open_platform
from tests.asyncruns import LOOPBACK_ANY_PORT, run, wait_until

scenarios('features')

# The tool waits at most a quarter of this time for each call.
TIMEOUT_S = '2'
WRITER = 'other'


class World:
    """Platform stand-in and the tool, run in the event loop of the test."""

    def __init__(self, runner, platform, directory, capsys) -> None:
        self.runner = runner
        self.platform = platform
        self.directory = directory
        self.capsys = capsys
        self.status = None
        self.printed = ''
        self.last_arguments = []

    def build_arguments(self, *arguments: str) -> list[str]:
        endpoint = addresses.format_endpoint(self.platform.endpoint)
        fixed = ['--platform', endpoint, '--timeout', TIMEOUT_S]
        return [*fixed, *arguments]

    def run(self, *arguments: str) -> None:
        self.last_arguments = list(arguments)
        self.status = self.runner.run(
            commands.run(self.build_arguments(*arguments)),
        )
        captured = self.capsys.readouterr()
        self.printed = captured.out + captured.err

    def write_file(self, text: str) -> str:
        path = self.directory / f'{len(list(self.directory.iterdir()))}.toml'
        path.write_text(text)
        return str(path)

    def write_workspace(self, address: str, template: str) -> str:
        text = f'address = "{address}"\n[templates]\n{template} = 1.0\n'
        return self.write_file(text)

    def count_writes(self, name: str) -> int:
        key = f'{model.WORKSPACE_PREFIX}{name}'.encode()
        entry = self.platform.store.find(key)
        return entry.version if entry else 0

    def write_as_other(self, name: str, times: int) -> None:
        key = model.WORKSPACE_PREFIX + name
        store = self.platform.store
        for number in range(times):
            former = store.find(key.encode())
            former_document = model.decode_document(former.value)
            body = msgspec.json.decode(
                former_document.body,
                type=model.Workspace,
            )
            value = model.encode_document(
                f'other-{number}',
                WRITER,
                body,
                (former_document.op, *former_document.recent),
            )
            store.put(key.encode(), value)
            store.commit()

    def run_after_next_write(self, action) -> None:
        def act() -> None:
            self.platform.store.listeners.discard(act)
            action()

        self.platform.store.listeners.add(act)

    def run_before_next_write_call(self, action) -> None:
        faults = self.platform.faults
        enter = faults.begin_call

        async def enter_once(method, peer_ip) -> None:
            if method == 'Txn':
                faults.begin_call = enter
                action()
            await enter(method, peer_ip)

        faults.begin_call = enter_once


@pytest.fixture
def world(tmp_path, capsys):
    with asyncio.Runner() as runner, contextlib.ExitStack() as stack:
        opening = open_platform(LOOPBACK_ANY_PORT)
        platform = runner.run(opening.__aenter__())
        stack.callback(lambda: runner.run(opening.__aexit__(None, None, None)))
        yield World(runner, platform, tmp_path, capsys)


@given(parsers.parse('a platform with the template "{name}" on port {port}'))
def publish_template(world, name, port) -> None:
    path = world.write_file(
        'service = "etikett-core"\nurgency = "urgent"\n'
        f'port = {port}\nholds = "connection"\n',
    )
    world.run('publish', 'template', name, path)
    assert world.status == 0, world.printed


@given(
    parsers.parse(
        'I tried to publish the workspace "{name}" at {at} for "{used}"',
    ),
)
@when(parsers.parse('I publish the workspace "{name}" at {at} for "{used}"'))
def publish_workspace(world, name, at, used) -> None:
    world.run('publish', 'workspace', name, world.write_workspace(at, used))


@given(parsers.parse('I published the workspace "{name}" at {at} for "{used}"'))
def publish_workspace_before(world, name, at, used) -> None:
    publish_workspace(world, name, at, used)
    assert world.status == 0, world.printed


@when(
    parsers.parse(
        'I publish the workspace "{name}" at {at} for "{used}" expecting '
        '{version}',
    ),
)
def publish_expecting(world, name, at, used, version) -> None:
    path = world.write_workspace(at, used)
    world.run('publish', 'workspace', name, path, '--expect', version)


@given(parsers.parse('the platform loses the next response by {loss}'))
def lose_answer(world, loss) -> None:
    world.platform.change_faults(Change(lose_answers=1, loss=loss))


@given(parsers.re('the platform has the outage (?P<outage>[a-z]+)$'))
def start_outage(world, outage) -> None:
    world.platform.change_faults(Change(outage=outage))


@given(
    parsers.parse(
        'the platform has the outage {outage} from the next write call on',
    ),
)
def start_outage_at_write(world, outage) -> None:
    world.run_before_next_write_call(
        lambda: world.platform.change_faults(Change(outage=outage)),
    )


@given('the outage ends after 1 second')
def end_outage_later(world) -> None:
    world.runner.get_loop().call_later(
        1,
        world.platform.change_faults,
        Change(outage='none'),
    )


@given('the platform goes down after the next write')
def go_down_after_write(world) -> None:
    change = Change(outage='hang', lose_answers=1, loss='hang')
    world.run_after_next_write(lambda: world.platform.change_faults(change))


@given('the platform is up again')
def end_outage(world) -> None:
    world.platform.change_faults(Change(outage='none'))


@given(
    parsers.re(
        'another operator writes "(?P<name>.+)" (?P<times>[0-9]+) times? '
        'after the next write',
    ),
)
def write_after_next_write(world, name, times) -> None:
    world.run_after_next_write(lambda: world.write_as_other(name, int(times)))


@given(
    parsers.parse(
        'another operator writes "{name}" 1 time before the next write call',
    ),
)
def write_before_next_write(world, name) -> None:
    world.run_before_next_write_call(lambda: world.write_as_other(name, 1))


@when('I repeat the command as the message says')
def repeat_command(world) -> None:
    found = re.search(r'--operation (\w+) --expect (\d+)', world.printed)
    world.run(
        *world.last_arguments,
        '--operation',
        found.group(1),
        '--expect',
        found.group(2),
    )


@when(parsers.parse('two operators publish the workspace "{name}" at once'))
def publish_at_once(world, name) -> None:
    world.platform.change_faults(Change(delay_s=0.05))
    runs = [
        commands.run(
            world.build_arguments(
                'publish',
                'workspace',
                name,
                world.write_workspace(f'10.9.1.{number}', 'feed'),
            ),
        )
        for number in range(2)
    ]

    async def run_both():
        return await asyncio.gather(*runs)

    world.status = sorted(world.runner.run(run_both()))


@when(parsers.parse('I run "{command}"'))
def run_command(world, command) -> None:
    world.run(*command.split())


@given(
    parsers.parse('I published the workspace "{name}" at {at} as {operation}')
)
@when(parsers.parse('I publish the workspace "{name}" at {at} as {operation}'))
def publish_operation(world, name, at, operation) -> None:
    path = world.write_workspace(at, 'feed')
    operation_id = operation.split('"')[1]
    world.run('publish', 'workspace', name, path, '--operation', operation_id)


@when('I publish a workspace file with 4 faults')
def publish_faults(world) -> None:
    path = world.write_file(
        'address = "10.9.0.x"\ncolour = 1\n[templates]\nfeed = "much"\n'
        'sheets = -1\n',
    )
    world.run('publish', 'workspace', 'shop', path)


@when(parsers.parse('I compare the workspace "{name}" at {at} for "{used}"'))
def compare_workspace(world, name, at, used) -> None:
    world.run('diff', 'workspace', name, world.write_workspace(at, used))


@when(parsers.parse('I publish what is shown of the workspace "{name}"'))
def publish_shown(world, name) -> None:
    world.run('show', 'workspace', name)
    world.run('publish', 'workspace', name, world.write_file(world.printed))


@then(parsers.parse('the exit status is {status:d}'))
def check_status(world, status) -> None:
    assert world.status == status, world.printed


@then(parsers.re('it prints "(?P<text>.+)"$'))
def check_printed(world, text) -> None:
    assert text in world.printed


@then(parsers.re('"(?P<name>.+)" was written (?P<times>[0-9]+) times?'))
def check_writes(world, name, times) -> None:
    assert world.count_writes(name) == int(times)


@then(parsers.parse('"{name}" does not exist'))
def check_absent(world, name) -> None:
    assert not world.count_writes(name)


@then('one is accepted and one conflicts')
def check_one_accepted(world) -> None:
    assert world.status == [0, 5]
    assert world.count_writes('shop') == 2


@pytest.mark.parametrize(
    ('arguments', 'message'),
    [
        (('--platform', '::1', 'show'), 'not an IPv4 address and port'),
        (('publish', 'service', 'name', 'file'), 'invalid choice'),
        (('status',), '--node'),
        (('show',), 'needs --platform IP:PORT'),
        (('validate', 'template', 'name'), 'needs a NAME and a FILE'),
    ],
)
def test_wrong_arguments(capsys, arguments, message) -> None:
    """Wrong arguments give exit status 2 and a message, not a traceback."""
    try:
        status = run(commands.run(arguments))
    except SystemExit as ended:
        status = ended.code
    assert status == 2
    assert message in capsys.readouterr().err


def test_interrupted_write(world) -> None:
    """An interrupted write still reports its operation id.

    Without the id, the operator cannot resolve a write that was sent but not
    answered.
    """
    publish_template(world, 'feed', 443)
    go_down_after_write(world)
    path = world.write_workspace('10.9.0.1', 'feed')

    async def interrupt() -> int:
        arguments = world.build_arguments('publish', 'workspace', 'shop', path)
        publishing = asyncio.create_task(commands.run(arguments))
        await wait_until(lambda: world.count_writes('shop'))
        publishing.cancel()
        return await publishing

    assert world.runner.run(interrupt()) == 7
    assert '--operation' in world.capsys.readouterr().err


def build_stored(version, created, writes, *operations) -> StoredKey:
    if not operations:
        return StoredKey(version, created, writes)
    raw = msgspec.Raw(b'{}')
    document = Document(operations[0], 'me', raw, operations[1:])
    return StoredKey(version, created, writes, document)


@pytest.mark.parametrize(
    ('base', 'found', 'verdict'),
    [
        ((5, 2, 3, 'a'), (6, 2, 4, 'mine', 'a'), 'accepted'),
        ((5, 2, 3, 'a'), (9, 2, 6, 'c', 'b', 'mine'), 'superseded'),
        ((5, 2, 3, 'a'), (5, 2, 3, 'a'), 'untouched'),
        ((5, 2, 3, 'a'), (6, 2, 4, 'b', 'a'), 'beaten'),
        ((5, 2, 3, 'a'), (99, 2, 12, *'ihgfedcba'), 'beaten'),
        ((5, 2, 3, 'a'), (99, 2, 13, *'jihgfedcb'), 'unclear'),
        ((5, 2, 3, 'a'), (9, 9, 1, 'b'), 'unclear'),
        ((5, 2, 3, 'a'), (), 'unclear'),
        ((), (), 'untouched'),
        ((), (9, 9, 1, 'b'), 'beaten'),
    ],
)
def test_read_back(base, found, verdict) -> None:
    """A key read back shows whether the write with the id `mine` took effect.

    Guards against a lost or repeated write due to a wrong verdict. The verdict
    is unclear if more writes followed than the document has ids, or if the
    key was deleted meanwhile.
    """
    stored = [
        build_stored(*each) if each else StoredKey() for each in (base, found)
    ]
    assert classify_write(*stored, 'mine').value == verdict


@pytest.mark.parametrize(
    ('found', 'verdict'),
    [
        ((), 'accepted'),
        ((5, 2, 3, 'a'), 'untouched'),
        ((6, 2, 4, 'b', 'a'), 'beaten'),
        ((9, 9, 1, 'b'), 'unclear'),
    ],
)
def test_read_back_removal(found, verdict) -> None:
    """A key read back shows whether a deletion took effect.

    Guards against a deletion that is reported although it did not happen.
    """
    stored = build_stored(*found) if found else StoredKey()
    base = build_stored(5, 2, 3, 'a')
    assert classify_deletion(base, stored).value == verdict

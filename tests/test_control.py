"""Control service of a node and the command-line commands that call it."""

import asyncio
import time

import msgspec
import pytest

from apricottally import addresses, commands, packet
from apricottally.controlclient import open_node_client
from apricottally.errors import ControlError
from apricottally.events import Record, ShutdownRequested
from apricottally.explanation import Decision
from apricottally.records import BUCKETS
from tests.asyncruns import run
from tests.controlnodes import build_records, open_control_node

CALLER = ('10.0.0.7', 40000)
SERVICE = ('10.9.0.1', 443)
CLOSE_S = 0.5
SHOP_KEY = '/apricottally/workspaces/shop'


def as_options(*nodes) -> list[str]:
    return [
        option
        for node in nodes
        for option in ('--node', addresses.format_endpoint(node.endpoint))
    ]


async def run_tool(capsys, *arguments: str) -> tuple[int, object]:
    status = await commands.run(['--output', 'json', *arguments])
    printed = capsys.readouterr()
    return status, msgspec.json.decode(printed.out)


def test_status(capsys) -> None:
    """The status must show the records, backends and counters of the node."""

    async def scenario() -> None:
        async with open_control_node('node-1') as node:
            node.receive(*build_records())
            node.state.counters.add('dropped', 'unknown_address', 3)
            status, nodes = await run_tool(capsys, 'status', *as_options(node))
            answer = nodes[0]['answer']
            assert status == 0
            assert (answer['node'], answer['ready']) == ('node-1', True)
            assert {'key': SHOP_KEY, 'version': 3} in answer['records']
            assert [each['state'] for each in answer['backends']] == [
                'active'
            ] * 2
            assert {
                'name': 'dropped',
                'reason': 'unknown_address',
                'count': 3,
            } in answer['counters']
            text = await commands.run(['status', *as_options(node)])
            assert text == 0
            assert 'unknown_address' in capsys.readouterr().out

    run(scenario())


def test_version_comes_into_force(capsys) -> None:
    """A version is in force only when every node has it.

    Waiting for the version times out while one node has the previous one.
    """

    async def scenario() -> None:
        async with (
            open_control_node('node-1') as first,
            open_control_node('node-2') as second,
        ):
            previous = build_records()
            first.receive(*previous)
            second.receive(*previous)
            newer = Record(SHOP_KEY, 9, previous[1].value)
            first.receive(newer)
            version_options = ('--key', SHOP_KEY, '--version', '9', '--wait')
            command = ('status', *as_options(first, second), *version_options)
            status, answer = await run_tool(capsys, *command, '0.1')
            in_force = [each['in_force'] for each in answer['nodes']]
            assert (status, in_force) == (9, [True, False])
            loop = asyncio.get_running_loop()
            loop.call_later(0.3, second.receive, newer)
            status, answer = await run_tool(capsys, *command, '5')
            assert status == 0
            assert {each['held'] for each in answer['nodes']} == {9}

    run(scenario())


def test_unreachable_node_is_reported(capsys) -> None:
    """A node that does not answer must make the command fail."""

    async def scenario() -> None:
        async with open_control_node('node-1') as node:
            closed_endpoint = node.endpoint
        async with open_control_node('node-2') as node:
            options = as_options(node)
            options += ['--node', addresses.format_endpoint(closed_endpoint)]
            status, nodes = await run_tool(capsys, 'status', *options)
            assert status == 8
            problems = [each['problem'].partition(': ')[2] for each in nodes]
            assert problems == ['', 'connection refused']
            version_options = ('--key', SHOP_KEY, '--version', '0')
            status, _ = await run_tool(
                capsys, 'status', *options, *version_options
            )
            assert status == 8

    run(scenario())


def test_drain(capsys) -> None:
    """Repeated drain commands must start exactly one shutdown."""

    async def scenario() -> None:
        async with open_control_node('node-1') as node:
            command = ('drain', *as_options(node))
            assert (await run_tool(capsys, *command))[0] == 0
            assert (await run_tool(capsys, *command, '--wait', '0.3'))[0] == 9
            shutdowns = [
                event
                for event in node.submitted
                if isinstance(event, ShutdownRequested)
            ]
            assert len(shutdowns) == 1

    run(scenario())


def test_drain_waits_for_exit(capsys) -> None:
    """`stopped` must not be reported while the node still answers."""

    async def scenario() -> None:
        closed = asyncio.Event()

        async def serve() -> None:
            async with open_control_node('node-1') as node:
                endpoints.put_nowait(node)
                await closed.wait()

        endpoints: asyncio.Queue = asyncio.Queue()
        serving = asyncio.create_task(serve())
        node = await endpoints.get()
        asyncio.get_running_loop().call_later(CLOSE_S, closed.set)
        started = time.monotonic()
        command = ('drain', *as_options(node), '--wait', '10')
        assert await commands.run(command) == 0
        assert time.monotonic() - started >= CLOSE_S
        assert 'stopped' in capsys.readouterr().out
        await serving

    run(scenario())


@pytest.mark.parametrize(
    ('port', 'ts_ecr', 'rule', 'backend'),
    [
        (443, (7 << 10) | 2, 'by_number', 'core-2'),
        (443, (7 << 10) | 3, 'backend_gone', 'core-3'),
        (443, (7 << 10) | 9, 'unknown_number', ''),
        (443, 0, 'by_shard', ''),
        (80, 0, 'unknown_address', ''),
    ],
)
def test_why(capsys, port, ts_ecr, rule, backend) -> None:
    """The explanation must name the backend that the routing would choose."""

    async def scenario() -> None:
        async with open_control_node('node-1') as node:
            node.receive(*build_records())
            command = (
                'why',
                *as_options(node),
                '10.0.0.7:40000',
                f'10.9.0.1:{port}',
                '--ts-ecr',
                str(ts_ecr),
            )
            status, nodes = await run_tool(capsys, *command)
            answer = nodes[0]['answer']
            assert status == 0
            assert (answer['rule'], answer['backend']) == (rule, backend)
            routed = port == 443
            assert answer['workspace'] == ('shop' if routed else '')
            known = rule not in {
                'unknown_address',
                'unknown_number',
                'backend_gone',
            }
            assert answer['owner'] == ('node-1' if known else '')
            assert await commands.run(command) == 0

    run(scenario())


def test_why_shows_decisions() -> None:
    """The answer must list the decisions about the given flow and no other."""

    async def scenario() -> None:
        async with open_control_node('node-1') as node:
            node.receive(*build_records())
            for port in (CALLER[1], CALLER[1] + 1):
                key = packet.build_flow_key(
                    addresses.parse_ip(CALLER[0]),
                    port,
                    addresses.parse_ip(SERVICE[0]),
                    SERVICE[1],
                )
                decision = Decision(
                    now=time.monotonic() - 5,
                    key=key,
                    action='admit',
                    rule='least_load',
                    workspace='shop',
                    service='etikett-core',
                    number=2,
                    version=4,
                )
                node.state.decisions.add(decision)
            async with open_node_client(node.endpoint) as client:
                answer = await client.explain(CALLER, SERVICE)
                with pytest.raises(ControlError, match='name'):
                    await client.explain(('name', 1), SERVICE)
            assert (answer.rule, answer.number) == ('least_load', 2)
            assert [each.number for each in answer.decisions] == [2]
            assert 5 <= answer.decisions[0].age_s < 10

    run(scenario())


def test_pull() -> None:
    """A pull must return all records of the buckets, deletions included."""

    async def scenario() -> None:
        async with open_control_node('node-1') as node:
            node.receive(*build_records())
            node.receive(Record(SHOP_KEY, 9, None))
            async with open_node_client(node.endpoint) as client:
                pulled = await client.pull(range(BUCKETS))
                assert set(pulled) == set(node.state.records.records.values())
                assert await client.pull(()) == ()
                with pytest.raises(ControlError, match='below'):
                    await client.pull((BUCKETS,))

    run(scenario())

"""The control service of a node, and the tool's commands that ask it."""

import asyncio
import time

import msgspec
import pytest

from apricottally import addresses, commands, packet
from apricottally.controlclient import open_node
from apricottally.errors import ControlError
from apricottally.events import Record, ShutdownRequested
from apricottally.explanation import Decision
from apricottally.records import BUCKETS
from tests.asyncruns import run
from tests.controlled import build_records, open_control_of

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
    """Guards against a status that does not show what the node holds."""

    async def scenario() -> None:
        async with open_control_of('node-1') as node:
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
    """Guards against `in force` while a node has the former version."""

    async def scenario() -> None:
        async with (
            open_control_of('node-1') as first,
            open_control_of('node-2') as second,
        ):
            former = build_records()
            first.receive(*former)
            second.receive(*former)
            newer = Record(SHOP_KEY, 9, former[1].value)
            first.receive(newer)
            wanted = ('--key', SHOP_KEY, '--version', '9', '--wait')
            asked = ('status', *as_options(first, second), *wanted)
            status, answer = await run_tool(capsys, *asked, '0.1')
            in_force = [each['in_force'] for each in answer['nodes']]
            assert (status, in_force) == (9, [True, False])
            loop = asyncio.get_running_loop()
            loop.call_later(0.3, second.receive, newer)
            status, answer = await run_tool(capsys, *asked, '5')
            assert status == 0
            assert {each['held'] for each in answer['nodes']} == {9}

    run(scenario())


def test_unreachable_node_is_told(capsys) -> None:
    """Guards against taking silence of a node for success."""

    async def scenario() -> None:
        async with open_control_of('node-1') as node:
            gone = node.endpoint
        async with open_control_of('node-2') as node:
            options = as_options(node)
            options += ['--node', addresses.format_endpoint(gone)]
            status, nodes = await run_tool(capsys, 'status', *options)
            assert status == 8
            problems = [each['problem'].partition(': ')[2] for each in nodes]
            assert problems == ['', 'connection refused']
            wanted = ('--key', SHOP_KEY, '--version', '0')
            status, _ = await run_tool(capsys, 'status', *options, *wanted)
            assert status == 8

    run(scenario())


def test_drain(capsys) -> None:
    """Guards against a drain that is not asked for, or asked for twice."""

    async def scenario() -> None:
        async with open_control_of('node-1') as node:
            asked = ('drain', *as_options(node))
            assert (await run_tool(capsys, *asked))[0] == 0
            assert (await run_tool(capsys, *asked, '--wait', '0.3'))[0] == 9
            shutdowns = [
                event
                for event in node.submitted
                if isinstance(event, ShutdownRequested)
            ]
            assert len(shutdowns) == 1

    run(scenario())


def test_drain_waits_for_the_end(capsys) -> None:
    """Guards against `stopped` for a node that still answers."""

    async def scenario() -> None:
        closed = asyncio.Event()

        async def serve() -> None:
            async with open_control_of('node-1') as node:
                endpoints.put_nowait(node)
                await closed.wait()

        endpoints: asyncio.Queue = asyncio.Queue()
        serving = asyncio.create_task(serve())
        node = await endpoints.get()
        asyncio.get_running_loop().call_later(CLOSE_S, closed.set)
        started = time.monotonic()
        asked = ('drain', *as_options(node), '--wait', '10')
        assert await commands.run(asked) == 0
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
    """Guards against an explanation that differs from the routing."""

    async def scenario() -> None:
        async with open_control_of('node-1') as node:
            node.receive(*build_records())
            asked = (
                'why',
                *as_options(node),
                '10.0.0.7:40000',
                f'10.9.0.1:{port}',
                '--ts-ecr',
                str(ts_ecr),
            )
            status, nodes = await run_tool(capsys, *asked)
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
            assert await commands.run(asked) == 0

    run(scenario())


def test_why_shows_decisions() -> None:
    """Guards against decisions of other flows, or none, in the answer."""

    async def scenario() -> None:
        async with open_control_of('node-1') as node:
            node.receive(*build_records())
            for port in (CALLER[1], CALLER[1] + 1):
                key = packet.build_flow_key(
                    addresses.parse_ip(CALLER[0]),
                    port,
                    addresses.parse_ip(SERVICE[0]),
                    SERVICE[1],
                )
                decided = Decision(
                    now=time.monotonic() - 5,
                    key=key,
                    action='admit',
                    rule='least_load',
                    workspace='shop',
                    service='etikett-core',
                    number=2,
                    version=4,
                )
                node.state.decisions.add(decided)
            async with open_node(node.endpoint) as client:
                answer = await client.explain(CALLER, SERVICE)
                with pytest.raises(ControlError, match='name'):
                    await client.explain(('name', 1), SERVICE)
            assert (answer.rule, answer.number) == ('least_load', 2)
            assert [each.number for each in answer.decisions] == [2]
            assert 5 <= answer.decisions[0].age_s < 10

    run(scenario())


def test_pull() -> None:
    """Guards against records or deletions lost on the way to a neighbour."""

    async def scenario() -> None:
        async with open_control_of('node-1') as node:
            node.receive(*build_records())
            node.receive(Record(SHOP_KEY, 9, None))
            async with open_node(node.endpoint) as client:
                pulled = await client.pull(range(BUCKETS))
                assert set(pulled) == set(node.state.records.records.values())
                assert await client.pull(()) == ()
                with pytest.raises(ControlError, match='below'):
                    await client.pull((BUCKETS,))

    run(scenario())

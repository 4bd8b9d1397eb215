"""Unexpected errors and malformed input must not stop a node of the platform.

Guards against one bad record, datagram or response that ends the timer or the
reads of the platform for good, so that the process lives on without working.
"""

import asyncio
import itertools
import os
import random
import re
import time
from pathlib import Path

import pytest
from fleetnode import records
from fleetnode.packets import Codec

from apricottally.errors import CompactedError, PlatformError
from apricottally.tagged import events, packets
from apricottally.tagged.jsonlog import JsonLog
from apricottally.tagged.messages import Delta, Heartbeat, Peer, decode, encode
from apricottally.tagged.networkcalls import RecordBatch
from apricottally.tagged.node import Node, open_node
from apricottally.tagged.nodeconfig import NodeConfig
from apricottally.tagged.records import BackendChange, ConfigurationChange
from apricottally.tagged.revisions import NO_REVISION
from apricottally.tagged.state import NodeState
from tests.asyncruns import run, wait_until
from tests.taggednode import (
    ADDRESS,
    CLIENT,
    FEED_PORT,
    TaggedNode,
    build_backend,
    build_configuration,
    rev,
)
from tests.test_fleetnode import SERVER
from tests.test_fleetnode import encode as encode_value

LOCALHOST = '127.0.0.1'
ROOT = Path(__file__).resolve().parent.parent
SPLIT = {'service': 'core', 'weight': 1}
ROUTE = {'name': 'r', 'host': '10.9.0.1', 'prefix': '/443/', 'service': 'core'}


class FakePlatform:
    """Raises the errors in order; then its calls wait for ever."""

    def __init__(self, *problems: Exception) -> None:
        self.problems = list(problems)
        self.calls = 0

    async def list_records(self) -> RecordBatch:
        self.calls += 1
        if self.problems:
            raise self.problems.pop(0)
        return await asyncio.get_running_loop().create_future()

    async def watch(self, after: int, wait_s: float) -> RecordBatch:
        return await self.list_records()


class FailingCodec(Codec):
    """Fails for the datagram `bad` and for the backend with tag 1."""

    def parse(self, payload):
        if payload == b'bad':
            raise ValueError(payload)
        return super().parse(payload)

    def address_to_backend(self, backend, raw, tag):
        if backend.tag == 1:
            raise OverflowError(backend)
        return super().address_to_backend(backend, raw, tag)


def build_node(platform: FakePlatform) -> Node:
    config = NodeConfig('n1', 'a', LOCALHOST, 0)
    loop = asyncio.get_running_loop()
    state = NodeState(config, random.Random(1), loop.time())
    log = JsonLog(os.open(os.devnull, os.O_WRONLY), 'n1')
    return Node(state, platform, FailingCodec(1), log)


@pytest.mark.parametrize(
    'problem',
    [
        PlatformError('status_503'),
        CompactedError('compacted'),
        ValueError('unexpected'),
        RecursionError('unexpected'),
    ],
)
def test_reads_go_on_after_error(problem) -> None:
    """A node whose read failed in any way must read again."""

    async def scenario() -> None:
        platform = FakePlatform(problem)
        node = build_node(platform)
        async with open_node(node, (LOCALHOST, 0)):
            await wait_until(lambda: platform.calls > 1)
        assert node.state.counters.total('read_failed') == 1

    run(scenario())


def test_timer_survives_failing_datagram() -> None:
    """A datagram that raises in the timer must not end the timer."""

    async def scenario() -> None:
        node = build_node(FakePlatform())

        class BadSocket:
            def drain(self) -> None:
                node.receive_packet(b'bad', (LOCALHOST, 1))

        async with open_node(node, (LOCALHOST, 0)):
            socket = BadSocket()
            node.attach_sockets(socket, socket)
            failed = node.state.counters.total
            await wait_until(lambda: failed('handler_failed') > 1)

    run(scenario())


def test_failing_effect_leaves_the_others() -> None:
    """An effect that fails must be counted; the next ones are carried out."""

    async def scenario() -> None:
        node = build_node(FakePlatform())
        sent = []

        class Socket:
            def send(self, payload, dest) -> None:
                sent.append(dest)

        node.attach_sockets(Socket(), Socket())
        backends = [build_backend(1), build_backend(2, zone='b')]
        changes = [
            *(
                BackendChange(backend.name, rev(5), backend)
                for backend in backends
            ),
            ConfigurationChange(rev(5), build_configuration()),
        ]
        now = node.loop.time()
        node.submit(events.RecordsListed(now, now, rev(5), tuple(changes)))
        for port in range(8):
            packet = packets.FlowPacket(
                bytes([port]), CLIENT, port, ADDRESS, FEED_PORT, packets.SYN,
                0, 0, 0, 0, b'',
            )  # fmt: skip
            node.submit(events.PacketArrived(now, packet))
        assert node.state.counters.total('handler_failed')
        assert sent
        node.close()

    run(scenario())


@pytest.mark.parametrize(
    'changes',
    [
        {},
        {'cold-left-ms': 1e300},
        {'cold-left-ms': -1e300},
        {'born': 10**22},
        {'born': -(10**22)},
        {'slots': 10**22},
    ],
)
def test_record_can_be_relayed(changes) -> None:
    """A number out of range must not make a node unable to pass records on.

    Deltas and snapshots carry it; no node could encode them while it stands.
    """
    item = records.Item('servers/i-00000009', 8, encode_value(SERVER | changes))
    change = records.decode_item(item, 1)
    assert change is not None
    delta = Delta('n1', rev(7), rev(8), 0, (change,))
    assert decode(encode(delta)) == delta


@pytest.mark.parametrize(
    ('changes', 'limits'),
    [
        ({'timeout-ms': 1e300}, {}),
        ({'target-latency-ms': 1e300}, {}),
        ({'priority': 10**22}, {}),
        ({'split': [SPLIT | {'weight': 1e300}]}, {}),
        ({}, {'idle-timeout-ms': 1e300}),
    ],
)
def test_configuration_out_of_range(changes, limits) -> None:
    """A configuration that cannot be relayed must be ignored as a whole."""
    value = {'version': 3, 'routes': [ROUTE | changes], 'limits': limits}
    item = records.Item('op/config', 8, encode_value(value))
    assert records.decode_item(item, 1) is None


@pytest.mark.parametrize('jump_s', [-86_400, -7, 7, 86_400])
def test_clock_jump_changes_no_decision(monkeypatch, jump_s) -> None:
    """A jump of the time of day must not age records, flows or heartbeats.

    The same events have the same effects, and reads, retries and suspicions
    are due at the same times of the monotonic clock.
    """

    def play() -> list[object]:
        node = TaggedNode(4)
        found: list[object] = []
        for port in range(20):
            found += node.send(port, packets.SYN)
            found += node.run(0.3)
        return found

    expected = play()
    now = time.time()
    calls = itertools.count()
    monkeypatch.setattr(
        time, 'time', lambda: now + jump_s * (next(calls) % 3 - 1)
    )
    assert play() == expected


def test_only_the_log_reads_the_time_of_day() -> None:
    """A module that reads the time of day could decide by it."""
    readers = {
        path.name
        for folder in ('apricottally/tagged', 'platform/fleetnode')
        for path in (ROOT / folder).rglob('*.py')
        if re.search(r'\btime\.time\(|datetime|time_ns', path.read_text())
    }
    assert readers == {'jsonlog.py'}


@pytest.mark.parametrize(
    'changes',
    [
        {'sender': Peer('n2', 'a', 'nowhere', 7720, 7)},
        {'sender': Peer('n2', 'a', '10.1.0.2', 99_999, 7)},
        {'known': (Peer('n3', 'a', '', -1, 7),)},
    ],
)
def test_unusable_address_of_neighbour(changes) -> None:
    """A neighbour with an invalid address must not be recorded.

    Sending to it fails, and the neighbours after it would get no heartbeat.
    """

    defaults = {
        'sender': Peer('n2', 'a', LOCALHOST, 9, 7),
        'sequence': 1,
        'leaving': False,
        'revision': NO_REVISION,
        'version': 0,
        'age_ms': 0,
        'loads': (),
        'unreachable': (),
        'known': (),
    }
    node = TaggedNode(1)
    heartbeat = encode(Heartbeat(**(defaults | changes)))
    node.submit(events.PeerArrived(node.now, (LOCALHOST, 9), heartbeat))
    assert node.state.counters.total('peer_dropped') == 1
    assert not node.state.neighbours.by_name

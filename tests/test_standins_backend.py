"""Backend servers and callers of the stand-ins keep their contract."""

import random

import pytest

from apricottally.events import LoadReport
from standins import protocol
from standins.capacity import ServerConfig
from standins.client import Client, ClientConfig
from standins.clientwork import Tally, Work
from standins.protocol import Kind, Request
from standins.server import Server
from standins.tcp import Connection, Outcome
from standins.tcpoutput import make_flow
from standins.tcpstack import TcpStack

SLOT_PORT = 4001
FEED_PORT = 4002
STEP_S = 0.01
SERVICE_IP = '10.9.0.1'


class Pair:
    """A caller's stack and a backend server on a network without faults."""

    def __init__(self, **settings: object) -> None:
        config = ServerConfig(
            name='core-1',
            service='core',
            ip='127.0.0.1',
            slot_ports=(SLOT_PORT,),
            **settings,
        )
        self.now = 50.0
        self.server = Server(config, random.Random(1), self.now)
        self.stack = TcpStack(random.Random(2))
        self.port = 20_000

    def ask(self, request: Request) -> Connection:
        self.port += 1
        is_feed = request.kind is Kind.feed
        target = (SERVICE_IP, FEED_PORT if is_feed else SLOT_PORT)
        flow = make_flow(('10.1.0.1', self.port), target)
        connection = self.stack.connect(self.now, flow)
        line = protocol.encode_line(request)
        self.stack.write(self.now, connection, line)
        return connection

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for inner in self.stack.take_packets():
                self.server.receive(self.now, inner)
            self.server.tick(self.now)
            for inner in self.server.stack.take_packets():
                self.stack.receive(self.now, inner)
            self.stack.tick(self.now)

    def endings(self) -> list[str]:
        return [entry.ended for entry in self.server.journal]


def submit(name: str, work_ms: int, deadline_ms: int = 0) -> Request:
    return Request(name, Kind.submission, 10, work_ms, deadline_ms)


def test_third_flow_is_shed_until_a_slot_is_free() -> None:
    """Guards against work that runs beyond the slots."""
    pair = Pair()
    flows = [pair.ask(submit(name, 200)) for name in ('one', 'two', 'three')]
    feed = pair.ask(Request('feed', Kind.feed, interval_ms=100))
    pair.run(0.1)
    assert pair.server.capacity.measure(pair.now) == LoadReport(2, 3, 'ready')
    assert flows[2].outcome is Outcome.refused
    assert feed.outcome is Outcome.none
    pair.run(0.2)
    pair.ask(submit('four', 10))
    pair.run(0.2)
    assert [entry.id for entry in pair.server.journal] == [
        'one',
        'two',
        'feed',
        'four',
    ]
    assert pair.server.counts['shed_slots'] == 1


def test_connections_are_bounded() -> None:
    """Guards against a server that takes more connections than it has."""
    pair = Pair(connections=3)
    feeds = [
        pair.ask(Request(f'feed-{index}', Kind.feed, interval_ms=100))
        for index in range(5)
    ]
    pair.run(0.5)
    refused = [feed.outcome is Outcome.refused for feed in feeds]
    assert refused == [False, False, False, True, True]


def test_draining_server_keeps_open_flows_and_sheds_new_ones() -> None:
    """Guards against a drain that cuts a feed or takes new work late."""
    pair = Pair(drain_grace_s=1)
    feed = pair.ask(Request('feed', Kind.feed, interval_ms=100))
    pair.run(0.2)
    pair.server.capacity.drain(pair.now)
    early = pair.ask(submit('early', 10))
    pair.run(1.2)
    late = pair.ask(submit('late', 10))
    feed.read()
    pair.run(1)
    assert early.peer_closed
    assert late.outcome is Outcome.refused
    assert feed.read().count(b'\n') >= 8
    assert pair.server.capacity.report(pair.now).state == 'draining'


def test_deadline_stops_the_work() -> None:
    """Guards against work that goes on after nobody waits for it."""
    pair = Pair()
    connection = pair.ask(submit('late', 500, deadline_ms=100))
    pair.run(0.2)
    assert b'"status":"deadline"' in connection.read()
    assert pair.endings() == ['deadline']
    assert not pair.server.capacity.measure(pair.now).busy


def test_reset_stops_the_work_and_frees_the_slot() -> None:
    """Guards against a cancelled request that keeps its slot."""
    pair = Pair()
    connection = pair.ask(submit('gone', 500))
    pair.run(0.1)
    pair.stack.abort(pair.now, connection)
    pair.run(0.1)
    assert pair.endings() == ['cancelled']
    assert pair.server.capacity.measure(pair.now) == LoadReport(0, 0, 'ready')


def test_half_open_flow_lapses() -> None:
    """Guards against a slot held by a caller that never came back."""
    pair = Pair()
    pair.ask(submit('ghost', 10))
    syn = pair.stack.take_packets()[0]
    pair.server.receive(pair.now, syn)
    assert pair.server.capacity.measure(pair.now).busy == 1
    for _ in range(400):
        pair.now += STEP_S
        pair.server.tick(pair.now)
    assert not pair.server.capacity.measure(pair.now).busy
    assert not pair.server.journal


@pytest.mark.parametrize(
    ('settings', 'expected'),
    [
        ({}, LoadReport(1, 1, 'ready')),
        ({'report_lag_s': 1.0}, LoadReport(0, 0, 'ready')),
        ({'lie': LoadReport(0, 9, 'ready')}, LoadReport(0, 9, 'ready')),
        ({'cold_s': 5.0}, LoadReport(1, 1, 'cold')),
    ],
)
def test_report(settings: dict[str, object], expected: LoadReport) -> None:
    """Guards against load reports that do not lag or lie as they should."""
    pair = Pair(**settings)
    pair.run(1.5)
    pair.ask(submit('one', 2000))
    pair.run(0.5)
    assert pair.server.capacity.report(pair.now) == expected


@pytest.mark.parametrize(('cold_s', 'expected_s'), [(0, 0.1), (10, 0.3)])
def test_cold_server_is_slower(cold_s: float, expected_s: float) -> None:
    """Guards against a cold start that costs nothing."""
    pair = Pair(cold_s=cold_s)
    connection = pair.ask(submit('one', 100))
    started = pair.now
    while not connection.peer_closed:
        pair.run(STEP_S)
    assert pair.now - started == pytest.approx(expected_s, abs=0.06)


def run_client(
    work: Work,
    server: Server,
    tamper: dict[bytes, bytes],
) -> Tally:
    """Run one caller for 4 s against a server; replies are tampered with."""
    now = 50.0
    config = ClientConfig('caller', '10.1.0.1', (work,))
    client = Client(config, random.Random(3), now)
    for step in range(400):
        now += STEP_S
        client.tick(now)
        for inner in client.stack.take_packets():
            server.receive(now, inner)
        server.tick(now)
        for inner in server.stack.take_packets():
            client.receive(now, alter(inner, tamper))
        if step == 300:
            client.stop(now)
    report = client.report()
    assert not report.damaged
    tally = report.works['work'].tally
    assert tally.started
    return tally


def alter(inner: bytes, tamper: dict[bytes, bytes]) -> bytes:
    """Replace bytes; swaps at an even distance keep the checksum right."""
    for old, new in tamper.items():
        inner = inner.replace(old, new)
    return inner


@pytest.mark.parametrize(
    ('kind', 'tamper', 'ended'),
    [
        (Kind.hold, {}, 'completed'),
        (Kind.feed, {}, 'completed'),
        (Kind.hold, {b'caller-work-': b'caller-rowk-'}, 'crossed'),
        (Kind.feed, {b'caller-work-': b'caller-rowk-'}, 'crossed'),
        (Kind.hold, {b'"core"': b'"roce"'}, 'misrouted'),
        (Kind.feed, {b'"core"': b'"roce"'}, 'misrouted'),
    ],
)
def test_caller_tells_what_became_of_its_flows(
    kind: Kind,
    tamper: dict[bytes, bytes],
    ended: str,
) -> None:
    """Guards against a check that a wrong answer passes."""
    work = Work(
        name='work',
        target=f'{SERVICE_IP}:{FEED_PORT}',
        service='core',
        kind=kind,
        rate_per_s=20,
        feeds=3,
        size=4000,
    )
    server = Pair().server
    tally = run_client(work, server, tamper)
    counts = {
        name: getattr(tally, name)
        for name in ('completed', 'broken', 'crossed', 'misrouted', 'doubled')
        if getattr(tally, name)
    }
    assert list(counts) == [ended]

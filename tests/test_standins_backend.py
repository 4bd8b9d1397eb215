"""Tests of the simulated backend servers and callers in `standins`."""

import random

import pytest

from apricottally.events import LoadReport
from standins import protocol
from standins.capacity import ServerConfig
from standins.client import Client, ClientConfig
from standins.protocol import Kind, Request
from standins.server import Server
from standins.tcp import Connection, Outcome
from standins.tcpoutput import make_flow
from standins.tcpstack import TcpStack
from standins.workload import Tally, Work

SLOT_PORT = 4001
FEED_PORT = 4002
STEP_S = 0.01
SERVICE_IP = '10.9.0.1'


class ServerHarness:
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

    def send_request(self, request: Request) -> Connection:
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

    def list_outcomes(self) -> list[str]:
        return [entry.ended for entry in self.server.journal]


def make_submission(name: str, work_ms: int, deadline_ms: int = 0) -> Request:
    return Request(name, Kind.submission, 10, work_ms, deadline_ms)


def test_third_flow_is_shed_until_a_slot_is_free() -> None:
    """Guards against more concurrent work than slots; feeds hold none."""
    harness = ServerHarness()
    flows = [
        harness.send_request(make_submission(name, 200))
        for name in ('one', 'two', 'three')
    ]
    feed = harness.send_request(Request('feed', Kind.feed, interval_ms=100))
    harness.run(0.1)
    assert harness.server.capacity.measure(harness.now) == LoadReport(
        2, 3, 'ready'
    )
    assert flows[2].outcome is Outcome.refused
    assert feed.outcome is Outcome.none
    harness.run(0.2)
    harness.send_request(make_submission('four', 10))
    harness.run(0.2)
    assert [entry.id for entry in harness.server.journal] == [
        'one',
        'two',
        'feed',
        'four',
    ]
    assert harness.server.counts['shed_slots'] == 1


def test_connections_are_bounded() -> None:
    """Guards against a server that exceeds its connection limit."""
    harness = ServerHarness(connections=3)
    feeds = [
        harness.send_request(
            Request(f'feed-{index}', Kind.feed, interval_ms=100)
        )
        for index in range(5)
    ]
    harness.run(0.5)
    refused = [feed.outcome is Outcome.refused for feed in feeds]
    assert refused == [False, False, False, True, True]


def test_draining_server_keeps_open_flows_and_sheds_new_ones() -> None:
    """A drain must not cut open feeds.

    New flows are accepted during the grace period and refused after it.
    """
    harness = ServerHarness(drain_grace_s=1)
    feed = harness.send_request(Request('feed', Kind.feed, interval_ms=100))
    harness.run(0.2)
    harness.server.capacity.drain(harness.now)
    early = harness.send_request(make_submission('early', 10))
    harness.run(1.2)
    late = harness.send_request(make_submission('late', 10))
    feed.read()
    harness.run(1)
    assert early.peer_closed
    assert late.outcome is Outcome.refused
    assert feed.read().count(b'\n') >= 8
    assert harness.server.capacity.report(harness.now).state == 'draining'


def test_deadline_stops_the_work() -> None:
    """Guards against work that continues past its deadline.

    By then the caller no longer waits for the answer.
    """
    harness = ServerHarness()
    connection = harness.send_request(
        make_submission('late', 500, deadline_ms=100)
    )
    harness.run(0.2)
    assert b'"status":"deadline"' in connection.read()
    assert harness.list_outcomes() == ['deadline']
    assert not harness.server.capacity.measure(harness.now).busy


def test_reset_stops_the_work_and_frees_the_slot() -> None:
    """A caller that resets its connection must not leave a slot in use."""
    harness = ServerHarness()
    connection = harness.send_request(make_submission('gone', 500))
    harness.run(0.1)
    harness.stack.abort(harness.now, connection)
    harness.run(0.1)
    assert harness.list_outcomes() == ['cancelled']
    assert harness.server.capacity.measure(harness.now) == LoadReport(
        0, 0, 'ready'
    )


def test_half_open_flow_lapses() -> None:
    """Guards against a slot leak.

    The caller sends a SYN and never answers the SYN-ACK.
    """
    harness = ServerHarness()
    harness.send_request(make_submission('ghost', 10))
    syn = harness.stack.take_packets()[0]
    harness.server.receive(harness.now, syn)
    assert harness.server.capacity.measure(harness.now).busy == 1
    for _ in range(400):
        harness.now += STEP_S
        harness.server.tick(harness.now)
    assert not harness.server.capacity.measure(harness.now).busy
    assert not harness.server.journal


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
    """Load reports must be stale, false or cold as configured."""
    harness = ServerHarness(**settings)
    harness.run(1.5)
    harness.send_request(make_submission('one', 2000))
    harness.run(0.5)
    assert harness.server.capacity.report(harness.now) == expected


@pytest.mark.parametrize(('cold_s', 'expected_s'), [(0, 0.1), (10, 0.3)])
def test_cold_server_is_slower(cold_s: float, expected_s: float) -> None:
    """Guards against a cold server that works at full speed."""
    harness = ServerHarness(cold_s=cold_s)
    connection = harness.send_request(make_submission('one', 100))
    started = harness.now
    while not connection.peer_closed:
        harness.run(STEP_S)
    assert harness.now - started == pytest.approx(expected_s, abs=0.06)


def run_client(
    work: Work,
    server: Server,
    tamper: dict[bytes, bytes],
) -> Tally:
    """Run one caller for 4 s and replace bytes in the server's packets."""
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
            client.receive(now, replace_bytes(inner, tamper))
        if step == 300:
            client.stop(now)
    report = client.report()
    assert not report.damaged
    tally = report.works['work'].tally
    assert tally.started
    return tally


def replace_bytes(inner: bytes, tamper: dict[bytes, bytes]) -> bytes:
    """Replace bytes of a packet.

    Bytes swapped at an even distance leave the checksum valid.
    """
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
def test_caller_counts_flows_by_outcome(
    kind: Kind,
    tamper: dict[bytes, bytes],
    ended: str,
) -> None:
    """Guards against a caller that accepts a wrong answer."""
    work = Work(
        name='work',
        target=f'{SERVICE_IP}:{FEED_PORT}',
        service='core',
        kind=kind,
        rate_per_s=20,
        feeds=3,
        size=4000,
    )
    server = ServerHarness().server
    tally = run_client(work, server, tamper)
    counts = {
        name: getattr(tally, name)
        for name in ('completed', 'broken', 'crossed', 'misrouted', 'doubled')
        if getattr(tally, name)
    }
    assert list(counts) == [ended]

"""The userspace TCP of the stand-ins keeps its contract on a bad network."""

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest

from apricottally import packet
from apricottally.packet import Segment
from standins.stack import Stack
from standins.tcp import Connection, Outcome, State
from standins.tcpoutput import Flow, TcpConfig, make_flow

CALLER = ('10.1.0.1', 40000)
SERVICE = ('10.9.0.1', 443)
REQUEST = b'request\n'
ANSWER = bytes(range(256)) * 200
STEP_S = 0.01
SEED = 7


@dataclass
class Network:
    """Carries packets between a caller and a server, with faults.

    `fault` maps a packet to the delays, in steps, of its copies.
    """

    fault: Callable[[random.Random, bytes], list[int]]
    rng: random.Random = field(init=False)
    step: int = 0
    queue: list[tuple[int, int, Stack, bytes]] = field(default_factory=list)
    server_ends: dict[Flow, Connection] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.rng = random.Random(SEED)
        self.caller = Stack(random.Random(1), TcpConfig())
        self.server = Stack(
            random.Random(2), TcpConfig(), lambda now, syn: True
        )

    @property
    def now(self) -> float:
        return 100 + self.step * STEP_S

    def send(self, target: Stack, inner: bytes, delay: int = 1) -> None:
        item = (self.step + delay, len(self.queue), target, inner)
        self.queue.append(item)

    def run(self, steps: int) -> None:
        for _ in range(steps):
            self.step += 1
            self.deliver()
            self.caller.tick(self.now)
            self.server.tick(self.now)
            self.collect(self.caller, self.server)
            self.collect(self.server, self.caller)

    def collect(self, source: Stack, target: Stack) -> None:
        for inner in source.take_packets():
            for delay in self.fault(self.rng, inner):
                self.send(target, inner, delay)

    def deliver(self) -> None:
        due = sorted(
            (item for item in self.queue if item[0] <= self.step),
            key=lambda item: item[:2],
        )
        self.queue = [item for item in self.queue if item[0] > self.step]
        for _, _, target, inner in due:
            connection = target.receive(self.now, inner)
            if target is self.server and connection is not None:
                self.serve(connection)

    def serve(self, connection: Connection) -> None:
        self.server_ends[connection.flow] = connection
        if connection.take() == REQUEST:
            self.server.write(self.now, connection, ANSWER)
            self.server.close(self.now, connection)

    def connect(self) -> Connection:
        flow = make_flow(CALLER, SERVICE)
        connection = self.caller.connect(self.now, flow)
        self.caller.write(self.now, connection, REQUEST)
        return connection


def clean(rng: random.Random, inner: bytes) -> list[int]:
    return [1]


def reorder(rng: random.Random, inner: bytes) -> list[int]:
    return [rng.randrange(1, 6)]


def lose(rng: random.Random, inner: bytes) -> list[int]:
    return [1] * rng.choice((0, 1, 1, 1, 1, 1))


def duplicate(rng: random.Random, inner: bytes) -> list[int]:
    return [1, rng.randrange(1, 30)]


def everything(rng: random.Random, inner: bytes) -> list[int]:
    copies = rng.choice((0, 1, 1, 1, 1, 2))
    return [rng.randrange(1, 40) for _ in range(copies)]


@pytest.mark.parametrize('fault', [clean, reorder, lose, duplicate, everything])
def test_answer_arrives_whole(fault: Callable[..., list[int]]) -> None:
    """Guards against lost, doubled or reordered bytes on a bad network."""
    network = Network(fault)
    connection = network.connect()
    received = b''
    for _ in range(6000):
        network.run(1)
        received += connection.take()
        if connection.peer_closed:
            network.caller.close(network.now, connection)
            break
    network.run(2000)
    assert received == ANSWER
    assert connection.outcome is Outcome.done
    assert not network.caller.connections
    assert not network.server.connections
    assert not network.server.damaged


def open_pair() -> tuple[Network, Connection, Connection]:
    """Return both ends of an open flow that has answered its request."""
    network = Network(clean)
    connection = network.connect()
    network.run(40)
    server_end = next(iter(network.server_ends.values()))
    assert connection.take() == ANSWER
    return network, connection, server_end


def forge(
    network: Network,
    seq_offset: int,
    flags: int,
    ts_offset: int = 0,
    payload: bytes = b'',
) -> bytes:
    """Return a packet to the caller, relative to what it expects next."""
    network.caller.tick(network.now)
    connection = next(iter(network.server_ends.values()))
    probe = last_ack(network, connection)
    return packet.build(
        probe.dst_ip,
        probe.dst_port,
        probe.src_ip,
        probe.src_port,
        probe.ack + seq_offset,
        probe.seq,
        flags,
        packet.encode_timestamps(probe.ts_ecr + ts_offset, probe.ts_val),
        payload,
    )


def last_ack(network: Network, server_end: Connection) -> Segment:
    """Return the acknowledgement that the caller sends when probed."""
    flow = server_end.flow
    syn = packet.build(
        flow.local_ip,
        flow.local_port,
        flow.remote_ip,
        flow.remote_port,
        0,
        0,
        packet.SYN,
        packet.encode_timestamps(0, 0),
    )
    network.caller.receive(network.now, syn)
    return packet.parse(network.caller.take_packets()[0], 0)


@pytest.mark.parametrize(
    ('seq_offset', 'flags', 'ts_offset', 'outcome', 'answers'),
    [
        # The exact next number ends the flow.
        (0, packet.RST, 0, Outcome.reset, 0),
        # Another number in the window is only challenged (RFC 5961).
        (1, packet.RST, 0, Outcome.none, 1),
        # A refusal meant for the SYN, and a reset of an old flow.
        (-(1 << 30), packet.RST | packet.ACK, 0, Outcome.none, 0),
        # A reset needs no fresh timestamp (RFC 7323, 5.2).
        (0, packet.RST, -5000, Outcome.reset, 0),
        # A late segment of an old flow fails PAWS although it is in window.
        (0, packet.ACK, -5000, Outcome.none, 1),
        # A SYN within the window is only challenged.
        (0, packet.SYN, 0, Outcome.none, 1),
        # A late segment from before the window.
        (-5000, packet.ACK, 0, Outcome.none, 1),
    ],
)
def test_stale_packet_in_open_flow(
    seq_offset: int,
    flags: int,
    ts_offset: int,
    outcome: Outcome,
    answers: int,
) -> None:
    """Guards against a stray packet that ends or changes an open flow."""
    network, connection, _ = open_pair()
    payload = b'late' if flags == packet.ACK else b''
    inner = forge(network, seq_offset, flags, ts_offset, payload)
    network.caller.receive(network.now, inner)
    assert connection.outcome is outcome
    assert len(network.caller.take_packets()) == answers
    assert connection.take() == b''


def test_stale_acknowledgements_are_answered_at_a_limited_rate() -> None:
    """Guards against two ends that answer each other for ever."""
    network, _, _ = open_pair()
    stale = forge(network, -5000, packet.ACK)
    for _ in range(100):
        network.step += 1
        network.caller.receive(network.now, stale)
    assert len(network.caller.take_packets()) == 2


@pytest.mark.parametrize(
    ('ack_offset', 'flags', 'outcome'),
    [
        (1, packet.RST | packet.ACK, Outcome.refused),
        (0, packet.RST | packet.ACK, Outcome.none),
        (2, packet.RST | packet.ACK, Outcome.none),
        (0, packet.RST, Outcome.none),
    ],
)
def test_reset_in_syn_sent(
    ack_offset: int,
    flags: int,
    outcome: Outcome,
) -> None:
    """Guards against a stray reset that looks like "not run"."""
    network = Network(clean)
    connection = network.connect()
    segment = packet.parse(network.caller.take_packets()[0], 0)
    reset = packet.build(
        segment.dst_ip,
        segment.dst_port,
        segment.src_ip,
        segment.src_port,
        0,
        segment.seq + ack_offset,
        flags,
    )
    network.caller.receive(network.now, reset)
    assert connection.outcome is outcome
    still_open = outcome is Outcome.none
    assert connection.state is (State.syn_sent if still_open else State.closed)


def test_late_segment_of_an_old_flow_with_the_same_ports() -> None:
    """Guards against old bytes that enter a new flow with the same ports."""
    network = Network(clean)
    first = network.connect()
    late: list[bytes] = []
    for _ in range(40):
        network.run(1)
        late += [item[3] for item in network.queue if item[2] is network.caller]
    first.take()
    network.caller.close(network.now, first)
    network.run(300)
    assert first.outcome is Outcome.done
    second = network.connect()
    received = b''
    for _ in range(400):
        network.send(network.caller, network.rng.choice(late))
        network.run(1)
        received += second.take()
    assert received == ANSWER
    assert second.outcome is Outcome.none


def test_back_off_doubles_until_the_flow_times_out() -> None:
    """Guards against a retransmission storm while nothing answers."""
    network = Network(clean)
    connection = network.connect()
    sent = []
    for _ in range(2000):
        network.step += 1
        network.caller.tick(network.now)
        sent += [network.step for _ in network.caller.take_packets()]
    gaps = [later - earlier for earlier, later in itertools.pairwise(sent)]
    assert gaps[:3] == pytest.approx([20, 40, 80], abs=2)
    assert connection.outcome is Outcome.timeout


def test_keepalive_is_answered_and_its_loss_times_out() -> None:
    """Guards against a quiet feed that counts as dead, and the reverse."""
    network = Network(clean)
    flow = make_flow(CALLER, SERVICE)
    config = TcpConfig(keepalive_s=1, max_tries=3)
    connection = network.caller.connect(network.now, flow, config)
    network.run(1000)
    assert connection.state is State.open
    network.fault = lambda rng, inner: []
    network.run(2000)
    assert connection.outcome is Outcome.timeout

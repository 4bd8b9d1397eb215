"""Tests of the userspace TCP under packet faults and forged packets."""

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest

from apricottally import packet
from apricottally.packet import Segment
from standins.tcp import Connection, Outcome, State
from standins.tcpoutput import Flow, TcpConfig, make_flow
from standins.tcpstack import TcpStack

CALLER = ('10.1.0.1', 40000)
SERVICE = ('10.9.0.1', 443)
REQUEST = b'request\n'
ANSWER = bytes(range(256)) * 200
STEP_S = 0.01
SEED = 7


@dataclass
class Network:
    """Simulated network between a caller and a server.

    `fault` returns the delay, in steps, of each copy of a packet that is
    delivered; an empty list drops the packet.
    """

    fault: Callable[[random.Random, bytes], list[int]]
    rng: random.Random = field(init=False)
    step: int = 0
    queue: list[tuple[int, int, TcpStack, bytes]] = field(default_factory=list)
    server_ends: dict[Flow, Connection] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.rng = random.Random(SEED)
        self.caller = TcpStack(random.Random(1), TcpConfig())
        self.server = TcpStack(
            random.Random(2), TcpConfig(), lambda now, syn: True
        )

    @property
    def now(self) -> float:
        return 100 + self.step * STEP_S

    def send(self, target: TcpStack, inner: bytes, delay: int = 1) -> None:
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

    def collect(self, source: TcpStack, target: TcpStack) -> None:
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
        if connection.read() == REQUEST:
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


def lose_reorder_duplicate(rng: random.Random, inner: bytes) -> list[int]:
    copies = rng.choice((0, 1, 1, 1, 1, 2))
    return [rng.randrange(1, 40) for _ in range(copies)]


@pytest.mark.parametrize(
    'fault', [clean, reorder, lose, duplicate, lose_reorder_duplicate]
)
def test_answer_arrives_whole(fault: Callable[..., list[int]]) -> None:
    """No bytes may be lost, duplicated or reordered by packet faults."""
    network = Network(fault)
    connection = network.connect()
    received = b''
    for _ in range(6000):
        network.run(1)
        received += connection.read()
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
    """Return both ends of a flow after the server sent its answer."""
    network = Network(clean)
    connection = network.connect()
    network.run(40)
    server_end = next(iter(network.server_ends.values()))
    assert connection.read() == ANSWER
    return network, connection, server_end


def forge(
    network: Network,
    seq_offset: int,
    flags: int,
    ts_offset: int = 0,
    payload: bytes = b'',
) -> bytes:
    """Return a packet to the caller, with offsets to RCV.NXT and TS.Recent."""
    network.caller.tick(network.now)
    connection = next(iter(network.server_ends.values()))
    probe = elicit_ack(network, connection)
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


def elicit_ack(network: Network, server_end: Connection) -> Segment:
    """Return the caller's acknowledgement, elicited by a SYN."""
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
        # A reset with the next expected number ends the flow.
        (0, packet.RST, 0, Outcome.reset, 0),
        # Another number in the window gets a challenge ACK (RFC 5961).
        (1, packet.RST, 0, Outcome.none, 1),
        # A late refusal of the SYN, or a reset of an old flow.
        (-(1 << 30), packet.RST | packet.ACK, 0, Outcome.none, 0),
        # Resets are exempt from the timestamp check (RFC 7323, 5.2).
        (0, packet.RST, -5000, Outcome.reset, 0),
        # A late segment of an old flow, in the window, is rejected by PAWS.
        (0, packet.ACK, -5000, Outcome.none, 1),
        # A SYN in the window gets a challenge ACK.
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
    """Only a reset with the next expected number may end an open flow.

    Other late or forged packets must not, nor may they add bytes to it.
    """
    network, connection, _ = open_pair()
    payload = b'late' if flags == packet.ACK else b''
    inner = forge(network, seq_offset, flags, ts_offset, payload)
    network.caller.receive(network.now, inner)
    assert connection.outcome is outcome
    assert len(network.caller.take_packets()) == answers
    assert connection.read() == b''


def test_stale_acknowledgements_are_answered_at_a_limited_rate() -> None:
    """Two ends must not acknowledge each other endlessly.

    That happens if each considers the other's sequence number unacceptable.
    """
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
    """Only a reset that acknowledges the SYN may count as a refusal.

    A refused request was not run, which a stray reset does not prove.
    """
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
    """Late segments of an old flow must not add bytes to a new one."""
    network = Network(clean)
    first = network.connect()
    late: list[bytes] = []
    for _ in range(40):
        network.run(1)
        late += [item[3] for item in network.queue if item[2] is network.caller]
    first.read()
    network.caller.close(network.now, first)
    network.run(300)
    assert first.outcome is Outcome.done
    second = network.connect()
    received = b''
    for _ in range(400):
        network.send(network.caller, network.rng.choice(late))
        network.run(1)
        received += second.read()
    assert received == ANSWER
    assert second.outcome is Outcome.none


def test_back_off_doubles_until_the_flow_times_out() -> None:
    """Retransmissions must back off while the peer does not answer."""
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
    """An idle flow must stay open while keep-alives are answered.

    Without answers it must time out.
    """
    network = Network(clean)
    flow = make_flow(CALLER, SERVICE)
    config = TcpConfig(keepalive_s=1, max_retransmissions=3)
    connection = network.caller.connect(network.now, flow, config)
    network.run(1000)
    assert connection.state is State.open
    network.fault = lambda rng, inner: []
    network.run(2000)
    assert connection.outcome is Outcome.timeout

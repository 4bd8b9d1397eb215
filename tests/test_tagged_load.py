"""Tests of the occupancy that nodes infer and share, and of selection by it."""

import math

import msgspec
import pytest

from apricottally.tagged import effects, events, flows, packets, selection
from apricottally.tagged.messages import Heartbeat, Load, Peer, encode
from apricottally.tagged.occupancy import NeighbourReport, Occupancy
from tests.taggednode import TaggedNode, build_backend, rev


def build_heartbeat(sequence: int, loads=(), **changes) -> Heartbeat:
    defaults = {
        'sender': Peer('n2', 'a', '10.1.0.2', 7720, 7),
        'sequence': sequence,
        'leaving': False,
        'revision': rev(10),
        'version': 1,
        'age_ms': 0,
        'loads': tuple(loads),
        'unreachable': (),
        'known': (),
    }
    return Heartbeat(**(defaults | changes))


def receive_heartbeat(node: TaggedNode, heartbeat: Heartbeat) -> None:
    """Submit a heartbeat that was sent just now, and measure its clock first.

    The sender's clock shows the node's time.
    """
    if heartbeat.sent_ms is None:
        node.measure_clock(heartbeat.sender)
        sent_ms = math.floor(node.now * 1000)
        heartbeat = msgspec.structs.replace(heartbeat, sent_ms=sent_ms)
    source = (heartbeat.sender.ip, heartbeat.sender.port)
    node.submit(events.PeerArrived(node.now, source, encode(heartbeat)))


def test_request_is_counted_until_answered() -> None:
    """A request must stop counting when the client acknowledges the answer."""
    node = TaggedNode(1)
    node.open_flow(1)
    node.send_request(1, 1)
    assert node.state.occupancy.count_busy(1) == 1
    node.send(1, packets.ACK, sequence=1101, acknowledged=900, tag=1)
    assert node.state.occupancy.count_busy(1) == 0
    assert node.state.occupancy.count_open(1) == 1
    node.send(1, packets.FIN | packets.ACK, sequence=1101, tag=1)
    assert node.state.occupancy.count_open(1) == 0


def test_full_flow_table_counts_nothing(monkeypatch) -> None:
    """Flows beyond the table's limit must not make the counts negative.

    They are not counted when they start, so their end must not count either.
    """
    monkeypatch.setattr(flows, 'MAX_FLOWS', 1)
    node = TaggedNode(1)
    node.open_flow(1)
    node.send(2, packets.ACK, sequence=5, length=3, tag=1)
    assert node.list_forwarded()
    node.send(2, packets.FIN | packets.ACK, sequence=8, tag=1)
    assert node.state.occupancy.count_busy(1) == 1
    assert node.state.occupancy.count_open(1) == 1


def test_neighbour_work_is_seen() -> None:
    """Nodes must not all select a backend that another node keeps busy."""
    node = TaggedNode(3)
    receive_heartbeat(node, build_heartbeat(1, [Load(1, 2, 2), Load(2, 1, 1)]))
    node.send(1, packets.SYN)
    assert node.list_forwarded()[0].backend.tag == 3


@pytest.mark.parametrize(
    ('sequences', 'busy'),
    [((1, 2), 2), ((2, 1), 2), ((1, 1), 1)],
)
def test_reports_in_any_order(sequences, busy) -> None:
    """A late heartbeat must not replace the counts of a newer one."""
    occupancy = Occupancy()
    for sequence in sequences:
        loads = (Load(1, sequence, 0),)
        occupancy.record_report('n2', NeighbourReport(0, 7, sequence, loads))
    assert occupancy.count_busy(1) == busy


def test_silent_neighbour_is_not_counted() -> None:
    """The requests of a dead node must not count for ever."""
    node = TaggedNode(1)
    receive_heartbeat(node, build_heartbeat(1, [Load(1, 4, 4)]))
    assert node.state.occupancy.count_busy(1) == 4
    node.run(2)
    assert node.state.occupancy.count_busy(1) == 0


def test_restarted_neighbour_counts_anew() -> None:
    """Reports of a restarted node must not be ignored as out of date.

    Its sequence starts again at a lower number.
    """
    node = TaggedNode(1)
    receive_heartbeat(node, build_heartbeat(50, [Load(1, 4, 4)]))
    restarted = Peer('n2', 'a', '10.1.0.2', 7720, 8)
    receive_heartbeat(
        node, build_heartbeat(1, [Load(1, 1, 1)], sender=restarted)
    )
    assert node.state.occupancy.count_busy(1) == 1


def test_backlog_after_restart_is_not_refused() -> None:
    """New flows must not be refused because of clients that have given up.

    After a restart of all nodes, a backlog of SYNs arrives. Most of their
    clients give up, so these requests must soon stop counting.
    """
    node = TaggedNode(2)
    for port in range(20):
        node.send(port, packets.SYN)
    node.run(0.6)
    refused = node.state.counters.total('refused', 'full')
    for port in range(100, 110):
        node.send(port, packets.SYN)
    assert node.state.counters.total('refused', 'full') == refused


def test_abandoned_request_is_not_counted() -> None:
    """A request whose client has given up must not count as a busy slot."""
    node = TaggedNode(1)
    node.open_flow(1)
    node.send_request(1, 1)
    node.run(0.7)
    assert node.state.occupancy.count_busy(1) == 0


@pytest.mark.parametrize('burst', [10, 28, 60])
def test_burst_spreads_evenly(burst) -> None:
    """A burst of new flows through one node must be spread evenly."""
    node = TaggedNode(7)
    for port in range(burst):
        node.send(port, packets.SYN)
    counts = [node.state.occupancy.count_busy(index + 1) for index in range(7)]
    assert max(counts) - min(counts) <= 1


def test_other_zone_takes_overflow_only() -> None:
    """Flows must not go to another zone unless their own has more load."""
    node = TaggedNode(0)
    node.load_records(10, [build_backend(1), build_backend(2, zone='b')])
    tags = []
    for port in range(6):
        node.send(port, packets.SYN)
        tags.append(node.list_forwarded()[0].backend.tag)
    assert tags[0] == 1
    assert 2 in tags


def test_large_service_costs_no_more(monkeypatch) -> None:
    """The cost of a selection must not grow with a service's backends."""
    node = TaggedNode(backends=1000)
    compared = []
    busy = node.state.occupancy.count_busy
    monkeypatch.setattr(
        Occupancy,
        'count_busy',
        lambda _, tag: compared.append(tag) or busy(tag),
    )
    for port in range(20):
        compared.clear()
        node.send(port, packets.SYN)
        assert len(compared) <= 70


def test_large_service_spreads_evenly() -> None:
    """Comparing only a sample must not overload backends of 2 slots."""
    node = TaggedNode(backends=200)
    for port in range(200):
        node.send(port, packets.SYN)
    counts = [count.busy for count in node.state.occupancy.own.values()]
    assert max(counts) <= 2


def test_full_sample_is_not_refused() -> None:
    """A flow must not be refused while a backend outside the sample is free."""
    node = TaggedNode(backends=100)
    full = selection.QUEUE_LIMIT + 2
    for tag in range(2, 101):
        node.state.occupancy.add_busy(tag, full)
    for port in range(full):
        node.send(port, packets.SYN)
        assert [sent.backend.tag for sent in node.list_forwarded()] == [1]


def test_cold_backend_gets_less() -> None:
    """A backend that is still slow after its start must get fewer flows."""
    node = TaggedNode(0)
    node.load_records(10, [build_backend(1), build_backend(2, cold_ms=2000)])
    node.send(1, packets.SYN)
    assert node.list_forwarded()[0].backend.tag == 1


def test_heartbeat_carries_own_work() -> None:
    """Neighbours must learn of a new request within 50 ms."""
    node = TaggedNode(1)
    receive_heartbeat(node, build_heartbeat(1))
    node.run(0.1)
    node.send(1, packets.SYN)
    sent = node.select_effects(effects.SendPeer, node.run(0.05))
    assert any(b'\x93\x01\x01\x01' in effect.payload for effect in sent)


def test_pause_is_not_taken_for_silence() -> None:
    """A pause of this process must not make backends suspect.

    Answers that arrived during the pause have not been processed yet.
    """
    node = TaggedNode(2)
    node.send(1, packets.SYN)
    node.now += 3
    found = node.submit(events.Ticked(node.now))
    assert not node.select_effects(effects.Forward, found)
    assert not node.state.suspicion.list_unreachable(node.now)


def test_zone_out_of_reach_is_avoided_as_a_whole() -> None:
    """The backends of an unreachable zone must not be tried one by one."""
    node = TaggedNode(0)
    backends = [build_backend(index, zone='b') for index in (1, 2, 3, 4)]
    backends += [build_backend(index) for index in (5, 6)]
    node.load_records(10, backends)
    suspicion = node.state.suspicion
    for index in (1, 2):
        suspicion.record_miss(index, b'k%d' % index, node.now, node.now)
    node.run(0.06)
    assert suspicion.is_suspect(3, 'b', node.now)
    assert not suspicion.is_suspect(5, 'a', node.now)


def test_suspects_are_used_if_all_are_suspect() -> None:
    """A node that has lost its network must not exclude every backend."""
    node = TaggedNode(2)
    for index in (1, 2):
        node.state.suspicion.record_miss(index, b'k', node.now, node.now)
    node.send(1, packets.SYN)
    assert node.list_forwarded()


@pytest.mark.parametrize(('zone', 'avoided'), [('a', True), ('b', False)])
def test_report_of_neighbour(zone, avoided) -> None:
    """Only reports of nodes in the same zone must make a backend suspect.

    Nodes of other zones reach it over other paths.
    """
    node = TaggedNode(2)
    sender = Peer('n2', zone, '10.1.0.2', 7720, 7)
    receive_heartbeat(node, build_heartbeat(1, sender=sender, unreachable=(1,)))
    assert node.state.suspicion.is_suspect(1, 'a', node.now) is avoided


@pytest.mark.parametrize('payload', [b'', b'\x91', b'\x93\x09\x01\x02', b'x'])
def test_malformed_datagram(payload) -> None:
    """A malformed datagram must be counted and must not end the node."""
    node = TaggedNode(1)
    node.submit(events.PeerArrived(node.now, ('10.9.9.9', 1), payload))
    assert node.state.counters.total('peer_dropped') == 1

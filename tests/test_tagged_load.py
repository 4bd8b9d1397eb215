"""Occupancy that nodes infer and share, and loads that it must carry."""

import pytest

from apricottally.tagged import choice, effects, events, flows, packets
from apricottally.tagged.messages import Heartbeat, Load, Peer, encode
from apricottally.tagged.occupancy import Occupancy, Report
from tests.taggednode import TaggedNode, build_backend


def build_heartbeat(sequence: int, loads=(), **changes) -> Heartbeat:
    known = {
        'sender': Peer('n2', 'a', '10.1.0.2', 7720, 7),
        'sequence': sequence,
        'leaving': False,
        'revision': 10,
        'age_ms': 0,
        'loads': tuple(loads),
        'unreachable': (),
        'known': (),
    }
    return Heartbeat(**(known | changes))


def hear(node: TaggedNode, heartbeat: Heartbeat) -> None:
    source = (heartbeat.sender.ip, heartbeat.sender.port)
    node.submit(events.PeerArrived(node.now, source, encode(heartbeat)))


def test_request_is_counted_until_answered() -> None:
    """Guards against counts that miss the end of a backend's work."""
    node = TaggedNode(1)
    node.open_flow(1)
    node.request(1, 1)
    assert node.state.occupancy.busy(1) == 1
    node.send(1, packets.ACK, sequence=1101, acknowledged=900, tag=1)
    assert node.state.occupancy.busy(1) == 0
    assert node.state.occupancy.open(1) == 1
    node.send(1, packets.FIN | packets.ACK, sequence=1101, tag=1)
    assert node.state.occupancy.open(1) == 0


def test_full_flow_table_counts_nothing(monkeypatch) -> None:
    """Guards against counts below zero when more flows come than are kept."""
    monkeypatch.setattr(flows, 'MAX_FLOWS', 1)
    node = TaggedNode(1)
    node.open_flow(1)
    node.send(2, packets.ACK, sequence=5, length=3, tag=1)
    assert node.forwarded()
    node.send(2, packets.FIN | packets.ACK, sequence=8, tag=1)
    assert node.state.occupancy.busy(1) == 1
    assert node.state.occupancy.open(1) == 1


def test_neighbour_work_is_seen() -> None:
    """Guards against nodes that all choose the backend another one fills."""
    node = TaggedNode(3)
    hear(node, build_heartbeat(1, [Load(1, 2, 2), Load(2, 1, 1)]))
    node.send(1, packets.SYN)
    assert node.forwarded()[0].backend.tag == 3


@pytest.mark.parametrize(
    ('sequences', 'busy'),
    [((1, 2), 2), ((2, 1), 2), ((1, 1), 1)],
)
def test_reports_in_any_order(sequences, busy) -> None:
    """Guards against a late heartbeat that replaces a newer one."""
    occupancy = Occupancy()
    for sequence in sequences:
        loads = (Load(1, sequence, 0),)
        occupancy.take_report('n2', Report(0, 7, sequence, loads))
    assert occupancy.busy(1) == busy


def test_silent_neighbour_is_not_counted() -> None:
    """Guards against work of a dead node that counts for ever."""
    node = TaggedNode(1)
    hear(node, build_heartbeat(1, [Load(1, 4, 4)]))
    assert node.state.occupancy.busy(1) == 4
    node.run(2)
    assert node.state.occupancy.busy(1) == 0


def test_restarted_neighbour_counts_anew() -> None:
    """Guards against the sequence of a former life that hides a new one."""
    node = TaggedNode(1)
    hear(node, build_heartbeat(50, [Load(1, 4, 4)]))
    reborn = Peer('n2', 'a', '10.1.0.2', 7720, 8)
    hear(node, build_heartbeat(1, [Load(1, 1, 1)], sender=reborn))
    assert node.state.occupancy.busy(1) == 1


def test_return_of_everybody_is_not_refused() -> None:
    """Guards against refusals for requests of clients that have given up.

    Pattern: after a restart of every node a backlog of first packets arrives,
    most of whose clients give up; their requests must not fill the counts.
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
    """Guards against slots that stay taken by clients that gave up."""
    node = TaggedNode(1)
    node.open_flow(1)
    node.request(1, 1)
    node.run(0.7)
    assert node.state.occupancy.busy(1) == 0


@pytest.mark.parametrize('burst', [10, 28, 60])
def test_burst_spreads_evenly(burst) -> None:
    """Guards against imbalance in a burst of submissions through one node."""
    node = TaggedNode(7)
    for port in range(burst):
        node.send(port, packets.SYN)
    counts = [node.state.occupancy.busy(index + 1) for index in range(7)]
    assert max(counts) - min(counts) <= 1


def test_other_zone_takes_overflow_only() -> None:
    """Guards against flows that leave their zone without need."""
    node = TaggedNode(0)
    node.list_records(10, [build_backend(1), build_backend(2, zone='b')])
    tags = []
    for port in range(6):
        node.send(port, packets.SYN)
        tags.append(node.forwarded()[0].backend.tag)
    assert tags[0] == 1
    assert 2 in tags


def test_large_service_costs_no_more(monkeypatch) -> None:
    """Guards against a choice that grows with a service's backends."""
    node = TaggedNode(backends=1000)
    compared = []
    busy = node.state.occupancy.busy
    monkeypatch.setattr(
        Occupancy, 'busy', lambda _, tag: compared.append(tag) or busy(tag)
    )
    for port in range(20):
        compared.clear()
        node.send(port, packets.SYN)
        assert len(compared) <= 70


def test_large_service_spreads_evenly() -> None:
    """Guards against a sample that piles work up: 2 slots a backend."""
    node = TaggedNode(backends=200)
    for port in range(200):
        node.send(port, packets.SYN)
    counts = [count.busy for count in node.state.occupancy.own.values()]
    assert max(counts) <= 2


def test_full_sample_is_not_refused() -> None:
    """Guards against a refusal while a backend outside the sample is free."""
    node = TaggedNode(backends=100)
    full = choice.QUEUE_LENGTH + 2
    for tag in range(2, 101):
        node.state.occupancy.add_busy(tag, full)
    for port in range(full):
        node.send(port, packets.SYN)
        assert [sent.backend.tag for sent in node.forwarded()] == [1]


def test_cold_backend_gets_less() -> None:
    """Guards against new backends that are filled while they are slow."""
    node = TaggedNode(0)
    node.list_records(10, [build_backend(1), build_backend(2, cold_ms=2000)])
    node.send(1, packets.SYN)
    assert node.forwarded()[0].backend.tag == 1


def test_heartbeat_carries_own_work() -> None:
    """Guards against neighbours that are told nothing of new work."""
    node = TaggedNode(1)
    hear(node, build_heartbeat(1))
    node.run(0.1)
    node.send(1, packets.SYN)
    sent = node.pick(effects.SendPeer, node.run(0.05))
    assert any(b'\x93\x01\x01\x01' in effect.payload for effect in sent)


def test_pause_is_not_taken_for_silence() -> None:
    """Guards against suspicion in backends after this process stood still."""
    node = TaggedNode(2)
    node.send(1, packets.SYN)
    node.now += 3
    found = node.submit(events.Ticked(node.now))
    assert not node.pick(effects.Forward, found)
    assert not node.state.suspicion.list_unreachable(node.now)


def test_zone_out_of_reach_is_avoided_as_a_whole() -> None:
    """Guards against a cut zone whose backends are tried one by one."""
    node = TaggedNode(0)
    backends = [build_backend(index, zone='b') for index in (1, 2, 3, 4)]
    backends += [build_backend(index) for index in (5, 6)]
    node.list_records(10, backends)
    suspicion = node.state.suspicion
    for index in (1, 2):
        suspicion.note_miss(index, b'k%d' % index, node.now, node.now)
    node.run(0.06)
    assert suspicion.is_suspect(3, 'b', node.now)
    assert not suspicion.is_suspect(5, 'a', node.now)


def test_all_in_doubt_are_still_used() -> None:
    """Guards against a node that excludes every backend during its own cut."""
    node = TaggedNode(2)
    for index in (1, 2):
        node.state.suspicion.note_miss(index, b'k', node.now, node.now)
    node.send(1, packets.SYN)
    assert node.forwarded()


@pytest.mark.parametrize(('zone', 'avoided'), [('a', True), ('b', False)])
def test_report_of_neighbour(zone, avoided) -> None:
    """Guards against suspicions of another zone, which sees other paths."""
    node = TaggedNode(2)
    sender = Peer('n2', zone, '10.1.0.2', 7720, 7)
    hear(node, build_heartbeat(1, sender=sender, unreachable=(1,)))
    assert node.state.suspicion.is_suspect(1, 'a', node.now) is avoided


@pytest.mark.parametrize('payload', [b'', b'\x91', b'\x93\x09\x01\x02', b'x'])
def test_malformed_datagram(payload) -> None:
    """Guards against a node that ends on bytes it cannot read."""
    node = TaggedNode(1)
    node.submit(events.PeerArrived(node.now, ('10.9.9.9', 1), payload))
    assert node.state.counters.total('peer_dropped') == 1

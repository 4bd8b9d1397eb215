"""Tests of the sums of zones: what is sent, forwarded and counted."""

import typing

import msgspec
import pytest

from apricottally.errors import WireError
from apricottally.tagged import effects, events, messages, neighbours
from apricottally.tagged.messages import Heartbeat, Load, Peer
from apricottally.tagged.zoneloads import wire
from apricottally.tagged.zoneloads.wire import ZoneLoads
from tests.taggednode import TaggedNode, build_backend
from tests.test_tagged_load import build_heartbeat, receive_heartbeat

PEERS = {
    name: Peer(name, name[0], f'10.1.0.{index}', 7720, 7)
    for index, name in enumerate(('a2', 'a3', 'b1', 'b2', 'c1'), start=2)
}


def build_sums(zone: str, loads, age_ms: int = 0) -> ZoneLoads:
    return ZoneLoads(zone, age_ms, wire.pack(loads.items()))


class ZoneNode(TaggedNode):
    """A node in zone a that hears from nodes of three zones.

    The fleet counts as large, so that other zones are told sums.
    """

    def __init__(self, backends=3) -> None:
        super().__init__(backends)
        self.numbers = dict.fromkeys(PEERS, 0)
        self.run(1)
        self.hear_all()

    def hear(self, name: str, loads=(), sums=()) -> None:
        """Receive a heartbeat of a node."""
        self.numbers[name] += 1
        beat = build_heartbeat(
            self.numbers[name],
            loads,
            sender=PEERS[name],
            zone_loads=tuple(sums),
        )
        receive_heartbeat(self, beat)

    def hear_all(self) -> None:
        for name in PEERS:
            self.hear(name)

    def count(self, tag: int = 1) -> int:
        return self.state.occupancy.count_busy(tag)

    def collect_sums(self, zone: str, seconds: float = 0.3):
        """Return the sums in heartbeats to a zone, as zone and loads."""
        ports = {p.ip for p in PEERS.values() if p.zone == zone}
        found = self.select_effects(effects.SendPeer, self.run(seconds))
        return [
            (sums.zone, wire.unpack(sums.loads))
            for sent in found
            if ports.intersection(dest[0] for dest in sent.dests)
            for sums in messages.decode(sent.payload).zone_loads
        ]


@pytest.fixture(autouse=True)
def large_fleet(monkeypatch) -> None:
    monkeypatch.setattr(neighbours, 'MAX_MESH_NODES', 4)


@pytest.mark.parametrize(
    ('single', 'zone_sum', 'busy'),
    [(3, None, 3), (3, 7, 7), (7, 3, 7), (0, 5, 5)],
)
def test_single_node_is_not_counted_beside_its_sum(
    single, zone_sum, busy
) -> None:
    """The requests of a node must not count twice, alone and in its sum."""
    node = ZoneNode()
    sums = [] if zone_sum is None else [build_sums('b', {1: zone_sum})]
    node.hear('b1', [Load(1, single, 0)], sums)
    node.hear('a2', [Load(1, 1, 0)])
    assert node.count() == busy + 1
    node.hear('b1')
    node.run(0.6)
    assert node.count() == 1


def test_zones_add_up() -> None:
    """One zone's sum must not replace that of another."""
    node = ZoneNode()
    node.hear('b1', sums=[build_sums('b', {1: 4, 2: 3})])
    node.hear('a2', sums=[build_sums('c', {1: 5})])
    assert node.count() == 5 + 4
    node.hear('b2', [Load(1, 1, 0)], [build_sums('b', {2: 1})])
    assert (node.count(1), node.count(2)) == (5 + 1, 1)


def test_own_zone_is_not_counted_twice() -> None:
    """A sum of this node's zone includes what is counted here already."""
    node = ZoneNode()
    node.send(1, 1, tag=0)
    before = [node.count(tag) for tag in (1, 2, 3)]
    for name in ('a2', 'b1'):
        node.hear(name, sums=[build_sums('a', {1: 9})])
    assert [node.count(tag) for tag in (1, 2, 3)] == before


@pytest.mark.parametrize(
    ('first_ms', 'second_ms', 'busy'),
    [(100, 50, 9), (50, 100, 4), (0, 501, 4), (501, 0, 9), (501, 501, 0)],
)
def test_newest_sum_wins(first_ms, second_ms, busy) -> None:
    """A late datagram must not replace newer sums, nor outdated ones count."""
    node = ZoneNode()
    node.hear('a2', sums=[build_sums('b', {1: 4}, first_ms)])
    node.hear('a3', sums=[build_sums('b', {1: 9}, second_ms)])
    assert node.count() == busy


@pytest.mark.parametrize(('age_ms', 'seconds'), [(0, 0.5), (300, 0.2)])
def test_sums_expire(age_ms, seconds) -> None:
    """The load of a zone that has been cut off must not count for ever."""
    node = ZoneNode()
    node.hear('b1', sums=[build_sums('b', {1: 4}, age_ms)])
    node.run(seconds - 0.02)
    assert node.count() == 4
    node.run(0.04)
    assert node.count() == 0


def test_sum_of_own_zone_is_sent_to_other_zones() -> None:
    """Sums include this node and its zone, not what other zones place."""
    node = ZoneNode()
    node.state.occupancy.add_busy(1, 1)
    node.state.occupancy.add_busy(2, 1)
    for name in ('a2', 'b1'):
        node.hear(name, [Load(1, 2, 2), Load(3, 2, 2)])
    node.hear('b1', [Load(2, 9, 9)], [build_sums('b', {1: 9})])
    sent = node.collect_sums('b')
    assert sent
    assert all(one == ('a', {1: 3, 3: 2}) for one in sent)


def test_idle_fleet_sends_no_sums() -> None:
    """Heartbeats of an idle fleet must stay as small as without sums."""
    node = ZoneNode()
    node.hear('a2', [Load(1, 1, 5)])
    assert not node.collect_sums('b') + node.collect_sums('a')
    beat = build_heartbeat(1)
    fields = msgspec.structs.astuple(beat)[:-1]
    payload = messages.encode(beat)
    assert payload == msgspec.msgpack.encode((1, *fields))
    assert messages.decode(payload) == beat


def test_end_of_load_is_told() -> None:
    """Other zones must not avoid backends for 0.5 s after the load has gone."""
    node = ZoneNode()
    node.hear('a2', [Load(1, 2, 2)])
    assert ('a', {1: 2}) in node.collect_sums('b')
    node.hear('a2')
    assert node.collect_sums('b')[-1] == ('a', {})
    node.hear_all()
    node.run(0.6)
    node.hear_all()
    assert not node.collect_sums('b')


def test_new_node_sends_no_sums() -> None:
    """A node that has not heard its zone yet must not report it as free."""
    node = TaggedNode(1)
    node.state.occupancy.add_busy(1, 5)
    for name, peer in PEERS.items():
        receive_heartbeat(node, build_heartbeat(1, sender=peer))
        assert name
    found = node.select_effects(effects.SendPeer, node.run(0.4))
    assert not any(messages.decode(sent.payload).zone_loads for sent in found)


def test_busiest_backends_within_the_datagram() -> None:
    """A heartbeat with many loads must not exceed the datagram's limit."""
    node = ZoneNode(0)
    backends = [
        build_backend(index, tag=1_000_000 + index) for index in range(1, 200)
    ]
    node.load_records(10, backends)
    for index in range(1, 200):
        node.state.occupancy.add_busy(1_000_000 + index, index)
    found = node.select_effects(effects.SendPeer, node.run(0.3))
    beats = [messages.decode(sent.payload) for sent in found]
    sums = [one for beat in beats for one in beat.zone_loads]
    assert sums
    for one in sums:
        counts = list(wire.unpack(one.loads).values())
        assert counts == sorted(range(200 - len(counts), 200), reverse=True)
        assert len(counts) <= wire.MAX_BACKENDS
    limit = messages.MAX_DATAGRAM_BYTES
    assert all(len(sent.payload) <= limit for sent in found)


@pytest.mark.parametrize(
    ('sender', 'zone', 'forwarded'),
    [('b1', 'b', True), ('a2', 'b', False), ('c1', 'b', False)],
)
def test_sums_are_forwarded_once(sender, zone, forwarded) -> None:
    """Sums must reach the zone's nodes and not circulate among them."""
    node = ZoneNode()
    node.hear(sender, sums=[build_sums(zone, {1: 4}, 20)])
    assert node.collect_sums('a') == [(zone, {1: 4})] * forwarded
    assert not node.collect_sums('b')


@pytest.mark.parametrize(
    ('shared_ms', 'forwarded'), [(None, True), (200, True), (30, False)]
)
def test_known_sums_are_not_forwarded(shared_ms, forwarded) -> None:
    """Nodes of one zone must not all forward the same sums."""
    node = ZoneNode()
    if shared_ms is not None:
        node.hear('a2', sums=[build_sums('b', {1: 3}, shared_ms)])
    node.hear('b1', sums=[build_sums('b', {1: 4})])
    assert bool(node.collect_sums('a')) is forwarded


def test_forwarded_age_grows() -> None:
    """Sums must not become younger while a node holds them."""
    node = ZoneNode()
    node.hear('b1', sums=[build_sums('b', {1: 4}, 20)])
    since = node.now
    while True:
        found = node.select_effects(effects.SendPeer, node.run(0.01))
        beats = [messages.decode(sent.payload) for sent in found]
        ages = [one.age_ms for beat in beats for one in beat.zone_loads]
        if ages:
            break
    held_ms = (node.now - since) * 1000
    assert 20 + held_ms <= ages[0] <= 22 + held_ms


def test_former_node_reads_heartbeat() -> None:
    """Nodes of both versions must understand each other during an update."""
    names = Heartbeat.__struct_fields__[:-1]
    types = typing.get_type_hints(Heartbeat)
    former = msgspec.defstruct(
        'Former',
        [(name, types[name]) for name in names],
        array_like=True,
        tag=1,
    )
    beat = build_heartbeat(1, zone_loads=(build_sums('b', {1: 4}),))
    found = msgspec.msgpack.decode(messages.encode(beat), type=former)
    assert msgspec.structs.astuple(found) == msgspec.structs.astuple(beat)[:-1]


@pytest.mark.parametrize('loads', [b'12345', b'x' * 366])
def test_malformed_sums(loads) -> None:
    """Sums of a wrong length must be counted and must not end the node."""
    node = ZoneNode()
    fields = list(msgspec.structs.astuple(build_heartbeat(9)))
    fields[-1] = (('b', 0, loads),)
    payload = msgspec.msgpack.encode((1, *fields))
    with pytest.raises(WireError):
        messages.decode(payload)
    node.submit(events.PeerArrived(node.now, ('10.9.9.9', 1), payload))
    assert node.state.counters.total('peer_dropped') == 1

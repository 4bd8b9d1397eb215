"""Tests of the sums of zones: what is sent, forwarded and counted."""

import itertools
import statistics
import typing

import msgspec
import pytest

from apricottally.errors import WireError
from apricottally.tagged import effects, events, messages, neighbours
from apricottally.tagged.messages import Heartbeat, Load, Peer
from apricottally.tagged.packets import ACK, FIN, SYN, FlowPacket
from apricottally.tagged.zoneloads import sharing, wire
from apricottally.tagged.zoneloads.wire import ZoneLoads
from tests.taggedfleet import Fleet
from tests.taggednode import (
    ADDRESS,
    FEED_PORT,
    TaggedNode,
    build_backend,
)
from tests.test_tagged_load import build_heartbeat, receive_heartbeat

PEERS = {
    name: Peer(name, name[0], f'10.1.0.{index}', 7720, 7)
    for index, name in enumerate(('a2', 'a3', 'b1', 'c1'), start=2)
}


def build_sums(zone: str, loads, age_ms: int = 0) -> ZoneLoads:
    return ZoneLoads(zone, age_ms, wire.pack(loads.items()))


class ZoneNode(TaggedNode):
    """A node in zone a of a large fleet that hears from nodes of 3 zones."""

    def __init__(self, monkeypatch, backends=3) -> None:
        monkeypatch.setattr(neighbours, 'MAX_MESH_NODES', 4)
        super().__init__(backends)
        self.run(1)
        for name in PEERS:
            self.hear(name)

    def hear(self, name: str, loads=(), sums=()) -> None:
        beat = build_heartbeat(
            next(self.sequence),
            loads,
            sender=PEERS[name],
            zone_loads=tuple(sums),
        )
        receive_heartbeat(self, beat)

    def count(self, tag: int = 1) -> int:
        return self.state.occupancy.count_busy(tag)

    def collect_sums(self, zone: str):
        """Return the sums that a zone is sent within 0.3 s."""
        addresses = {peer.ip for peer in PEERS.values() if peer.zone == zone}
        found = self.select_effects(effects.SendPeer, self.run(0.3))
        return [
            (sums.zone, wire.unpack(sums.loads), sums.age_ms)
            for sent in found
            if addresses.intersection(dest[0] for dest in sent.dests)
            for sums in messages.decode(sent.payload).zone_loads
        ]


@pytest.fixture
def node(monkeypatch) -> ZoneNode:
    return ZoneNode(monkeypatch)


@pytest.mark.parametrize(
    ('single', 'sums', 'busy'),
    [
        (3, [], 3),
        (3, [('b', 7, 0)], 7),
        (7, [('b', 3, 0)], 7),
        (1, [('b', 4, 0), ('c', 5, 0)], 4 + 5),
        (0, [('b', 4, 100), ('b', 9, 50)], 9),
        (0, [('b', 4, 50), ('b', 9, 100)], 4),
        (0, [('b', 4, 501)], 0),
        (0, [('a', 9, 0)], 0),
    ],
)
def test_requests_count_once(node, single, sums, busy) -> None:
    """Guards against counting a request twice, or by outdated sums.

    A sum of another zone contains its single nodes. A sum of this node's zone
    contains what is counted here. Late sums must not replace newer ones, and
    those of a zone that was cut off must not count for ever.
    """
    node.hear('b1', [Load(1, single, 0)])
    node.hear('a2', [Load(1, 1, 0)])
    for zone, count, age_ms in sums:
        node.hear('c1', (), [build_sums(zone, {1: count}, age_ms)])
    assert node.count() == busy + 1
    node.hear('b1')
    node.run(0.52)
    assert node.count() == 1


def test_own_sums(node) -> None:
    """Guards against sums with the requests of other zones, and stale ones.

    Sums are sent for full backends only. After the load has gone, empty ones
    are sent, so that other zones do not avoid the backends for 0.5 s.
    """
    node.state.occupancy.add_busy(1, 1)
    node.state.occupancy.add_busy(2, 1)
    node.hear('a2', [Load(1, 2, 2), Load(3, 2, 2)])
    node.hear('b1', [Load(2, 9, 9)], [build_sums('b', {1: 9})])
    sent = node.collect_sums('b')
    assert sent
    assert all(one == ('a', {1: 3, 3: 2}, 0) for one in sent)
    node.hear('a2')
    assert node.collect_sums('b')[-1] == ('a', {}, 0)


def test_idle_fleet_sends_no_sums(node) -> None:
    """Heartbeats of an idle fleet must stay as small as without sums."""
    node.hear('a2', [Load(1, 1, 5)])
    assert not node.collect_sums('b') + node.collect_sums('a')
    beat = build_heartbeat(1)
    *fields, _, sent_ms = msgspec.structs.astuple(beat)
    fields += [[], sent_ms]
    assert messages.encode(beat) == msgspec.msgpack.encode((1, *fields))
    assert messages.decode(messages.encode(beat)) == beat


def test_former_node_reads_heartbeat() -> None:
    """Nodes of both versions must understand each other during an update."""
    types = list(typing.get_type_hints(Heartbeat).items())
    former = msgspec.defstruct('Former', types[:9], array_like=True, tag=1)
    beat = build_heartbeat(1, zone_loads=(build_sums('b', {1: 4}),))
    found = msgspec.msgpack.decode(messages.encode(beat), type=former)
    assert msgspec.structs.astuple(found) == msgspec.structs.astuple(beat)[:9]


@pytest.mark.parametrize('loads', [b'12345', b'x' * 366])
def test_malformed_sums(loads) -> None:
    """Sums of a wrong length must be dropped with their heartbeat."""
    fields = msgspec.structs.astuple(build_heartbeat(9))[:-2]
    with pytest.raises(WireError):
        messages.decode(msgspec.msgpack.encode((1, *fields, [('b', 0, loads)])))


@pytest.mark.parametrize('age_s', [0, 1])
def test_size_and_start(monkeypatch, age_s) -> None:
    """Guards against oversized heartbeats, and sums of a node just started.

    Such a node has not heard its zone yet and would report it as free.
    """
    node = ZoneNode(monkeypatch, 0)
    tags = range(1_000_001, 1_000_200)
    node.load_records(10, [build_backend(tag, tag=tag) for tag in tags])
    for tag in tags:
        node.state.occupancy.add_busy(tag, tag - 1_000_000)
    node.state.started_at = node.now - age_s
    sent = node.select_effects(effects.SendPeer, node.run(0.3))
    sizes = [len(one.payload) for one in sent]
    assert max(sizes) <= messages.MAX_DATAGRAM_BYTES
    found = [
        one for sent in sent for one in messages.decode(sent.payload).zone_loads
    ]
    assert bool(found) is bool(age_s)
    for sums in found:
        counts = list(wire.unpack(sums.loads).values())
        assert counts == sorted(range(200 - len(counts), 200), reverse=True)


@pytest.mark.parametrize(
    ('sender', 'shared_ms', 'forwarded'),
    [('b1', None, 1), ('b1', 200, 1), ('b1', 60, 0), ('a2', None, 0)],
)
def test_sums_are_forwarded_once(node, sender, shared_ms, forwarded) -> None:
    """Sums must reach the nodes of the zone and not circulate among them.

    They are not forwarded if others have forwarded sums about as new. They
    must not become younger while a node holds them.
    """
    if shared_ms:
        node.hear('a3', sums=[build_sums('b', {1: 3}, shared_ms)])
    node.hear(sender, sums=[build_sums('b', {1: 4}, 20)])
    sent = node.collect_sums('a')
    assert [one[:2] for one in sent] == [('b', {1: 4})] * forwarded
    assert all(30 <= age_ms <= 20 + 260 for _, _, age_ms in sent)
    assert not node.collect_sums('b')


class LoadedFleet(Fleet):
    """66 nodes in 3 zones, 75 backends of 2 slots, and clients.

    A request takes 50 ms, longer at a backend with more requests than slots.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(seed, 66)
        self.platform.put_configuration(1)
        self.busy = dict.fromkeys(range(1, 76), 0)
        for tag in self.busy:
            zone = self.zones[tag % 3]
            self.platform.put_backend(tag, present=True, zone=zone)
        self.keys = itertools.count()
        self.opened: set[int] = set()
        self.start_all()
        self.run(3)

    def run_clients(self, seconds: float, flows_per_s: tuple[int, ...]):
        """Run with new flows in each zone; yield the requests in zones b, c."""
        for _ in range(round(seconds / 0.05)):
            for zone, rate in enumerate(flows_per_s):
                for _ in range(rate // 20):
                    key = next(self.keys) * 3 + zone
                    delay = self.rng.random() * 0.05
                    self._schedule(delay, self._step, key, SYN)
            self.run(0.05)
            yield sum(busy for tag, busy in self.busy.items() if tag % 3)

    def _step(self, key: int, flags: int, tag: int = 0) -> None:
        """Handle a packet of a client: a SYN, a request or the end of it."""
        raw = key.to_bytes(8, 'big')
        sequence = {SYN: 1000, ACK: 1001}.get(flags, 1101)
        packet = FlowPacket(
            raw, key, 9, ADDRESS, FEED_PORT, flags, sequence, 501, 100, tag, raw
        )
        if flags == ACK:
            self.busy[tag] += 1
            delay = 0.05 * max(1, self.busy[tag] / 2)
            self._schedule(delay, self._step, key, ACK | FIN, tag)
        elif flags != SYN:
            self.busy[tag] -= 1
        name = f'n{key // 3 % 22 * 3 + key % 3}'
        self._submit(name, events.PacketArrived(self.now, packet))

    def _apply_effect(self, name: str, effect) -> None:
        super()._apply_effect(name, effect)
        if isinstance(effect, effects.Forward):
            key = int.from_bytes(effect.raw, 'big')
            if key not in self.opened:
                self.opened.add(key)
                self._schedule(0.001, self._step, key, ACK, effect.tag)


def test_overloaded_zone(monkeypatch) -> None:
    """Guards against outdated sums, and load that they move to and fro.

    Zone a gets 1.5 times the flows that its backends can serve. 95% of the
    nodes of other zones must hold sums of 0.3 s or less, the time on the way
    included. The requests in other zones must not change more
    from one moment to the next than without sums; the factor is three standard
    errors of a ratio of two deviations of 40 samples each.
    """
    held = []
    steps = []
    for warm_up_s in (sharing.WARM_UP_S, float('inf')):
        monkeypatch.setattr(sharing, 'WARM_UP_S', warm_up_s)
        fleet = LoadedFleet(4)
        list(fleet.run_clients(1, (1500, 500, 500)))
        series = []
        for requests in fleet.run_clients(2, (1500, 500, 500)):
            series.append(requests)
            held += [
                fleet.now - state.occupancy.other_zones.list_zones().get('a', 0)
                for state in fleet.nodes.values()
                if state.config.zone != 'a' and not steps
            ]
        pairs = itertools.pairwise(series)
        steps.append(
            statistics.pstdev(after - before for before, after in pairs)
        )
    assert sum(age <= 0.3 for age in held) >= 0.95 * len(held)
    assert steps[0] <= 1.5 * steps[1]

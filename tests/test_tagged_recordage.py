"""The age of a node's records, which decides who reads the platform."""

import math
import re
from pathlib import Path

import msgspec
import pytest

from apricottally.tagged import events
from apricottally.tagged.clocks import bounds
from apricottally.tagged.messages import ClockReply, Delta, Peer, encode
from tests.taggedfleet import Fleet
from tests.taggednode import TaggedNode, rev
from tests.test_tagged_load import build_heartbeat, receive_heartbeat

ROOT = Path(__file__).parent.parent
PEER = Peer('n2', 'a', '10.1.0.2', 7720, 7)
SOURCE = (PEER.ip, PEER.port)
# Readings of clocks are whole milliseconds.
ROUNDING_MS = 3

CUT_S = 5.5
FREEZE_S = 1.0
# The platform's bound from the acknowledgement of `draining` on.
DRAIN_S = 3.0


def find_reader(fleet: Fleet) -> str:
    """Return the node that watches the platform for the fleet."""
    readers = [
        name
        for name, state in fleet.nodes.items()
        if not state.neighbours.rank_in_zone(fleet.now)
        and not state.neighbours.rank_of_zone(fleet.now)
    ]
    assert len(readers) == 1
    return readers[0]


def start_fleet(seed: int, nodes: int) -> Fleet:
    fleet = Fleet(seed, nodes, zones='abcd')
    fleet.platform.put_configuration(1)
    for index in range(1, 7):
        fleet.platform.put_backend(index, present=True)
    fleet.start_all()
    fleet.run(3)
    return fleet


def check_ages(fleet: Fleet) -> None:
    """Check that no node takes its records for newer than they are."""
    for name in fleet.nodes.keys() - fleet.frozen:
        state = fleet.nodes[name]
        claimed = state.freshness.confirmed_at
        newest = fleet.find_revision(claimed)
        assert state.catalog.revision >= newest, (name, fleet.now - claimed)


@pytest.mark.parametrize('seed', range(6))
def test_no_age_gets_younger_on_its_way(seed) -> None:
    """Guards against records that count as current though nobody read them.

    Heartbeats are in flight or lie unread in processes that stand still; that
    time must not be taken off the age that they tell.
    """
    fleet = start_fleet(seed, 6)
    for step in range(60):
        fleet.refused = {find_reader(fleet)} if step % 20 == 5 else set()
        fleet.refused |= set(fleet.rng.sample(sorted(fleet.nodes), step % 3))
        count = fleet.rng.choice([0, 1, 2])
        fleet.frozen = set(fleet.rng.sample(sorted(fleet.nodes), count))
        fleet.platform.put_backend(1, present=True, sequence=step)
        for _ in range(5):
            fleet.run(0.1)
            check_ages(fleet)
        fleet.frozen = set()


@pytest.mark.parametrize('seed', range(6))
def test_drain_reaches_nodes_while_the_reader_is_cut_off(seed) -> None:
    """Guards against new flows to a draining backend (incident of issue 33).

    The node that reads for the fleet is cut off from the platform and two
    others stand still by turns. The nodes that run and reach the platform must
    notice that nobody has read it, and read it themselves.
    """
    fleet = start_fleet(seed, 8)
    reader = find_reader(fleet)
    stopping = sorted(fleet.nodes.keys() - {reader})[:2]
    fleet.refused = {reader}
    fleet.run(0.2)
    fleet.platform.put_backend(1, present=True, draining=True)
    acknowledged_at = fleet.now
    late = set()
    for step in range(round(CUT_S / 0.1)):
        fleet.frozen = {stopping[round(step * 0.1 / FREEZE_S) % 2]}
        fleet.run(0.1)
        fleet.forwarded.clear()
        fleet.open_flows()
        if fleet.now - acknowledged_at > DRAIN_S:
            late |= {
                name
                for name, backend in fleet.forwarded
                if backend.tag == 1 and name not in {reader, *stopping}
            }
    assert not late


def build_delta(now: float) -> Delta:
    """Return a delta that repeats what the node knows."""
    at = rev(10)
    return Delta('n2', at, at, 0, (), PEER.incarnation, math.floor(now * 1000))


def build_beat(now: float):
    return build_heartbeat(1, sender=PEER, sent_ms=math.floor(now * 1000))


@pytest.mark.parametrize('build', [build_beat, build_delta])
@pytest.mark.parametrize('unread_s', [0, 0.02, 0.5, 1.4, 60])
def test_message_that_lay_unread(build, unread_s) -> None:
    """Guards against an age that is counted from the arrival of a message."""
    node = TaggedNode(1)
    receive_heartbeat(node, build_heartbeat(1, sender=PEER))
    payload = encode(build(node.now))
    sent_at = node.now
    node.now += unread_s
    node.submit(events.PeerArrived(node.now, SOURCE, payload))
    age_ms = node.state.freshness.age_ms(node.now)
    assert age_ms >= (node.now - sent_at) * 1000
    if unread_s <= 1.4:
        assert age_ms <= unread_s * 1000 + ROUNDING_MS


@pytest.mark.parametrize('build', [build_beat, build_delta])
def test_message_of_unknown_clock(build) -> None:
    """A message confirms nothing before its sender's clock is measured."""
    node = TaggedNode(1)
    node.now += 1
    payload = encode(build(node.now))
    node.submit(events.PeerArrived(node.now, SOURCE, payload))
    assert node.state.freshness.age_ms(node.now) >= 1000


def test_heartbeat_of_a_node_that_is_gone() -> None:
    """Guards against a dead node that is alive for a node that wakes.

    It would stay the reader of the store for another second.
    """
    node = TaggedNode(1)
    receive_heartbeat(node, build_heartbeat(1, sender=PEER))
    unread = encode(build_beat(node.now))
    node.run(3)
    node.submit(events.PeerArrived(node.now, SOURCE, unread))
    assert not node.state.neighbours.list_alive(node.now)
    assert node.state.counters.counts['peer_dropped', 'late'] == 1


@pytest.mark.parametrize(
    'changes',
    [
        {'requester': 1},
        {'sent_ms': 2_000},
        {'sent_ms': 0},
        {'incarnation': 8},
    ],
    ids=['earlier_process', 'future', 'slow', 'other_process'],
)
def test_reply_that_proves_nothing(changes) -> None:
    """Guards against a bound that is too low, or that of another process."""
    node = TaggedNode(1)
    node.now += 1
    reply = ClockReply(
        node.state.neighbours.own.incarnation, 1000, 'n2', 7, 101_000
    )
    reply = msgspec.structs.replace(reply, **changes)
    node.submit(events.PeerArrived(node.now, SOURCE, encode(reply)))
    sender = bounds.Sender('n2', 7)
    assert node.state.clock_bounds.find(sender, node.now) is None


def test_clock_that_stood_still() -> None:
    """Guards against ages after a suspended VM, whose clock stood still.

    A neighbour's clock is then ahead by more than was measured.
    """
    node = TaggedNode(1)
    receive_heartbeat(node, build_heartbeat(1, sender=PEER))
    confirmed_at = node.state.freshness.confirmed_at
    ahead = build_beat(node.now + 5)
    node.submit(events.PeerArrived(node.now, SOURCE, encode(ahead)))
    assert node.state.freshness.confirmed_at == confirmed_at
    sender = bounds.Sender(PEER.name, PEER.incarnation)
    assert node.state.clock_bounds.find(sender, node.now) is None


def test_only_requests_and_clocks_make_times() -> None:
    """A time of arrival must not become a time as of which something holds."""
    makers = {
        match
        for path in (ROOT / 'apricottally/tagged').rglob('*.py')
        for match in re.findall(r'\bAsOf\(([^,]+),', path.read_text())
    }
    assert makers == {
        'event.requested_at',
        'confirmed_at',
        'self.at - age_ms / 1000',
        'at',
    }

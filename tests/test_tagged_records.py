"""Records of the platform: who reads them, how they spread, their age."""

import pytest

from apricottally.tagged import effects, events
from apricottally.tagged.messages import Delta, Peer, encode
from apricottally.tagged.records import BackendChange, ConfigurationChange
from apricottally.tagged.spread import build_snapshot
from tests.taggednode import (
    TaggedNode,
    build_backend,
    build_configuration,
    build_route,
)
from tests.test_tagged_load import build_heartbeat, hear


def test_reads_list_at_start() -> None:
    """Guards against a node that waits for others before it is ready."""
    node = TaggedNode(0)
    assert node.pick(effects.ListRecords, node.run(0.02))
    assert not node.state.ready


@pytest.mark.parametrize(
    ('neighbour', 'watches'),
    [('n5', True), ('n2', False)],
)
def test_one_reader_a_zone(neighbour, watches) -> None:
    """Guards against a watch by every node; calls are dear and limited."""
    node = TaggedNode(1)
    sender = Peer(neighbour, 'a', '10.1.0.2', 7720, 7)
    found = []
    for sequence in range(60):
        hear(node, build_heartbeat(sequence + 1, sender=sender))
        found += node.run(0.02)
    assert bool(node.pick(effects.WatchRecords, found)) is watches


def test_silent_reader_is_replaced() -> None:
    """Guards against records that grow old when the reader is cut off.

    Pattern: the zone's reader still sends heartbeats, but its own records are
    not confirmed any more.
    """
    node = TaggedNode(1)
    sender = Peer('n2', 'a', '10.1.0.2', 7720, 7)
    started = node.now
    for sequence in range(200):
        age_ms = int((node.now - started) * 1000)
        hear(node, build_heartbeat(sequence + 1, sender=sender, age_ms=age_ms))
        if node.pick(effects.WatchRecords, node.run(0.02)):
            break
    assert 1.6 < node.now - started < 2.2


def test_empty_watch_confirms() -> None:
    """Guards against records that count as old right after a watch ended."""
    node = TaggedNode(1)
    asked_at = node.now
    node.now += 1.01
    revision = node.state.catalog.revision
    node.submit(
        events.RecordsChanged(node.now, asked_at, revision, revision, ())
    )
    assert node.state.freshness.age_ms(node.now) < 20


def test_lost_history_needs_list() -> None:
    """Guards against changes missed because the store dropped its history."""
    node = TaggedNode(1)
    assert node.pick(effects.WatchRecords, node.run(0.6))
    found = node.submit(events.ReadFailed(node.now, 'compacted', True))
    assert node.pick(effects.ListRecords, found)


def test_failed_reads_back_off() -> None:
    """Guards against a stampede on a store that is down; calls are priced."""
    node = TaggedNode(0)
    calls = 0
    for _ in range(500):
        if node.pick(effects.ListRecords, node.run(0.01)):
            calls += 1
            node.submit(events.ReadFailed(node.now, 'timeout'))
    assert calls <= 12


def test_list_removes_missing_backend() -> None:
    """Guards against backends that left while the history was lost."""
    node = TaggedNode(2)
    node.list_records(30, [build_backend(1)])
    assert len(node.state.catalog.list_service('core')) == 1


def test_reader_lists_anew() -> None:
    """Guards against a change that a watch has missed for good."""
    node = TaggedNode(1)
    asked = node.pick(effects.WatchRecords, node.run(0.6))
    lists = 0
    while asked and node.now < 121:
        node.run(1)
        revision = node.state.catalog.revision
        node.submit(
            events.RecordsChanged(
                node.now, node.now - 1, revision, revision, ()
            )
        )
        asked = node.pick(effects.WatchRecords)
        lists += len(node.pick(effects.ListRecords))
    assert lists == 1


def test_old_record_does_not_return() -> None:
    """Guards against a slow neighbour that brings back a removed backend."""
    node = TaggedNode(1)
    node.change(20, BackendChange('i-00000001', 20, None))
    delta = Delta(
        'n2', 20, 21, 0, (BackendChange('i-00000001', 15, build_backend(1)),)
    )
    node.submit(events.PeerArrived(node.now, ('10.1.0.2', 1), encode(delta)))
    assert not node.state.catalog.list_service('core')


def test_delta_is_applied_and_passed_on() -> None:
    """Guards against changes that stop at the first node."""
    node = TaggedNode(1)
    third = Peer('n3', 'a', '10.1.0.3', 7720, 7)
    hear(node, build_heartbeat(1, sender=third))
    change = BackendChange('i-00000002', 11, build_backend(2))
    delta = Delta('n2', 10, 11, 0, (change,))
    node.submit(events.PeerArrived(node.now, ('10.1.0.2', 1), encode(delta)))
    assert node.state.catalog.revision == 11
    sent = node.pick(effects.SendPeer)
    assert [effect.dests for effect in sent] == [(('10.1.0.3', 7720),)]


def test_gap_is_pulled() -> None:
    """Guards against a lost datagram that leaves a record out for ever."""
    node = TaggedNode(1)
    hear(node, build_heartbeat(1))
    delta = Delta('n2', 15, 16, 0, ())
    node.submit(events.PeerArrived(node.now, ('10.1.0.2', 1), encode(delta)))
    assert node.pick(effects.PullSnapshot)


def test_pull_among_equally_old_neighbours() -> None:
    """Guards against a pull that never comes because others are as old.

    Pattern: one reader with a newer configuration among many nodes that have
    not got it; a heartbeat of each arrives in turn.
    """
    node = TaggedNode(1)
    old = Peer('n3', 'a', '10.1.0.3', 7720, 7)
    found = []
    for sequence in range(20):
        hear(node, build_heartbeat(sequence + 1, revision=12))
        found += node.effects
        hear(node, build_heartbeat(sequence + 1, sender=old, revision=10))
        node.now += 0.01
    assert node.pick(effects.PullSnapshot, found)


def test_large_configuration_is_announced() -> None:
    """Guards against datagrams that are too large to arrive."""
    node = TaggedNode(1)
    hear(node, build_heartbeat(1))
    node.run(0.02)
    routes = [build_route(port, 0) for port in range(1000, 1200)]
    node.change(
        20, ConfigurationChange(20, build_configuration(2, tuple(routes)))
    )
    assert not node.pick(effects.SendPeer)
    sent = node.pick(effects.SendPeer, node.run(0.01))
    assert sent
    assert all(len(effect.payload) < 1400 for effect in sent)


@pytest.mark.parametrize(('after', 'count'), [(0, 4), (10, 1), (20, 0)])
def test_snapshot_holds_what_is_newer(after, count) -> None:
    """Guards against pulls that cost as much as a whole list."""
    node = TaggedNode(3)
    node.change(20, BackendChange('i-00000001', 20, None))
    snapshot = build_snapshot(node.state, after, node.now)
    assert len(snapshot.changes) == count


def test_snapshot_makes_ready_without_platform() -> None:
    """Guards against a node that cannot start while the store is down."""
    source = TaggedNode(3)
    node = TaggedNode(0, name='n2')
    snapshot = build_snapshot(source.state, 0, source.now)
    node.submit(events.SnapshotPulled(node.now, node.now, 'n1', snapshot))
    assert node.state.ready
    assert len(node.state.catalog.list_service('core')) == 3


def test_failed_pull_is_tried_again() -> None:
    """Guards against a node that stays behind after one lost answer."""
    node = TaggedNode(1)
    hear(node, build_heartbeat(1, revision=12))
    node.now += 0.05
    hear(node, build_heartbeat(2, revision=12))
    assert node.pick(effects.PullSnapshot)
    node.submit(events.SnapshotPulled(node.now, node.now, 'n2', None, 'lost'))
    hear(node, build_heartbeat(3, revision=12))
    assert node.pick(effects.PullSnapshot)


def test_shutdown() -> None:
    """Guards against an exit before the fabric has turned away."""
    node = TaggedNode(1)
    node.submit(events.ShutdownRequested(node.now))
    node.run(0.01)
    assert not node.state.ready
    assert not node.pick(effects.Exit, node.run(1.3))
    assert node.pick(effects.Exit, node.run(0.2))


def test_nodes_of_zone_leave_in_turn() -> None:
    """Guards against a zone that is left with too few ready nodes.

    Pattern: nodes of a zone of three are stopped 1.2 s after each other; the
    fabric would send packets to nodes that have gone.
    """
    node = TaggedNode(1)
    leaver = Peer('n2', 'a', '10.1.0.2', 7720, 7)
    other = Peer('n3', 'a', '10.1.0.3', 7720, 7)
    hear(node, build_heartbeat(1, sender=leaver, leaving=True))
    node.submit(events.ShutdownRequested(node.now))
    for sequence in range(10):
        hear(node, build_heartbeat(sequence + 2, sender=other))
        node.run(0.1)
        assert node.state.ready
    back = Peer('n2', 'a', '10.1.0.2', 7720, 8)
    hear(node, build_heartbeat(1, sender=back))
    node.run(0.01)
    assert not node.state.ready


def test_wait_for_others_ends_before_kill() -> None:
    """Guards against a kill that cuts requests in progress."""
    node = TaggedNode(1)
    leaver = Peer('n2', 'a', '10.1.0.2', 7720, 7)
    node.submit(events.ShutdownRequested(node.now))
    for sequence in range(58):
        hear(node, build_heartbeat(sequence + 1, sender=leaver, leaving=True))
        if node.pick(effects.Exit, node.run(0.1)):
            break
    assert node.pick(effects.Exit)

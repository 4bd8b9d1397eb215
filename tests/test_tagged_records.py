"""Reading of the platform's records, their dissemination, and shutdown."""

import pytest

from apricottally.tagged import effects, events
from apricottally.tagged.dissemination import build_snapshot
from apricottally.tagged.messages import (
    Delta,
    Peer,
    Snapshot,
    SnapshotRequest,
    decode,
    encode,
)
from apricottally.tagged.records import BackendChange, ConfigurationChange
from apricottally.tagged.revisions import NO_REVISION
from tests.taggednode import (
    TaggedNode,
    build_backend,
    build_configuration,
    build_request,
    build_route,
    rev,
)
from tests.test_tagged_load import build_heartbeat, receive_heartbeat


def test_reads_list_at_start() -> None:
    """Guards against a node that waits for neighbours before its first list."""
    node = TaggedNode(0)
    assert node.select_effects(effects.ListRecords, node.run(0.02))
    assert not node.state.ready


@pytest.mark.parametrize(
    ('neighbour', 'watches'),
    [('n5', True), ('n2', False)],
)
def test_one_watcher_per_zone(neighbour, watches) -> None:
    """Guards against every node watching; calls are billed and rate-limited."""
    node = TaggedNode(1)
    sender = Peer(neighbour, 'a', '10.1.0.2', 7720, 7)
    found = []
    for sequence in range(60):
        receive_heartbeat(node, build_heartbeat(sequence + 1, sender=sender))
        found += node.run(0.02)
    assert bool(node.select_effects(effects.WatchRecords, found)) is watches


@pytest.mark.parametrize(('silent_s', 'leaving'), [(0.5, True), (2, False)])
def test_restarted_node_known_by_mention(silent_s, leaving) -> None:
    """Guards against several readers after a rolling restart of a large zone.

    A node that has left and started again may be heard by others only. It then
    counts as present, but not while its own last heartbeat is recent.
    """
    node = TaggedNode(1)
    left = Peer('n2', 'a', '10.1.0.2', 7720, 7)
    receive_heartbeat(node, build_heartbeat(1, sender=left, leaving=True))
    node.run(silent_s)
    other = Peer('n3', 'a', '10.1.0.3', 7720, 7)
    restarted = Peer('n2', 'a', '10.1.0.2', 7720, 8)
    receive_heartbeat(
        node, build_heartbeat(1, sender=other, known=(restarted,))
    )
    assert node.state.neighbours.by_name['n2'].leaving is leaving


def test_cut_off_watcher_is_replaced() -> None:
    """Guards against stale records when the zone's watcher loses the platform.

    The watcher still sends heartbeats, but the age of its records grows.
    """
    node = TaggedNode(1)
    sender = Peer('n2', 'a', '10.1.0.2', 7720, 7)
    started = node.now
    for sequence in range(200):
        age_ms = int((node.now - started) * 1000)
        receive_heartbeat(
            node, build_heartbeat(sequence + 1, sender=sender, age_ms=age_ms)
        )
        if node.select_effects(effects.WatchRecords, node.run(0.02)):
            break
    assert 1.6 < node.now - started < 2.2


def test_empty_watch_confirms() -> None:
    """Guards against records that look stale right after a watch timed out.

    A watch without changes confirms the records as of its end, not its start.
    """
    node = TaggedNode(1)
    requested_at = node.now
    node.now += 1.01
    revision = node.state.catalog.revision
    node.submit(
        events.RecordsChanged(node.now, requested_at, revision, revision, ())
    )
    assert node.state.freshness.age_ms(node.now) < 20


def test_lost_history_needs_list() -> None:
    """Guards against missed changes after the store has dropped its history."""
    node = TaggedNode(1)
    assert node.select_effects(effects.WatchRecords, node.run(0.6))
    found = node.submit(events.ReadFailed(node.now, 'compacted', True))
    assert node.select_effects(effects.ListRecords, found)


def test_failed_reads_back_off() -> None:
    """Guards against a retry storm during an outage; calls are billed."""
    node = TaggedNode(0)
    calls = 0
    for _ in range(500):
        if node.select_effects(effects.ListRecords, node.run(0.01)):
            calls += 1
            node.submit(events.ReadFailed(node.now, 'timeout'))
    assert calls <= 12


def test_lists_without_progress_back_off() -> None:
    """Guards against lists and watches that follow each other without a pause.

    The store has no history from the revision that its own list returns.
    """
    node = TaggedNode(1)
    found = node.run(0.6)
    calls = 0
    for _ in range(500):
        if node.select_effects(effects.WatchRecords, found):
            calls += 1
            found = node.submit(events.ReadFailed(node.now, 'compacted', True))
        elif node.select_effects(effects.ListRecords, found):
            calls += 1
            node.load_records(10, [build_backend(1)])
            found = node.effects
        else:
            found = node.run(0.01)
    assert calls <= 24


def test_list_removes_missing_backend() -> None:
    """Guards against backends that were removed while the history was lost.

    A backend that is missing from a complete list must be removed.
    """
    node = TaggedNode(2)
    node.load_records(30, [build_backend(1)])
    assert len(node.state.catalog.list_candidates('core')) == 1


def test_watcher_repeats_list() -> None:
    """Guards against permanent loss of a change that a watch has missed."""
    node = TaggedNode(1)
    asked = node.select_effects(effects.WatchRecords, node.run(0.6))
    lists = 0
    while asked and node.now < 121:
        node.run(1)
        revision = node.state.catalog.revision
        node.submit(
            events.RecordsChanged(
                node.now, node.now - 1, revision, revision, ()
            )
        )
        asked = node.select_effects(effects.WatchRecords)
        lists += len(node.select_effects(effects.ListRecords))
    assert lists == 1


def test_old_record_does_not_return() -> None:
    """Guards against a removed backend that an outdated record restores.

    A slow neighbour relays a record with a revision older than the removal.
    """
    node = TaggedNode(1)
    node.apply_changes(20, BackendChange('i-00000001', rev(20), None))
    delta = Delta(
        'n2',
        rev(20),
        rev(21),
        0,
        (BackendChange('i-00000001', rev(15), build_backend(1)),),
    )
    node.submit(events.PeerArrived(node.now, ('10.1.0.2', 1), encode(delta)))
    assert not node.state.catalog.list_candidates('core')


def test_delta_is_applied_and_passed_on() -> None:
    """Guards against changes that the first receiver does not relay."""
    node = TaggedNode(1)
    other_peer = Peer('n3', 'a', '10.1.0.3', 7720, 7)
    receive_heartbeat(node, build_heartbeat(1, sender=other_peer))
    change = BackendChange('i-00000002', rev(11), build_backend(2))
    delta = Delta('n2', rev(10), rev(11), 0, (change,))
    node.submit(events.PeerArrived(node.now, ('10.1.0.2', 1), encode(delta)))
    assert node.state.catalog.revision == rev(11)
    sent = node.select_effects(effects.SendPeer)
    assert [effect.dests for effect in sent] == [(('10.1.0.3', 7720),)]


@pytest.mark.parametrize('read', ['watch', 'list'])
def test_delta_claims_only_its_changes(read) -> None:
    """Guards against receivers that skip changes for good.

    A node has pulled newer records while its own read was in progress. The
    changes of that read do not reach up to the revision that the node now has.
    """
    node = TaggedNode(1)
    other_peer = Peer('n3', 'a', '10.1.0.3', 7720, 7)
    receive_heartbeat(node, build_heartbeat(1, sender=other_peer))
    newer = BackendChange('i-00000003', rev(30), build_backend(3))
    snapshot = Snapshot(rev(30), 0, False, (newer,))
    node.submit(events.SnapshotPulled(node.now, node.now, 'n2', snapshot))
    change = BackendChange('i-00000002', rev(12), build_backend(2))
    if read == 'watch':
        event = events.RecordsChanged(
            node.now, node.now, rev(10), rev(12), (change,)
        )
    else:
        event = events.RecordsListed(node.now, node.now, rev(12), (change,))
    node.submit(event)
    deltas = [
        decode(effect.payload)
        for effect in node.select_effects(effects.SendPeer)
    ]
    assert all(delta.revision == rev(12) for delta in deltas)


def test_gap_is_pulled() -> None:
    """Guards against permanent loss of a change whose datagram was lost."""
    node = TaggedNode(1)
    receive_heartbeat(node, build_heartbeat(1))
    delta = Delta('n2', rev(15), rev(16), 0, ())
    node.submit(events.PeerArrived(node.now, ('10.1.0.2', 1), encode(delta)))
    assert node.select_effects(effects.PullSnapshot)


def test_pull_among_equally_old_neighbours() -> None:
    """Guards against a pull that is postponed forever.

    Heartbeats of a node with a newer configuration alternate with those of
    nodes that do not have it yet.
    """
    node = TaggedNode(1)
    outdated_peer = Peer('n3', 'a', '10.1.0.3', 7720, 7)
    found = []
    for sequence in range(20):
        receive_heartbeat(node, build_heartbeat(sequence + 1, revision=rev(12)))
        found += node.effects
        receive_heartbeat(
            node,
            build_heartbeat(
                sequence + 1, sender=outdated_peer, revision=rev(10)
            ),
        )
        node.now += 0.01
    assert node.select_effects(effects.PullSnapshot, found)


def test_large_configuration_is_announced() -> None:
    """Guards against datagrams that are too large to be delivered.

    A change that exceeds the datagram limit is announced by a heartbeat.
    """
    node = TaggedNode(1)
    receive_heartbeat(node, build_heartbeat(1))
    node.run(0.02)
    routes = [build_route(port, 0) for port in range(1000, 1200)]
    node.apply_changes(
        20, ConfigurationChange(rev(20), build_configuration(2, tuple(routes)))
    )
    assert not node.select_effects(effects.SendPeer)
    sent = node.select_effects(effects.SendPeer, node.run(0.01))
    assert sent
    assert all(len(effect.payload) < 1400 for effect in sent)


@pytest.mark.parametrize(
    ('after', 'count'), [(NO_REVISION, 4), (rev(10), 1), (rev(20), 0)]
)
def test_snapshot_holds_what_is_newer(after, count) -> None:
    """Guards against snapshots that repeat records the requester has."""
    node = TaggedNode(3)
    node.apply_changes(20, BackendChange('i-00000001', rev(20), None))
    request = SnapshotRequest(after, 1 if after != NO_REVISION else 0)
    snapshot = build_snapshot(node.state, request, node.now)
    assert len(snapshot.changes) == count


def test_snapshot_makes_ready_without_platform() -> None:
    """Guards against a node that cannot start while the store is down."""
    source = TaggedNode(3)
    node = TaggedNode(0, name='n2')
    snapshot = build_snapshot(
        source.state, build_request(node.state), source.now
    )
    node.submit(events.SnapshotPulled(node.now, node.now, 'n1', snapshot))
    assert node.state.ready
    assert len(node.state.catalog.list_candidates('core')) == 3


def test_pull_from_a_new_node_removes_backends() -> None:
    """Guards against a backend that has left and stays in use.

    The node missed its removal, which its neighbour does not know of either:
    that one has started after it.
    """
    node = TaggedNode(2)
    source = TaggedNode(0, name='n2')
    source.load_records(30, [build_backend(1)])
    snapshot = build_snapshot(
        source.state, build_request(node.state), source.now
    )
    node.submit(events.SnapshotPulled(node.now, node.now, 'n2', snapshot))
    found = node.state.catalog.list_candidates('core')
    assert [entry.backend.name for entry in found] == ['i-00000001']


def test_failed_pull_is_tried_again() -> None:
    """Guards against a node that stays behind after one lost answer."""
    node = TaggedNode(1)
    receive_heartbeat(node, build_heartbeat(1, revision=rev(12)))
    node.now += 0.05
    receive_heartbeat(node, build_heartbeat(2, revision=rev(12)))
    assert node.select_effects(effects.PullSnapshot)
    node.submit(events.SnapshotPulled(node.now, node.now, 'n2', None, 'lost'))
    receive_heartbeat(node, build_heartbeat(3, revision=rev(12)))
    assert node.select_effects(effects.PullSnapshot)


def test_shutdown() -> None:
    """Guards against an exit while the fabric still sends the node packets."""
    node = TaggedNode(1)
    node.submit(events.ShutdownRequested(node.now))
    node.run(0.01)
    assert not node.state.ready
    assert not node.select_effects(effects.Exit, node.run(1.3))
    assert node.select_effects(effects.Exit, node.run(0.2))


def test_nodes_of_zone_leave_in_turn() -> None:
    """Guards against a zone with too few ready nodes during a rolling stop.

    With too few ready nodes, the fabric also sends packets to nodes that have
    exited. Here the nodes of a zone of three are stopped 1.2 s apart.
    """
    node = TaggedNode(1)
    leaving_peer = Peer('n2', 'a', '10.1.0.2', 7720, 7)
    other_peer = Peer('n3', 'a', '10.1.0.3', 7720, 7)
    receive_heartbeat(
        node, build_heartbeat(1, sender=leaving_peer, leaving=True)
    )
    node.submit(events.ShutdownRequested(node.now))
    for sequence in range(10):
        receive_heartbeat(
            node, build_heartbeat(sequence + 2, sender=other_peer)
        )
        node.run(0.1)
        assert node.state.ready
    restarted_peer = Peer('n2', 'a', '10.1.0.2', 7720, 8)
    receive_heartbeat(node, build_heartbeat(1, sender=restarted_peer))
    node.run(0.01)
    assert not node.state.ready


def test_wait_for_others_ends_before_kill() -> None:
    """Guards against a kill that interrupts requests in progress.

    A node that waits for an absent neighbour must still exit in time.
    """
    node = TaggedNode(1)
    leaving_peer = Peer('n2', 'a', '10.1.0.2', 7720, 7)
    node.submit(events.ShutdownRequested(node.now))
    for sequence in range(58):
        receive_heartbeat(
            node,
            build_heartbeat(sequence + 1, sender=leaving_peer, leaving=True),
        )
        if node.select_effects(effects.Exit, node.run(0.1)):
            break
    assert node.select_effects(effects.Exit)

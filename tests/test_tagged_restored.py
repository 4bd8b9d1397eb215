"""Fleets whose platform is restored from an older copy.

Revisions are then given out again. The operator and the backends write again
what was lost, nodes do not.
"""

import pytest

from apricottally.tagged import effects, events
from apricottally.tagged.dissemination import build_snapshot
from apricottally.tagged.messages import Delta, Snapshot, encode
from apricottally.tagged.records import BackendChange
from tests.taggedfleet import Fleet
from tests.taggednode import TaggedNode, build_backend, build_request, rev
from tests.test_tagged_fleet import (
    BOUND_S,
    build_fleet,
    check_in_force,
    find_reader,
)
from tests.test_tagged_load import build_heartbeat, receive_heartbeat

# Calls of a fleet of 9 nodes in the seconds after a restoration: at most three
# a second and node.
MAX_CALLS_PER_S = 27


def build_restored_fleet(seed: int, lost: int, away_s: float) -> Fleet:
    """Return a fleet just after a restoration that lost changes."""
    fleet = build_fleet(seed, 9)
    older = fleet.copy_platform()
    for version in range(2, 2 + lost):
        fleet.platform.put_configuration(version)
        fleet.run(1)
    fleet.restore_platform(older, away_s)
    return fleet


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('away_s', [0, 0.4, 2])
@pytest.mark.parametrize(
    ('lost', 'written_again'), [(1, 0), (1, 1), (3, 1), (3, 3), (2, 4)]
)
def test_change_with_reused_revision(seed, away_s, lost, written_again) -> None:
    """Guards against a change that is ignored as its revision was used before.

    The table has the changes that the platform lost, and how many were written
    again before the new one.
    """
    fleet = build_restored_fleet(seed, lost, away_s)
    for _ in range(written_again):
        fleet.platform.put_configuration(1 + lost)
    fleet.run(0.5)
    fleet.platform.put_configuration(2 + lost)
    fleet.run(BOUND_S)
    check_in_force(fleet, 2 + lost)


@pytest.mark.parametrize('lost', [1, 3, 9])
def test_calls_after_restoration(lost) -> None:
    """Guards against reads without back-off that get a node no further.

    The platform has no history for the watch of a node that knows of changes
    that were lost.
    """
    fleet = build_restored_fleet(1, lost, 1)
    before = fleet.platform.calls
    fleet.run(4)
    assert fleet.platform.calls - before <= 4 * MAX_CALLS_PER_S


REMOVED = None


def build_node(*known) -> TaggedNode:
    """Return a node that knows successive states of a backend, and another.

    Of its changes, the platform then loses those after revision 10.
    """
    node = TaggedNode(0)
    node.load_records(10, [build_backend(1), build_backend(2)])
    for number, fields in enumerate(known, start=11):
        backend = None if fields is REMOVED else build_backend(1, **fields)
        change = BackendChange('i-00000001', rev(number), backend)
        node.apply_changes(number, change)
    return node


def list_used(node: TaggedNode) -> list[str]:
    return [
        entry.backend.name
        for entry in node.state.catalog.list_candidates('core')
        if not entry.excludes_new_flows(node.now)
    ]


def restore(node: TaggedNode, number=10, **fields) -> None:
    """List a restored platform, in which the backend has these fields."""
    backends = [build_backend(1, **fields), build_backend(2)]
    node.load_records(number, backends, epoch=2)


DRAINING = {'draining': True, 'sequence': 5}


@pytest.mark.parametrize(
    ('known', 'restored', 'used'),
    [
        ([DRAINING], {}, False),
        ([DRAINING, REMOVED], {}, False),
        ([DRAINING, REMOVED], DRAINING, False),
        ([{'sequence': 4}, REMOVED], {}, False),
        ([REMOVED], {}, True),
        ([], {}, True),
        ([{'sequence': 4}], {}, True),
        ([DRAINING, REMOVED], {'born_ms': 2}, True),
        ([{'draining': True, 'born_ms': 2}], {'sequence': 9}, False),
    ],
)
def test_restored_copy_of_backend(known, restored, used) -> None:
    """Guards against new flows to a backend that drains or has left.

    The table has what a node saw of the backend in the lost seconds, what the
    restored platform says of it, and whether it may get new flows. A backend
    whose registration lapsed may, if the copy is its last record.
    """
    node = build_node(*known)
    restore(node, **restored)
    assert ('i-00000001' in list_used(node)) is used
    assert 'i-00000002' in list_used(node)


@pytest.mark.parametrize(
    ('written', 'used'),
    [
        ({'sequence': 6}, True),
        ({'sequence': 6, 'draining': True}, False),
        ({'born_ms': 2}, True),
        (REMOVED, False),
    ],
)
def test_record_written_again(written, used) -> None:
    """Guards against a backend that stays unused after it has registered."""
    node = build_node(DRAINING, REMOVED)
    restore(node)
    backend = None if written is REMOVED else build_backend(1, **written)
    node.apply_changes(11, BackendChange('i-00000001', rev(11, 2), backend))
    assert ('i-00000001' in list_used(node)) is used


def test_write_after_restoration_counts() -> None:
    """Guards against a backend that is not used again after a restart.

    Its clock was set back, so that its start seems to be the older one.
    """
    node = build_node({'born_ms': 9, 'sequence': 3}, REMOVED)
    restore(node)
    restarted = build_backend(1, born_ms=2)
    node.apply_changes(11, BackendChange('i-00000001', rev(11, 2), restarted))
    assert 'i-00000001' in list_used(node)


def test_known_record_written_again() -> None:
    """Guards against a copy that counts after its backend has replaced it.

    The backend writes again the record that the node knows.
    """
    node = build_node(DRAINING)
    restore(node)
    known = BackendChange(
        'i-00000001', rev(11, 2), build_backend(1, **DRAINING)
    )
    node.apply_changes(11, known)
    node.run(8)
    assert list_used(node) == ['i-00000002']


def test_copy_that_lapses_does_not_count() -> None:
    """Guards against a dead backend that returns after its copy has lapsed."""
    node = build_node(DRAINING, REMOVED)
    restore(node)
    node.run(1)
    node.load_records(12, [build_backend(2)], epoch=2)
    node.run(10)
    assert 'i-00000001' not in list_used(node)


def test_other_node_learns_of_removal() -> None:
    """Guards against a backend that has left and is used by a new node.

    The new node gets the records of a neighbour that saw the backend leave.
    """
    source = build_node(DRAINING, REMOVED)
    restore(source)
    node = TaggedNode(0, name='n2')
    pull(node, source)
    assert list_used(node) == ['i-00000002']


def pull(node: TaggedNode, source: TaggedNode) -> None:
    snapshot = build_snapshot(
        source.state, build_request(node.state), source.now
    )
    node.submit(events.SnapshotPulled(node.now, node.now, 'n1', snapshot))


def test_removal_in_another_epoch() -> None:
    """Guards against a backend that only the lost changes had registered.

    A node knows that it registered, its neighbour only that it had left before.
    """
    node = build_node(REMOVED, {'sequence': 8})
    source = build_node(REMOVED)
    source.load_records(10, [build_backend(2)], epoch=2)
    pull(node, source)
    node.run(3)
    assert list_used(node) == ['i-00000002']


def test_cold_time_is_not_counted_again() -> None:
    """Guards against warm backends that count as cold after a restoration."""
    node = TaggedNode(0)
    node.load_records(10, [build_backend(1, cold_ms=2000)])
    node.run(3)
    node.load_records(10, [build_backend(1, cold_ms=2000)], epoch=2)
    entry = node.state.catalog.find_by_name('i-00000001')
    assert entry.cold_until < node.now


@pytest.mark.parametrize('victims', ['one', 'all_but_one', 'reader'])
@pytest.mark.parametrize('when', ['during', 'after'])
def test_restarted_node_gets_lost_configuration(victims, when) -> None:
    """Guards against a node that starts with a configuration from the copy.

    Its neighbours know of a newer one, which has been acknowledged; the
    operator has not written it again yet.
    """
    fleet = build_fleet(5, 9)
    older = fleet.copy_platform()
    fleet.platform.put_configuration(2)
    fleet.run(1)
    names = sorted(fleet.nodes)
    reader = find_reader(fleet)
    killed = {
        'one': names[:1],
        'all_but_one': [name for name in names if name != reader],
        'reader': [reader],
    }[victims]
    if when == 'during':
        for name in killed:
            fleet.kill(name)
    fleet.restore_platform(older, 1)
    fleet.run(0.2)
    for name in killed:
        fleet.kill(name)
        fleet.start(name)
    fleet.run(BOUND_S)
    check_in_force(fleet, 2)
    fleet.platform.put_configuration(3)
    fleet.run(BOUND_S)
    check_in_force(fleet, 3)


LATE_CHANGE = BackendChange('i-00000009', rev(19), build_backend(9))


@pytest.mark.parametrize(
    'build_event',
    [
        lambda now: events.RecordsListed(now, now - 1, rev(19), (LATE_CHANGE,)),
        lambda now: events.RecordsChanged(
            now, now - 1, rev(10), rev(19), (LATE_CHANGE,)
        ),
        lambda now: events.SnapshotPulled(
            now, now - 1, 'n2', Snapshot(rev(19), 0, False, (LATE_CHANGE,))
        ),
        lambda now: events.SnapshotPulled(
            now, now - 1, 'n2', Snapshot(rev(19), 0, True, (LATE_CHANGE,))
        ),
        lambda now: events.PeerArrived(
            now,
            ('10.1.0.2', 7720),
            encode(Delta('n2', rev(10), rev(19), 0, (LATE_CHANGE,))),
        ),
    ],
    ids=['list', 'watch', 'difference', 'snapshot', 'delta'],
)
def test_late_answer_of_an_older_epoch(build_event) -> None:
    """Guards against an answer of the lost history that arrives late.

    It must add no backend, remove none, and confirm nothing.
    """
    node = TaggedNode(0)
    node.load_records(10, [build_backend(1)])
    node.load_records(10, [build_backend(1), build_backend(2)], epoch=2)
    node.run(1)
    age_ms = node.state.freshness.age_ms(node.now)
    node.submit(build_event(node.now))
    assert sorted(list_used(node)) == ['i-00000001', 'i-00000002']
    assert node.state.catalog.revision == rev(10, 2)
    assert node.state.freshness.age_ms(node.now) == age_ms


@pytest.mark.parametrize('after', [rev(8, 2), rev(10, 1)])
def test_delta_of_a_newer_epoch_is_pulled(after) -> None:
    """Guards against changes that are added to records of another history."""
    node = TaggedNode(1)
    receive_heartbeat(node, build_heartbeat(1))
    change = BackendChange('i-00000002', rev(9, 2), build_backend(2))
    delta = Delta('n2', after, rev(9, 2), 0, (change,))
    node.submit(events.PeerArrived(node.now, ('10.1.0.2', 1), encode(delta)))
    assert list_used(node) == ['i-00000001']
    assert node.select_effects(effects.PullSnapshot)


def test_lost_registration_stays_usable() -> None:
    """Guards against refusals while backends write lost registrations again."""
    node = TaggedNode(0)
    node.load_records(10, [])
    registered = BackendChange('i-00000001', rev(11), build_backend(1))
    node.apply_changes(11, registered)
    node.load_records(10, [], epoch=2)
    node.run(1.5)
    assert list_used(node) == ['i-00000001']
    node.run(1)
    assert not list_used(node)


def check_backends(fleet: Fleet) -> None:
    """Check that each node uses the backends that the platform has."""
    expected = sorted(
        change.backend.name
        for change in fleet.platform.list_live()
        if isinstance(change, BackendChange) and not change.backend.draining
    )
    for state in fleet.nodes.values():
        used = sorted(
            entry.backend.name
            for entry in state.catalog.list_candidates('core')
            if not entry.excludes_new_flows(fleet.now)
        )
        assert used == expected


def disturb(fleet: Fleet, step: int) -> None:
    """Kill, freeze or refuse some nodes."""
    names = sorted(fleet.nodes)
    fleet.refused = set(fleet.rng.sample(names, 3))
    fleet.frozen = {fleet.rng.choice(names)} if step % 2 else set()
    victim = fleet.rng.choice(names)
    if step % 3 == 0:
        fleet.kill(victim)
        fleet.start(victim)


def change_platform(fleet: Fleet, version: int) -> None:
    """Write a configuration and change two backends.

    A backend registers, drains, leaves, and registers again after a start.
    """
    fleet.platform.put_configuration(version)
    for index in fleet.rng.sample(range(1, 8), 2):
        change = fleet.platform.current.get(f'i-{index:08x}')
        backend = change.backend if change else None
        fields = {'born_ms': version, 'sequence': version}
        if backend is not None and fleet.rng.random() < 0.8:
            fields['born_ms'] = backend.born_ms
            fields['draining'] = True
        leaves = backend is not None and backend.draining
        fleet.platform.put_backend(index, present=not leaves, **fields)


@pytest.mark.parametrize('seed', range(12))
def test_restorations_under_faults(seed) -> None:
    """Guards against nodes that stay apart after several restorations.

    Nodes are killed, frozen or refused by the store meanwhile. A part of the
    changes is lost; the newest records of each writer are written again.
    """
    fleet = build_fleet(seed, 9)
    version = 1
    for step in range(4):
        older = fleet.copy_platform()
        for _ in range(fleet.rng.randint(0, 4)):
            version += 1
            change_platform(fleet, version)
            fleet.run(fleet.rng.uniform(0, 0.6))
        disturb(fleet, step)
        newest = fleet.copy_platform()
        fleet.restore_platform(older, fleet.rng.choice([0, 0.3, 2.5]))
        fleet.run(fleet.rng.uniform(0, 0.5))
        fleet.platform.write_again(newest)
        fleet.run(fleet.rng.uniform(0, 1))
        version += 1
        change_platform(fleet, version)
        fleet.run(BOUND_S)
        check_in_force(fleet, version)
        fleet.refused = set()
        fleet.frozen = set()
        fleet.run(BOUND_S)
        check_in_force(fleet, version)
        check_backends(fleet)


@pytest.mark.parametrize('away_s', [0, 1, 3, 3.3])
@pytest.mark.parametrize(('nodes', 'zones'), [(60, 'abcde'), (195, 'abcde')])
def test_restoration_reaches_a_large_fleet(nodes, zones, away_s) -> None:
    """Guards against a restoration that makes every node read at once.

    All nodes learn of it from each other; a change that is written right after
    it comes into force in time.
    """
    fleet = build_fleet(3, nodes, zones)
    older = fleet.copy_platform()
    fleet.platform.put_configuration(2)
    fleet.run(0.5)
    fleet.restore_platform(older, away_s)
    before = fleet.platform.calls
    fleet.platform.put_configuration(3)
    fleet.run(BOUND_S)
    check_in_force(fleet, 3)
    assert fleet.platform.calls - before <= nodes

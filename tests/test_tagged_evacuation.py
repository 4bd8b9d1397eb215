"""Evacuations of availability zones, and allowed regions of routes."""

import pytest

from apricottally.tagged import effects, events, packets
from apricottally.tagged.dissemination import build_snapshot
from apricottally.tagged.exposition import render
from apricottally.tagged.messages import SnapshotRequest
from apricottally.tagged.places.evacuations import LOST_EVACUATION_GRACE_S
from apricottally.tagged.records import (
    BackendChange,
    ConfigurationChange,
    EvacuationChange,
    Repetition,
)
from apricottally.tagged.revisions import NO_REVISION
from tests.taggedfleet import Fleet
from tests.taggednode import (
    TaggedNode,
    build_backend,
    build_configuration,
    build_route,
    rev,
)
from tests.test_tagged_fleet import find_reader

# Target time until an evacuation is in force on all nodes that are undisturbed,
# and the time that this simulation allows under faults.
TARGET_S = 0.3
BOUND_S = 3.0
ZONES = 'abc'
REGION_PORT = 9000


def build_node(zones='ab', **config) -> TaggedNode:
    """Return a node with two backends in each zone, 1 and 2 in the first."""
    node = TaggedNode(0, **config)
    backends = [
        build_backend(index + 1, zone=zone)
        for index, zone in enumerate(''.join(zone * 2 for zone in zones))
    ]
    node.load_records(10, backends)
    return node


def evacuate(node: TaggedNode, zones: str, *, active=True):
    number = node.state.catalog.revision.number + 1
    return node.apply_changes(
        number, *(EvacuationChange(zone, rev(number), active) for zone in zones)
    )


def list_reasons(node: TaggedNode) -> list[str]:
    return [
        log.fields['reason']
        for log in node.select_effects(effects.WriteLog)
        if log.event == 'refused'
    ]


def open_from(node: TaggedNode, client_port: int, **fields) -> str:
    """Return the zone that a new flow goes to, or why it is refused."""
    node.send(client_port, packets.SYN, **fields)
    zones = [sent.backend.zone for sent in node.list_forwarded()]
    return ''.join(zones + list_reasons(node))


@pytest.mark.parametrize(
    ('zones', 'opened'),
    [('a', 'b'), ('b', 'a'), ('ab', 'evacuated'), ('x', 'a'), ('', 'a')],
)
def test_new_flow_avoids_evacuated_zone(zones, opened) -> None:
    """Guards against a new flow to a backend of an evacuated zone.

    A zone without backends is evacuated as well. After the end of the
    evacuation its backends must get flows again.
    """
    node = build_node()
    evacuate(node, zones)
    assert open_from(node, 1) == opened
    late = build_backend(9, zone='b')
    node.apply_changes(20, BackendChange(late.name, rev(20), late))
    assert ('b' in open_from(node, 2)) is (opened == 'b')
    evacuate(node, zones, active=False)
    assert open_from(node, 3) == 'a'


@pytest.mark.parametrize(('zones', 'retried'), [('a', {'b'}), ('ab', set())])
def test_retries_avoid_evacuated_zone(zones, retried) -> None:
    """Guards against a SYN that is repeated to an evacuated zone.

    If no backend is left, the SYN is dropped: its first copy may open the flow.
    """
    node = build_node()
    assert open_from(node, 1) == 'a'
    evacuate(node, zones)
    found = node.run(0.2)
    for count in range(1, 6):
        found += node.send(1, packets.SYN, acknowledged=count)
        found += node.run(0.2)
    sent = node.select_effects(effects.Forward, found)
    assert {forward.backend.zone for forward in sent} == retried
    assert not node.select_effects(effects.Reset, found)


@pytest.mark.parametrize(
    'change',
    [
        EvacuationChange('a', rev(30), active=True),
        BackendChange('i-00000001', rev(30), None),
        BackendChange('i-00000001', rev(30), None, readable=False),
        BackendChange('i-00000001', rev(30), build_backend(1, draining=True)),
    ],
)
def test_last_attempt_needs_a_usable_backend(change) -> None:
    """Guards against copies to a backend that may get no new flows.

    After the last attempt, a copy goes to the same backend again.
    """
    node = TaggedNode(1)
    for count in range(5):
        node.send(1, packets.SYN, acknowledged=count)
    assert node.list_forwarded()
    node.apply_changes(30, change)
    node.send(1, packets.SYN, acknowledged=5)
    assert not node.list_forwarded()


def test_open_flow_stays() -> None:
    """Guards against an open flow that an evacuation cuts or moves."""
    node = build_node()
    tag = node.open_flow(1)
    found = evacuate(node, 'ab')
    node.send_request(1, tag)
    assert [sent.backend.tag for sent in node.list_forwarded()] == [tag]
    assert not node.select_effects(effects.Reset, found + node.run(1))
    fields = node.select_effects(effects.WriteLog, found)[0].fields
    assert (fields['zone'], fields['revision'], fields['flows']) == ('a', 11, 1)
    exported = render(node.state, node.now).body.decode()
    assert 'apricottally_evacuated_zones 2' in exported
    assert 'apricottally_flows_in_evacuated_zones 1' in exported


def test_copy_of_unknown_flow_is_not_reset() -> None:
    """Guards against a reset of a flow that is open through another node."""
    node = build_node()
    evacuate(node, 'ab')
    node.send(1, packets.SYN, acknowledged=1)
    assert not node.effects


WRITTEN = EvacuationChange('a', rev(11), active=True)


@pytest.mark.parametrize(
    ('changes', 'active'),
    [
        ([(12, False), (11, True)], False),
        ([(11, True), (12, False), (13, True)], True),
        ([(11, True), (11, False)], True),
        ([(11, True), (12, True)], True),
        ([(11, False)], False),
    ],
)
def test_order_of_changes(changes, active) -> None:
    """Guards against a late change that replaces a newer one."""
    node = build_node()
    for number, is_active in changes:
        change = EvacuationChange('a', rev(number), is_active)
        node.apply_changes(max(number, 13), change)
    assert (open_from(node, 1) == 'b') is active
    for zone, is_active in (('a', not active), ('b', True)):
        old = EvacuationChange(zone, rev(99, 0), is_active)
        node.apply_changes(14, old)
    assert (open_from(node, 2) == 'b') is active


def test_configuration_in_the_same_revision() -> None:
    """Guards against one of two changes of a revision that is ignored."""
    node = build_node()
    configuration = ConfigurationChange(rev(11), build_configuration(2))
    node.apply_changes(11, WRITTEN, configuration)
    assert node.state.configuration_version == 2
    assert open_from(node, 1) == 'b'


def test_ended_evacuation_is_forgotten() -> None:
    """Guards against a node that misses an end and keeps the evacuation.

    The nodes that know of the end forget it in time; it then gets complete
    records, in which the evacuation is missing.
    """
    source = build_node()
    late = build_node(name='n2')
    evacuate(late, 'a')
    evacuate(source, 'a')
    evacuate(source, 'a', active=False)
    source.run(125)
    assert source.state.catalog.evacuations.find('a').revision == NO_REVISION
    request = SnapshotRequest(late.state.catalog.revision, 1)
    pulled = build_snapshot(source.state, request, source.now)
    late.submit(events.SnapshotPulled(late.now, late.now, 'n1', pulled))
    assert open_from(late, 1) == 'a'


def restore(node: TaggedNode, number: int, *evacuations) -> None:
    at = rev(number, 2)
    records = node.state.catalog.list_changes(NO_REVISION, 0)
    kept = [one for one in records if not isinstance(one, EvacuationChange)]
    node.submit(
        events.RecordsListed(node.now, node.now, at, (*kept, *evacuations))
    )


@pytest.mark.parametrize(
    ('copied', 'written', 'after'),
    [
        ((), (), 'a'),
        ((EvacuationChange('a', rev(9, 2), active=True),), (), 'b'),
        ((), (EvacuationChange('a', rev(11, 2), active=True),), 'b'),
        ((), (EvacuationChange('b', rev(11, 2), active=True),), 'a'),
    ],
)
def test_restored_platform(copied, written, after) -> None:
    """Guards against flows to a zone whose evacuation the platform has lost.

    Its operator has 2 s to write it again. The table has the evacuations in
    the older copy, those written again, and the zone that gets flows then. A
    node that starts meanwhile and learns from a neighbour agrees.
    """
    node = build_node()
    node.apply_changes(11, WRITTEN)
    restore(node, 10, *copied)
    node.run(LOST_EVACUATION_GRACE_S / 2)
    restore(node, 10, *copied)
    assert open_from(node, 1) == 'b'
    started = TaggedNode(0, name='n2')
    started.now = node.now
    request = SnapshotRequest(NO_REVISION, 0)
    pulled = build_snapshot(node.state, request, node.now)
    started.submit(events.SnapshotPulled(node.now, node.now, 'n1', pulled))
    assert open_from(started, 1) == 'b'
    for one in (node, started):
        one.apply_changes(11, *written)
        one.run(LOST_EVACUATION_GRACE_S + 0.2)
        assert open_from(one, 2) == after


@pytest.mark.parametrize(
    ('regions', 'evacuated', 'opened'),
    [
        ((), '', 'a'),
        (('north',), '', 'a'),
        (('south',), '', 'b'),
        (('north', 'south'), 'a', 'b'),
        (('north',), 'a', 'evacuated'),
        (('nowhere',), '', 'no_region'),
        (('nowhere',), 'ab', 'no_region'),
        (('',), '', 'no_region'),
    ],
)
def test_allowed_regions(regions, evacuated, opened) -> None:
    """Guards against a new flow or a retry outside a route's regions.

    Zone c has no known region.
    """
    zone_regions = (('a', 'north'), ('b', 'south'))
    node = build_node('abc', zone_regions=zone_regions)
    route = build_route(REGION_PORT, Repetition.idempotent, regions=regions)
    configuration = build_configuration(2, (route,))
    node.apply_changes(11, ConfigurationChange(rev(11), configuration))
    evacuate(node, evacuated)
    assert open_from(node, 1, port=REGION_PORT) == opened
    if regions:
        retried = node.select_effects(effects.Forward, node.run(1))
        assert {sent.backend.zone for sent in retried} <= {opened}


def test_sample_is_taken_from_allowed_regions() -> None:
    """Guards against a large service whose sample includes other regions."""
    node = TaggedNode(0, zone_regions=(('a', 'north'), ('b', 'south')))
    route = build_route(REGION_PORT, Repetition.idempotent, regions=('south',))
    backends = [build_backend(tag, zone='ab'[tag > 9]) for tag in range(1, 99)]
    node.load_records(10, backends, build_configuration(2, (route,)))
    for client_port in range(20):
        assert open_from(node, client_port, port=REGION_PORT) == 'b'


def build_fleet(seed: int, nodes: int, zones: str = ZONES) -> Fleet:
    fleet = Fleet(seed, nodes, zones=zones)
    fleet.platform.put_configuration(1)
    for index in range(1, 10):
        zone = zones[index % len(zones)]
        fleet.platform.put_backend(index, present=True, zone=zone)
    fleet.start_all()
    fleet.run(3)
    return fleet


def check_openings(fleet: Fleet, names=()) -> None:
    """Check that no node forwards a new flow to an evacuated zone.

    Flows are opened at all nodes, and retried, as no backend answers.
    """
    evacuated = fleet.platform.list_evacuated()
    fleet.forwarded.clear()
    fleet.open_flows()
    fleet.run(0.1)
    names = names or fleet.nodes
    used = {backend.zone for name, backend in fleet.forwarded if name in names}
    assert not used & evacuated
    for name in names:
        catalog = fleet.nodes[name].catalog
        assert set(catalog.evacuations.list_active()) == evacuated


@pytest.mark.parametrize(
    ('nodes', 'zones', 'evacuated'),
    [
        (6, 'abc', 'a'),
        (6, 'abc', 'abc'),
        (6, 'abc', 'x'),
        (64, 'abc', 'ab'),
        (195, 'abcde', 'bd'),
    ],
)
def test_evacuation_reaches_all_nodes(nodes, zones, evacuated) -> None:
    """Guards against a node that learns of an evacuation or its end late."""
    fleet = build_fleet(1, nodes, zones)
    for active in (True, False):
        for zone in evacuated:
            fleet.platform.put_evacuation(zone, active=active)
        fleet.run(TARGET_S)
        check_openings(fleet)


@pytest.mark.parametrize('after_s', [0, 0.01, 0.03, 0.1])
def test_evacuation_outlives_its_reader(after_s) -> None:
    """Guards against an evacuation that is lost with the node that watches."""
    fleet = build_fleet(6, 9)
    reader = find_reader(fleet)
    fleet.platform.put_evacuation('a')
    fleet.run(after_s)
    fleet.kill(reader)
    fleet.run(BOUND_S)
    check_openings(fleet)
    fleet.start(reader)
    fleet.run(1)
    check_openings(fleet)


def test_cut_zone_keeps_what_it_knows() -> None:
    """Guards against a cut zone that forgets an evacuation or stays behind."""
    fleet = build_fleet(3, 9)
    fleet.platform.put_evacuation('b')
    fleet.run(TARGET_S)
    fleet.cut = 'a'
    fleet.run(5)
    check_openings(fleet)
    fleet.platform.put_evacuation('b', active=False)
    fleet.platform.put_evacuation('c')
    fleet.run(BOUND_S)
    check_openings(fleet, [name for name in fleet.nodes if int(name[1:]) % 3])
    fleet.cut = ''
    fleet.run(BOUND_S)
    check_openings(fleet)


def change_evacuation(fleet: Fleet) -> None:
    zone = fleet.rng.choice(ZONES + 'x')
    evacuated = zone in fleet.platform.list_evacuated()
    fleet.platform.put_evacuation(zone, active=not evacuated)
    if fleet.rng.random() < 0.5:
        version = fleet.platform.current[''].configuration.version
        fleet.platform.put_configuration(version + 1)


def restart_node(fleet: Fleet) -> None:
    victim = fleet.rng.choice(sorted(fleet.nodes))
    fleet.kill(victim)
    fleet.run(fleet.rng.uniform(0, 0.3))
    fleet.start(victim)


def refuse_nodes(fleet: Fleet) -> None:
    fleet.refused = set(fleet.rng.sample(sorted(fleet.nodes), 3))


def freeze_node(fleet: Fleet) -> None:
    fleet.frozen = {fleet.rng.choice(sorted(fleet.nodes))}


def lose_changes(fleet: Fleet) -> None:
    """Restore the platform from a copy; its writers repeat what was lost."""
    older = fleet.copy_platform()
    for _ in range(fleet.rng.randint(1, 3)):
        change_evacuation(fleet)
        fleet.run(fleet.rng.uniform(0, 0.6))
    newest = fleet.copy_platform()
    fleet.restore_platform(older, fleet.rng.choice([0, 0.3, 2.5]))
    fleet.run(fleet.rng.uniform(0, 0.5))
    fleet.platform.write_again(newest)


ACTIONS = (
    change_evacuation,
    change_evacuation,
    change_evacuation,
    restart_node,
    refuse_nodes,
    freeze_node,
    Fleet.drop_history,
    lose_changes,
)


@pytest.mark.parametrize('seed', range(100))
def test_random_interleavings(seed) -> None:
    """Guards against nodes that stay apart after faults in any order.

    The evacuated zones must agree with the platform on every node that takes
    part, within the time that a configuration may take.
    """
    fleet = build_fleet(seed, 6)
    for _ in range(3):
        for action in fleet.rng.choices(ACTIONS, k=3):
            action(fleet)
            fleet.open_flows()
            fleet.run(fleet.rng.uniform(0, 0.6))
        fleet.run(BOUND_S)
        check_openings(fleet, fleet.nodes.keys() - fleet.frozen)
        fleet.refused = set()
        fleet.frozen = set()

"""Seeded fleet simulations: propagation time of changes, platform calls."""

import pytest

from tests.taggedfleet import Fleet

# Maximum time until a configuration is in force on all nodes.
BOUND_S = 3.0


def check_in_force(fleet: Fleet, version: int) -> None:
    late = [
        name
        for name, state in fleet.nodes.items()
        if state.configuration_version != version and name not in fleet.frozen
    ]
    assert not late
    for state in fleet.nodes.values():
        assert state.catalog.revision <= fleet.platform.revision


def find_reader(fleet: Fleet) -> str:
    """Return the node that leads the first zone in hash order."""
    for name, state in fleet.nodes.items():
        neighbours = state.neighbours
        if neighbours.rank_in_zone(fleet.now):
            continue
        if not neighbours.rank_of_zone(fleet.now):
            return name
    raise LookupError('no node leads the first zone')


def count_found(fleet: Fleet) -> int:
    """Return how often a node has found another one."""
    return sum(state.neighbours.new_count for state in fleet.nodes.values())


def build_fleet(seed: int, nodes: int, zones: str = 'abc') -> Fleet:
    fleet = Fleet(seed, nodes, zones=zones)
    fleet.platform.put_configuration(1)
    for index in range(1, 8):
        fleet.platform.put_backend(index, present=True)
    fleet.start_all()
    fleet.run(3)
    return fleet


@pytest.mark.parametrize('seed', range(6))
def test_changes_under_faults(seed) -> None:
    """Guards against a node whose records stay outdated after faults.

    Nodes are killed, frozen or refused by the store; the store loses history.
    """
    fleet = build_fleet(seed, 9)
    version = 1
    for step in range(5):
        names = sorted(fleet.nodes)
        victim = fleet.rng.choice(names)
        fleet.refused = set(fleet.rng.sample(names, 3))
        if step % 2:
            fleet.kill(victim)
        else:
            fleet.frozen = {victim}
        fleet.run(fleet.rng.uniform(0, 1))
        version += 1
        fleet.platform.put_configuration(version)
        fleet.platform.put_backend(step + 1, present=bool(step % 3))
        if step == 3:
            fleet.drop_history()
        fleet.run(BOUND_S)
        check_in_force(fleet, version)
        if step % 2:
            fleet.start(victim)
        fleet.frozen = set()
        fleet.run(2)
        check_in_force(fleet, version)


@pytest.mark.parametrize(
    ('nodes', 'zones'), [(6, 'abc'), (40, 'abc'), (90, 'abc'), (195, 'abcde')]
)
def test_calls_do_not_grow_with_fleet(nodes, zones) -> None:
    """Guards against every node watching; calls are billed and rate-limited.

    In steady state one node watches, with about one call per second. A leader
    of another zone reads only if a confirmation has been lost.
    """
    fleet = build_fleet(1, nodes, zones)
    before = fleet.platform.calls
    fleet.run(5)
    assert fleet.platform.calls - before <= 5 + len(zones)


@pytest.mark.parametrize(
    ('nodes', 'zones'), [(23, 'abcde'), (69, 'abcd'), (195, 'abcde')]
)
def test_membership_is_stable(nodes, zones) -> None:
    """Guards against nodes that keep losing and finding each other.

    Each contact of a node that hears nothing else from the sender is answered,
    logged twice and dropped again after 1.5 s. A calm node may find one sender
    in 5 s, as datagrams are lost and some nodes are still learned of.
    """
    fleet = build_fleet(1, nodes, zones)
    fleet.run(6)
    before = count_found(fleet)
    fleet.run(2)
    assert count_found(fleet) - before <= nodes * 2 / 5


@pytest.mark.parametrize('victims', ['reader', 'zone', 'cut'])
def test_reader_of_fleet_is_replaced(victims) -> None:
    """Guards against a fleet that depends on the one node that watches.

    That node dies, all nodes of its zone die at once, or the store refuses
    the whole zone while its nodes still send heartbeats.
    """
    fleet = build_fleet(4, 60, 'abcde')
    reader = find_reader(fleet)
    zone = fleet.nodes[reader].config.zone
    members = [
        name for name, state in fleet.nodes.items() if state.config.zone == zone
    ]
    if victims == 'cut':
        fleet.refused = set(members)
    for name in {'reader': [reader], 'zone': members}.get(victims, []):
        fleet.kill(name)
    for version in (2, 3, 4):
        fleet.platform.put_configuration(version)
        fleet.run(BOUND_S)
        check_in_force(fleet, version)


@pytest.mark.parametrize('after_s', [0, 0.01, 0.03, 0.1])
@pytest.mark.parametrize('nodes', [6, 60])
def test_change_outlives_its_reader(nodes, after_s) -> None:
    """Guards against an acknowledged change that is lost with one node.

    The node that watches loses power right after the platform has accepted
    the change: before, while or after it passes the change on.
    """
    fleet = build_fleet(6, nodes)
    for version in (2, 3):
        reader = find_reader(fleet)
        fleet.platform.put_configuration(version)
        fleet.run(after_s)
        fleet.kill(reader)
        fleet.run(BOUND_S - after_s)
        check_in_force(fleet, version)


@pytest.mark.parametrize('nodes', [23, 40, 90, 195])
def test_large_fleet_gets_every_change(nodes) -> None:
    """Guards against zones that a relayed change does not reach.

    Their nodes would read it only once their own records are stale.
    """
    fleet = build_fleet(2, nodes)
    fleet.platform.put_configuration(2)
    fleet.run(1)
    check_in_force(fleet, 2)


@pytest.mark.parametrize(
    ('nodes', 'lists_per_s'), [(30, 100), (90, 10), (180, 5)]
)
def test_simultaneous_start_needs_few_lists(nodes, lists_per_s) -> None:
    """Guards against nodes that stay without records while lists are refused.

    When all nodes start at once, the store refuses lists above its rate limit;
    refused nodes must get the records from their neighbours.
    """
    fleet = Fleet(5, nodes)
    fleet.platform.put_configuration(1)
    fleet.platform.put_backend(1, present=True)
    fleet.platform.lists_per_s = lists_per_s
    fleet.start_all()
    fleet.run(1)
    check_in_force(fleet, 1)
    # One list per node, and further calls of the few nodes that watch.
    assert fleet.platform.calls <= nodes + 3 * 4


def test_all_nodes_restart() -> None:
    """After a restart of all nodes, each must discover all others again."""
    fleet = build_fleet(3, 9)
    for name in list(fleet.nodes):
        fleet.kill(name)
    fleet.run(1)
    fleet.start_all()
    fleet.run(2)
    check_in_force(fleet, 1)
    for state in fleet.nodes.values():
        assert len(state.neighbours.list_alive(fleet.now)) == 8

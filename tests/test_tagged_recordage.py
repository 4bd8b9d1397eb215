"""The age of a node's records, which decides who reads the platform."""

import pytest

from tests.taggedfleet import Fleet

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

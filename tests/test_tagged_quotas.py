"""Tests of permits, and of the sum of new flows that a whole fleet sends."""

import pytest

from apricottally.tagged.messages import Peer
from apricottally.tagged.neighbours import Neighbour
from apricottally.tagged.quotas.membership import Membership
from apricottally.tagged.quotas.permits import Permits
from apricottally.tagged.quotas.ring import (
    build_arc,
    list_predecessors,
    place_permit,
)
from apricottally.tagged.records import Service
from tests.taggedfleet import Fleet
from tests.taggednode import TICK_S

WHOLE_RING = build_arc('n0', [])
COLD_MS = 600_000
RATE = 3.7


def list_uses(rate: float, seconds: float) -> list[float]:
    permits = Permits()
    times = [index / 100 for index in range(round(seconds * 100))]
    return [now for now in times if permits.take(b'r', rate, WHOLE_RING, now)]


@pytest.mark.parametrize(
    ('rate', 'most'),
    [(0, 0), (0.25, 1), (1, 1), (1.5, 1), (2.5, 2), (7.9, 7), (1e9, 256)],
)
def test_rate_of_one_holder(rate, most) -> None:
    """Guards against more uses in a second than the rate, also if odd."""
    uses = list_uses(rate, 9)
    assert bool(uses) is bool(most)
    for at in uses:
        assert sum(at <= other < at + 1 for other in uses) <= most
    gap_s = 1 / rate if 0 < rate < 1 else 1
    pairs = list(zip(uses, uses[most:], strict=False)) if most else []
    assert all(later - at >= gap_s for at, later in pairs)


@pytest.mark.parametrize('nodes', [1, 2, 22, 300])
def test_each_permit_has_one_holder(nodes) -> None:
    """Guards against permits that two nodes hold, or none."""
    names = [f'n{index}' for index in range(nodes)]
    arcs = [
        build_arc(
            name,
            list_predecessors(name, [one for one in names if one != name]),
        )
        for name in names
    ]
    for index in range(50):
        at = place_permit(b'r', index)
        assert sum(arc.covers(at) for arc in arcs) == 1


@pytest.mark.parametrize('arcs', [(WHOLE_RING, None, WHOLE_RING)])
def test_uses_outlive_changes_of_the_ring(arcs) -> None:
    """Guards against a permit used anew after its holder was unsettled."""
    permits = Permits()
    found = [
        permits.take(b'r', 1, arc, index / 10) for index, arc in enumerate(arcs)
    ]
    assert found == [True, False, False]
    permits.forget(b'r')
    assert not list(permits.resources())


class Zone:
    """One node's view of a zone, driven by the nodes that it hears."""

    def __init__(self, others: int, *, has_seeds: bool = True) -> None:
        self.membership = Membership('n0', 'a', has_seeds=has_seeds)
        self.now = 50.0
        # How many of the nodes that are heard say that they hear this one.
        self.hearers = others
        self.neighbours = [
            Neighbour(Peer(f'n{index + 1}', 'a', '10.1.0.1', 1, 1), self.now)
            for index in range(others)
        ]

    def run(self, seconds: float, heard: int) -> bool:
        """Hear some of the nodes; return whether permits may be used."""
        for _ in range(round(seconds / 0.05)):
            self.now += 0.05
            for neighbour in self.neighbours[:heard]:
                neighbour.heard_at = self.now
                neighbour.mentioned_at = self.now
            for neighbour in self.neighbours[: min(heard, self.hearers)]:
                neighbour.hears_us_at = self.now
            self.membership.review(self.neighbours, self.now)
        return self.membership.get_usable_arc(self.now) is not None


@pytest.mark.parametrize(
    ('others', 'steps', 'usable'),
    [
        (0, [(1.4, 0)], False),
        (4, [(1.4, 4)], False),
        (4, [(1.7, 4)], True),
        # A node that is known by name only may not know this one.
        (4, [(4, 3)], False),
        # Two of five nodes are silent, and later forgotten.
        (4, [(3, 4), (3, 2)], True),
        (4, [(3, 4), (40, 2)], True),
        # Cut off from the majority, also for longer than others are kept.
        (4, [(3, 4), (3, 1)], False),
        (4, [(3, 4), (90, 1)], False),
        (4, [(3, 4), (90, 0)], False),
        (4, [(3, 4), (90, 1), (3, 4)], True),
        # One of the only two nodes.
        (1, [(3, 1), (90, 0)], False),
    ],
)
def test_permits_need_a_settled_majority(others, steps, usable) -> None:
    """Guards against two parts of a zone that both use a permit."""
    zone = Zone(others)
    found = [zone.run(seconds, heard) for seconds, heard in steps]
    assert found[-1] is usable


@pytest.mark.parametrize(('seconds', 'usable'), [(9, True), (13, False)])
def test_node_that_is_not_heard(seconds, usable) -> None:
    """Guards against a node whose own heartbeats are lost.

    It hears all others, but they forget it and use its permits.
    """
    zone = Zone(4)
    assert zone.run(3, 4)
    zone.hearers = 1
    assert zone.run(seconds, 4) is usable


@pytest.mark.parametrize(
    ('has_seeds', 'usable'), [(True, False), (False, True)]
)
def test_lone_node(has_seeds, usable) -> None:
    """Guards against a node that starts cut off and takes itself for all."""
    assert Zone(0, has_seeds=has_seeds).run(9, 0) is usable


@pytest.mark.parametrize(
    ('pause_s', 'wait_s', 'usable'),
    [(0.3, 0, False), (0.3, 1.5, True), (40, 1.4, False), (40, 2, True)],
)
def test_permits_after_pause(pause_s, wait_s, usable) -> None:
    """Guards against a woken node that others have forgotten meanwhile."""
    zone = Zone(4)
    assert zone.run(3, 4)
    zone.now += pause_s
    assert zone.membership.get_usable_arc(zone.now) is None
    assert zone.run(wait_s, 4) is usable


def build_fleet(seed: int, nodes: int, loss: float, zones: str) -> Fleet:
    fleet = Fleet(seed, nodes, loss, zones)
    fleet.platform.put_configuration(1, (Service('core', COLD_MS, RATE),))
    for index in range(1, 7):
        fleet.platform.put_backend(
            index,
            present=True,
            zone=zones[index % len(zones)],
            slots=500,
            cold_ms=COLD_MS,
        )
    fleet.start_all()
    return fleet


def load(fleet: Fleet, seconds: float, per_tick: int = 3) -> None:
    """Run the fleet with new flows at random nodes."""
    for _ in range(round(seconds / TICK_S)):
        for name in fleet.rng.sample(sorted(fleet.nodes), per_tick):
            fleet.send_syn(name, fleet.rng.getrandbits(32))
        fleet.run(TICK_S)


def kill_some(fleet: Fleet) -> None:
    """Nodes die one after another and stay away or come back."""
    for step, name in enumerate(fleet.rng.sample(sorted(fleet.nodes), 8)):
        fleet.kill(name)
        load(fleet, fleet.rng.uniform(0.2, 1.5))
        if step % 2:
            fleet.start(name)
    load(fleet, 34)


def freeze_some(fleet: Fleet) -> None:
    """Nodes freeze and wake, some of them after they are forgotten."""
    names = fleet.rng.sample(sorted(fleet.nodes), 9)
    fleet.frozen = set(names)
    for index, seconds in ((6, 1), (3, 9), (0, 24)):
        load(fleet, seconds)
        fleet.frozen = set(names[:index])
    load(fleet, 4)


def restart_all(fleet: Fleet) -> None:
    """All nodes restart at once, twice in a row."""
    for seconds in (1.7, 5):
        names = sorted(fleet.nodes)
        for name in names:
            fleet.kill(name)
        for name in names:
            fleet.start(name)
        load(fleet, seconds)


def cut_zone(fleet: Fleet) -> None:
    """One zone is cut from the others for longer than nodes are kept."""
    group = {name for name in fleet.nodes if int(name[1:]) % 3 == 0}
    cut_group(fleet, group)


def cut_random(fleet: Fleet) -> None:
    """A random part of all nodes is cut off, through the middle of zones."""
    cut_group(fleet, set(fleet.rng.sample(sorted(fleet.nodes), 20)))


def restart_in_minority(fleet: Fleet) -> None:
    """Nodes of the smaller part restart and hear nothing of the larger."""
    group = fleet.rng.sample(sorted(fleet.nodes), 20)
    fleet.cut_off = set(group)
    load(fleet, 3)
    for name in group[:10]:
        fleet.kill(name)
        fleet.start(name)
    load(fleet, 8)


def cut_group(fleet: Fleet, group: set[str]) -> None:
    fleet.cut_off = group
    load(fleet, 34)
    fleet.cut_off = set()
    load(fleet, 4)


def lose_sent(fleet: Fleet) -> None:
    """Nodes hear the others, but what they send is lost; n0 is a seed."""
    fleet.muted = {'n0', *fleet.rng.sample(sorted(fleet.nodes), 5)}
    load(fleet, 36)
    fleet.muted = set()
    load(fleet, 4)


def split_views(fleet: Fleet) -> None:
    """Nodes join slowly while a third of all datagrams are lost."""
    fleet.loss = 0.35
    names = fleet.rng.sample(sorted(fleet.nodes), 30)
    for name in names:
        fleet.kill(name)
    load(fleet, 2)
    for name in names:
        fleet.start(name)
        load(fleet, fleet.rng.uniform(0, 0.3))
    load(fleet, 4)


FAULTS = {
    'killed': kill_some,
    'frozen': freeze_some,
    'restarted': restart_all,
    'zone_cut': cut_zone,
    'random_cut': cut_random,
    'minority_restarted': restart_in_minority,
    'sent_lost': lose_sent,
    'views': split_views,
}


@pytest.mark.parametrize('fault', FAULTS)
def test_fleet_stays_below_rate(fault) -> None:
    """Guards against a cold backend that gets more than it can take.

    New flows are counted over all nodes in every sliding second.
    """
    fleet = build_fleet(1, 64, 0.05, 'abc')
    load(fleet, 4)
    before = fleet.forward_counts.total
    assert before
    FAULTS[fault](fleet)
    assert fleet.forward_counts.total > before
    assert fleet.forward_counts.worst <= RATE

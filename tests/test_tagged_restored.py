"""Fleets whose platform is restored from an older copy.

Revisions are then given out again. The operator and the backends write again
what was lost, nodes do not.
"""

import pytest

from tests.taggedfleet import Fleet
from tests.test_tagged_fleet import BOUND_S, build_fleet, check_in_force

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

"""Slots that are kept free for more urgent classes."""

import random

import pytest

from apricottally.model import Urgency
from apricottally.slotreserve import SlotReserve
from tests.owner import Owner, build_backends

SLOTS = 8


def build_reserve(urgent: float, background: float, run_s: float):
    """Return a reserve after 20 s of arrivals.

    `urgent` and `background` are the demand in slots. Urgent flows run 0.1 s,
    background flows `run_s`.
    """
    reserve = SlotReserve()
    for urgency, demand, mean in (
        (Urgency.urgent, urgent, 0.1),
        (Urgency.background, background, run_s),
    ):
        for _ in range(round(demand > 0) * 10):
            reserve.record_run(urgency, mean)
    for step in range(2000):
        now = step / 100
        for urgency, rate in (
            (Urgency.urgent, urgent / 0.1),
            (Urgency.background, background / run_s),
        ):
            before = int(rate * step / 100)
            for _ in range(int(rate * (step + 1) / 100) - before):
                reserve.record_arrival(urgency, now)
    return reserve


@pytest.mark.parametrize(
    ('urgent', 'background', 'run_s', 'limit'),
    [
        (2.5, 16, 2, 3),
        (2.5, 4, 2, 5),
        (2.5, 16, 0.1, 3),
        (2.5, 16, 0.03, 8),
        (7.5, 16, 2, 0),
        (20, 16, 2, 0),
        (0, 16, 2, 8),
    ],
)
def test_limit(urgent, background, run_s, limit) -> None:
    """Background work must leave the slots that urgent work needs."""
    reserve = build_reserve(urgent, background, run_s)
    assert reserve.compute_limit(Urgency.background, SLOTS, 20) == limit
    reserve.slots_in_use = [1, 0, limit]
    assert not reserve.has_room(Urgency.background, SLOTS, 20)
    assert reserve.has_room(Urgency.urgent, SLOTS, 20)
    if limit:
        reserve.slots_in_use = [1, 1, limit - 2]
        assert reserve.has_room(Urgency.background, SLOTS, 20)


def test_past_demand_decays() -> None:
    """Slots must not stay reserved for urgent demand that has ended."""
    reserve = build_reserve(7.5, 16, 2)
    assert reserve.compute_limit(Urgency.background, SLOTS, 20) == 0
    assert reserve.compute_limit(Urgency.background, SLOTS, 70) == 7
    assert reserve.compute_limit(Urgency.background, SLOTS, 120) == 7


@pytest.mark.parametrize('seed', range(5))
def test_first_run_does_not_dominate(seed: int) -> None:
    """The mean run time must not be dominated by the first run."""
    rng = random.Random(seed)
    reserve = SlotReserve()
    for _ in range(30):
        reserve.record_run(Urgency.urgent, rng.expovariate(10))
    assert reserve.mean_run_s[0] == pytest.approx(0.1, abs=0.05)


def test_long_background_runs_leave_slots() -> None:
    """An owner must admit urgent work while long background runs last.

    It waits if background runs may fill all slots.
    """
    owner = Owner(build_backends(2))
    for port in range(100, 130):
        number = owner.open(port)
        owner.tick(0.1)
        owner.close(port, number)
    for port in range(10):
        owner.syn(port, 'sheet')
    reserve = next(iter(owner.state.admissions.shards.values())).reserve
    assert reserve.slots_in_use[2] == 3
    assert len(owner.syn(200)) == 1
    owner.tick(40)
    assert reserve.slots_in_use == [0, 0, 0]

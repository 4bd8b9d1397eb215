"""A short run of the fault soak, and each seed that ever failed."""

from pathlib import Path

import pytest

from tests.asyncruns import run
from tests.faults.__main__ import run as run_seed
from tests.faults.world import World
from tests.fleetstore import FleetStore


@pytest.mark.parametrize('seed', [1, 2])
def test_short_soak(seed) -> None:
    """Guards against broken promises under two overlapping faults."""
    ledger, _ = run(run_seed(seed, 4, 3))
    assert not ledger.broken
    assert ledger.outcomes['ok'] > 10


def test_two_soaks_on_one_machine() -> None:
    """Guards against runs of one seed that take each other's ports."""

    async def open_both() -> None:
        store = FleetStore(endpoint=('127.0.0.1', 9))
        first, second = (World(1, 1, Path(), store) for _ in range(2))
        assert first.port != second.port
        await first.close()
        await second.close()

    run(open_both())

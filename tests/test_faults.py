"""Short runs of the fault soak, including each seed that has ever failed."""

from pathlib import Path

import pytest

from tests.asyncruns import run
from tests.fakestore import FakeStore
from tests.faults.__main__ import run_seed
from tests.faults.deployment import Deployment


@pytest.mark.parametrize('seed', [1, 2])
def test_short_soak(seed) -> None:
    """Flows and requests must survive overlapping faults."""
    results, _ = run(run_seed(seed, 4, 3))
    assert not results.violations
    assert results.outcomes['ok'] > 10


def test_two_soaks_on_one_machine() -> None:
    """Concurrent runs with the same seed must not use the same ports."""

    async def open_both() -> None:
        store = FakeStore(endpoint=('127.0.0.1', 9))
        first, second = (Deployment(1, 1, Path(), store) for _ in range(2))
        assert first.base_port != second.base_port
        await first.close()
        await second.close()

    run(open_both())

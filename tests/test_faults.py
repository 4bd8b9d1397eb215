"""A short run of the fault soak, and each seed that ever failed."""

import pytest

from tests.asyncruns import run
from tests.faults.__main__ import run as run_seed


@pytest.mark.parametrize('seed', [1, 2])
def test_short_soak(seed) -> None:
    """Guards against broken promises under two overlapping faults."""
    ledger, _ = run(run_seed(seed, 4, 3))
    assert not ledger.broken
    assert ledger.outcomes['ok'] > 10

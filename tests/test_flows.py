"""Open flows survive changes that reach the nodes one by one."""

import pytest

from bench import flows

OPENED = 300


@pytest.mark.parametrize('seed', [1, 2])
def test_changes_break_no_flow(
    seed: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a stalled line by a planned change or a killed node.

    The baselines guard against changes that would break nothing anyway.
    """
    monkeypatch.setattr(flows, 'FLOWS_PER_STEP', 5)
    trial = flows.Trial(seed)
    trial.run()
    assert trial.totals.opened > OPENED
    assert trial.totals.broken == 0
    for baseline in trial.baselines.values():
        assert baseline.broken > OPENED // 10

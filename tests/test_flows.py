"""Open flows survive changes that reach the nodes at different times."""

import pytest

from bench import flows

OPENED = 300


@pytest.mark.parametrize('seed', [1, 2])
def test_changes_break_no_flow(
    seed: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A planned change or a killed node must not break an open flow.

    The hash-based baselines must lose flows under the same changes. Otherwise
    the changes would not show that the balancer protects its flows.
    """
    monkeypatch.setattr(flows, 'FLOWS_PER_STEP', 5)
    trial = flows.FlowScenario(seed)
    trial.run()
    assert trial.totals.opened > OPENED
    assert trial.totals.broken == 0
    for baseline in trial.baselines.values():
        assert baseline.broken > OPENED // 10

"""Short long-runs: each fault alone, and any two together.

Guard against lost, doubled, crossed and misrouted work, refusals that ran,
flows broken by planned changes or killed balancers, and views that do not
agree again.
"""

import itertools

import pytest

from soak.audit import UNEXPLAINED, find_cause
from soak.faults import BY_NAME
from soak.runs import Run, RunError
from soak.world import Interval, World
from standins.workload import BrokenFlow

ALONE_STEPS = 20.0
PAIR_STEPS = 12.0


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('fault', sorted(BY_NAME))
def test_one_fault(fault: str, seed: int) -> None:
    print('seed', seed)
    findings = Run(seed, [fault]).play(ALONE_STEPS)
    assert findings.tally['completed'] > 100


@pytest.mark.parametrize(
    'pair',
    list(itertools.combinations(sorted(BY_NAME), 2)),
    ids='+'.join,
)
def test_two_faults_together(pair: tuple[str, str]) -> None:
    seed = sum(map(ord, ''.join(pair)))
    print('seed', seed)
    Run(seed, pair).play(PAIR_STEPS)


def test_broken_promise_ends_a_run() -> None:
    """Guards against an audit that never fails: a request is run twice."""
    run = Run(1, ['change'])

    def run_twice() -> None:
        for host in run.world.hosts.values():
            host.server.journal += host.server.journal[-1:]

    run.world.mesh.timeline.schedule(40, run_twice)
    with pytest.raises(RunError, match='ran twice'):
        run.play(20)


@pytest.mark.parametrize(
    ('crashed_at', 'cut_at', 'cause'),
    [(5, None, 'crash'), (None, 7, 'cut'), (1, 1, UNEXPLAINED)],
)
def test_broken_flow_has_a_cause(crashed_at, cut_at, cause) -> None:
    """Guards against broken flows that faults elsewhere or before excuse."""
    world = World(1)
    world.crashes = {'10.2.0.9': [6]}
    if crashed_at is not None:
        world.crashes['10.2.0.1'] = [crashed_at]
    if cut_at is not None:
        world.cuts = [Interval(cut_at, cut_at + 1)]
    flow = BrokenFlow('request', started_s=4, ended_s=8)
    assert find_cause(world, flow, '10.2.0.1') == cause


def test_unexplained_break_ends_a_run(monkeypatch) -> None:
    """Guards against an audit that lets any break pass once one is allowed."""
    monkeypatch.setattr('soak.audit.find_cause', lambda *args: UNEXPLAINED)
    with pytest.raises(RunError, match='without a cause'):
        Run(1, ['crash']).play(20)


@pytest.mark.parametrize('seed', [5, 6])
def test_same_seed_same_run(seed: int) -> None:
    """Guards against a failure that its seed does not repeat."""
    tallies = [Run(seed, ['kill', 'drain']).play(10).tally for _ in range(2)]
    assert tallies[0] == tallies[1]

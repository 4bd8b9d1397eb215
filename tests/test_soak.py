"""Short soak runs with each fault alone and with every pair of faults.

They detect requests that are lost, run twice, answered with another request's
answer, sent to the wrong service or run although refused; flows broken by
planned changes or killed balancers; and views that still differ afterwards.
"""

import itertools

import pytest

from soak.audit import UNEXPLAINED, find_cause
from soak.faults import FAULTS_BY_NAME
from soak.runs import Run, RunError
from soak.simulation import Interval, Simulation
from standins.workload import BrokenFlow

SINGLE_FAULT_S = 20.0
FAULT_PAIR_S = 12.0


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('fault', sorted(FAULTS_BY_NAME))
def test_one_fault(fault: str, seed: int) -> None:
    print('seed', seed)
    findings = Run(seed, [fault]).execute(SINGLE_FAULT_S)
    assert findings.tally['completed'] > 100


@pytest.mark.parametrize(
    'pair',
    list(itertools.combinations(sorted(FAULTS_BY_NAME), 2)),
    ids='+'.join,
)
def test_two_faults_together(pair: tuple[str, str]) -> None:
    seed = sum(map(ord, ''.join(pair)))
    print('seed', seed)
    Run(seed, pair).execute(FAULT_PAIR_S)


def test_broken_promise_ends_a_run() -> None:
    """The audit has to fail when backends run a request twice."""
    run = Run(1, ['change'])

    def run_twice() -> None:
        for host in run.simulation.backend_hosts.values():
            host.server.journal += host.server.journal[-1:]

    run.simulation.mesh.timeline.schedule(40, run_twice)
    with pytest.raises(RunError, match='ran twice'):
        run.execute(20)


@pytest.mark.parametrize(
    ('crashed_at', 'cut_at', 'cause'),
    [(5, None, 'crash'), (None, 7, 'cut'), (1, 1, UNEXPLAINED)],
)
def test_broken_flow_has_a_cause(crashed_at, cut_at, cause) -> None:
    """The audit must not blame another backend's crash or an earlier fault.

    The flow is open from 4 to 8 s; another backend crashes at 6 s.
    """
    simulation = Simulation(1)
    simulation.crashes = {'10.2.0.9': [6]}
    if crashed_at is not None:
        simulation.crashes['10.2.0.1'] = [crashed_at]
    if cut_at is not None:
        simulation.partitions = [Interval(cut_at, cut_at + 1)]
    flow = BrokenFlow('request', started_s=4, ended_s=8)
    assert find_cause(simulation, flow, '10.2.0.1') == cause


def test_unexplained_break_ends_a_run(monkeypatch) -> None:
    """A run that may break flows has to fail if a break has no known cause."""
    monkeypatch.setattr('soak.audit.find_cause', lambda *args: UNEXPLAINED)
    with pytest.raises(RunError, match='without a cause'):
        Run(1, ['crash']).execute(20)


@pytest.mark.parametrize('seed', [5, 6])
def test_same_seed_same_run(seed: int) -> None:
    """Runs with one seed must be equal, or failures cannot be reproduced."""
    tallies = [Run(seed, ['kill', 'drain']).execute(10).tally for _ in range(2)]
    assert tallies[0] == tallies[1]

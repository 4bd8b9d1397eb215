"""Short runs of the fault soak, including each seed that has ever failed."""

import asyncio
import signal
import sys
from pathlib import Path
from typing import NamedTuple

import pytest

from tests.asyncruns import run
from tests.fakestore import FakeStore
from tests.faults import deployment
from tests.faults.__main__ import run_seed
from tests.faults.checks import Checks, Opening
from tests.faults.deployment import Deployment
from tests.faults.hosts import RunResults
from tests.faults.mixes import MIXES
from tests.faults.touch import Disturbances

# The faults end within 30 s after the last one has begun.
SOAK_TIMEOUT_S = 90


@pytest.mark.parametrize('seed', [1, 2])
def test_short_soak(seed) -> None:
    """Flows and requests must survive overlapping faults."""
    results, _ = run(run_seed(seed, 4, 3))
    assert not results.violations
    assert results.outcomes['ok'] > 10


@pytest.mark.parametrize('seed', range(60, 60 + len(MIXES)))
def test_soak_of_each_mix(seed) -> None:
    """Rules must hold while faults come in the mixes that test them."""
    results, _ = run(run_seed(seed, 8, 5), SOAK_TIMEOUT_S)
    assert not results.violations
    assert results.outcomes['ok'] > 100


@pytest.mark.parametrize('seed', [91, 92])
def test_release_while_reader_is_cut_off(seed) -> None:
    """Guards against new flows to backends that drain (users' DRAIN record).

    The zones are those of the deployment in the record, lianfeng-desk.
    """
    names = ['release_while_reader_is_cut']
    results, _ = run(run_seed(seed, 1, 6, names, 'aabbcd'), SOAK_TIMEOUT_S)
    assert not results.violations
    assert results.outcomes['ok'] > 100


class Service(NamedTuple):
    """What the checks read of a backend."""

    service: str
    drained_at: float | None = None
    name: str = 'i-1'
    alive: bool = True
    disturbances: Disturbances = Disturbances()


@pytest.mark.parametrize(
    ('service', 'drained_s', 'judged', 'found'),
    [
        ('core', None, True, ''),
        ('proof', None, True, 'CONFIG'),
        ('proof', None, False, ''),
        ('else', None, False, 'ROUTE'),
        ('core', 2.9, True, ''),
        ('core', 3.1, True, 'DRAIN'),
        ('core', 3.1, False, ''),
    ],
)
def test_checks_of_openings(service, drained_s, judged, found) -> None:
    """Guards against a soak that passes although a rule is broken."""

    async def check() -> list[str]:
        checks = Checks([])
        now = asyncio.get_running_loop().time()
        moved = [(now - 9, 'proof'), (now - 4, 'core')]
        checks.services[443] = moved
        drained_at = None if drained_s is None else now - drained_s
        backend = Service(service, drained_at)
        opening = Opening(443, now, 'n', judged)
        checks.check_opening(backend, opening, 'request')
        return checks.violations

    rules = {line.partition(':')[0] for line in run(check())}
    assert rules == ({found} if found else set())


@pytest.mark.parametrize(
    ('disturbed', 'found'),
    [('', 1), ('node', 0), ('store', 0), ('links', 0), ('planned', 1)],
)
def test_checks_of_resets(disturbed, found) -> None:
    """Guards against resets that are excused, or counted without reason.

    Those after planned work count; those of a disturbed node do not.
    """

    async def check() -> list[str]:
        checks = Checks([])
        checks.services[443] = [(0, 'core')]
        checks.nodes['n'] = Disturbances()
        checks.planned_work['n'] = Disturbances()
        parts = {
            'node': checks.nodes['n'],
            'planned': checks.planned_work['n'],
            'store': checks.store,
            'links': checks.links,
        }
        if disturbed:
            parts[disturbed].mark()
        checks.check_reset(Service('core'), 'n', (443, 1), 'request')
        return checks.violations

    assert len(run(check())) == found


@pytest.mark.parametrize(
    ('spans', 'found'),
    [((0, 0.2, 0.6), 0), ((0, 2.1), 0), ((0, 0.2, 2.1), 1)],
)
def test_checks_of_directions(spans, found) -> None:
    """Guards against packets that go to wrong backends and meet no reset."""

    async def check() -> list[str]:
        checks = Checks([])
        checks.services[443] = [(0, 'core')]
        checks.nodes['n'] = Disturbances()
        checks.check_direction(
            Service('core'), 'n', (443, 1), 'request', list(spans)
        )
        return checks.violations

    assert len(run(check())) == found


@pytest.mark.parametrize('seed', [731, 732])
def test_short_soak_of_restored_store(seed) -> None:
    """Processes must keep up with a store that comes back from a copy."""
    results, _ = run(run_seed(seed, 3, 3, ['restore_store', 'kill']))
    assert not results.violations
    assert results.outcomes['ok'] > 10


@pytest.mark.parametrize(
    'value', [b'[' * 10_000, b'\xff', b'7', b'{"seq-no": "first"}']
)
def test_entry_of_another_writer_is_no_record(value) -> None:
    """Guards against a soak that ends in an error of its own."""
    store = FakeStore()
    store.put_server('i-7', 3)
    assert store.count_records('i-7') == 3
    store.put('servers/i-7', value)
    assert store.count_records('i-7') == 0


def test_two_soaks_on_one_machine() -> None:
    """Concurrent runs with the same seed must not use the same ports."""

    async def open_both() -> None:
        store = FakeStore(endpoint=('127.0.0.1', 9))
        first, second = (Deployment(1, 1, Path(), store) for _ in range(2))
        assert first.base_port != second.base_port
        await first.close()
        await second.close()

    run(open_both())


def test_hanging_process_is_reported(monkeypatch) -> None:
    """A node that does not exit must be reported with its state and ended.

    Without them, a failure that shows once cannot be traced.
    """
    monkeypatch.setattr(deployment, 'GRACE_PERIOD_S', 0.5)
    script = (
        'import signal, time; signal.signal(signal.SIGTERM, signal.SIG_IGN); '
        'print(flush=True); time.sleep(60)'
    )

    async def stop_hanging_node() -> None:
        store = FakeStore(endpoint=('127.0.0.1', 9))
        opened = Deployment(1, 1, Path(), store)
        node = opened.nodes[0]
        node.process = await asyncio.create_subprocess_exec(
            sys.executable, '-c', script, stdout=asyncio.subprocess.PIPE
        )
        await node.process.stdout.readline()
        results = RunResults()
        await node.stop(results)
        assert node.process.returncode == -signal.SIGABRT
        assert len(results.violations) == 1
        assert 'S (sleeping)' in results.violations[0]
        await opened.close()

    run(stop_hanging_node())

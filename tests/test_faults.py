"""Short runs of the fault soak, including each seed that has ever failed."""

import asyncio
import signal
import sys
from pathlib import Path

import pytest

from tests.asyncruns import run
from tests.fakestore import FakeStore
from tests.faults import deployment
from tests.faults.__main__ import run_seed
from tests.faults.deployment import Deployment
from tests.faults.hosts import RunResults


@pytest.mark.parametrize('seed', [1, 2])
def test_short_soak(seed) -> None:
    """Flows and requests must survive overlapping faults."""
    results, _ = run(run_seed(seed, 4, 3))
    assert not results.violations
    assert results.outcomes['ok'] > 10


@pytest.mark.parametrize('seed', [731, 732])
def test_short_soak_of_restored_store(seed) -> None:
    """Processes must keep up with a store that comes back from a copy."""
    results, _ = run(run_seed(seed, 3, 3, ['restore_store', 'kill']))
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

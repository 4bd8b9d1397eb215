"""The clock of the daemons' event loop."""

import asyncio
import time
from types import SimpleNamespace

import pytest
from fleetnode import process

from apricottally import daemon, eventloop

SUSPENDED_S = 3.0
# What a daemon reads of its settings before its loop runs.
SETTINGS = SimpleNamespace(log=SimpleNamespace(level='info'))


def test_suspended_time_counts(monkeypatch) -> None:
    """Guards against records that stay young while the machine is suspended.

    The usual clock stands still then. A node that wakes would take its records
    for current, and an answer from before for a new one.
    """
    read = time.clock_gettime
    suspended_s = {time.CLOCK_BOOTTIME: 0.0}
    monkeypatch.setattr(
        time, 'clock_gettime', lambda clock: read(clock) + suspended_s[clock]
    )

    async def measure() -> float:
        loop = asyncio.get_running_loop()
        before = loop.time()
        suspended_s[time.CLOCK_BOOTTIME] = SUSPENDED_S
        return loop.time() - before

    assert eventloop.run(measure()) >= SUSPENDED_S


async def name_loop(*_) -> str:
    """Return the class of the running loop in place of an exit status."""
    return type(asyncio.get_running_loop()).__name__


@pytest.mark.parametrize(
    ('module', 'arguments'),
    [(process, ()), (daemon, (['--settings', 'node.toml'],))],
    ids=['platform', 'daemon'],
)
def test_daemons_use_this_clock(module, arguments, monkeypatch) -> None:
    """Guards against a daemon that runs in the usual event loop."""
    monkeypatch.setattr(module, 'run', name_loop)
    monkeypatch.setattr(module, 'load_settings', lambda *_: SETTINGS)
    monkeypatch.setattr(daemon, 'start_logging', lambda *_: None)
    with pytest.raises(SystemExit) as exit_info:
        module.main(*arguments)
    assert exit_info.value.code == eventloop.SuspensionAwareEventLoop.__name__

"""Command-line tools, started as modules as a user starts them."""

import runpy
import signal
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from types import ModuleType

import pytest

from tests.conftest import list_failing

ROOT = Path(__file__).resolve().parent.parent


def start(monkeypatch, module: str, *arguments: str) -> object:
    """Run a module as `python -m` does; return its exit status or message."""
    monkeypatch.setattr('sys.argv', [module, *arguments])
    monkeypatch.delitem(sys.modules, f'{module}.__main__', raising=False)
    with pytest.raises(SystemExit) as ended:
        runpy.run_module(module, run_name='__main__')
    return ended.value.code


@pytest.mark.parametrize(
    ('module', 'arguments'),
    [
        ('soak', ('--steps', '-1')),
        ('soak', ('--steps', '0')),
        ('soak', ('--seeds', 'x')),
        ('tests.faults', ('--runs', '0')),
        ('tests.faults', ('--seconds', '-5')),
    ],
)
def test_invalid_count_is_refused(
    monkeypatch, capsys, module, arguments
) -> None:
    """An invalid count must not lead to an empty run that reports success."""
    assert start(monkeypatch, module, *arguments) == 2
    shown = capsys.readouterr()
    assert arguments[0] in shown.err
    assert 'passed' not in shown.out


def test_package_starts_as_module(monkeypatch, capsys) -> None:
    """`python -m apricottally` has to start the operators' tool."""
    assert start(monkeypatch, 'apricottally', '--help') == 0
    assert 'publish' in capsys.readouterr().out


def test_reload_signal_during_load(monkeypatch) -> None:
    """A SIGHUP during the imports must not end the process (status 129)."""
    loaded = []

    class Process(ModuleType):
        def __getattr__(self, name: str):
            loaded.append(signal.getsignal(signal.SIGHUP))
            return int

    monkeypatch.setitem(
        sys.modules, 'fleetnode.process', Process('fleetnode.process')
    )
    monkeypatch.setattr(sys, 'path', sys.path.copy())
    with restore_handler(signal.SIGHUP):
        runpy.run_path(str(ROOT / 'platform' / 'main.py'), run_name='__main__')
    assert signal.SIG_IGN in loaded


@contextmanager
def restore_handler(number: signal.Signals) -> Iterator[None]:
    before = signal.getsignal(number)
    yield
    signal.signal(number, before)


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        ('', ()),
        ('tests/a.py::b\n  seen     once\n  issue    17\n', ()),
        ('tests/a.py::b\n  ci       must fail\n', ('tests/a.py::b',)),
        (
            'soak\n  seen  x\n\ntests/a.py::c[1\n  ci must fail',
            ('tests/a.py::c[1',),
        ),
    ],
)
def test_known_failures(text, expected) -> None:
    """Guards against a test that CI passes over although it is not listed."""
    assert list_failing(text) == expected

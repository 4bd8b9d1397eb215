"""Tools as a new user starts them."""

import runpy

import pytest


def start(monkeypatch, module: str, *arguments: str) -> object:
    """Run a module as `python -m` does; return its exit status or message."""
    monkeypatch.setattr('sys.argv', [module, *arguments])
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
def test_useless_count_is_refused(
    monkeypatch, capsys, module, arguments
) -> None:
    """Guards against a run of nothing that says it passed."""
    assert start(monkeypatch, module, *arguments) == 2
    shown = capsys.readouterr()
    assert arguments[0] in shown.err
    assert 'passed' not in shown.out


def test_module_is_operators_tool(monkeypatch, capsys) -> None:
    """Guards against a package that cannot be started as a module."""
    assert start(monkeypatch, 'apricottally', '--help') == 0
    assert 'publish' in capsys.readouterr().out

"""Validation of the daemon's settings file."""

import pytest

from apricottally.errors import SettingsError
from apricottally.settings import load_settings

MINIMAL = """
[node]
name = "node-1"
zone = "sv-a"
ip = "127.0.1.1"
gateway = "127.0.9.1:6080"
[platform]
endpoint = "127.0.8.1:2379"
"""


def load(tmp_path, text: str):
    path = tmp_path / 'node.toml'
    path.write_text(text)
    return load_settings(path)


def list_setting_faults(tmp_path, text: str) -> dict[str, str]:
    with pytest.raises(ExceptionGroup) as caught:
        load(tmp_path, text)
    errors = caught.value.exceptions
    assert all(isinstance(error, SettingsError) for error in errors)
    assert len({error.path for error in errors}) == len(errors)
    return {error.path: error.problem for error in errors}


def test_defaults(tmp_path) -> None:
    """Defaults must be the documented ones."""
    settings = load(tmp_path, MINIMAL)
    node = settings.node
    ports = (node.packet_port, node.peer_port)
    assert ports == (6080, 6081)
    assert (node.control_port, node.monitoring_port) == (6082, 6083)
    assert node.gateway == ('127.0.9.1', 6080)
    assert node.seeds == ()
    assert settings.platform.endpoint == ('127.0.8.1', 2379)
    assert settings.log.level == 'info'


@pytest.mark.parametrize(
    ('old', 'new', 'path', 'words'),
    [
        ('name = "node-1"', '', 'node.name', 'missing; allowed: 1 to 63'),
        ('name = "node-1"', 'name = "a b"', 'node.name', 'letters'),
        ('name = "node-1"', 'name = 7', 'node.name', 'letters'),
        ('127.0.1.1', '127.0.1.x', 'node.ip', 'allowed: IPv4 address'),
        ('127.0.1.1', '::1', 'node.ip', 'allowed: IPv4 address'),
        ('127.0.9.1:6080', '127.0.9.1', 'node.gateway', '"IP:PORT"'),
        ('127.0.9.1:6080', '127.0.9.1:0', 'node.gateway', '1 to 65535'),
        ('127.0.9.1:6080', '127.0.9.1: 7', 'node.gateway', '"IP:PORT"'),
        ('127.0.9.1:6080', '127.0.9.1:65536', 'node.gateway', '65535'),
        ('127.0.9.1:6080', '127.0.9.256:1', 'node.gateway', 'IPv4'),
        ('127.0.8.1:2379', 'etcd:2379', 'platform.endpoint', 'IPv4'),
        ('[platform]', 'peer_port = 0\n[platform]', 'node.peer_port', 'UDP'),
        ('[platform]', 'peer_port = true\n[platform]', 'node.peer_port', 'UDP'),
        ('[platform]', 'peer_port = 6080\n[platform]', 'node.peer_port', 'UDP'),
        (
            '[platform]',
            'control_port = 6083\n[platform]',
            'node.monitoring_port',
            'TCP',
        ),
        ('[platform]', 'seeds = ["x"]\n[platform]', 'node.seeds[0]', 'IP:PORT'),
        ('[platform]', 'seeds = [1]\n[platform]', 'node.seeds[0]', 'IP:PORT'),
        ('[platform]', 'seeds = "x"\n[platform]', 'node.seeds', 'list'),
        ('[platform]', 'colour = 1\n[platform]', 'node.colour', 'unknown key'),
        ('[platform]', '[log]\nlevel = "x"\n[platform]', 'log.level', 'error'),
        ('[platform]', '[shop]\n[platform]', 'shop', 'unknown table'),
        ('[platform]', 'log = 3\n[platform]', 'node.log', 'unknown key'),
        ('[node]', 'log = 3\n[node]', 'log', 'expected a table'),
        ('[node]', '[node', '$', 'line 2'),
    ],
)
def test_fault(tmp_path, old, new, path, words) -> None:
    """An invalid value must be rejected with its key path and a reason."""
    faults = list_setting_faults(tmp_path, MINIMAL.replace(old, new, 1))
    assert list(faults) == [path]
    assert words in faults[path]


def test_all_faults_at_once(tmp_path) -> None:
    """All faults of a file must be reported at once."""
    text = '[node]\nip = "x"\nseeds = ["y", 3]\nhue = 1\n[log]\nlevel = 1\n'
    assert set(list_setting_faults(tmp_path, text)) == {
        'node.name',
        'node.zone',
        'node.ip',
        'node.gateway',
        'node.seeds[0]',
        'node.seeds[1]',
        'node.hue',
        'platform.endpoint',
        'log.level',
    }


def test_unreadable_file(tmp_path) -> None:
    """A missing file must be reported as a fault, without a traceback."""
    with pytest.raises(ExceptionGroup) as caught:
        load_settings(tmp_path / 'absent.toml')
    assert 'cannot be read' in str(caught.value.exceptions[0])

"""The daemon as a process: start, failed start, signals and exit status."""

import contextlib
import json
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from urllib import error, request

import pytest

from apricottally.addresses import CONTROL_PORT, MONITORING_PORT, PACKET_PORT
from tests.nodes import loopback_ip
from tests.owner import WALL_S, Owner

START_TIMEOUT_S = 15
STOP_TIMEOUT_S = 15
# No process listens on this endpoint.
NO_PLATFORM = '127.0.0.1:9'


def write_settings(folder: Path, extra: str = '') -> Path:
    path = folder / 'node.toml'
    path.write_text(
        f'[node]\nname = "n1"\nzone = "sv-a"\nip = "{loopback_ip()}"\n'
        f'gateway = "127.0.0.1:6090"\n{extra}\n'
        f'[platform]\nendpoint = "{NO_PLATFORM}"\n'
    )
    return path


@contextlib.contextmanager
def start_daemon(path: Path) -> Iterator[subprocess.Popen]:
    command = (
        sys.executable,
        '-m',
        'apricottally.daemon',
        '--settings',
        str(path),
    )
    process = subprocess.Popen(command, stderr=subprocess.PIPE, text=True)
    try:
        yield process
    finally:
        process.kill()
        process.communicate()


def fetch_status(path: str) -> int:
    """Return the HTTP status of a monitoring path, 0 without an answer."""
    url = f'http://{loopback_ip()}:{MONITORING_PORT}{path}'
    try:
        with request.urlopen(url, timeout=1) as answer:
            return answer.status
    except error.HTTPError as refused:
        return refused.code
    except OSError:
        return 0


def wait_until_live() -> None:
    deadline = time.monotonic() + START_TIMEOUT_S
    while fetch_status('/live') != 200:
        assert time.monotonic() < deadline
        time.sleep(0.05)


def test_unreachable_platform_at_start(tmp_path: Path) -> None:
    """Without a platform, a node must keep running but not become ready."""
    with start_daemon(write_settings(tmp_path)) as process:
        wait_until_live()
        assert fetch_status('/ready') == 503
        assert process.poll() is None


@pytest.mark.parametrize(('signals', 'status'), [(1, 0), (2, 1)])
def test_sigterm(tmp_path: Path, signals: int, status: int) -> None:
    """One SIGTERM ends the process in time; a second forces an exit."""
    with start_daemon(write_settings(tmp_path)) as process:
        wait_until_live()
        for _ in range(signals):
            process.send_signal(signal.SIGTERM)
            time.sleep(0.3)
        assert process.wait(STOP_TIMEOUT_S) == status


def test_sighup_checks_the_settings(tmp_path: Path) -> None:
    """SIGHUP must validate the settings file and not end the process.

    Operators send SIGHUP to daemons to reload their settings.
    """
    path = write_settings(tmp_path)
    with start_daemon(path) as process:
        wait_until_live()
        path.write_text('[node]\n')
        process.send_signal(signal.SIGHUP)
        time.sleep(0.3)
        assert fetch_status('/live') == 200
        process.send_signal(signal.SIGTERM)
        _, log = process.communicate(timeout=STOP_TIMEOUT_S)
    events = [json.loads(line) for line in log.splitlines()]
    checked = [each for each in events if each['event'] == 'settings_checked']
    assert len(checked) == 1
    assert 'node.name' in checked[0]['fields']['problem']


@pytest.mark.parametrize(
    ('kind', 'port'),
    [
        (socket.SOCK_DGRAM, PACKET_PORT),
        (socket.SOCK_STREAM, CONTROL_PORT),
    ],
)
def test_port_in_use(
    tmp_path: Path, kind: socket.SocketKind, port: int
) -> None:
    """A port that another process uses must give a message, no traceback."""
    with socket.socket(socket.AF_INET, kind) as other_socket:
        other_socket.bind((loopback_ip(), port))
        if kind is socket.SOCK_STREAM:
            other_socket.listen()
        with start_daemon(write_settings(tmp_path)) as process:
            _, log = process.communicate(timeout=START_TIMEOUT_S)
    assert process.returncode == 3
    assert 'the port is in use' in log
    assert 'Traceback' not in log


def test_all_faults_of_the_settings(tmp_path: Path) -> None:
    """One start must report every fault of the settings file."""
    path = write_settings(tmp_path, 'peer_port = 0\nspeed = 1')
    with start_daemon(path) as process:
        _, log = process.communicate(timeout=START_TIMEOUT_S)
    assert process.returncode == 2
    assert 'node.peer_port' in log
    assert 'node.speed' in log


@pytest.mark.parametrize('jump_s', [-86_400, 86_400])
def test_wall_clock_jump(jump_s: int) -> None:
    """Timeouts and slow start must not depend on the wall clock."""
    owner = Owner()
    number = owner.open(1)
    owner.jump_wall_clock(WALL_S + jump_s)
    assert owner.load(number).busy == 1
    assert owner.admit(2) in {0, 1}
    assert owner.count('refused') == 0

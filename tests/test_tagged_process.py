"""The program as a process, log output, snapshot transfer and probes."""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
from contextlib import suppress
from pathlib import Path

import pytest

from apricottally.errors import PullError
from apricottally.tagged.dissemination import build_snapshot
from apricottally.tagged.effects import ProbeBackend
from apricottally.tagged.events import ProbeEnded
from apricottally.tagged.httpresponder import open_http_responder
from apricottally.tagged.jsonlog import MAX_PENDING_BYTES, JsonLog
from apricottally.tagged.messages import SnapshotRequest
from apricottally.tagged.networkcalls import NetworkCalls
from apricottally.tagged.snapshots import fetch_snapshot, open_snapshot_server
from tests.asyncruns import iterate_sequentially, run, wait_until
from tests.fakestore import open_fake_store
from tests.taggednode import TaggedNode, build_backend, rev

# Log lines written while the reader is blocked.
LINE_COUNT = 20_000
ROOT = Path(__file__).resolve().parent.parent
SYN = bytes.fromhex(
    '02 7f000001 c6120001 01bb 9c41 a1b2c3d5 0000 11223344 00000000 00000000'
)
SECOND_SYN = SYN.replace(bytes.fromhex('9c41'), bytes.fromhex('9c42'))
EXPECTED_EVENTS = (
    'started',
    'reloaded',
    'chosen',
    'zone_evacuated',
    'stopping',
)


def find_ports(count: int) -> list[int]:
    opened = [socket.socket() for _ in range(count)]
    for one in opened:
        one.bind(('127.0.0.1', 0))
    ports = [one.getsockname()[1] for one in opened]
    for one in opened:
        one.close()
    return ports


def write_settings(path: Path, ports: list[int], store: int) -> None:
    packets, ready, inner = ports[:3]
    path.write_text(
        f"""
node-name = "front-a-1"
ip = "127.0.0.1"
zone = "a"
internal-port-range = [{inner}, {inner}]
[listen]
datagram-addr = "127.0.0.1:{packets}"
ready = "127.0.0.1:{ready}"
[platform]
address = "127.0.0.1:{store}"
"""
    )


async def wait_until_ready(port: int) -> bytes:
    async for _ in iterate_sequentially(range(400)):
        try:
            line = await request_readiness(port)
        except OSError:
            line = b''
        if b'200' in line:
            return line
        await asyncio.sleep(0.02)
    return b''


async def request_readiness(port: int) -> bytes:
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(b'GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n')
    line = await reader.readline()
    writer.close()
    return line


async def request_metrics(port: int) -> str:
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(b'GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n')
    head = await reader.readuntil(b'\r\n\r\n')
    length = int(head.partition(b'Content-Length: ')[2].split()[0])
    body = await reader.readexactly(length)
    writer.close()
    return body.decode()


async def wait_for_metric(port: int, line: str) -> None:
    """Wait up to 3 s until a metric has the value in the line."""
    text = ''
    async for _ in iterate_sequentially(range(60)):
        text = await request_metrics(port)
        if line in text:
            return
        await asyncio.sleep(0.05)
    assert line in text


async def start(settings: Path, **env: str) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        'platform/main.py',
        cwd=ROOT,
        env=os.environ | {'APRICOTTALLY_CONFIG': str(settings)} | env,
        stdout=asyncio.subprocess.PIPE,
    )


def test_modules_loaded_at_start() -> None:
    """Guards against imports that make a start longer and are not used.

    After a power failure, each user waits for the start of the nodes.
    """
    script = (
        "import sys; sys.path[:0] = ['platform', '.']; "
        "import fleetnode.process; print(' '.join(sys.modules))"
    )
    found = subprocess.run(
        [sys.executable, '-c', script],
        cwd=ROOT,
        capture_output=True,
        check=True,
        text=True,
    )
    loaded = {name.split('.')[0] for name in found.stdout.split()}
    loaded |= set(found.stdout.split())
    unused = {
        'absl',
        'aioprometheus',
        'apricottally.gue',
        'apricottally.packet',
        'apricottally.reducer',
        'email',
        'google',
        'grpclib',
        'http',
        'matplotlib',
        'multiprocessing',
        'orjson',
        'xxhash',
    }
    assert not loaded & unused


@pytest.mark.parametrize('signum', [signal.SIGTERM, signal.SIGINT])
def test_stop_while_loading(tmp_path, signum) -> None:
    """Guards against a stop request that ends a loading program by signal.

    The program has opened nothing yet and must exit with status 0. Its package
    is replaced by one that never finishes loading.
    """
    shutil.copy(ROOT / 'platform' / 'main.py', tmp_path)
    package = tmp_path / 'fleetnode'
    package.mkdir()
    (package / '__init__.py').touch()
    (package / 'process.py').write_text(
        "import time\nprint('loading', flush=True)\ntime.sleep(60)\n"
    )

    async def scenario() -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(tmp_path / 'main.py'),
            stdout=asyncio.subprocess.PIPE,
        )
        assert process.stdout is not None
        await process.stdout.readline()
        process.send_signal(signum)
        assert await process.wait() == 0

    run(scenario())


def test_reload_while_exiting(tmp_path) -> None:
    """Guards against a SIGHUP during the exit that changes the status.

    The event loop restores the default actions of signals when it closes.
    """

    async def scenario() -> None:
        ports = find_ports(4)
        async with open_fake_store() as fake:
            settings = tmp_path / 'node.toml'
            write_settings(settings, ports, fake.endpoint[1])
            process = await start(settings)
            assert process.stdout is not None
            await process.stdout.readline()
            process.send_signal(signal.SIGTERM)
            while process.returncode is None:
                # send_signal() of asyncio would take the exit status.
                with suppress(ProcessLookupError):
                    os.kill(process.pid, signal.SIGHUP)
                await asyncio.sleep(0.001)
            await process.stdout.read()
            assert process.returncode == 0

    run(scenario())


def test_process_serves_and_stops(tmp_path) -> None:
    """Guards against a program that fails to start, reload or stop.

    It becomes ready, keeps running after SIGHUP, forwards a first packet to the
    backend, refuses one while the zone is evacuated, and exits with status 0
    after SIGTERM.
    """

    async def scenario() -> None:
        backend = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        backend.bind(('127.0.0.1', 0))
        backend.setblocking(False)
        ports = find_ports(4)
        async with open_fake_store() as fake:
            port = backend.getsockname()[1]
            fake.put_server('i-0000000a', address=f'127.0.0.1:{port}')
            route = {
                'name': 'r',
                'host': '198.18.0.1',
                'prefix': '/443/',
                'kind': 'safe',
                'service': 'core',
            }
            fake.put_config(1, [route])
            settings = tmp_path / 'node.toml'
            write_settings(settings, ports, fake.endpoint[1])
            process = await start(settings, METRICS_PORT=str(ports[3]))
            assert await wait_until_ready(ports[1])
            process.send_signal(signal.SIGHUP)
            backend.sendto(SYN, ('127.0.0.1', ports[0]))
            received = await asyncio.get_running_loop().sock_recv(backend, 99)
            assert received[:8] == (10).to_bytes(8, 'big')
            assert received[-4:] == (10).to_bytes(4, 'big')
            text = await request_metrics(ports[3])
            assert 'apricottally_chosen_total{reason="r"} 1' in text
            assert 'apricottally_platform_call_seconds_bucket' in text
            assert 'apricottally_configuration_version 1' in text
            fake.put('op/evacuate/a', b'?')
            await wait_for_metric(ports[3], 'apricottally_evacuated_zones 1')
            backend.sendto(SECOND_SYN, ('127.0.0.1', ports[0]))
            refused = 'apricottally_refused_total{reason="evacuated"} 1'
            await wait_for_metric(ports[3], refused)
            process.send_signal(signal.SIGTERM)
            output, _ = await process.communicate()
            assert process.returncode == 0
            found = [json.loads(line)['event'] for line in output.splitlines()]
            for event in EXPECTED_EVENTS:
                assert event in found
            assert found[-1] == 'stopped'
        backend.close()

    run(scenario())


def test_process_with_faulty_settings(tmp_path) -> None:
    """Guards against a process that starts with invalid settings."""

    async def scenario() -> None:
        settings = tmp_path / 'node.toml'
        settings.write_text('node-name = "x"')
        process = await start(settings)
        output, _ = await process.communicate()
        assert process.returncode == 2
        assert b'ip' in output

    run(scenario())


def test_log_with_blocked_reader() -> None:
    """Guards against a node that blocks on a slow reader of its log.

    Lines beyond the buffer limit are dropped and counted.
    """
    read_end, write_end = os.pipe()
    log = JsonLog(write_end, 'n1')
    for step in range(LINE_COUNT):
        log.write(float(step), 'chosen', {'flow': 'x' * 100})
        log.flush(float(step))
    os.set_blocking(read_end, False)
    first = os.read(read_end, 1 << 20)
    assert first
    rest = b''
    for step in range(30_000, 30_010):
        log.flush(float(step))
        with suppress(BlockingIOError):
            rest += os.read(read_end, 1 << 20)
    assert len(first) + len(rest) <= MAX_PENDING_BYTES + (1 << 17)
    lines = [json.loads(line) for line in (first + rest).splitlines()]
    written = sum(line['event'] == 'chosen' for line in lines)
    dropped = sum(line.get('reader_slow', 0) for line in lines)
    assert written + dropped == LINE_COUNT
    os.close(read_end)
    os.close(write_end)


def test_log_rate_is_bounded() -> None:
    """Guards against a flood of log lines during a flood of flows."""
    read_end, write_end = os.pipe()
    log = JsonLog(write_end, 'n1')
    for _ in range(1000):
        log.write(float(1), 'chosen', {})
    log.write(float(1), 'refused', {})
    log.flush(float(20))
    lines = os.read(read_end, 1 << 20).splitlines()
    events = [json.loads(line)['event'] for line in lines]
    assert events.count('chosen') == 200
    assert events.count('refused') == 1
    assert json.loads(lines[-1])['rate_chosen'] == 800
    os.close(read_end)
    os.close(write_end)


def test_open_connection_at_the_end(caplog) -> None:
    """Guards against a traceback on each shutdown with an open connection.

    The event loop cancels the connection's task when it ends.
    """

    async def scenario() -> None:
        endpoint = ('127.0.0.1', find_ports(1)[0])
        async with open_http_responder(endpoint, {}):
            _, writer = await asyncio.open_connection(*endpoint)
            writer.write(b'GET / HTTP/1.1')
            await asyncio.sleep(0.05)

    run(scenario())
    assert not caplog.records


def test_pull_between_nodes() -> None:
    """Guards against snapshots that arrive altered.

    A node that does not answer must lead to `PullError`.
    """

    async def scenario() -> None:
        source = TaggedNode(3)
        port = find_ports(1)[0]
        endpoint = ('127.0.0.1', port)
        request = SnapshotRequest(rev(5, 2), 3)

        def build(request: SnapshotRequest):
            return build_snapshot(source.state, request, source.now)

        async with open_snapshot_server(endpoint, build):
            fetched = await fetch_snapshot(endpoint, request)
            assert fetched == build(request)
        with pytest.raises(PullError):
            await fetch_snapshot(endpoint, request)

    run(scenario())


@pytest.mark.parametrize(
    ('alive', 'reference', 'expected'),
    [
        (True, True, (True, True, False)),
        (True, False, (True, True, False)),
        (False, True, (False, True, True)),
        (False, False, (False, False, True)),
    ],
)
def test_probe_of_backend(alive, reference, expected) -> None:
    """Guards against a conclusive failure when nothing can be reached.

    If the reference backend does not answer either, the fault may be on this
    node's side. A refused connection must be told apart from silence.
    """

    async def scenario() -> None:
        ports = find_ports(2)
        found: list[ProbeEnded] = []
        opened = zip(ports, (alive, reference), strict=True)
        servers = await asyncio.gather(
            *(
                asyncio.start_server(close_connection, '127.0.0.1', port)
                for port, listens in opened
                if listens
            )
        )
        calls = NetworkCalls(TaggedNode(1).state, None, found.append)
        probed, other = (
            build_backend(index, ip='127.0.0.1', port=port)
            for index, port in enumerate(ports, start=1)
        )
        calls.probe_backend(ProbeBackend(probed, other))
        await wait_until(lambda: found)
        probe = found[0]
        assert (probe.reached, probe.conclusive, probe.refused) == expected
        for server in servers:
            server.close()

    run(scenario())


async def close_connection(reader, writer) -> None:
    writer.close()

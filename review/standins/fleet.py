"""Nodes as separate processes, the routers before them, and the record.

The nodes are started with the command of the deploy file. All addresses are
loopback addresses of one random subnet; ports are free ones.
"""

import asyncio
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
import zlib
from pathlib import Path

from standins.client import Client
from standins.store import Store
from standins.wire import Packet

ROOT = Path(__file__).resolve().parents[2]
ROLE = 'balancer'
PROBE_S = 0.5
GRACE_S = 6.0
DRAIN_S = 3.0
CONFIG_APPLY_S = 3.0
RESTART_S = 0.3
SERVICE_IP = '198.18.0.1'


class CannotRun(Exception):
    """The case could not be set up."""


class Node:
    """One machine with the role of the deploy file."""

    def __init__(self, world, name: str, zone: str, ip: str, port: int) -> None:
        self.world = world
        self.name = name
        self.zone = zone
        self.ip = ip
        self.store_port = port
        self.process: asyncio.subprocess.Process | None = None
        self.misses = 2
        self.wanted = True

    @property
    def in_rotation(self) -> bool:
        return self.misses < 2

    async def start(self) -> None:
        role = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = role['roles'][ROLE]
        path = self.world.folder / f'{self.name}.toml'
        path.write_text(self._settings(role['serves']))
        env = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        env |= role.get('env', {})
        env['METRICS_PORT'] = str(self.world.metrics_port)
        env['APRICOTTALLY_CONFIG'] = str(path)
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        log = (self.world.folder / f'{self.name}.log').open('ab')
        self.process = await asyncio.create_subprocess_exec(
            *role['run'].split(),
            cwd=ROOT,
            env=env,
            stdout=log,
            stderr=log,
            stdin=asyncio.subprocess.DEVNULL,
        )
        log.close()

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def restart_gracefully(self) -> None:
        """SIGTERM, SIGKILL after the grace time, and a start."""
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                await self.process.wait()
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()
        self.world.record(f'node {self.name} exited {self.process.returncode}')
        await asyncio.sleep(RESTART_S)
        await self.start()
        self.world.record(f'node {self.name} started')

    def _settings(self, serves: list[str]) -> str:
        world = self.world
        zones = '\n'.join(f'{zone} = "region"' for zone in world.zones)
        seeds = [f'{node.ip}:{world.control_port}' for node in world.nodes]
        return f"""node-name = "{self.name}"
role = "{ROLE}"
machine-class = "front"
serves = {serves}
ip = "{self.ip}"
zone = "{self.zone}"
region = "region"
internal-port-range = [{world.peer_port},{world.peer_port + 15}]
seeds = {seeds[:3]}
bootstrap = true
loss-counted = false
discovery = "platform"
entry = "advertisement"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","recover","flows","platform"]
hash = "mod"
forwarding-mode = "echo"
[zones]
{zones}
[listen]
datagram-addr = "{self.ip}:{world.packet_port}"
ready = "{self.ip}:{world.ready_port}"
control = "{self.ip}:{world.control_port}"
[limits]
cpu-share = 0.537
cores = 2
memory-mb = 300
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed-lag-s = 3
addr-reuse-s = 2
contact-ms = 4000
ack-timeout-ms = 5000
catch-up-s = 4
drain-ms = {int(DRAIN_S * 1000)}
grace-s = {int(GRACE_S)}
loss-slack-ms = 200
config-apply-ms = {int(CONFIG_APPLY_S * 1000)}
rollback-slack-ms = 250
max-stretch-ms = 12000
recovery-s = 12
flow-reorder-ms = 2000
flow-ttl-s = 60
[platform]
address = "{world.store_ip}:{self.store_port}"
forwarding-mode = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
min-ttl-ms = 1000
"""


class World:
    """The deployment: store, nodes, backends, clients and routers."""

    def __init__(self, record_path: Path, zones: list[str], per_zone: int):
        self.zones = zones
        self.per_zone = per_zone
        self.subnet = random.randrange(20, 250)
        self.block = random.randrange(0, 250)
        self.store_ip = self.make_ip(250)
        self.store = Store()
        self.nodes: list[Node] = []
        self.backends: list = []
        self.clients: list[Client] = []
        self.runs: list = []
        self.work_s = 0.02
        self.loss = 0.0
        self.loss_rng = random.Random(1)
        self.lost = 0
        self.folder = Path(tempfile.mkdtemp(prefix='apricottally-review-'))
        self._started = time.monotonic()
        self._record = record_path.open('w')
        self._tasks: list[asyncio.Task] = []
        ports = find_ports(self.make_ip(1), 24)
        self.packet_port, self.ready_port, self.control_port = ports[:3]
        self.metrics_port, self.backend_port = ports[3:5]
        self.peer_port = ports[5]

    def make_ip(self, host: int) -> str:
        return f'127.{self.subnet}.{self.block}.{host}'

    def now(self) -> float:
        """Seconds since the start, of the steady clock."""
        return time.monotonic() - self._started

    def record(self, line: str) -> None:
        self._record.write(f'{self.now():9.3f} {line}\n')
        self._record.flush()

    def ran(self, run) -> None:
        self.runs.append(run)
        self.record(f'ran {run.request_id} at {run.backend}')

    def loses(self, packet: Packet) -> bool:
        """Tell whether a packet between a client and the fleet is lost."""
        if self.loss and self.loss_rng.random() < self.loss:
            self.lost += 1
            return True
        return False

    async def open(self) -> None:
        for index in range(self.per_zone * len(self.zones)):
            zone = self.zones[index % len(self.zones)]
            port = await self.store.listen(self.store_ip)
            name = f'front-{zone}-{index // len(self.zones) + 1}'
            ip = self.make_ip(10 + index)
            self.nodes.append(Node(self, name, zone, ip, port))
        for index, zone in enumerate(self.zones):
            client = Client(self.make_ip(100 + index), zone, SERVICE_IP, self)
            await client.open()
            self.clients.append(client)

    async def start_nodes(self) -> None:
        for node in self.nodes:
            await node.start()
            self._tasks.append(asyncio.create_task(self._probe(node)))
        await self.wait_ready(12)

    async def wait_ready(self, within_s: float) -> None:
        deadline = self.now() + within_s
        while not all(node.in_rotation for node in self.nodes):
            if self.now() > deadline:
                raise CannotRun('nodes are not ready')
            await asyncio.sleep(0.1)

    async def _probe(self, node: Node) -> None:
        """Readiness checks, twice a second."""
        while True:
            ready = await self._is_ready(node)
            node.misses = 0 if ready else node.misses + 1
            await asyncio.sleep(PROBE_S)

    async def _is_ready(self, node: Node) -> bool:
        try:
            async with asyncio.timeout(PROBE_S):
                reader, writer = await asyncio.open_connection(
                    node.ip, self.ready_port
                )
                try:
                    writer.write(
                        b'GET /api/readiness HTTP/1.1\r\nHost: ready\r\n\r\n'
                    )
                    line = await reader.readline()
                finally:
                    writer.close()
        except OSError:
            return False
        return b' 200 ' in line

    def list_targets(self, zone: str) -> list[Node]:
        """Return the nodes among which the routers of a zone choose."""
        nodes = [node for node in self.nodes if node.zone == zone]
        ready = [node for node in nodes if node.in_rotation]
        if not ready:
            others = [node for node in self.nodes if node.in_rotation]
            return others or nodes
        return ready if 2 * len(ready) >= len(nodes) else nodes

    def route(self, client: Client, packet: Packet) -> str:
        """Send a client's packet to a node by hash (`mod`); return its name."""
        if self.loses(packet):
            return ''
        raw = packet.encode()
        targets = self.list_targets(client.zone)
        node = targets[zlib.crc32(raw[1:13]) % len(targets)]
        client.send_raw(raw, (node.ip, self.packet_port))
        return node.name

    def put_config(self, version: int, routes: list[dict]) -> None:
        """Write a configuration; the store has acknowledged it on return."""
        names = {route['service'] for route in routes}
        self.store.put(
            'op/config',
            {
                'version': version,
                'routes': routes,
                'services': [
                    {'name': name, 'health-path': '/health', 'max-flows': 2000}
                    for name in sorted(names)
                ],
                'limits': {'idle-timeout-ms': 15000},
            },
        )

    async def close(self) -> None:
        """End all processes and sockets that the case has opened."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for node in self.nodes:
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
        for node in self.nodes:
            if node.process is not None:
                await node.process.wait()
        for backend in self.backends:
            if backend.alive:
                backend.close()
        for client in self.clients:
            client.close()
        self.store.close()
        self._record.close()
        for path in self.folder.iterdir():
            path.unlink()
        self.folder.rmdir()


def build_route(name: str, port: int, service: str, kind: str) -> dict:
    return {
        'name': name,
        'host': SERVICE_IP,
        'prefix': f'/{port}/',
        'kind': kind,
        'timeout-ms': 2000,
        'target-latency-ms': 200,
        'priority': 1,
        'service': service,
        'attempts': 2,
    }


def find_ports(ip: str, count: int) -> list[int]:
    """Return consecutive ports that are free for TCP and UDP."""
    for _ in range(50):
        first = random.randrange(20000, 32000)
        if all(is_free(ip, first + step) for step in range(count)):
            return list(range(first, first + count))
    raise CannotRun('no free ports')


def is_free(ip: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


def run_case(play) -> None:
    """Run `play(trouble)`; exit with 0 (held), 1 (broken) or 2.

    SIGTERM ends the case and all processes that it has started.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        broken = asyncio.run(_run_until_signal(play(trouble)))
    except (CannotRun, OSError, asyncio.CancelledError) as error:
        print(f'cannot run: {error!r}')
        sys.exit(2)
    sys.exit(1 if broken else 0)


async def _run_until_signal(case) -> bool:
    task = asyncio.ensure_future(case)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    return await task

"""Deployment of a soak run: nodes, clients, backends and final checks."""

import asyncio
import os
import signal
import socket
import sys
import zlib
from pathlib import Path
from random import Random

from tests.fakestore import FakeStore
from tests.faults import hosts
from tests.faults.checks import MOVED_PORT, Checks
from tests.faults.hosts import Backend, Client, RunResults
from tests.faults.proxy import StoreProxy
from tests.faults.touch import Disturbances

ROOT = Path(__file__).resolve().parent.parent.parent
SERVICES = {'core': 443, 'proof': 444}
# The deployment must have recovered this long after the last fault.
RECOVERY_S = 4.0
GRACE_PERIOD_S = 6.0
# A process handles signals this long after its start, also on a busy machine.
START_S = 2.0


class Node:
    """A node in a process of its own, restarted when it exits."""

    def __init__(self, index: int, deployment: 'Deployment') -> None:
        self.ip = f'127.{deployment.subnet}.0.{index + 1}'
        self.name = f'node-{index}'
        self.zone = deployment.zones[index % len(deployment.zones)]
        self.deployment = deployment
        self.process: asyncio.subprocess.Process | None = None
        self.ready = False
        self.drops_client_packets = False
        self.frozen = False
        self.stopping = False
        self.store_proxy = StoreProxy(deployment.store.endpoint)
        self.disturbances = Disturbances()
        self.settled_at: float = 0
        self.planned_work = Disturbances()
        deployment.checks.nodes[self.ip] = self.disturbances
        deployment.checks.planned_work[self.ip] = self.planned_work

    def has_settled(self) -> bool:
        """Tell whether the process runs and was not started just now."""
        now = self.deployment.loop.time()
        return not (self.stopping or self.frozen) and now > self.settled_at

    async def start(self) -> None:
        self.planned_work.mark()
        self.settled_at = self.deployment.loop.time() + START_S
        path = self.deployment.folder / f'{self.name}.toml'
        path.write_text(self._settings())
        log = (self.deployment.folder / f'{self.name}.log').open('ab')
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            'platform/main.py',
            cwd=ROOT,
            env=os.environ
            | {
                'APRICOTTALLY_CONFIG': str(path),
                'METRICS_PORT': str(self.deployment.base_port + 3),
                'PYTHONFAULTHANDLER': '1',
            },
            stdout=log,
            stderr=log,
        )
        log.close()

    def signal(self, signal_number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal_number)

    async def stop(self, results: RunResults) -> None:
        """Shut down the process gracefully; it must exit with status 0."""
        if self.process is None:
            return
        self.stopping = True
        with self.planned_work.last():
            await self._end(self.process, results)
        self.stopping = False

    async def _end(self, process, results: RunResults) -> None:
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_PERIOD_S):
                status = await process.wait()
        except TimeoutError:
            state = _read_process_state(process.pid)
            results.violations.append(
                f'{self.name} did not exit in time: {state}'
            )
            status = await self._abort(process)
        if status not in {0, -signal.SIGKILL, -signal.SIGABRT}:
            results.violations.append(
                f'{self.name} exited with status {status}'
            )

    async def _abort(self, process: asyncio.subprocess.Process) -> int:
        """End a process that hangs; it writes its stack to its log."""
        self.signal(signal.SIGABRT)
        try:
            async with asyncio.timeout(GRACE_PERIOD_S):
                return await process.wait()
        except TimeoutError:
            self.signal(signal.SIGKILL)
            return await process.wait()

    async def fetch(self, port: int, path: str) -> str:
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(self.ip, port)
                writer.write(f'GET {path} HTTP/1.1\r\n\r\n'.encode())
                header = (await reader.readuntil(b'\r\n\r\n')).decode()
                length = int(header.partition('Content-Length: ')[2].split()[0])
                body = await reader.readexactly(length)
                writer.close()
        except (OSError, EOFError):
            return ''
        return header + body.decode()

    def _settings(self) -> str:
        deployment = self.deployment
        seeds = ', '.join(
            f'"{node.ip}:{deployment.base_port}"' for node in deployment.nodes
        )
        return f"""
node-name = "{self.name}"
ip = "{self.ip}"
zone = "{self.zone}"
internal-port-range = [{deployment.base_port + 2}, {deployment.base_port + 2}]
seeds = [{seeds}]
[listen]
datagram-addr = "{self.ip}:{deployment.base_port}"
ready = "{self.ip}:{deployment.base_port + 1}"
[bounds]
config-apply-ms = 3000
grace-s = {GRACE_PERIOD_S}
[platform]
address = "{self.ip}:{deployment.base_port + 4}"
"""


class Deployment:
    """All processes, sockets and state of one run.

    `subnet` is the second octet of all addresses, which are in 127.0.0.0/8.
    Nodes, backends and clients receive packets on `base_port`. On the next four
    ports, nodes serve readiness checks, other nodes and metrics, and the proxy
    between a node and the store accepts connections. `zones` has a letter for
    the zone of each node; they are repeated for further nodes.
    """

    def __init__(
        self,
        seed: int,
        nodes: int,
        folder: Path,
        store: FakeStore,
        zones: str = 'ab',
    ) -> None:
        self.rng = Random(seed)
        self.zones = zones
        self.subnet = 10 + seed % 200
        self._reserved = reserve_ports(self.subnet, 20_000 + seed * 10 % 10_000)
        self.base_port = self._reserved.getsockname()[1]
        self.folder = folder
        self.store = store
        self.results = RunResults()
        self.checks = Checks(self.results.violations)
        self.loss: float = 0
        self.version = 0
        self.extra_routes = 0
        self.moved_service: str | None = 'core'
        # Some faults need a calm deployment: one of them at a time.
        self.busy_with_one = False
        self.last_backend_number = 0x100
        self.backends: dict[int, Backend] = {}
        self.backends_by_ip: dict[str, Backend] = {}
        self.nodes: list[Node] = []
        self.nodes += [Node(index, self) for index in range(nodes)]
        self.clients: list[Client] = []
        self.loop = asyncio.get_running_loop()
        self._transports: list = []

    async def open(self) -> None:
        self.publish_configuration()
        for service, count in (('core', 4), ('proof', 2)):
            for _ in range(count):
                await self.add_backend(service)
        for index in range(3):
            ip = f'127.{self.subnet}.3.{index + 1}'
            client = Client(
                ip,
                self.forward,
                self.results,
                self.checks,
                self.backends_by_ip,
            )
            transport, _ = await self.loop.create_datagram_endpoint(
                lambda client=client: client, local_addr=(ip, self.base_port)
            )
            self._transports.append(transport)
            self.clients.append(client)
        for node in self.nodes:
            await node.store_proxy.open(node.ip, self.base_port + 4)
            await node.start()

    async def close(self) -> None:
        for backend in self.backends.values():
            backend.alive = False
        await asyncio.gather(*(node.stop(self.results) for node in self.nodes))
        await asyncio.gather(*(node.store_proxy.close() for node in self.nodes))
        for transport in self._transports:
            transport.close()
        self._reserved.close()

    def kill(self) -> None:
        """Kill the remaining processes of an interrupted run."""
        for node in self.nodes:
            node.signal(signal.SIGKILL)

    def publish_configuration(self) -> None:
        """Publish a configuration with the two services and `extra_routes`."""
        self.version += self.rng.randint(1, 3)
        self.write_configuration()

    def write_configuration(self) -> None:
        """Write the newest configuration, again if the store has lost it."""
        names = {port: name for name, port in SERVICES.items()}
        if self.moved_service is not None:
            names[MOVED_PORT] = self.moved_service
        ports = [*names, *range(600, 600 + self.extra_routes)]
        routes = [
            {
                'name': f'r-{port}',
                'host': hosts.ROUTE_IP,
                'prefix': f'/{port}/',
                'kind': 'unsafe' if port == SERVICES['core'] else 'safe',
                'service': names.get(port, 'core'),
            }
            for port in ports
        ]
        self.store.put_config(self.version, routes)
        for port in (*SERVICES.values(), MOVED_PORT):
            self.checks.record_route(port, names.get(port))

    async def add_backend(
        self, service: str, number: int | None = None
    ) -> Backend:
        """Start a backend, under an id of its own if `number` is given."""
        self.last_backend_number += 1
        index = self.last_backend_number
        backend = Backend(number or index, service, self.results, self.checks)
        backend.client_port = self.base_port
        backend.ip = f'127.{self.subnet}.2.{index % 250 + 1}'
        backend.zone = self.zones[index % len(self.zones)]
        transport, _ = await self.loop.create_datagram_endpoint(
            lambda: backend, local_addr=(backend.ip, self.base_port)
        )
        # Nodes probe backends by TCP connections.
        server = await asyncio.start_server(
            _close_connection, backend.ip, self.base_port
        )
        self._transports += [transport, server]
        self.backends[backend.number] = backend
        self.backends_by_ip[backend.ip] = backend
        self.put_backend(backend)
        return backend

    def put_backend(self, backend: Backend) -> None:
        backend.records += 1
        self.store.put_server(
            backend.name,
            service=backend.service,
            address=f'{backend.ip}:{self.base_port}',
            zone=backend.zone,
            state=backend.state,
            sequence=backend.records,
            born=backend.born_ms,
        )
        is_drained = backend.state == 'draining' and backend.drained_at is None
        if is_drained and self.checks.store.is_calm():
            backend.drained_at = self.loop.time()

    def write_again(self) -> None:
        """Write what a store lost that was restored from an older copy.

        The records of backends that have left since then lapse.
        """
        self.write_configuration()
        for backend in self.backends.values():
            if not backend.alive:
                self.store.put(f'servers/{backend.name}', None)
            elif self.store.count_records(backend.name) < backend.records:
                self.put_backend(backend)

    def forward(self, payload: bytes, source: tuple) -> str:
        """Send a client's packet to a ready node, like the network fabric.

        Returns the node's IP.
        """
        ready = [node for node in self.nodes if node.ready] or self.nodes
        node = ready[zlib.crc32(repr(source).encode()) % len(ready)]
        if node.drops_client_packets or self.rng.random() < self.loss:
            return node.ip
        delay = self.rng.uniform(0, 0.004)
        self.loop.call_later(delay, self._send, payload, node)
        return node.ip

    async def poll_readiness(self) -> None:
        """Check readiness every 0.5 s; restart processes that have exited."""
        failed_checks = dict.fromkeys(self.nodes, 0)
        while True:
            responses = await asyncio.gather(
                *(
                    node.fetch(self.base_port + 1, '/api/readiness')
                    for node in self.nodes
                )
            )
            for node, response in zip(self.nodes, responses, strict=True):
                good = '200 OK' in response.partition('\r\n')[0]
                failed_checks[node] = 0 if good else failed_checks[node] + 1
                node.ready = failed_checks[node] < 2
                process = node.process
                if process is not None and process.returncode is not None:
                    await node.start()
            await asyncio.sleep(0.5)

    async def check_versions(self) -> None:
        """Check that no process goes back to an older configuration."""
        seen: dict[int, int] = {}
        while True:
            for node in self.nodes:
                await self._check_version(node, seen)
            await asyncio.sleep(0.5)

    async def _check_version(self, node: Node, seen: dict[int, int]) -> None:
        """Check a node's version; `seen` is that last seen, by process."""
        process = node.process
        body = await node.fetch(self.base_port + 3, '/metrics')
        if process is None or process is not node.process or not body:
            return
        version = _read_version(body)
        if version < seen.get(process.pid, 0):
            self.results.violations.append(
                f'{node.name} went back to version {version}'
            )
        seen[process.pid] = version

    def _send(self, payload: bytes, node: Node) -> None:
        self._transports[0].sendto(payload, (node.ip, self.base_port))

    async def check_recovered(self) -> None:
        """Check that all nodes have the latest configuration and no errors."""
        for node in self.nodes:
            body = await node.fetch(self.base_port + 3, '/metrics')
            expected = f'apricottally_configuration_version {self.version}\n'
            if expected not in body:
                self.results.violations.append(
                    f'{node.name} lacks configuration version {self.version}'
                )
            if 'invariant_broken' in body or 'handler_failed' in body:
                self.results.violations.append(
                    f'{node.name}: invariant violated or handler failed'
                )


def reserve_ports(subnet: int, first: int) -> socket.socket:
    """Reserve ten consecutive ports in a subnet; return the bound socket.

    The socket is bound to the first port at an address that a run does not use
    otherwise, so that a concurrent run in the subnet takes the next ten.
    """
    for port in range(first, 31_000, 10):
        reserved = socket.socket()
        try:
            reserved.bind((f'127.{subnet}.9.9', port))
        except OSError:
            reserved.close()
        else:
            return reserved
    raise OSError('all port ranges of the subnet are in use')


async def _close_connection(reader, writer) -> None:
    writer.close()


def _read_version(metrics: str) -> int:
    """Return the version of the configuration in a metrics page."""
    _, _, rest = metrics.partition('\napricottally_configuration_version ')
    return int(rest.split()[0]) if rest else 0


def _read_process_state(pid: int) -> str:
    """Return the kernel's state and wait channel of a process, for reports."""
    folder = Path('/proc') / str(pid)
    try:
        status = (folder / 'status').read_text()
        waits_in = (folder / 'wchan').read_text()
    except OSError as error:
        return str(error)
    state = status.partition('State:')[2].splitlines()[0].strip()
    return f'{state}, waits in {waits_in}'

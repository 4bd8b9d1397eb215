"""The deployment of a soak run: processes, links, store and checks."""

import asyncio
import os
import signal
import socket
import sys
import zlib
from pathlib import Path
from random import Random

from tests.faults import ends
from tests.faults.ends import Backend, Client, Ledger
from tests.faults.proxy import Link
from tests.fleetstore import FleetStore

ROOT = Path(__file__).resolve().parent.parent.parent
SERVICES = {'core': 443, 'proof': 444}
# Time after a disturbance in which a broken flow is excused, and within which
# everything is in order again.
CALM_S = 4.0
STOP_S = 6.0


class Node:
    """One process of the program, restarted when it ends."""

    def __init__(self, index: int, world: 'World') -> None:
        self.ip = f'127.{world.block}.0.{index + 1}'
        self.name = f'node-{index}'
        self.zone = 'ab'[index % 2]
        self.world = world
        self.process: asyncio.subprocess.Process | None = None
        self.ready = False
        self.cut = False
        self.frozen = False
        self.stopping = False
        self.link = Link(world.store.endpoint)

    async def start(self) -> None:
        path = self.world.folder / f'{self.name}.toml'
        path.write_text(self._settings())
        log = (self.world.folder / f'{self.name}.log').open('ab')
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            'platform/main.py',
            cwd=ROOT,
            env=os.environ
            | {
                'APRICOTTALLY_CONFIG': str(path),
                'METRICS_PORT': str(self.world.port + 3),
            },
            stdout=log,
            stderr=log,
        )
        log.close()

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self, ledger: Ledger) -> None:
        """End the process gracefully; a status but 0 breaks a promise."""
        if self.process is None:
            return
        self.stopping = True
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_S):
                status = await self.process.wait()
        except TimeoutError:
            ledger.broken.append(f'{self.name} does not stop')
            self.signal(signal.SIGKILL)
            status = await self.process.wait()
        if status not in {0, -signal.SIGKILL}:
            ledger.broken.append(f'{self.name} ended with {status}')
        self.stopping = False

    async def ask(self, port: int, path: str) -> str:
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(self.ip, port)
                writer.write(f'GET {path} HTTP/1.1\r\n\r\n'.encode())
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                length = int(head.partition('Content-Length: ')[2].split()[0])
                body = await reader.readexactly(length)
                writer.close()
        except (OSError, EOFError):
            return ''
        return head + body.decode()

    def _settings(self) -> str:
        world = self.world
        seeds = ', '.join(f'"{node.ip}:{world.port}"' for node in world.nodes)
        return f"""
node-name = "{self.name}"
ip = "{self.ip}"
zone = "{self.zone}"
internal-port-range = [{world.port + 2}, {world.port + 2}]
seeds = [{seeds}]
[listen]
datagram-addr = "{self.ip}:{world.port}"
ready = "{self.ip}:{world.port + 1}"
[bounds]
config-apply-ms = 3000
grace-s = {STOP_S}
[platform]
address = "{self.ip}:{world.port + 4}"
"""


class World:
    """Everything of one run."""

    def __init__(
        self, seed: int, nodes: int, folder: Path, store: FleetStore
    ) -> None:
        self.rng = Random(seed)
        self.block = 10 + seed % 200
        self._reserved = reserve_ports(self.block, 20_000 + seed * 10 % 10_000)
        self.port = self._reserved.getsockname()[1]
        self.folder = folder
        self.store = store
        self.ledger = Ledger()
        self.loss: float = 0
        self.version = 0
        self.extra_routes = 0
        self.disturbed_at = float('-inf')
        self.idents = 0x100
        self.backends: dict[int, Backend] = {}
        self.nodes: list[Node] = []
        self.nodes += [Node(index, self) for index in range(nodes)]
        self.clients: list[Client] = []
        self.loop = asyncio.get_running_loop()
        self._transports: list = []

    async def open(self) -> None:
        self.publish()
        for service, count in (('core', 4), ('proof', 2)):
            for _ in range(count):
                await self.add_backend(service)
        for index in range(3):
            ip = f'127.{self.block}.3.{index + 1}'
            client = Client(ip, self.forward, self.ledger, self.is_excused)
            transport, _ = await self.loop.create_datagram_endpoint(
                lambda client=client: client, local_addr=(ip, self.port)
            )
            self._transports.append(transport)
            self.clients.append(client)
        for node in self.nodes:
            await node.link.open(node.ip, self.port + 4)
            await node.start()

    async def close(self) -> None:
        await asyncio.gather(*(node.stop(self.ledger) for node in self.nodes))
        await asyncio.gather(*(node.link.close() for node in self.nodes))
        for transport in self._transports:
            transport.close()
        self._reserved.close()

    def kill(self) -> None:
        """End what still runs, after an interrupted run."""
        for node in self.nodes:
            node.signal(signal.SIGKILL)

    def publish(self) -> None:
        """Write a new configuration, with other routes beside the two."""
        self.version += self.rng.randint(1, 3)
        ports = [*SERVICES.values(), *range(600, 600 + self.extra_routes)]
        names = {port: name for name, port in SERVICES.items()}
        routes = [
            {
                'name': f'r-{port}',
                'host': ends.ROUTE_IP,
                'prefix': f'/{port}/',
                'kind': 'unsafe' if port == SERVICES['core'] else 'safe',
                'service': names.get(port, 'core'),
            }
            for port in ports
        ]
        self.store.put_config(self.version, routes)

    async def add_backend(self, service: str) -> Backend:
        self.idents += 1
        ident = self.idents
        backend = Backend(ident, service, self.ledger)
        backend.client_port = self.port
        ip = f'127.{self.block}.2.{ident % 250 + 1}'
        transport, _ = await self.loop.create_datagram_endpoint(
            lambda: backend, local_addr=(ip, self.port)
        )
        # Probes connect by TCP.
        server = await asyncio.start_server(_hang_up, ip, self.port)
        self._transports += [transport, server]
        self.backends[ident] = backend
        self.put_backend(backend)
        return backend

    def put_backend(self, backend: Backend, **changes) -> None:
        ip = f'127.{self.block}.2.{backend.ident % 250 + 1}'
        self.store.put_server(
            f'i-{backend.ident:08x}',
            service=backend.service,
            address=f'{ip}:{self.port}',
            zone='ab'[backend.ident % 2],
            **changes,
        )

    def forward(self, payload: bytes, source: tuple) -> None:
        """Send a client's packet to a node, as the fabric does."""
        ready = [node for node in self.nodes if node.ready] or self.nodes
        node = ready[zlib.crc32(repr(source).encode()) % len(ready)]
        if node.cut or self.rng.random() < self.loss:
            return
        delay = self.rng.uniform(0, 0.004)
        self.loop.call_later(delay, self._send, payload, node)

    def disturb(self) -> None:
        self.disturbed_at = self.loop.time()

    def is_excused(self, ident: int) -> bool:
        """Tell whether a reset of an open flow is allowed now."""
        now = self.loop.time()
        backend = self.backends.get(ident)
        if backend is None or not backend.alive:
            return True
        return now - max(self.disturbed_at, backend.disturbed_at) < CALM_S

    async def poll_ready(self) -> None:
        """Check readiness twice a second, and restart what has ended."""
        misses = dict.fromkeys(self.nodes, 0)
        while True:
            answers = await asyncio.gather(
                *(
                    node.ask(self.port + 1, '/api/readiness')
                    for node in self.nodes
                )
            )
            for node, answer in zip(self.nodes, answers, strict=True):
                good = '200 OK' in answer.partition('\r\n')[0]
                misses[node] = 0 if good else misses[node] + 1
                node.ready = misses[node] < 2
                process = node.process
                if process is not None and process.returncode is not None:
                    await node.start()
            await asyncio.sleep(0.5)

    def _send(self, payload: bytes, node: Node) -> None:
        self._transports[0].sendto(payload, (node.ip, self.port))

    async def check_calm(self) -> None:
        """Check that after a calm time everything is in order."""
        for node in self.nodes:
            body = await node.ask(self.port + 3, '/metrics')
            wanted = f'apricottally_configuration_version {self.version}\n'
            if wanted not in body:
                self.ledger.broken.append(
                    f'{node.name} lacks version {self.version}'
                )
            if 'invariant_broken' in body or 'handler_failed' in body:
                self.ledger.broken.append(f'{node.name} broke an invariant')


def reserve_ports(block: int, first: int) -> socket.socket:
    """Take the first free ten ports of a block for one run.

    A run holds the first port at an address that it does not use otherwise,
    so that another run on the machine takes the next ten.
    """
    for port in range(first, 31_000, 10):
        held = socket.socket()
        try:
            held.bind((f'127.{block}.9.9', port))
        except OSError:
            held.close()
        else:
            return held
    raise OSError('no ports are free')


async def _hang_up(reader, writer) -> None:
    writer.close()

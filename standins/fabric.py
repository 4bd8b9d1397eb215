"""Process that carries packets between callers, balancers and backends.

`python -m standins.fabric --settings FILE.json`. Every single packet goes to
a live balancer chosen at random. A backend's packet leaves from a socket on
the backend's own address, so that its outer source still names the backend.
Packets that balancers send to the gateway go to the process that the inner
destination called from.
"""

import asyncio
import contextlib
import random
import socket
from collections import Counter
from collections.abc import AsyncIterator, Iterator

import msgspec

from apricottally import addresses, gue
from apricottally.addresses import Endpoint
from apricottally.errors import WireError
from standins import datagrams, process, web
from standins.spray import LAG_S, BalancerView

# Ports on the fabric's address, by who sends there.
CALLER_PORT = 6090
BACKEND_PORT = 6091
GATEWAY_PORT = 6092

_HTTP_OK = 200
_ADDRESS_LENGTH = 4
_SOURCE_OFFSET = 12
_DESTINATION_OFFSET = 16


class FabricSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the process.

    `balancers` are the addresses polled at `GET /ready` on port
    6083, running or not.
    `delay_s` is the one-way delay towards and from the balancers.
    """

    ip: str
    balancers: tuple[str, ...]
    seed: int = 1
    poll_s: float = 0.5
    lag_s: float = LAG_S
    delay_s: float = 0


class Fabric:
    """Forwards datagrams; it looks at no more than the inner addresses."""

    def __init__(self, settings: FabricSettings) -> None:
        self.view = BalancerView(settings.lag_s)
        self.counts: Counter[str] = Counter()
        self._settings = settings
        self._rng = random.Random(settings.seed)
        self._loop = asyncio.get_running_loop()
        self._callers: dict[bytes, Endpoint] = {}
        self._sockets: dict[str, socket.socket] = {}
        self._caller_side = datagrams.open_socket(settings.ip, CALLER_PORT)
        self._backend_side = datagrams.open_socket(settings.ip, BACKEND_PORT)
        self._gateway = datagrams.open_socket(settings.ip, GATEWAY_PORT)

    @contextlib.contextmanager
    def run(self) -> Iterator[None]:
        """Forward while the context lasts."""
        sides = (
            (self._caller_side, self.receive_from_caller),
            (self._backend_side, self.receive_from_backend),
            (self._gateway, self.receive_from_balancer),
        )
        with contextlib.ExitStack() as stack:
            for opened, accept in sides:
                stack.enter_context(opened)
                stack.enter_context(datagrams.receive_from(opened, accept))
            stack.callback(self._close_sockets)
            yield

    async def poll(self) -> None:
        """Ask all balancers whether they are ready, for ever."""
        while True:
            async with asyncio.TaskGroup() as group:
                for ip in self._settings.balancers:
                    group.create_task(self._poll_one(ip))
            await asyncio.sleep(self._settings.poll_s)

    def receive_from_caller(self, datagram: bytes, source: Endpoint) -> None:
        """Note where the inner source calls from and spray the packet."""
        address = self._read_address(datagram, _SOURCE_OFFSET)
        if address is not None:
            self._callers[address] = source
            self._spray(self._caller_side, datagram, 'caller')

    def receive_from_backend(self, datagram: bytes, source: Endpoint) -> None:
        """Spray the packet from the backend's own address."""
        backend_ip = source[0]
        opened = self._sockets.get(backend_ip)
        if opened is None:
            opened = datagrams.open_socket(backend_ip, 0)
            self._sockets[backend_ip] = opened
        self._spray(opened, datagram, 'backend')

    def receive_from_balancer(self, datagram: bytes, source: Endpoint) -> None:
        """Hand the packet to the process that its caller lives in."""
        address = self._read_address(datagram, _DESTINATION_OFFSET)
        caller = self._callers.get(address) if address else None
        if caller is None:
            self.counts['dropped_unknown_caller'] += 1
            return
        self.counts['delivered'] += 1
        self._send(self._gateway, datagram, caller)

    def _read_address(self, datagram: bytes, offset: int) -> bytes | None:
        try:
            start, _ = gue.decode(datagram)
        except WireError:
            self.counts['dropped_foreign'] += 1
            return None
        first = start + offset
        return datagram[first : first + _ADDRESS_LENGTH]

    def _spray(
        self,
        opened: socket.socket,
        datagram: bytes,
        side: str,
    ) -> None:
        balancer = self.view.choose(self._rng)
        if balancer is None:
            self.counts['dropped_no_balancer'] += 1
            return
        self.counts[f'sprayed_{side}'] += 1
        self._send(opened, datagram, (balancer, addresses.PACKET_PORT))

    def _send(
        self,
        opened: socket.socket,
        datagram: bytes,
        target: Endpoint,
    ) -> None:
        delay = self._settings.delay_s
        if delay:
            self._loop.call_later(
                delay,
                datagrams.send,
                opened,
                datagram,
                target,
            )
        else:
            datagrams.send(opened, datagram, target)

    async def _poll_one(self, ip: str) -> None:
        ready: bool | None = None
        endpoint = (ip, addresses.MONITORING_PORT)
        with contextlib.suppress(web.FetchError):
            status, _ = await web.fetch(endpoint, '/ready')
            ready = status == _HTTP_OK
        self.view.observe(self._loop.time(), ip, ready=ready)

    def _close_sockets(self) -> None:
        for opened in self._sockets.values():
            opened.close()


@contextlib.asynccontextmanager
async def serve(settings: FabricSettings) -> AsyncIterator[Fabric]:
    """Carry packets while the context lasts; `GET /report` tells counts."""
    fabric = Fabric(settings)
    routes = {
        'GET /report': lambda: {
            'counts': fabric.counts,
            'live': fabric.view.live,
        },
    }
    with fabric.run():
        async with web.serve((settings.ip, addresses.LOAD_PORT), routes):
            polling = asyncio.create_task(fabric.poll())
            try:
                yield fabric
            finally:
                polling.cancel()


if __name__ == '__main__':
    process.run(serve(process.read_settings(FabricSettings, __doc__)))

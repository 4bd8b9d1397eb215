"""Process that forwards packets between callers, balancers and backends.

`python -m standins.fabric --settings FILE.json`. It replaces the
platform's network fabric and gateway. Each packet of a caller or backend is
sent to a live balancer chosen at random (packet spraying). A backend's packet
is sent from a socket bound to the backend's own address, so that the outer
source address still identifies the backend. Packets that balancers send to
the gateway are forwarded to the process of the caller that is the inner
destination.
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
from standins import datagrams, entrypoint, web
from standins.balancerview import DEFAULT_LAG_S, BalancerView

# Ports on the fabric's address, by type of sender.
CALLER_PORT = 6090
BACKEND_PORT = 6091
GATEWAY_PORT = 6092

_HTTP_OK = 200
_ADDRESS_LENGTH = 4
_SOURCE_OFFSET = 12
_DESTINATION_OFFSET = 16


class FabricSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the process.

    `balancers` are the addresses to poll with `GET /ready` on port 6083,
    every `poll_s` seconds, whether or not a balancer runs there. A balancer
    that stops answering still receives packets for `lag_s` seconds.
    `delay_s` is the one-way delay to and from the balancers.
    """

    ip: str
    balancers: tuple[str, ...]
    seed: int = 1
    poll_s: float = 0.5
    lag_s: float = DEFAULT_LAG_S
    delay_s: float = 0


class Fabric:
    """Forwards datagrams; reads nothing but their inner addresses."""

    def __init__(self, settings: FabricSettings) -> None:
        self.view = BalancerView(settings.lag_s)
        self.counts: Counter[str] = Counter()
        self._settings = settings
        self._rng = random.Random(settings.seed)
        self._loop = asyncio.get_running_loop()
        self._callers: dict[bytes, Endpoint] = {}
        self._source_sockets: dict[str, socket.socket] = {}
        self._caller_socket = datagrams.open_socket(settings.ip, CALLER_PORT)
        self._backend_socket = datagrams.open_socket(settings.ip, BACKEND_PORT)
        self._gateway_socket = datagrams.open_socket(settings.ip, GATEWAY_PORT)

    @contextlib.contextmanager
    def run(self) -> Iterator[None]:
        """Forward packets while the context is open."""
        sides = (
            (self._caller_socket, self.receive_from_caller),
            (self._backend_socket, self.receive_from_backend),
            (self._gateway_socket, self.receive_from_balancer),
        )
        with contextlib.ExitStack() as stack:
            for udp_socket, accept in sides:
                stack.enter_context(udp_socket)
                stack.enter_context(
                    datagrams.register_reader(udp_socket, accept)
                )
            stack.callback(self._close_source_sockets)
            yield

    async def poll(self) -> None:
        """Poll the readiness of all balancers until cancelled."""
        while True:
            async with asyncio.TaskGroup() as group:
                for ip in self._settings.balancers:
                    group.create_task(self._poll_one(ip))
            await asyncio.sleep(self._settings.poll_s)

    def receive_from_caller(self, datagram: bytes, source: Endpoint) -> None:
        """Record the caller's outer endpoint and send to a balancer."""
        address = self._read_address(datagram, _SOURCE_OFFSET)
        if address is not None:
            self._callers[address] = source
            self._spray(self._caller_socket, datagram, 'caller')

    def receive_from_backend(self, datagram: bytes, source: Endpoint) -> None:
        """Send to a balancer from the backend's own address."""
        backend_ip = source[0]
        udp_socket = self._source_sockets.get(backend_ip)
        if udp_socket is None:
            udp_socket = datagrams.open_socket(backend_ip, 0)
            self._source_sockets[backend_ip] = udp_socket
        self._spray(udp_socket, datagram, 'backend')

    def receive_from_balancer(self, datagram: bytes, source: Endpoint) -> None:
        """Forward to the process of the caller that it is addressed to."""
        address = self._read_address(datagram, _DESTINATION_OFFSET)
        caller = self._callers.get(address) if address else None
        if caller is None:
            self.counts['dropped_unknown_caller'] += 1
            return
        self.counts['delivered'] += 1
        self._send(self._gateway_socket, datagram, caller)

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
        udp_socket: socket.socket,
        datagram: bytes,
        side: str,
    ) -> None:
        balancer = self.view.choose(self._rng)
        if balancer is None:
            self.counts['dropped_no_balancer'] += 1
            return
        self.counts[f'sprayed_{side}'] += 1
        self._send(udp_socket, datagram, (balancer, addresses.PACKET_PORT))

    def _send(
        self,
        udp_socket: socket.socket,
        datagram: bytes,
        target: Endpoint,
    ) -> None:
        delay = self._settings.delay_s
        if delay:
            self._loop.call_later(
                delay,
                datagrams.send,
                udp_socket,
                datagram,
                target,
            )
        else:
            datagrams.send(udp_socket, datagram, target)

    async def _poll_one(self, ip: str) -> None:
        ready: bool | None = None
        endpoint = (ip, addresses.MONITORING_PORT)
        with contextlib.suppress(web.FetchError):
            status, _ = await web.fetch(endpoint, '/ready')
            ready = status == _HTTP_OK
        self.view.record_poll(self._loop.time(), ip, ready=ready)

    def _close_source_sockets(self) -> None:
        for udp_socket in self._source_sockets.values():
            udp_socket.close()


@contextlib.asynccontextmanager
async def serve(settings: FabricSettings) -> AsyncIterator[Fabric]:
    """Forward packets while open; serve counters at `GET /report`."""
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
    entrypoint.run(serve(entrypoint.read_settings(FabricSettings, __doc__)))

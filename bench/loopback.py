"""Forwarding through real loopback sockets, on one core.

Each forwarder gets the same datagrams, which wait in its socket before the
clock starts, and sends one datagram for each. The sinks keep little, so that
their buffers overflow alike.
"""

import asyncio
import socket
import time
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import ExitStack, asynccontextmanager, contextmanager
from typing import TypeAlias, cast

from apricottally import gue, sockets
from apricottally.addresses import Endpoint
from apricottally.effects import SendPacket
from apricottally.events import PacketReceived
from apricottally.reducer import reduce
from apricottally.state import NodeState
from bench import fleet

WAITING_DATAGRAMS = 2000
BACKENDS = 7
PAYLOAD = bytes(200)
SINK_BYTES = 4096
TIMEOUT_S = 20.0

# Counts forwarded datagrams and knows when all have been.
Counted: TypeAlias = Callable[[], None]


class Countdown:
    """Sets an event when all waiting datagrams are forwarded."""

    def __init__(self) -> None:
        self.left = WAITING_DATAGRAMS
        self.done = asyncio.Event()

    def count(self) -> None:
        """Count one datagram."""
        self.left -= 1
        if not self.left:
            self.done.set()


@contextmanager
def open_sink(ip: str) -> Iterator[Endpoint]:
    """Bind a socket that nobody reads."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sink:
        sink.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SINK_BYTES)
        sink.bind((ip, 0))
        yield sink.getsockname()


class _Product:
    """Carries out the reducer's effects as the daemon does."""

    opened: sockets.DatagramSocket

    def __init__(self, node: NodeState, count: Counted) -> None:
        self._node = node
        self._count = count

    def forward(self, payload: bytes, source: Endpoint) -> None:
        event = PacketReceived(time.monotonic(), source, payload)
        for effect in reduce(self._node, event):
            if isinstance(effect, SendPacket):
                self.opened.send(effect.payload, effect.dest)
        self._count()


@contextmanager
def open_product(count: Counted) -> Iterator[Endpoint]:
    """Run the reducer behind the product's own socket."""
    with ExitStack() as stack:
        gateway = stack.enter_context(open_sink('127.9.0.1'))
        node = fleet.build_node(
            1,
            (),
            fleet.list_records(BACKENDS),
            gateway=gateway,
        )
        route = node.routes.find(fleet.ADDRESS, fleet.PORT)
        if route is None:
            raise ValueError('no route')
        for number in range(BACKENDS):
            ip = fleet.build_backend(number).ip
            sink = stack.enter_context(open_sink(ip))
            route.service.endpoints[number] = sink

        product = _Product(node, count)
        product.opened = stack.enter_context(
            sockets.open_datagram_socket(('127.0.1.1', 0), product.forward),
        )
        yield product.opened.endpoint
        forwarded = node.counters.total('forwarded')
        if forwarded != WAITING_DATAGRAMS:
            raise ValueError(f'{forwarded} forwarded')


def _drain(bound: socket.socket, sink: Endpoint, count: Counted) -> None:
    for _ in range(sockets.BATCH_DATAGRAMS):
        try:
            payload, _source = bound.recvfrom(sockets.MAX_DATAGRAM_BYTES)
        except BlockingIOError:
            return
        bound.sendto(payload, sink)
        count()


@contextmanager
def open_drained(count: Counted) -> Iterator[Endpoint]:
    """Run a forwarder that drains a socket and decides nothing."""
    loop = asyncio.get_running_loop()
    with (
        open_sink('127.1.0.1') as sink,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as bound,
    ):
        bound.setblocking(False)
        size = sockets.BUFFER_BYTES
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        bound.bind(('127.0.1.1', 0))
        loop.add_reader(bound, _drain, bound, sink, count)
        yield bound.getsockname()
        loop.remove_reader(bound)


class _Relay(asyncio.DatagramProtocol):
    def __init__(self, sink: Endpoint, count: Counted) -> None:
        self._sink = sink
        self._count = count

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, payload: bytes, source: Endpoint) -> None:
        self._transport.sendto(payload, self._sink)
        self._count()


@asynccontextmanager
async def open_endpoint(count: Counted) -> AsyncIterator[Endpoint]:
    """Run a forwarder on an asyncio endpoint that decides nothing."""
    loop = asyncio.get_running_loop()
    with open_sink('127.1.0.1') as sink:
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _Relay(sink, count),
            ('127.0.1.1', 0),
        )
        bound = transport.get_extra_info('socket')
        size = sockets.BUFFER_BYTES
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        try:
            yield bound.getsockname()
        finally:
            transport.close()


def fill(dest: Endpoint) -> None:
    """Send as many requests as replies to a forwarder's socket."""
    with ExitStack() as stack:
        senders = []
        for number in range(BACKENDS):
            sender = stack.enter_context(
                socket.socket(socket.AF_INET, socket.SOCK_DGRAM),
            )
            sender.bind((fleet.build_backend(number).ip, 0))
            senders.append(sender)
        for index in range(WAITING_DATAGRAMS):
            number = index // 2 % BACKENDS
            if index % 2:
                inner = fleet.build_reply(payload=PAYLOAD)
            else:
                inner = fleet.build_request(number=number, payload=PAYLOAD)
            senders[number].sendto(gue.encode(inner), dest)


async def time_product() -> float:
    """Return packets/s of the product."""
    countdown = Countdown()
    with open_product(countdown.count) as dest:
        return await _time(dest, countdown)


async def time_drained() -> float:
    """Return packets/s of the bare forwarder on a drained socket."""
    countdown = Countdown()
    with open_drained(countdown.count) as dest:
        return await _time(dest, countdown)


async def time_endpoint() -> float:
    """Return packets/s of the bare forwarder on an asyncio endpoint."""
    countdown = Countdown()
    async with open_endpoint(countdown.count) as dest:
        return await _time(dest, countdown)


async def _time(dest: Endpoint, countdown: Countdown) -> float:
    fill(dest)
    started = time.process_time()
    await asyncio.wait_for(countdown.done.wait(), TIMEOUT_S)
    return WAITING_DATAGRAMS / (time.process_time() - started)

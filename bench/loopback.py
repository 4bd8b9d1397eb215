"""Forwarding rates through real loopback sockets, on one core.

Each forwarder gets the same datagrams, which are in its socket's buffer before
the clock starts, and sends one datagram for each. The sinks have small receive
buffers, so that these overflow for every forwarder alike.
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
from bench import fixtures

QUEUED_DATAGRAMS = 2000
BACKENDS = 7
PAYLOAD = bytes(200)
SINK_BUFFER_BYTES = 4096
TIMEOUT_S = 20.0

# Called once for each forwarded datagram.
CountDatagram: TypeAlias = Callable[[], None]


class Countdown:
    """Sets an event when all queued datagrams have been forwarded."""

    def __init__(self) -> None:
        self.left = QUEUED_DATAGRAMS
        self.done = asyncio.Event()

    def count(self) -> None:
        """Count one forwarded datagram."""
        self.left -= 1
        if not self.left:
            self.done.set()


@contextmanager
def open_sink(ip: str) -> Iterator[Endpoint]:
    """Bind a destination socket that is never read."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sink:
        sink.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SINK_BUFFER_BYTES)
        sink.bind((ip, 0))
        yield sink.getsockname()


class _ReducerForwarder:
    """Forwards datagrams by the reducer and sends its effects."""

    opened: sockets.DatagramSocket

    def __init__(self, node: NodeState, count: CountDatagram) -> None:
        self._node = node
        self._count = count

    def forward(self, payload: bytes, source: Endpoint) -> None:
        event = PacketReceived(time.monotonic(), source, payload)
        for effect in reduce(self._node, event):
            if isinstance(effect, SendPacket):
                self.opened.send(effect.payload, effect.dest)
        self._count()


@contextmanager
def open_apricottally(count: CountDatagram) -> Iterator[Endpoint]:
    """Run a forwarder with apricottally's own reducer and socket."""
    with ExitStack() as stack:
        gateway = stack.enter_context(open_sink('127.9.0.1'))
        node = fixtures.build_node(
            1,
            (),
            fixtures.build_records(BACKENDS),
            gateway=gateway,
        )
        route = node.routes.find(fixtures.SERVICE_IP, fixtures.SERVICE_PORT)
        if route is None:
            raise ValueError('no route to the service')
        for number in range(BACKENDS):
            ip = fixtures.build_backend(number).ip
            sink = stack.enter_context(open_sink(ip))
            route.service.endpoints[number] = sink

        forwarder = _ReducerForwarder(node, count)
        forwarder.opened = stack.enter_context(
            sockets.open_datagram_socket(('127.0.1.1', 0), forwarder.forward),
        )
        yield forwarder.opened.endpoint
        forwarded = node.counters.total('forwarded')
        if forwarded != QUEUED_DATAGRAMS:
            raise ValueError(
                f'forwarded {forwarded} of {QUEUED_DATAGRAMS} datagrams',
            )


def _forward_batch(
    receiver: socket.socket, sink: Endpoint, count: CountDatagram
) -> None:
    for _ in range(sockets.MAX_BATCH_DATAGRAMS):
        try:
            payload, _source = receiver.recvfrom(sockets.MAX_DATAGRAM_BYTES)
        except BlockingIOError:
            return
        receiver.sendto(payload, sink)
        count()


@contextmanager
def open_batch_reader(count: CountDatagram) -> Iterator[Endpoint]:
    """Run a forwarder to one fixed sink that reads its socket in batches."""
    loop = asyncio.get_running_loop()
    with (
        open_sink('127.1.0.1') as sink,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver,
    ):
        receiver.setblocking(False)
        size = sockets.SOCKET_BUFFER_BYTES
        receiver.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        receiver.bind(('127.0.1.1', 0))
        loop.add_reader(receiver, _forward_batch, receiver, sink, count)
        yield receiver.getsockname()
        loop.remove_reader(receiver)


class _RelayProtocol(asyncio.DatagramProtocol):
    def __init__(self, sink: Endpoint, count: CountDatagram) -> None:
        self._sink = sink
        self._count = count

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, payload: bytes, source: Endpoint) -> None:
        self._transport.sendto(payload, self._sink)
        self._count()


@asynccontextmanager
async def open_endpoint(count: CountDatagram) -> AsyncIterator[Endpoint]:
    """Run a forwarder to one fixed sink on an asyncio datagram endpoint."""
    loop = asyncio.get_running_loop()
    with open_sink('127.1.0.1') as sink:
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _RelayProtocol(sink, count),
            ('127.0.1.1', 0),
        )
        receiver = transport.get_extra_info('socket')
        size = sockets.SOCKET_BUFFER_BYTES
        receiver.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        try:
            yield receiver.getsockname()
        finally:
            transport.close()


def queue_datagrams(dest: Endpoint) -> None:
    """Send callers' and backends' packets in turn to a forwarder's socket."""
    with ExitStack() as stack:
        senders = []
        for number in range(BACKENDS):
            sender = stack.enter_context(
                socket.socket(socket.AF_INET, socket.SOCK_DGRAM),
            )
            sender.bind((fixtures.build_backend(number).ip, 0))
            senders.append(sender)
        for index in range(QUEUED_DATAGRAMS):
            number = index // 2 % BACKENDS
            if index % 2:
                inner = fixtures.build_backend_packet(payload=PAYLOAD)
            else:
                inner = fixtures.build_caller_packet(
                    number=number, payload=PAYLOAD
                )
            senders[number].sendto(gue.encode(inner), dest)


async def time_apricottally() -> float:
    """Return packets/s of apricottally's reducer and socket."""
    countdown = Countdown()
    with open_apricottally(countdown.count) as dest:
        return await _time(dest, countdown)


async def time_batch_reader() -> float:
    """Return packets/s of the forwarder that reads in batches."""
    countdown = Countdown()
    with open_batch_reader(countdown.count) as dest:
        return await _time(dest, countdown)


async def time_endpoint() -> float:
    """Return packets/s of the forwarder on an asyncio endpoint."""
    countdown = Countdown()
    async with open_endpoint(countdown.count) as dest:
        return await _time(dest, countdown)


async def _time(dest: Endpoint, countdown: Countdown) -> float:
    queue_datagrams(dest)
    started = time.process_time()
    await asyncio.wait_for(countdown.done.wait(), TIMEOUT_S)
    return QUEUED_DATAGRAMS / (time.process_time() - started)

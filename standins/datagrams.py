"""UDP sockets, and a driver that runs a simulated machine on a socket."""

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterator
from typing import Protocol

from apricottally import gue
from apricottally.addresses import Endpoint
from apricottally.errors import WireError
from standins.tcpstack import TcpStack

MAX_DATAGRAM_BYTES = 65535
# Datagrams read from one socket before the event loop serves others.
MAX_BATCH_DATAGRAMS = 64
# Has to hold the burst of one download; the kernel may grant less.
RECEIVE_BUFFER_BYTES = 4 << 20
# Each tick of a backend server records its load for delayed load reports, so
# ticks must not be far apart.
MAX_TICK_INTERVAL_S = 0.05


class Machine(Protocol):
    """A simulated machine without I/O: a backend server or a caller."""

    stack: TcpStack

    @property
    def deadline(self) -> float:
        """Earliest time at which `tick` may be due."""

    def receive(self, now: float, inner: bytes) -> None:
        """Process an inner packet."""

    def tick(self, now: float) -> None:
        """Run the expired timers."""


def open_socket(ip: str, port: int) -> socket.socket:
    """Return a bound, non-blocking UDP socket."""
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp_socket.setblocking(False)
    udp_socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    udp_socket.bind((ip, port))
    return udp_socket


def send(udp_socket: socket.socket, datagram: bytes, target: Endpoint) -> None:
    """Send a datagram; a full buffer drops it, as a network does."""
    with contextlib.suppress(BlockingIOError):
        udp_socket.sendto(datagram, target)


@contextlib.contextmanager
def register_reader(
    udp_socket: socket.socket,
    accept: Callable[[bytes, Endpoint], None],
    finish_batch: Callable[[], None] | None = None,
) -> Iterator[None]:
    """Pass received datagrams to `accept` while the context is open.

    `finish_batch` is called after each batch of datagrams.
    """
    loop = asyncio.get_running_loop()
    loop.add_reader(udp_socket, _read_batch, udp_socket, accept, finish_batch)
    try:
        yield
    finally:
        loop.remove_reader(udp_socket)


def _read_batch(
    udp_socket: socket.socket,
    accept: Callable[[bytes, Endpoint], None],
    finish_batch: Callable[[], None] | None,
) -> None:
    with contextlib.suppress(BlockingIOError):
        for _ in range(MAX_BATCH_DATAGRAMS):
            datagram, source = udp_socket.recvfrom(MAX_DATAGRAM_BYTES)
            accept(datagram, source)
    if finish_batch is not None:
        finish_batch()


class MachineDriver:
    """Runs a machine on a UDP socket and sends its packets to `target`.

    `undecodable` counts received datagrams without a valid GUE header.
    """

    def __init__(
        self,
        machine: Machine,
        udp_socket: socket.socket,
        target: Endpoint,
    ) -> None:
        self.machine = machine
        self.undecodable = 0
        self._socket = udp_socket
        self._target = target
        self._loop = asyncio.get_running_loop()
        self._wakeup: asyncio.TimerHandle | None = None

    @contextlib.contextmanager
    def run(self) -> Iterator[None]:
        """Run the machine while the context is open."""
        with register_reader(self._socket, self._accept, self.flush):
            self._tick()
            try:
                yield
            finally:
                if self._wakeup is not None:
                    self._wakeup.cancel()

    def flush(self) -> None:
        """Send the machine's queued packets and schedule its next tick."""
        for inner in self.machine.stack.take_packets():
            send(self._socket, gue.encode(inner), self._target)
        self._schedule()

    def _accept(self, datagram: bytes, source: Endpoint) -> None:
        try:
            start, _ = gue.decode(datagram)
        except WireError:
            self.undecodable += 1
            return
        self.machine.receive(self._loop.time(), datagram[start:])

    def _tick(self) -> None:
        self._wakeup = None
        self.machine.tick(self._loop.time())
        self.flush()

    def _schedule(self) -> None:
        due = min(
            self.machine.deadline, self._loop.time() + MAX_TICK_INTERVAL_S
        )
        if self._wakeup is not None:
            if self._wakeup.when() <= due:
                return
            self._wakeup.cancel()
        self._wakeup = self._loop.call_at(due, self._tick)

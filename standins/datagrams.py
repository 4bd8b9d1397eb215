"""UDP sockets of the stand-ins, and the driver of a machine's TCP stack."""

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterator
from typing import Protocol

from apricottally import gue
from apricottally.addresses import Endpoint
from apricottally.errors import WireError
from standins.stack import Stack

MAX_DATAGRAM_BYTES = 65535
# Datagrams read before other sockets get their turn.
BATCH = 64
# The kernel may grant less; a burst of one download has to fit.
BUFFER_BYTES = 4 << 20
# Machines that keep past load reports need a steady tick.
MAX_SLEEP_S = 0.05


class Machine(Protocol):
    """A machine without I/O: a backend server or a caller."""

    stack: Stack

    @property
    def deadline(self) -> float:
        """When `tick` may be due."""

    def receive(self, now: float, inner: bytes) -> None:
        """Handle an inner packet."""

    def tick(self, now: float) -> None:
        """Run what is due."""


def open_socket(ip: str, port: int) -> socket.socket:
    """Return a bound UDP socket that does not block."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setblocking(False)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    opened.bind((ip, port))
    return opened


def send(opened: socket.socket, datagram: bytes, target: Endpoint) -> None:
    """Send a datagram; a full buffer drops it, as a network would."""
    with contextlib.suppress(BlockingIOError):
        opened.sendto(datagram, target)


@contextlib.contextmanager
def receive_from(
    opened: socket.socket,
    accept: Callable[[bytes, Endpoint], None],
    finish_batch: Callable[[], None] | None = None,
) -> Iterator[None]:
    """Pass on what arrives on a socket while the context lasts."""
    loop = asyncio.get_running_loop()
    loop.add_reader(opened, _drain, opened, accept, finish_batch)
    try:
        yield
    finally:
        loop.remove_reader(opened)


def _drain(
    opened: socket.socket,
    accept: Callable[[bytes, Endpoint], None],
    finish_batch: Callable[[], None] | None,
) -> None:
    with contextlib.suppress(BlockingIOError):
        for _ in range(BATCH):
            datagram, source = opened.recvfrom(MAX_DATAGRAM_BYTES)
            accept(datagram, source)
    if finish_batch is not None:
        finish_batch()


class Driver:
    """Connects a machine to a socket; its packets go to `target`."""

    def __init__(
        self,
        machine: Machine,
        opened: socket.socket,
        target: Endpoint,
    ) -> None:
        self.machine = machine
        self.foreign = 0
        self._socket = opened
        self._target = target
        self._loop = asyncio.get_running_loop()
        self._wakeup: asyncio.TimerHandle | None = None

    @contextlib.contextmanager
    def run(self) -> Iterator[None]:
        """Drive the machine while the context lasts."""
        with receive_from(self._socket, self._accept, self.flush):
            self._wake()
            try:
                yield
            finally:
                if self._wakeup is not None:
                    self._wakeup.cancel()

    def flush(self) -> None:
        """Send the machine's packets and wait for its next deadline."""
        for inner in self.machine.stack.take_packets():
            send(self._socket, gue.encode(inner), self._target)
        self._schedule()

    def _accept(self, datagram: bytes, source: Endpoint) -> None:
        try:
            start, _ = gue.decode(datagram)
        except WireError:
            self.foreign += 1
            return
        self.machine.receive(self._loop.time(), datagram[start:])

    def _wake(self) -> None:
        self._wakeup = None
        self.machine.tick(self._loop.time())
        self.flush()

    def _schedule(self) -> None:
        due = min(self.machine.deadline, self._loop.time() + MAX_SLEEP_S)
        if self._wakeup is not None:
            if self._wakeup.when() <= due:
                return
            self._wakeup.cancel()
        self._wakeup = self._loop.call_at(due, self._wake)

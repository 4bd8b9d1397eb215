"""UDP sockets drained in batches by the event loop.

asyncio's own datagram endpoints read one datagram per loop iteration, and an
iteration costs several times as much as the read. Here each reader callback
reads a batch of limited size. The limit also keeps the event loop fair: every
ready socket and timer is served once per iteration, so a flood on one socket
delays the others by at most one batch.
"""

import asyncio
import errno
import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import TypeAlias

from apricottally.addresses import Endpoint
from apricottally.counters import Counters
from apricottally.errors import SocketError

DatagramHandler: TypeAlias = Callable[[bytes, Endpoint], None]

# Upper limit of datagrams read per reader callback.
MAX_BATCH_DATAGRAMS = 64
# Longest accepted datagram: a packet of a jumbo frame, encapsulated. Reads ask
# for one byte more, so that a longer datagram is detected.
MAX_DATAGRAM_BYTES = 9128
# Size requested for each socket buffer; the kernel may grant less.
SOCKET_BUFFER_BYTES = 4 * 1024 * 1024

_PROBLEMS = {
    errno.EADDRINUSE: 'the port is in use',
    errno.EADDRNOTAVAIL: 'the address is not assigned to this machine',
    errno.EACCES: 'no permission to use the port',
}


class DatagramSocket:
    """A non-blocking UDP socket; `endpoint` is the bound address.

    Dropped datagrams are counted as `socket_dropped` by reason.
    """

    __slots__ = ('_counters', '_on_datagram', '_socket', 'endpoint')

    def __init__(
        self,
        bound: socket.socket,
        on_datagram: DatagramHandler,
        counters: Counters,
    ) -> None:
        self._socket = bound
        self._on_datagram = on_datagram
        self._counters = counters
        self.endpoint: Endpoint = bound.getsockname()

    def send(self, payload: bytes, dest: Endpoint) -> bool:
        """Send a datagram; return False if it was dropped.

        A datagram is dropped if the send buffer is full or the kernel
        reports an error.
        """
        try:
            self._socket.sendto(payload, dest)
        except BlockingIOError:
            self._counters.add('socket_dropped', 'send_buffer_full')
            return False
        except OSError as error:
            self._count_error('send', error)
            return False
        return True

    def drain(self) -> None:
        """Read at most one batch and pass each datagram to the handler."""
        receive = self._socket.recvfrom
        on_datagram = self._on_datagram
        for _ in range(MAX_BATCH_DATAGRAMS):
            try:
                payload, source = receive(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError as error:
                self._count_error('receive', error)
                return
            if len(payload) > MAX_DATAGRAM_BYTES:
                self._counters.add('socket_dropped', 'oversized')
                continue
            on_datagram(payload, source)

    def _count_error(self, action: str, error: OSError) -> None:
        name = errno.errorcode.get(error.errno or 0, 'unknown')
        self._counters.add('socket_dropped', f'{action}_{name}')


@contextmanager
def open_datagram_socket(
    endpoint: Endpoint,
    on_datagram: DatagramHandler,
    counters: Counters | None = None,
) -> Iterator[DatagramSocket]:
    """Bind a socket that the running event loop reads until the block ends.

    Raises `SocketError` if the address cannot be bound.
    """
    loop = asyncio.get_running_loop()
    bound = _bind_socket(endpoint)
    opened = DatagramSocket(bound, on_datagram, counters or Counters())
    loop.add_reader(bound, opened.drain)
    try:
        yield opened
    finally:
        loop.remove_reader(bound)
        bound.close()


def _bind_socket(endpoint: Endpoint) -> socket.socket:
    new_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    new_socket.setblocking(False)
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        new_socket.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
    try:
        new_socket.bind(endpoint)
    except (OSError, OverflowError) as error:
        new_socket.close()
        raise SocketError(endpoint, describe_bind_error(error)) from error
    return new_socket


def describe_bind_error(error: Exception) -> str:
    """Return the reason why an address cannot be bound, for operators."""
    number = getattr(error, 'errno', None)
    return _PROBLEMS.get(number or 0, str(error))

"""UDP sockets drained in batches by the event loop.

asyncio's own datagram endpoints read one datagram per loop iteration, which
costs several times the read itself. A reader callback here drains a bounded
batch. The bound is also what shares the loop: in one iteration every ready
socket and timer gets its turn, so a flood on one socket delays the others by
at most one batch.
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
from apricottally.gue import MAX_HEADER_LENGTH
from apricottally.packet import MAX_PACKET_LENGTH

OnDatagram: TypeAlias = Callable[[bytes, Endpoint], None]

# Datagrams read per reader callback.
BATCH_DATAGRAMS = 64
# One byte more than is accepted, so that a longer datagram shows.
MAX_DATAGRAM_BYTES = MAX_HEADER_LENGTH + MAX_PACKET_LENGTH
# Asked of the kernel, which may grant less.
BUFFER_BYTES = 4 * 1024 * 1024

_PROBLEMS = {
    errno.EADDRINUSE: 'the port is in use',
    errno.EADDRNOTAVAIL: 'the address is not on this machine',
    errno.EACCES: 'not allowed to use the port',
}


class DatagramSocket:
    """A non-blocking UDP socket; `endpoint` is the bound address.

    Dropped datagrams are counted as `socket_dropped` by reason.
    """

    __slots__ = ('_counters', '_on_datagram', '_socket', 'endpoint')

    def __init__(
        self,
        bound: socket.socket,
        on_datagram: OnDatagram,
        counters: Counters,
    ) -> None:
        self._socket = bound
        self._on_datagram = on_datagram
        self._counters = counters
        self.endpoint: Endpoint = bound.getsockname()

    def send(self, payload: bytes, dest: Endpoint) -> bool:
        """Send a datagram; a full buffer or a refusal drops and counts it."""
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
        """Read at most one batch and pass each datagram on."""
        receive = self._socket.recvfrom
        on_datagram = self._on_datagram
        for _ in range(BATCH_DATAGRAMS):
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
    on_datagram: OnDatagram,
    counters: Counters | None = None,
) -> Iterator[DatagramSocket]:
    """Bind a socket and have the running loop drain it until exit.

    Raises `SocketError` if the address cannot be bound.
    """
    loop = asyncio.get_running_loop()
    bound = _bind(endpoint)
    opened = DatagramSocket(bound, on_datagram, counters or Counters())
    loop.add_reader(bound, opened.drain)
    try:
        yield opened
    finally:
        loop.remove_reader(bound)
        bound.close()


def _bind(endpoint: Endpoint) -> socket.socket:
    created = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    created.setblocking(False)
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        created.setsockopt(socket.SOL_SOCKET, option, BUFFER_BYTES)
    try:
        created.bind(endpoint)
    except (OSError, OverflowError) as error:
        created.close()
        raise SocketError(endpoint, _describe(error)) from error
    return created


def _describe(error: Exception) -> str:
    number = getattr(error, 'errno', None)
    return _PROBLEMS.get(number or 0, str(error))

"""Datagram sockets: fair use of the event loop, counted drops, errors."""

import asyncio
import socket

import pytest

from apricottally import sockets
from apricottally.addresses import Endpoint
from apricottally.counters import Counters
from apricottally.errors import SocketError
from apricottally.gue import MAX_HEADER_LENGTH
from apricottally.packet import MAX_PACKET_LENGTH

ANY_PORT = ('127.0.0.1', 0)
FLOOD_DATAGRAMS = 1000
TIMEOUT_S = 5.0


def test_port_in_use_is_a_typed_error() -> None:
    """The error must name the address; a plain OSError does not."""

    async def run() -> None:
        with (
            sockets.open_datagram_socket(ANY_PORT, print) as first,
            pytest.raises(SocketError, match=r'127\.0\.0\.1:\d+: .*in use'),
            sockets.open_datagram_socket(first.endpoint, print),
        ):
            pytest.fail('bound twice')

    asyncio.run(run())


def test_flood_does_not_starve_other_sockets() -> None:
    """A flood on the packet socket must not delay pings or timers.

    The packet socket has a full buffer when a ping arrives and a timer is
    due. Both must be handled after at most two batches of packets.
    """
    seen: list[str] = []

    async def run() -> None:
        loop = asyncio.get_running_loop()
        done = asyncio.Event()

        def count(payload: bytes, source: Endpoint) -> None:
            seen.append('packet')
            if len(seen) >= FLOOD_DATAGRAMS // 2:
                done.set()

        with (
            sockets.open_datagram_socket(ANY_PORT, count) as packets,
            sockets.open_datagram_socket(
                ANY_PORT,
                lambda payload, source: seen.append('ping'),
            ) as peers,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender,
        ):
            for _ in range(FLOOD_DATAGRAMS):
                sender.sendto(b'x', packets.endpoint)
            sender.sendto(b'x', peers.endpoint)
            loop.call_later(0, seen.append, 'timer')
            await done.wait()

    asyncio.run(asyncio.wait_for(run(), TIMEOUT_S))
    assert 'ping' in seen[:130]
    assert 'timer' in seen[:130]


@pytest.mark.parametrize(
    ('error', 'reason'),
    [
        (BlockingIOError(), 'send_buffer_full'),
        (OSError(90, 'too long'), 'send_EMSGSIZE'),
    ],
)
def test_failed_send_is_counted(error: OSError, reason: str) -> None:
    """A failed send must not raise, as that would end the current batch."""

    class FailingSocket(socket.socket):
        def sendto(self, *arguments: object) -> int:
            raise error

    counters = Counters()
    with FailingSocket(socket.AF_INET, socket.SOCK_DGRAM) as bound:
        opened = sockets.DatagramSocket(bound, print, counters)
        assert not opened.send(b'x', ANY_PORT)
    assert counters.total('socket_dropped', reason) == 1


def test_oversized_datagram_is_counted() -> None:
    """A datagram that is too long must be dropped, not passed on truncated."""
    counters = Counters()
    seen: list[int] = []

    async def run() -> None:
        done = asyncio.Event()

        def count(payload: bytes, source: Endpoint) -> None:
            seen.append(len(payload))
            done.set()

        with (
            sockets.open_datagram_socket(ANY_PORT, count, counters) as opened,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender,
        ):
            longest = sockets.MAX_DATAGRAM_BYTES
            sender.sendto(bytes(longest + 1), opened.endpoint)
            sender.sendto(bytes(longest), opened.endpoint)
            await done.wait()

    asyncio.run(asyncio.wait_for(run(), TIMEOUT_S))
    assert seen == [sockets.MAX_DATAGRAM_BYTES]
    assert counters.total('socket_dropped', 'oversized') == 1


def test_longest_packet_fits() -> None:
    """The longest encapsulated packet must not be dropped as oversized."""
    longest = MAX_HEADER_LENGTH + MAX_PACKET_LENGTH
    assert longest == sockets.MAX_DATAGRAM_BYTES

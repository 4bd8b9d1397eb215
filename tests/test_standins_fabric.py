"""Tests of the fabric process and of its view of the live balancers."""

import asyncio
import os
import socket

import pytest

from apricottally import gue, packet
from standins import datagrams, fabric
from standins.balancerview import BalancerView
from standins.fabric import Fabric, FabricSettings

NET = f'127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250}'
FABRIC_IP = f'{NET}.1'
BALANCERS = (f'{NET}.2', f'{NET}.3')
BACKEND_IP = f'{NET}.4'
CALLER_IP = f'{NET}.5'
CALLER = (0x0A010001, 20_000)
SERVICE = (0x0A090001, 443)


def read_all(udp_socket: socket.socket) -> list[tuple[bytes, tuple[str, int]]]:
    """Return all datagrams queued on a socket, with their sources."""
    received = []
    while True:
        try:
            received.append(udp_socket.recvfrom(datagrams.MAX_DATAGRAM_BYTES))
        except BlockingIOError:
            return received


async def spray(count: int) -> dict[str, list[tuple[str, int]]]:
    """Send `count` packets both ways through a fabric, then one back.

    Returns the outer sources of the packets that each address received.
    """
    instance = Fabric(FabricSettings(FABRIC_IP, BALANCERS))
    for ip in BALANCERS:
        instance.view.record_poll(0, ip, ready=True)
    sockets = {
        ip: datagrams.open_socket(ip, 6080)
        for ip in (*BALANCERS, BACKEND_IP, CALLER_IP)
    }
    request = gue.encode(packet.build(*CALLER, *SERVICE, 1, 0, packet.SYN))
    reply = gue.encode(packet.build(*SERVICE, *CALLER, 1, 2, packet.ACK))
    with instance.run():
        for _ in range(count):
            target = (FABRIC_IP, fabric.CALLER_PORT)
            sockets[CALLER_IP].sendto(request, target)
            target = (FABRIC_IP, fabric.BACKEND_PORT)
            sockets[BACKEND_IP].sendto(reply, target)
        await asyncio.sleep(0.1)
        target = (FABRIC_IP, fabric.GATEWAY_PORT)
        sockets[BALANCERS[0]].sendto(reply, target)
        await asyncio.sleep(0.1)
    sources_by_ip = {
        ip: [source for _, source in read_all(udp_socket)]
        for ip, udp_socket in sockets.items()
    }
    for udp_socket in sockets.values():
        udp_socket.close()
    return sources_by_ip


def test_packets_are_sprayed_and_replies_keep_their_source() -> None:
    """Replies must keep the backend's outer address on the way to a balancer.

    A balancer identifies the backend by it. Forwarding from the fabric's own
    address would replace it.
    """
    sources_by_ip = asyncio.run(spray(100))
    for ip in BALANCERS:
        sources = [source[0] for source in sources_by_ip[ip]]
        assert 60 < len(sources) < 140
        assert 20 < sources.count(BACKEND_IP) < 80
        assert set(sources) == {BACKEND_IP, FABRIC_IP}
    assert [source[0] for source in sources_by_ip[CALLER_IP]] == [FABRIC_IP]
    assert not sources_by_ip[BACKEND_IP]


@pytest.mark.parametrize(
    ('polls', 'live'),
    [
        ([(0, True)], True),
        # Not ready: removed after one poll.
        ([(0, True), (0.5, False)], False),
        # No answer: kept until `lag_s` after the last answer.
        ([(0, True), (1, None)], True),
        ([(0, True), (1, None), (1.5, None)], False),
        # Never ready; ready again after it was removed.
        ([(0, None), (9, None)], False),
        ([(0, True), (0.5, False), (1, True)], True),
    ],
)
def test_polls_decide_which_balancers_are_live(
    polls: list[tuple[float, bool | None]],
    live: bool,
) -> None:
    """The view must drop unready balancers at once, silent ones after the lag.

    Dropping silent ones earlier would hide packets lost to a failed balancer.
    """
    view = BalancerView(lag_s=1.5)
    for now, ready in polls:
        view.record_poll(now, 'node', ready=ready)
    assert view.live == ['node'] * live

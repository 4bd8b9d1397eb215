"""The fabric sprays packets and keeps the sources that matter."""

import asyncio
import os
import socket

import pytest

from apricottally import gue, packet
from standins import datagrams, fabric
from standins.fabric import Fabric, FabricSettings
from standins.spray import BalancerView

NET = f'127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250}'
FABRIC_IP = f'{NET}.1'
BALANCERS = (f'{NET}.2', f'{NET}.3')
BACKEND_IP = f'{NET}.4'
CALLER_IP = f'{NET}.5'
CALLER = (0x0A010001, 20_000)
SERVICE = (0x0A090001, 443)


def take(opened: socket.socket) -> list[tuple[bytes, tuple[str, int]]]:
    """Return what has arrived on a socket."""
    found = []
    while True:
        try:
            found.append(opened.recvfrom(datagrams.MAX_DATAGRAM_BYTES))
        except BlockingIOError:
            return found


async def spray(count: int) -> dict[str, list[tuple[str, int]]]:
    """Send packets both ways; return the sources that each end saw."""
    started = Fabric(FabricSettings(FABRIC_IP, BALANCERS))
    for ip in BALANCERS:
        started.view.observe(0, ip, ready=True)
    ends = {
        ip: datagrams.open_socket(ip, 6080)
        for ip in (*BALANCERS, BACKEND_IP, CALLER_IP)
    }
    request = gue.encode(packet.build(*CALLER, *SERVICE, 1, 0, packet.SYN))
    reply = gue.encode(packet.build(*SERVICE, *CALLER, 1, 2, packet.ACK))
    with started.run():
        for _ in range(count):
            target = (FABRIC_IP, fabric.CALLER_PORT)
            ends[CALLER_IP].sendto(request, target)
            target = (FABRIC_IP, fabric.BACKEND_PORT)
            ends[BACKEND_IP].sendto(reply, target)
        await asyncio.sleep(0.1)
        target = (FABRIC_IP, fabric.GATEWAY_PORT)
        ends[BALANCERS[0]].sendto(reply, target)
        await asyncio.sleep(0.1)
    seen = {ip: [source for _, source in take(end)] for ip, end in ends.items()}
    for end in ends.values():
        end.close()
    return seen


def test_packets_are_sprayed_and_replies_keep_their_source() -> None:
    """Guards against replies that no longer name their backend."""
    seen = asyncio.run(spray(100))
    for ip in BALANCERS:
        sources = [source[0] for source in seen[ip]]
        assert 60 < len(sources) < 140
        assert 20 < sources.count(BACKEND_IP) < 80
        assert set(sources) == {BACKEND_IP, FABRIC_IP}
    assert [source[0] for source in seen[CALLER_IP]] == [FABRIC_IP]
    assert not seen[BACKEND_IP]


@pytest.mark.parametrize(
    ('polls', 'live'),
    [
        ([(0, True)], True),
        # Not ready: left out after one poll.
        ([(0, True), (0.5, False)], False),
        # No answer: kept until the lag is over.
        ([(0, True), (1, None)], True),
        ([(0, True), (1, None), (1.5, None)], False),
        # Never seen ready, or back again.
        ([(0, None), (9, None)], False),
        ([(0, True), (0.5, False), (1, True)], True),
    ],
)
def test_view_lags(
    polls: list[tuple[float, bool | None]],
    live: bool,
) -> None:
    """Guards against a fabric that knows more than it may."""
    view = BalancerView(lag_s=1.5)
    for now, ready in polls:
        view.observe(now, 'node', ready=ready)
    assert view.live == ['node'] * live

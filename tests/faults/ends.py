"""Clients and backends of the soak: the two ends of each flow."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from tests.faults import wire
from tests.faults.wire import Packet

ROUTE_IP = '198.18.0.1'
COPIES_S = (0.2, 0.6)
GIVE_UP_S = 1.4
DEADLINE_S = 3.0
WORK_S = 0.01


@dataclass
class Ledger:
    """What the two ends have seen, and every promise that broke."""

    outcomes: Counter = field(default_factory=Counter)
    runs: Counter = field(default_factory=Counter)
    broken: list[str] = field(default_factory=list)


class Backend(asyncio.DatagramProtocol):
    """One backend: takes flows, runs requests, answers the client."""

    def __init__(self, ident: int, service: str, ledger: Ledger) -> None:
        self.ident = ident
        self.service = service
        self.ledger = ledger
        self.flows: dict[tuple[int, int], dict] = {}
        self.alive = True
        self.disturbed_at: float = 0
        self.transport = None
        self.client_port = 0

    def connection_made(self, transport) -> None:
        self.transport = transport

    def datagram_received(self, payload: bytes, addr) -> None:
        if not self.alive or int.from_bytes(payload[:8], 'big') != self.ident:
            return
        packet = wire.decode(payload[8:])
        key = (packet.source, packet.source_port)
        if packet.flags & wire.SYN:
            self._take(key, packet)
            return
        flow = self.flows.get(key)
        if flow is None:
            self._send(packet.answer(wire.RST, sequence=packet.acknowledged))
            return
        if packet.acknowledged == flow['first'] + 1:
            flow['open'] = True
        flow['echo'] = packet.echo
        if packet.flags & wire.FIN:
            self.flows.pop(key)
        elif packet.data:
            self._run(flow, packet)

    def _take(self, key, packet: Packet) -> None:
        flow = self.flows.get(key)
        if flow is None or flow['syn'] != packet.sequence:
            flow = {
                'syn': packet.sequence,
                'first': random.getrandbits(31),
                'open': False,
                'answers': {},
            }
            self.flows[key] = flow
        flow['echo'] = packet.echo
        self._send(
            packet.answer(
                wire.SYN | wire.ACK,
                sequence=flow['first'],
                acknowledged=packet.sequence + 1,
                echo=packet.echo,
            )
        )

    def _run(self, flow: dict, packet: Packet) -> None:
        service, ident = packet.data.decode().split()
        if service != self.service:
            self.ledger.broken.append(f'{ident} ran at {self.service}')
        held = flow['answers'].get(packet.sequence)
        if held is not None:
            self._send(held)
            return
        self.ledger.runs[ident] += 1
        answer = packet.answer(
            wire.ACK,
            sequence=flow['first'] + 1 + len(flow['answers']) * 100,
            acknowledged=packet.sequence + len(packet.data),
            echo=packet.echo,
            data=f'answer {ident}'.encode(),
        )
        flow['answers'][packet.sequence] = answer
        loop = asyncio.get_running_loop()
        loop.call_later(WORK_S, self._send, answer)

    def _send(self, packet: Packet) -> None:
        if self.alive and self.transport is not None:
            dest = (wire.text(packet.dest), self.client_port)
            self.transport.sendto(packet.encode(), dest)


class Client(asyncio.DatagramProtocol):
    """One client address; each request has a flow, or shares one."""

    def __init__(
        self,
        ip: str,
        forward: Callable[[bytes, tuple], None],
        ledger: Ledger,
        excuse: Callable[[int], bool],
    ) -> None:
        self.ip = ip
        self.forward = forward
        self.ledger = ledger
        self.excuse = excuse
        self.ports = 1024
        self.waiting: dict[int, asyncio.Queue] = {}

    def datagram_received(self, payload: bytes, addr) -> None:
        packet = wire.decode(payload)
        queue = self.waiting.get(packet.dest_port)
        if queue is not None:
            queue.put_nowait(packet)

    async def talk(
        self, port: int, service: str, ident: str, requests: int
    ) -> str:
        """Open a flow and make requests; return how it ended."""
        self.ports += 1
        flow = Flow(self, self.ports, port)
        self.waiting[flow.port] = asyncio.Queue()
        try:
            outcome = await flow.open()
            for step in range(requests):
                if outcome == 'ok':
                    outcome = await flow.request(service, f'{ident}.{step}')
                    await asyncio.sleep(0.3 if requests > 1 else 0)
            if outcome == 'ok':
                flow.send(wire.FIN | wire.ACK)
        finally:
            self.waiting.pop(flow.port)
        self.ledger.outcomes[outcome] += 1
        return outcome


class Flow:
    """The client's end of one flow."""

    def __init__(self, client: Client, port: int, dest_port: int) -> None:
        self.client = client
        self.port = port
        self.dest_port = dest_port
        self.sequence = random.getrandbits(31)
        self.acknowledged = 0
        self.echo = 0

    def send(self, flags: int, data: bytes = b'') -> None:
        packet = Packet(
            flags,
            wire.number(self.client.ip),
            wire.number(ROUTE_IP),
            self.port,
            self.dest_port,
            self.sequence,
            self.acknowledged,
            self.echo,
            data,
        )
        self.client.forward(packet.encode(), (self.client.ip, self.port))

    async def open(self) -> str:
        loop = asyncio.get_running_loop()
        started = loop.time()
        queue = self.client.waiting[self.port]
        for until in (*COPIES_S, GIVE_UP_S):
            self.send(wire.SYN)
            left = started + until - loop.time()
            packet = await take(queue, left)
            if packet is None:
                continue
            if packet.flags & wire.RST:
                return 'refused'
            self.echo = packet.echo
            self.sequence += 1
            self.acknowledged = packet.sequence + 1
            self.send(wire.ACK)
            return 'ok'
        return 'unanswered'

    async def request(self, service: str, ident: str) -> str:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + DEADLINE_S
        queue = self.client.waiting[self.port]
        data = f'{service} {ident}'.encode()
        wait = 0.2
        while loop.time() < ends_at:
            self.send(wire.ACK, data)
            packet = await take(queue, wait)
            wait = min(2 * wait, 1.6)
            if packet is None or packet.flags & wire.SYN:
                continue
            if packet.flags & wire.RST:
                return self._end(packet, ident)
            if packet.data.decode() != f'answer {ident}':
                # A late copy of a former answer on the flow.
                continue
            self.echo = packet.echo
            self.sequence += len(data)
            self.acknowledged = packet.sequence + len(packet.data)
            self.send(wire.ACK)
            return 'ok'
        return 'expired'

    def _end(self, packet: Packet, ident: str) -> str:
        if packet.checksum == 0 and not self.client.excuse(self.echo):
            self.client.ledger.broken.append(
                f'{ident}: open flow reset, backend {self.echo:x}'
            )
        return 'reset'


async def take(queue: asyncio.Queue, wait_s: float) -> Packet | None:
    try:
        async with asyncio.timeout(max(wait_s, 0)):
            return await queue.get()
    except TimeoutError:
        return None

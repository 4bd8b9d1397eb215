"""Simulated clients and backends of the fault soak."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from tests.faults import wire
from tests.faults.wire import Packet

ROUTE_IP = '198.18.0.1'
# Times since the first SYN at which a client repeats it. An unanswered flow
# ends after `SYN_TIMEOUT_S`.
SYN_RETRY_TIMES_S = (0.2, 0.6)
SYN_TIMEOUT_S = 1.4
REQUEST_TIMEOUT_S = 3.0
PROCESSING_TIME_S = 0.01


@dataclass
class RunResults:
    """Results of a run, as observed by clients and backends.

    `outcomes` counts flows by how they ended, `executions` counts how often a
    backend has run each request. `violations` describes violated guarantees.
    """

    outcomes: Counter = field(default_factory=Counter)
    executions: Counter = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)


class Backend(asyncio.DatagramProtocol):
    """A backend: accepts flows, runs requests and responds to the client.

    `flows` contains the state of each flow by client IP and port. `state` is
    that of its record in the store, `records` the number of its records.
    """

    def __init__(self, number: int, service: str, results: RunResults) -> None:
        self.number = number
        self.service = service
        self.results = results
        self.flows: dict[tuple[int, int], dict] = {}
        self.alive = True
        self.state = 'ready'
        self.records = 0
        self.disturbed_at: float = 0
        self.transport = None
        self.client_port = 0

    def connection_made(self, transport) -> None:
        self.transport = transport

    def datagram_received(self, payload: bytes, addr) -> None:
        if not self.alive or int.from_bytes(payload[:8], 'big') != self.number:
            return
        packet = wire.decode(payload[8:])
        key = (packet.source, packet.source_port)
        if packet.flags & wire.SYN:
            self._accept_syn(key, packet)
            return
        flow = self.flows.get(key)
        if flow is None:
            self._send(
                packet.build_reply(wire.RST, sequence=packet.acknowledged)
            )
            return
        if packet.acknowledged == flow['first'] + 1:
            flow['open'] = True
        flow['echo'] = packet.echo
        if packet.flags & wire.FIN:
            self.flows.pop(key)
        elif packet.data:
            self._run_request(flow, packet)

    def _accept_syn(self, key, packet: Packet) -> None:
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
            packet.build_reply(
                wire.SYN | wire.ACK,
                sequence=flow['first'],
                acknowledged=packet.sequence + 1,
                echo=packet.echo,
            )
        )

    def _run_request(self, flow: dict, packet: Packet) -> None:
        service, request_id = packet.data.decode().split()
        if service != self.service:
            self.results.violations.append(
                f'{request_id} ran at {self.service}'
            )
        previous = flow['answers'].get(packet.sequence)
        if previous is not None:
            self._send(previous)
            return
        self.results.executions[request_id] += 1
        answer = packet.build_reply(
            wire.ACK,
            sequence=flow['first'] + 1 + len(flow['answers']) * 100,
            acknowledged=packet.sequence + len(packet.data),
            echo=packet.echo,
            data=f'answer {request_id}'.encode(),
        )
        flow['answers'][packet.sequence] = answer
        loop = asyncio.get_running_loop()
        loop.call_later(PROCESSING_TIME_S, self._send, answer)

    def _send(self, packet: Packet) -> None:
        if self.alive and self.transport is not None:
            dest = (wire.format_ip(packet.dest), self.client_port)
            self.transport.sendto(packet.encode(), dest)


class Client(asyncio.DatagramProtocol):
    """A client with one IP; its flows have one or more requests each.

    `queues` contains received packets by the port of the flow.
    """

    def __init__(
        self,
        ip: str,
        forward: Callable[[bytes, tuple], None],
        results: RunResults,
        is_reset_allowed: Callable[[int], bool],
    ) -> None:
        self.ip = ip
        self.forward = forward
        self.results = results
        self.is_reset_allowed = is_reset_allowed
        self.last_port = 1024
        self.queues: dict[int, asyncio.Queue] = {}

    def datagram_received(self, payload: bytes, addr) -> None:
        packet = wire.decode(payload)
        queue = self.queues.get(packet.dest_port)
        if queue is not None:
            queue.put_nowait(packet)

    async def run_flow(
        self, port: int, service: str, request_id: str, requests: int
    ) -> str:
        """Open a flow and send requests one by one; return the outcome."""
        self.last_port += 1
        flow = Flow(self, self.last_port, port)
        self.queues[flow.port] = asyncio.Queue()
        try:
            outcome = await flow.open()
            for step in range(requests):
                if outcome == 'ok':
                    outcome = await flow.request(
                        service, f'{request_id}.{step}'
                    )
                    await asyncio.sleep(0.3 if requests > 1 else 0)
            if outcome == 'ok':
                flow.send(wire.FIN | wire.ACK)
        finally:
            self.queues.pop(flow.port)
        self.results.outcomes[outcome] += 1
        return outcome


class Flow:
    """State of one flow at the client."""

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
            wire.parse_ip(self.client.ip),
            wire.parse_ip(ROUTE_IP),
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
        queue = self.client.queues[self.port]
        for wait_until in (*SYN_RETRY_TIMES_S, SYN_TIMEOUT_S):
            self.send(wire.SYN)
            remaining_s = started + wait_until - loop.time()
            packet = await receive_packet(queue, remaining_s)
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

    async def request(self, service: str, request_id: str) -> str:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + REQUEST_TIMEOUT_S
        queue = self.client.queues[self.port]
        data = f'{service} {request_id}'.encode()
        retry_wait_s = 0.2
        while loop.time() < deadline:
            self.send(wire.ACK, data)
            packet = await receive_packet(queue, retry_wait_s)
            retry_wait_s = min(2 * retry_wait_s, 1.6)
            if packet is None or packet.flags & wire.SYN:
                continue
            if packet.flags & wire.RST:
                return self._handle_reset(packet, request_id)
            if packet.data.decode() != f'answer {request_id}':
                # Delayed copy of an earlier response on the flow.
                continue
            self.echo = packet.echo
            self.sequence += len(data)
            self.acknowledged = packet.sequence + len(packet.data)
            self.send(wire.ACK)
            return 'ok'
        return 'expired'

    def _handle_reset(self, packet: Packet, request_id: str) -> str:
        if packet.checksum == 0 and not self.client.is_reset_allowed(self.echo):
            self.client.results.violations.append(
                f'{request_id}: open flow reset, backend {self.echo:x}'
            )
        return 'reset'


async def receive_packet(queue: asyncio.Queue, wait_s: float) -> Packet | None:
    try:
        async with asyncio.timeout(max(wait_s, 0)):
            return await queue.get()
    except TimeoutError:
        return None

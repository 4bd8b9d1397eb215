"""Simulated clients and backends of the fault soak."""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from tests.faults import wire
from tests.faults.checks import Checks, Opening
from tests.faults.touch import Disturbances
from tests.faults.wire import Packet

ROUTE_IP = '198.18.0.1'
# Times since the first SYN at which a client repeats it. An unanswered flow
# ends after `SYN_TIMEOUT_S`.
SYN_RETRY_TIMES_S = (0.2, 0.6)
SYN_TIMEOUT_S = 1.4
REQUEST_TIMEOUT_S = 3.0
# A backend sends an unanswered SYN+ACK again 8 times.
SYN_ACK_RETRY_TIMES_S = (0.2, 0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6)
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
    # The flow of a client by its IP and port.
    flows: dict[tuple[int, int], 'Flow'] = field(default_factory=dict)
    # Probability that a backend's SYN+ACK is lost.
    answer_loss: float = 0


class Backend(asyncio.DatagramProtocol):
    """A backend: accepts flows, runs requests and responds to the client.

    `flows` contains the state of each flow by client IP and port. `state` is
    that of its record in the store, `records` the number of its records.
    `drained_at` is when a stable store acknowledged that it drains.
    """

    def __init__(
        self, number: int, service: str, results: RunResults, checks: Checks
    ) -> None:
        self.number = number
        self.name = f'i-{number:08x}'
        self.service = service
        self.results = results
        self.checks = checks
        self.drained_at: float | None = None
        self.born_ms = time.time_ns() // 1_000_000
        self.ip = ''
        self.zone = ''
        self.disturbances = Disturbances()
        self.flows: dict[tuple[int, int], dict] = {}
        self.alive = True
        self.state = 'ready'
        self.records = 0
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
            self._accept_syn(key, packet, addr[0])
            return
        if key in self.results.flows:
            self.results.flows[key].record_arrival(self.ip)
        flow = self.flows.get(key)
        if flow is None:
            reset = packet.build_reply(wire.RST, sequence=packet.acknowledged)
            self._send(reset)
        else:
            self._receive_on_flow(key, flow, packet)

    def _receive_on_flow(self, key, flow: dict, packet: Packet) -> None:
        if not flow['open'] and packet.acknowledged != flow['first'] + 1:
            # It acknowledges another backend's SYN+ACK.
            return
        flow['open'] = True
        flow['echo'] = packet.echo
        if packet.flags & wire.FIN:
            self.flows.pop(key)
        elif packet.data:
            self._run_request(flow, packet)

    def _accept_syn(self, key, packet: Packet, node: str) -> None:
        flow = self.flows.get(key)
        if flow is None or flow['syn'] != packet.sequence:
            flow = {
                'syn': packet.sequence,
                'first': random.getrandbits(31),
                'open': False,
                'answers': {},
                'opening': self._describe_opening(key, packet, node),
            }
            self.flows[key] = flow
            self._repeat_answer(key, flow, list(SYN_ACK_RETRY_TIMES_S))
        flow['echo'] = packet.echo
        self._answer_syn(flow, packet)
        flow['packet'] = packet

    def _describe_opening(self, key, packet: Packet, node: str) -> Opening:
        sent_at = float('-inf')
        if key in self.results.flows:
            copy = min(packet.acknowledged, len(SYN_RETRY_TIMES_S))
            sent_at = self.results.flows[key].syn_times[copy]
        judged = self.checks.is_in_touch(node)
        return Opening(packet.dest_port, sent_at, node, judged)

    def _answer_syn(self, flow: dict, packet: Packet) -> None:
        if random.random() < self.results.answer_loss:
            return
        self._send(
            packet.build_reply(
                wire.SYN | wire.ACK,
                sequence=flow['first'],
                acknowledged=packet.sequence + 1,
                echo=flow['echo'],
            )
        )

    def _repeat_answer(self, key, flow: dict, delays: list[float]) -> None:
        """Send the SYN+ACK again until the flow is open or given up."""
        is_over = flow['open'] or self.flows.get(key) is not flow
        if is_over or not self.alive:
            return
        if not delays:
            self.flows.pop(key)
            return
        if 'packet' in flow:
            self._answer_syn(flow, flow['packet'])
        loop = asyncio.get_running_loop()
        loop.call_later(delays[0], self._repeat_answer, key, flow, delays[1:])

    def _run_request(self, flow: dict, packet: Packet) -> None:
        _, request_id = packet.data.decode().split()
        previous = flow['answers'].get(packet.sequence)
        if previous is not None:
            self._send(previous)
            return
        self.checks.check_opening(self, flow['opening'], request_id)
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

    `backends` are by IP.
    """

    def __init__(
        self,
        ip: str,
        forward: Callable[[bytes, tuple], str],
        results: RunResults,
        checks: Checks,
        backends: dict[str, Backend],
    ) -> None:
        self.ip = ip
        self.forward = forward
        self.results = results
        self.checks = checks
        self.backends = backends
        self.last_port = 1024

    def datagram_received(self, payload: bytes, addr) -> None:
        packet = wire.decode(payload)
        flow = self.results.flows.get((packet.dest, packet.dest_port))
        if flow is not None:
            flow.receive(packet, addr[0])

    async def run_flow(
        self, port: int, request_id: str, requests: int, pause_s: float = 0
    ) -> str:
        """Open a flow and send requests with pauses; return the outcome."""
        self.last_port += 1
        flow = Flow(self, self.last_port, port)
        key = (wire.parse_ip(self.ip), flow.port)
        self.results.flows[key] = flow
        try:
            outcome = await self._use(flow, request_id, requests, pause_s)
        finally:
            self.results.flows.pop(key)
        self.results.outcomes[outcome] += 1
        return outcome

    async def _use(
        self, flow: 'Flow', request_id: str, requests: int, pause_s: float
    ) -> str:
        outcome = await flow.open()
        for step in range(requests):
            if outcome != 'ok':
                return outcome
            outcome = await flow.request(f'{request_id}.{step}')
            if outcome == 'expired':
                flow.check_direction(request_id)
            await asyncio.sleep(pause_s)
        if outcome == 'ok':
            flow.send(wire.FIN | wire.ACK)
        return outcome


class Flow:
    """State of one flow at the client.

    `backend` is the IP of the backend whose SYN+ACK was acknowledged, `node`
    that of the node that the last packet was sent to. `syn_times` has the times
    of the SYN's copies.
    """

    def __init__(self, client: Client, port: int, dest_port: int) -> None:
        self.client = client
        self.port = port
        self.dest_port = dest_port
        self.sequence = random.getrandbits(31)
        self.acknowledged = 0
        self.echo = 0
        self.backend = ''
        self.node: str | None = None
        self.syn_times: list[float] = []
        # When packets reached other backends, since one reached its own.
        self.misdirected: list[float] = []
        self.received: asyncio.Queue[tuple[Packet, str]] = asyncio.Queue()

    def receive(self, packet: Packet, sender: str) -> None:
        """Take a packet; an open flow sends the last echo that it received."""
        if self.backend and not packet.flags & wire.RST:
            self.echo = packet.echo
        self.received.put_nowait((packet, sender))

    def record_arrival(self, backend_ip: str) -> None:
        """Record a packet that a backend has received."""
        if backend_ip == self.backend:
            self.misdirected.clear()
        elif self.backend:
            self.misdirected.append(asyncio.get_running_loop().time())

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
        source = (self.client.ip, self.port)
        self.node = self.client.forward(packet.encode(), source)

    async def open(self) -> str:
        loop = asyncio.get_running_loop()
        started = loop.time()
        for copy, wait_until in enumerate((*SYN_RETRY_TIMES_S, SYN_TIMEOUT_S)):
            # The acknowledgement number of a SYN counts its copies.
            self.acknowledged = copy
            self.syn_times.append(loop.time())
            self.send(wire.SYN)
            remaining_s = started + wait_until - loop.time()
            packet, sender = await self._read(remaining_s)
            if packet is None:
                continue
            if packet.flags & wire.RST:
                return 'refused'
            self.backend = sender
            self.echo = packet.echo
            self.sequence += 1
            self.acknowledged = packet.sequence + 1
            self.send(wire.ACK)
            return 'ok'
        return 'unanswered'

    async def request(self, request_id: str) -> str:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + REQUEST_TIMEOUT_S
        data = f'GET {request_id}'.encode()
        retry_wait_s = 0.2
        while loop.time() < deadline:
            self.send(wire.ACK, data)
            packet, sender = await self._read(retry_wait_s)
            retry_wait_s = min(2 * retry_wait_s, 1.6)
            if packet is None:
                continue
            if packet.flags & wire.RST:
                return self._handle_reset(sender, request_id)
            if packet.data.decode() == f'answer {request_id}':
                self.sequence += len(data)
                self.acknowledged = packet.sequence + len(packet.data)
                self.send(wire.ACK)
                return 'ok'
        return 'expired'

    async def _read(self, wait_s: float) -> tuple[Packet | None, str]:
        """Return the next packet and its sender's IP; None if there is none."""
        try:
            async with asyncio.timeout(max(wait_s, 0)):
                return await self.received.get()
        except TimeoutError:
            return None, ''

    def check_direction(self, request_id: str) -> None:
        """Check that packets without an answer reached the flow's backend."""
        backend = self.client.backends[self.backend]
        opened = (self.dest_port, self.syn_times[0])
        self.client.checks.check_direction(
            backend, self.node, opened, request_id, self.misdirected
        )

    def _handle_reset(self, sender: str, request_id: str) -> str:
        backend = self.client.backends[self.backend]
        if sender != self.backend:
            is_from_node = sender not in self.client.backends
            node = sender if is_from_node else self.node
            opened = (self.dest_port, self.syn_times[0])
            self.client.checks.check_reset(backend, node, opened, request_id)
        return 'reset'

"""A stand-in of a client (PROTOCOL.md, "Flows")."""

import asyncio
import random
from dataclasses import dataclass, field

from standins import wire
from standins.wire import Packet

SYN_COPIES_S = (0.2, 0.6)
OPEN_TIMEOUT_S = 1.4
RETRANSMIT_S = 0.2
MAX_RETRANSMIT_S = 1.6
# A reset of the balancer counts on an open flow if it is this near to the
# client's last acknowledgement.
RESET_WINDOW = 76_800


@dataclass
class Flow:
    """A flow at the client.

    `backend` is the address of the backend whose SYN+ACK it acknowledged.
    `resets` has the sender of each reset that the client got, `via` the names
    of the nodes that the routers gave its packets to.
    """

    port: int
    dest_port: int
    seq: int = field(default_factory=lambda: random.getrandbits(31))
    ack: int = 0
    echo: int = 0
    syn_at: float = 0
    backend: tuple | None = None
    ended: str = ''
    via: set = field(default_factory=set)
    resets: list = field(default_factory=list)
    inbox: asyncio.Queue = field(default_factory=asyncio.Queue)


class Client(asyncio.DatagramProtocol):
    """A client host; its flows start at consecutive ports."""

    def __init__(self, ip: str, zone: str, service_ip: str, world) -> None:
        self.ip = ip
        self.zone = zone
        self.service_ip = service_ip
        self.world = world
        self.flows: dict[int, Flow] = {}
        self._port = random.randrange(2000, 30000)
        self._transport = None

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, self.world.packet_port)
        )

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport) -> None:
        self._transport = transport

    def datagram_received(self, raw: bytes, source) -> None:
        packet = wire.decode(raw)
        flow = self.flows.get(packet.dest_port)
        if flow is None or packet.source_port != flow.dest_port:
            return
        if packet.flags & wire.RST:
            self._receive_reset(flow, packet, source)
            return
        # Every packet of the flow carries an echo; the last one counts.
        flow.echo = packet.echo
        flow.inbox.put_nowait((packet, source))

    def _receive_reset(self, flow: Flow, packet: Packet, source) -> None:
        distance = (packet.seq - flow.ack) & wire.MASK
        near = min(distance, (-distance) & wire.MASK) <= RESET_WINDOW
        if flow.backend is not None and not near:
            return
        flow.resets.append((source, packet.sum == 0, self.world.now()))
        flow.ended = 'reset'
        flow.inbox.put_nowait((packet, source))

    async def connect(self, dest_port: int) -> Flow:
        """Open a flow; `ended` tells why if it did not open."""
        self._port += 1
        flow = Flow(self._port, dest_port)
        self.flows[flow.port] = flow
        loop = asyncio.get_running_loop()
        started = loop.time()
        flow.syn_at = self.world.now()
        for copy, until in enumerate((*SYN_COPIES_S, OPEN_TIMEOUT_S)):
            self._send(flow, wire.SYN, ack=copy, echo=0)
            got = await self._receive(flow, started + until)
            if flow.ended:
                return flow
            if got is None:
                continue
            packet, source = got
            flow.backend = source
            flow.seq += 1
            flow.ack = (packet.seq + 1) & wire.MASK
            self._send(flow, wire.ACK)
            return flow
        flow.ended = 'unanswered'
        return flow

    async def request(
        self, flow: Flow, request_id: str, deadline_s: float
    ) -> str:
        """Send one request on an open flow; return how it ended."""
        text = f'GET / HTTP/1.1\r\nX-Apricottally-Request-Id: {request_id}'
        data = f'{text}\r\n\r\n'.encode()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + deadline_s
        wait_s = RETRANSMIT_S
        while loop.time() < deadline and not flow.ended:
            self._send(flow, wire.ACK, data)
            until = min(loop.time() + wait_s, deadline)
            while True:
                got = await self._receive(flow, until)
                if got is None or flow.ended:
                    break
                packet, _ = got
                if packet.flags & wire.SYN or packet.seq != flow.ack:
                    continue
                if packet.data:
                    return self._take_answer(flow, packet, data, request_id)
            wait_s = min(2 * wait_s, MAX_RETRANSMIT_S)
        return flow.ended or 'expired'

    def _take_answer(
        self, flow: Flow, packet: Packet, data: bytes, request_id: str
    ) -> str:
        flow.seq += len(data)
        flow.ack += len(packet.data) + bool(packet.flags & wire.FIN)
        self._send(flow, wire.ACK)
        if packet.flags & wire.FIN:
            self._send(flow, wire.ACK | wire.FIN)
            flow.ended = 'closed'
        body = packet.data.decode().partition('\r\n\r\n')[2]
        return 'ok' if body.startswith(f'{request_id} by ') else 'mixed'

    def finish(self, flow: Flow) -> None:
        """Close a flow and forget it."""
        if not flow.ended and flow.backend is not None:
            self._send(flow, wire.ACK | wire.FIN)
        self.flows.pop(flow.port, None)

    async def fetch(
        self, dest_port: int, request_id: str, deadline_s: float = 2
    ) -> tuple[str, Flow]:
        """Make one request on a flow of its own."""
        flow = await self.connect(dest_port)
        outcome = flow.ended
        if not outcome:
            outcome = await self.request(flow, request_id, deadline_s)
        self.finish(flow)
        return outcome, flow

    async def _receive(self, flow: Flow, until: float):
        left = until - asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(max(left, 0)):
                return await flow.inbox.get()
        except TimeoutError:
            return None

    def _send(
        self, flow: Flow, flags: int, data: bytes = b'', ack=None, echo=None
    ) -> None:
        packet = Packet(
            flags,
            wire.to_int(self.ip),
            wire.to_int(self.service_ip),
            flow.dest_port,
            flow.port,
            flow.seq,
            flow.ack if ack is None else ack,
            flow.echo if echo is None else echo,
            data,
        )
        node_name = self.world.route(self, packet)
        if node_name:
            flow.via.add(node_name)

    def send_raw(self, raw: bytes, dest: tuple) -> None:
        self._transport.sendto(raw, dest)

"""A stand-in of a backend in the form `echo` (PROTOCOL.md)."""

import asyncio
import base64
import json
import random
import time
from dataclasses import dataclass

from standins import wire
from standins.wire import Packet

RETRANSMIT_S = 0.2
MAX_RETRANSMIT_S = 1.6
MAX_RETRANSMISSIONS = 8
HEARTBEAT_S = 1.2


@dataclass
class Flow:
    """A flow; `seq` is the backend's next byte, `ack` the next of the client.

    `syn_at` is when its SYN arrived.
    """

    client: Packet
    first: int
    syn_at: float
    opened: bool = False
    seq: int = 0
    ack: int = 0
    echo: int = 0
    unacked: Packet | None = None
    timer: asyncio.TimerHandle | None = None


@dataclass
class Run:
    """A request that ran: when its flow's SYN arrived, and when it began."""

    request_id: str
    backend: str
    syn_at: float
    began_at: float


class Backend(asyncio.DatagramProtocol):
    """One incarnation of a backend, with its entry in the store.

    `loses` tells whether a packet to a client is lost on the way.
    """

    def __init__(self, store, service, ip, port, zone, world) -> None:
        self.number = random.getrandbits(32) or 1
        self.name = f'i-{self.number:08x}'
        self.store = store
        self.service = service
        self.ip = ip
        self.port = port
        self.zone = zone
        self.world = world
        self.state = 'ready'
        self.slots = 2
        self.alive = True
        self.seq_no = 0
        self._born_ms = int(time.time() * 1000)
        self.flows: dict[tuple, Flow] = {}
        self.draining_acked_at: float | None = None
        self._transport = None
        self._server = None
        self._heartbeats = None

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, self.port)
        )
        self._server = await asyncio.start_server(
            self._serve_health, self.ip, self.port
        )
        self.register()
        self._heartbeats = asyncio.create_task(self._heartbeat())

    def register(self) -> None:
        """Write the entry."""
        self.seq_no += 1
        entry = self._describe() | {'seq-no': self.seq_no}
        self.store.put(f'servers/{self.name}', entry)

    def _describe(self) -> dict:
        return {
            'service': self.service,
            'address': f'{self.ip}:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'cold-left-ms': 0,
            'born': self._born_ms,
        }

    async def _heartbeat(self) -> None:
        """Write the entry again if more than `seq-no` would change."""
        while self.alive:
            await asyncio.sleep(HEARTBEAT_S)
            if self.alive and self._read_entry() != self._describe():
                self.register()

    def _read_entry(self) -> dict | None:
        """Return the stored entry without `seq-no`, None if unreadable."""
        item = self.store.items.get(f'servers/{self.name}')
        if item is None:
            return None
        try:
            entry = json.loads(base64.b64decode(item['value']))
            entry.pop('seq-no', None)
        except (ValueError, RecursionError, AttributeError, TypeError):
            return None
        return entry

    def drain(self) -> None:
        """Report `draining`; the store has acknowledged it on return."""
        self.state = 'draining'
        self.register()
        self.draining_acked_at = self.world.now()

    def leave(self) -> None:
        """Exit after draining: the entry goes and nothing is answered."""
        self.store.delete(f'servers/{self.name}')
        self.close()

    def close(self) -> None:
        self.alive = False
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        if self._transport is not None:
            self._transport.close()
        if self._server is not None:
            self._server.close()
        for flow in self.flows.values():
            self._stop_timer(flow)

    def connection_made(self, transport) -> None:
        self._transport = transport

    def datagram_received(self, raw: bytes, source) -> None:
        number = wire.NUMBER.unpack_from(raw)[0]
        if number not in (0, self.number):
            return
        packet = wire.decode(raw[wire.NUMBER.size :])
        key = (packet.source, packet.source_port, packet.dest, packet.dest_port)
        if packet.flags & wire.SYN:
            self._accept(key, packet)
        elif key in self.flows:
            self._receive(key, self.flows[key], packet)
        elif not packet.flags & wire.RST:
            self._refuse(packet)

    def _accept(self, key, packet: Packet) -> None:
        flow = self.flows.get(key)
        if flow is None or (not flow.opened and flow.ack != packet.seq + 1):
            first = random.getrandbits(31)
            flow = Flow(packet, first, self.world.now(), seq=first + 1)
            flow.ack = packet.seq + 1
            self.flows[key] = flow
        if flow.opened:
            return
        flow.echo = packet.echo
        reply = self._build(flow, wire.SYN | wire.ACK)
        reply.seq = flow.first
        self._send_reliably(key, flow, reply)

    def _receive(self, key, flow: Flow, packet: Packet) -> None:
        if not flow.opened:
            if packet.ack != flow.first + 1:
                # It acknowledges another backend's SYN+ACK.
                return
            flow.opened = True
        flow.echo = packet.echo
        if flow.unacked is not None and packet.ack == flow.seq:
            self._stop_timer(flow)
        if packet.flags & wire.RST:
            self._forget(key)
        elif packet.flags & wire.FIN:
            flow.ack = packet.seq + len(packet.data) + 1
            self._send(self._build(flow, wire.FIN | wire.ACK))
            self._forget(key)
        elif packet.data and packet.seq == flow.ack:
            flow.ack += len(packet.data)
            asyncio.ensure_future(self._run(key, flow, packet.data))
        elif packet.data and flow.unacked is None:
            self._send(self._build(flow, wire.ACK))

    async def _run(self, key, flow: Flow, data: bytes) -> None:
        head = data.decode().split('\r\n')
        request_id = head[1].partition(': ')[2]
        now = self.world.now()
        self.world.ran(Run(request_id, self.name, flow.syn_at, now))
        await asyncio.sleep(self.world.work_s)
        if not self.alive or self.flows.get(key) is not flow:
            return
        body = f'{request_id} by {self.service}'
        answer = (
            'HTTP/1.1 200 OK\r\n'
            f'X-Apricottally-Server-Stamp: {self.name}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n{body}'
        ).encode()
        flags = wire.ACK | (wire.FIN if self.state == 'draining' else 0)
        reply = self._build(flow, flags)
        reply.data = answer
        flow.seq += len(answer) + bool(flags & wire.FIN)
        self._send_reliably(key, flow, reply)

    def _build(self, flow: Flow, flags: int) -> Packet:
        client = flow.client
        return Packet(
            flags,
            client.dest,
            client.source,
            client.source_port,
            client.dest_port,
            flow.seq,
            flow.ack,
            flow.echo,
        )

    def _refuse(self, packet: Packet) -> None:
        """Answer a packet of a flow that this backend does not hold."""
        flags = wire.ACK if packet.flags & wire.FIN else wire.RST
        self._send(
            Packet(
                flags,
                packet.dest,
                packet.source,
                packet.source_port,
                packet.dest_port,
                packet.ack,
                packet.seq,
                packet.echo,
            )
        )

    def _send_reliably(self, key, flow: Flow, packet: Packet) -> None:
        self._stop_timer(flow)
        flow.unacked = packet
        self._transmit(key, flow, packet, 0, RETRANSMIT_S)

    def _transmit(self, key, flow, packet, count, wait_s) -> None:
        if not self.alive:
            return
        if count > MAX_RETRANSMISSIONS:
            self._forget(key)
            return
        packet.echo = flow.echo
        self._send(packet)
        flow.timer = asyncio.get_running_loop().call_later(
            wait_s,
            self._transmit,
            key,
            flow,
            packet,
            count + 1,
            min(2 * wait_s, MAX_RETRANSMIT_S),
        )

    def _stop_timer(self, flow: Flow) -> None:
        flow.unacked = None
        if flow.timer is not None:
            flow.timer.cancel()
            flow.timer = None

    def _forget(self, key) -> None:
        flow = self.flows.pop(key, None)
        if flow is not None:
            self._stop_timer(flow)

    def _send(self, packet: Packet) -> None:
        if self.world.loses(packet):
            return
        dest = (wire.to_text(packet.dest), self.world.packet_port)
        self._transport.sendto(packet.encode(), dest)

    async def _serve_health(self, reader, writer) -> None:
        try:
            await reader.readuntil(b'\r\n\r\n')
            status = b'200 OK' if self.state == 'ready' else b'503 Leaving'
            writer.write(
                b'HTTP/1.1 %s\r\nContent-Length: 0\r\n'
                b'X-Apricottally-Instance-Id: %s\r\n\r\n'
                % (status, self.name.encode())
            )
            await writer.drain()
        except (OSError, EOFError):
            return
        finally:
            writer.close()

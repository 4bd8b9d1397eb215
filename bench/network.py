"""Nodes, callers and backends joined in one process, in virtual time.

A packet for a caller or a backend is handled at once. Replies, and each
caller's packet, go to a random node. Packets for a node that is gone are lost.
"""

import random
from collections import deque
from dataclasses import dataclass, field
from typing import TypeAlias

from apricottally import addresses, gue, packet
from apricottally.addresses import PACKET_PORT, Endpoint
from apricottally.effects import Effect, SendPacket, SendPeer
from apricottally.events import PacketReceived, PeerReceived, Ticked
from apricottally.packet import ACK, FIN, RST, SYN, Segment
from apricottally.reducer import reduce
from apricottally.state import NodeState
from bench import fleet

Caller: TypeAlias = tuple[int, int]
# Flows of one backend by caller; true once it has got a payload.
Connections: TypeAlias = dict[Caller, bool]
REQUEST = b'submission'
TICK_S = 0.1


@dataclass
class Flow:
    """An open flow as its caller sees it."""

    backend: str
    ts_ecr: int
    sent: int = 0


@dataclass
class Delivery:
    """What one caller's packet led to."""

    served: list[str] = field(default_factory=list)
    answers: list[Segment] = field(default_factory=list)


class Network:
    """All parties; `entries` are the nodes that get packets."""

    def __init__(self, seed: int) -> None:
        self.now: float = 1
        self.nodes: dict[int, NodeState] = {}
        self.entries: list[int] = []
        self.connections: dict[str, Connections] = {}
        self._rng = random.Random(seed)
        self._endpoints: dict[Endpoint, int] = {}
        self._delivery = Delivery()

    def add_node(self, index: int, node: NodeState) -> None:
        """Add a node that gets packets from now on."""
        self.nodes[index] = node
        self.entries.append(index)
        self._endpoints[node.members.own.packet] = index
        self._endpoints[node.members.own.peer] = index

    def remove_node(self, index: int) -> None:
        """Remove a node; packets for it are lost."""
        self.nodes.pop(index)
        if index in self.entries:
            self.entries.remove(index)

    def run_until(self, end: float) -> None:
        """Run the timers of all nodes."""
        while self.now < end:
            self.now += TICK_S
            for index in sorted(self.nodes):
                effects = reduce(self.nodes[index], Ticked(self.now, self.now))
                self._carry_out(index, effects)

    def send(self, inner: bytes, entry: int | None = None) -> Delivery:
        """Send a caller's packet by a node, a random one if none is named."""
        self._delivery = Delivery()
        index = self._rng.choice(self.entries) if entry is None else entry
        self._receive(index, fleet.FABRIC, gue.encode(inner))
        return self._delivery

    def _receive(self, index: int, source: Endpoint, datagram: bytes) -> None:
        node = self.nodes.get(index)
        if node is not None:
            event = PacketReceived(self.now, source, datagram)
            self._carry_out(index, reduce(node, event))

    def _carry_out(self, index: int, effects: list[Effect]) -> None:
        queue = deque((index, effect) for effect in effects)
        while queue:
            sender, effect = queue.popleft()
            if isinstance(effect, SendPacket):
                self._send_packet(sender, effect)
            elif isinstance(effect, SendPeer):
                queue.extend(self._send_peer(sender, effect))

    def _send_packet(self, sender: int, effect: SendPacket) -> None:
        dest = effect.dest
        index = self._endpoints.get(dest)
        if dest == fleet.GATEWAY:
            inner = packet.parse(effect.payload, gue.PLAIN_LENGTH)
            self._delivery.answers.append(inner)
        elif index is not None:
            source = fleet.build_member(sender).packet
            self._receive(index, source, effect.payload)
        else:
            self._serve(dest[0], effect.payload)

    def _send_peer(
        self,
        sender: int,
        effect: SendPeer,
    ) -> list[tuple[int, Effect]]:
        index = self._endpoints.get(effect.dest)
        node = None if index is None else self.nodes.get(index)
        if index is None or node is None:
            return []
        source = fleet.build_member(sender).peer
        event = PeerReceived(self.now, source, effect.payload)
        return [(index, answer) for answer in reduce(node, event)]

    def _serve(self, ip: str, datagram: bytes) -> None:
        """Act as a backend server with the parts of TCP that matter."""
        segment = packet.parse(datagram, gue.PLAIN_LENGTH)
        caller = segment.src_ip, segment.src_port
        held = self.connections.setdefault(ip, {})
        flags = segment.flags
        if flags & RST:
            held.pop(caller, None)
        elif flags & SYN:
            held.setdefault(caller, False)
            self._reply(ip, segment, SYN | ACK)
        elif caller not in held:
            self._reply(ip, segment, RST)
        elif flags & FIN:
            del held[caller]
            self._reply(ip, segment, FIN | ACK)
        else:
            held[caller] = True
            self._delivery.served.append(ip)
            self._reply(ip, segment, ACK)

    def _reply(self, ip: str, segment: Segment, flags: int) -> None:
        inner = fleet.build_reply(
            flags,
            ts_val=self.clock(ip),
            caller=(segment.src_ip, segment.src_port),
        )
        index = self._rng.choice(self.entries)
        self._receive(index, (ip, PACKET_PORT), gue.encode(inner))

    def clock(self, ip: str) -> int:
        """Return a backend's TSval; each has its own origin."""
        origin = addresses.parse_ip(ip) * 7919
        return (origin + int(self.now * 1000)) & 0xFFFFFFFF

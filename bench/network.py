"""A simulated network of nodes, callers and backends in virtual time.

Packets are delivered at once. Those of callers and backends go to a random
node. Packets for a removed node are lost.
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
from bench import fixtures

Caller: TypeAlias = tuple[int, int]
# Open flows of a backend by caller; true once the backend has received data.
Connections: TypeAlias = dict[Caller, bool]
REQUEST_PAYLOAD = b'submission'
TICK_S = 0.1


@dataclass
class Flow:
    """An open flow at its caller.

    `backend` is the IP address of the backend that accepted it.
    """

    backend: str
    ts_ecr: int
    sent: int = 0


@dataclass
class Delivery:
    """Result of sending a caller's packet.

    `serving_ips` are the backends that received data, `replies` the packets
    to callers.
    """

    serving_ips: list[str] = field(default_factory=list)
    replies: list[Segment] = field(default_factory=list)


class Network:
    """Delivers packets between nodes, backends and callers.

    `entry_nodes` are the nodes to which callers' and backends' packets go.
    """

    def __init__(self, seed: int) -> None:
        self.now: float = 1
        self.nodes: dict[int, NodeState] = {}
        self.entry_nodes: list[int] = []
        self.connections: dict[str, Connections] = {}
        self._rng = random.Random(seed)
        self._endpoints: dict[Endpoint, int] = {}
        self._delivery = Delivery()

    def add_node(self, index: int, node: NodeState) -> None:
        """Add a node and make it an entry node."""
        self.nodes[index] = node
        self.entry_nodes.append(index)
        self._endpoints[node.members.own.packet] = index
        self._endpoints[node.members.own.peer] = index

    def remove_node(self, index: int) -> None:
        """Remove a node; packets for it are lost."""
        self.nodes.pop(index)
        if index in self.entry_nodes:
            self.entry_nodes.remove(index)

    def run_until(self, end: float) -> None:
        """Advance the time to `end` and run the timers of all nodes."""
        while self.now < end:
            self.now += TICK_S
            for index in sorted(self.nodes):
                effects = reduce(self.nodes[index], Ticked(self.now, self.now))
                self._execute_effects(index, effects)

    def send(self, inner: bytes, entry_node: int | None = None) -> Delivery:
        """Send a caller's packet through a node, by default a random one."""
        self._delivery = Delivery()
        index = (
            self._rng.choice(self.entry_nodes)
            if entry_node is None
            else entry_node
        )
        self._receive(index, fixtures.FABRIC, gue.encode(inner))
        return self._delivery

    def _receive(self, index: int, source: Endpoint, datagram: bytes) -> None:
        node = self.nodes.get(index)
        if node is not None:
            event = PacketReceived(self.now, source, datagram)
            self._execute_effects(index, reduce(node, event))

    def _execute_effects(self, index: int, effects: list[Effect]) -> None:
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
        if dest == fixtures.GATEWAY:
            inner = packet.parse(effect.payload, gue.PLAIN_LENGTH)
            self._delivery.replies.append(inner)
        elif index is not None:
            source = fixtures.build_member(sender).packet
            self._receive(index, source, effect.payload)
        else:
            self._receive_at_backend(dest[0], effect.payload)

    def _send_peer(
        self,
        sender: int,
        effect: SendPeer,
    ) -> list[tuple[int, Effect]]:
        index = self._endpoints.get(effect.dest)
        node = None if index is None else self.nodes.get(index)
        if index is None or node is None:
            return []
        source = fixtures.build_member(sender).peer
        event = PeerReceived(self.now, source, effect.payload)
        return [(index, answer) for answer in reduce(node, event)]

    def _receive_at_backend(self, ip: str, datagram: bytes) -> None:
        """Handle a packet at a backend server, with minimal TCP behaviour."""
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
            self._delivery.serving_ips.append(ip)
            self._reply(ip, segment, ACK)

    def _reply(self, ip: str, segment: Segment, flags: int) -> None:
        inner = fixtures.build_backend_packet(
            flags,
            ts_val=self.read_backend_clock(ip),
            caller=(segment.src_ip, segment.src_port),
        )
        index = self._rng.choice(self.entry_nodes)
        self._receive(index, (ip, PACKET_PORT), gue.encode(inner))

    def read_backend_clock(self, ip: str) -> int:
        """Return a backend's current TSval; each backend has its own origin."""
        origin = addresses.parse_ip(ip) * 7919
        return (origin + int(self.now * 1000)) & 0xFFFFFFFF

"""The fake network of a long run: fabric, gateway, and who reaches whom."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from apricottally import addresses, dissemination, gue
from apricottally.addresses import PACKET_PORT, Endpoint
from apricottally.effects import PollLoad, SendPacket
from apricottally.events import LoadReported, PacketReceived
from soak.deployment import BackendPlan
from standins.client import Client
from standins.mesh import Mesh, Node
from standins.server import Server

FABRIC: Endpoint = ('10.254.0.1', PACKET_PORT)
GATEWAY: Endpoint = ('10.255.0.1', PACKET_PORT)
# One way, between any two machines.
MIN_DELAY_S = 0.0005
MAX_DELAY_S = 0.003
STEP_S = 0.01
# How often the fabric asks the nodes whether they are ready.
FABRIC_POLL_S = 0.5
# How long the fabric goes on sending to a node that does not answer.
FABRIC_LAG_S = 1.5
LOAD_DELAY_S = 0.2


@dataclass(slots=True)
class Host:
    """A backend server with its plan."""

    plan: BackendPlan
    server: Server


@dataclass(slots=True)
class Fabric:
    """The nodes that get packets, and when each answered last."""

    nodes: list[str] = field(default_factory=list)
    answered: dict[str, float] = field(default_factory=dict)


class Network:
    """Carries packets and polls between callers, nodes and backends."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.fabric = Fabric()
        self.hosts: dict[str, Host] = {}
        self.clients: dict[str, Client] = {}
        self._mesh: Mesh | None = None
        self._nodes_by_endpoint: dict[Endpoint, str] = {}

    @property
    def mesh(self) -> Mesh:
        """The nodes."""
        if self._mesh is None:
            raise RuntimeError('the network has no nodes')
        return self._mesh

    def join(self, mesh: Mesh) -> None:
        """Carry packets for these nodes from now on."""
        self._mesh = mesh
        self._nodes_by_endpoint = {
            (config.ip, config.packet_port): name
            for name, config in mesh.configs.items()
        }
        mesh.timeline.schedule(STEP_S, self._step)
        mesh.timeline.schedule(FABRIC_POLL_S, self._poll_nodes)

    def send_from_node(self, name: str, effect: SendPacket) -> None:
        """Deliver what a node sends: to callers, nodes or backends."""
        if effect.dest == GATEWAY:
            self._plan(lambda: self._deliver_to_caller(effect.payload))
            return
        target = self._nodes_by_endpoint.get(effect.dest)
        zone = self.mesh.configs[name].zone
        if target is not None:
            if self.are_joined(zone, self.mesh.configs[target].zone):
                config = self.mesh.configs[name]
                source = config.ip, config.packet_port
                self._plan_for_node(target, source, effect.payload)
            return
        host = self.hosts.get(effect.dest[0])
        if host is not None and self.are_joined(zone, host.plan.zone):
            inner = effect.payload[gue.PLAIN_LENGTH :]
            self._plan(lambda: self._deliver_to_backend(host, inner))

    def poll(self, name: str, node: Node, effect: PollLoad) -> None:
        """Answer polls of backends' load."""
        zone = self.mesh.configs[name].zone
        for ip in effect.ips:
            host = self.hosts.get(ip)
            report = None
            if host is not None and self.are_joined(zone, host.plan.zone):
                report = host.server.capacity.report(self.mesh.timeline.now)
            due = self.mesh.timeline.now + LOAD_DELAY_S
            event = LoadReported(due, ip, report)
            self.mesh.timeline.schedule(
                LOAD_DELAY_S,
                _bind_feed(self.mesh, name, node, event),
            )

    def are_joined(self, zone: str, other: str) -> bool:
        """Tell whether packets pass between two zones."""
        return all(
            (zone in cut) == (other in cut) for cut in self.mesh.partitions
        )

    def _step(self) -> None:
        """Run the timers of callers and backends."""
        now = self.mesh.timeline.now
        for client in self.clients.values():
            if client.deadline <= now:
                client.tick(now)
            self._flush(client, FABRIC)
        for ip, host in self.hosts.items():
            if host.server.deadline <= now:
                host.server.tick(now)
            self._flush(host.server, (ip, PACKET_PORT))
        self.mesh.timeline.schedule(STEP_S, self._step)

    def _flush(self, machine: Client | Server, source: Endpoint) -> None:
        """Spray what a machine sends over the nodes, each packet alone."""
        for inner in machine.stack.take_packets():
            if self.fabric.nodes:
                target = self.rng.choice(self.fabric.nodes)
                self._plan_for_node(target, source, gue.encode(inner))

    def _deliver_to_caller(self, datagram: bytes) -> None:
        inner = datagram[gue.PLAIN_LENGTH :]
        ip = addresses.format_ip(int.from_bytes(inner[16:20], 'big'))
        client = self.clients.get(ip)
        if client is not None:
            client.receive(self.mesh.timeline.now, inner)
            self._flush(client, FABRIC)

    def _deliver_to_backend(self, host: Host, inner: bytes) -> None:
        ip = host.plan.config.ip
        # A backend that crashed meanwhile has a new server.
        server = self.hosts[ip].server
        server.receive(self.mesh.timeline.now, inner)
        self._flush(server, (ip, PACKET_PORT))

    def _plan_for_node(
        self,
        target: str,
        source: Endpoint,
        datagram: bytes,
    ) -> None:
        self._plan(lambda: self._deliver_to_node(target, source, datagram))

    def _deliver_to_node(
        self,
        target: str,
        source: Endpoint,
        datagram: bytes,
    ) -> None:
        node = self.mesh.nodes.get(target)
        if node is not None:
            event = PacketReceived(self.mesh.timeline.now, source, datagram)
            self.mesh.dispatch(target, node, event)

    def _plan(self, action: Callable[[], None]) -> None:
        delay = self.rng.uniform(MIN_DELAY_S, MAX_DELAY_S)
        self.mesh.timeline.schedule(delay, action)

    def _poll_nodes(self) -> None:
        """Update the fabric's list, which lags behind deaths."""
        for name, node in self.mesh.nodes.items():
            if not node.paused:
                self.fabric.answered[name] = self.mesh.timeline.now
        self.fabric.nodes = [
            name for name in self.mesh.configs if self._is_listed(name)
        ]
        self.mesh.timeline.schedule(FABRIC_POLL_S, self._poll_nodes)

    def _is_listed(self, name: str) -> bool:
        answered = self.fabric.answered.get(name, -FABRIC_LAG_S)
        if self.mesh.timeline.now - answered >= FABRIC_LAG_S:
            return False
        node = self.mesh.nodes.get(name)
        if node is None or node.paused:
            return name in self.fabric.nodes
        state = node.state
        return state.shutdown.requested_at is None and dissemination.is_ready(
            state
        )


def _bind_feed(
    mesh: Mesh,
    name: str,
    node: Node,
    event: LoadReported,
) -> Callable[[], None]:
    return lambda: mesh.dispatch(name, node, event)

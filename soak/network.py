"""The simulated network of a long run: fabric, gateway and zone links."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from apricottally import addresses, dissemination, gue
from apricottally.addresses import PACKET_PORT, Endpoint
from apricottally.effects import PollLoad, SendPacket
from apricottally.events import LoadReported, PacketReceived
from soak.deployment import BackendSpec
from standins.client import Client
from standins.mesh import Mesh, Node
from standins.server import Server

FABRIC: Endpoint = ('10.254.0.1', PACKET_PORT)
GATEWAY: Endpoint = ('10.255.0.1', PACKET_PORT)
# One-way delay of a packet between any two hosts.
MIN_DELAY_S = 0.0005
MAX_DELAY_S = 0.003
# How often the timers of callers and backends are run.
TIMER_PERIOD_S = 0.01
# How often the fabric asks the nodes whether they are ready.
FABRIC_POLL_PERIOD_S = 0.5
# How long the fabric keeps sending to a node that does not answer.
FABRIC_TIMEOUT_S = 1.5
# Time from the poll of a backend's load to its report.
LOAD_REPORT_DELAY_S = 0.2


@dataclass(slots=True)
class BackendHost:
    """A running backend server and its spec."""

    spec: BackendSpec
    server: Server


@dataclass(slots=True)
class Fabric:
    """The nodes that get packets, and when each node last answered a poll."""

    nodes: list[str] = field(default_factory=list)
    last_answer_s: dict[str, float] = field(default_factory=dict)


class Network:
    """Carries packets and load polls between callers, nodes and backends."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.fabric = Fabric()
        self.backend_hosts: dict[str, BackendHost] = {}
        self.clients: dict[str, Client] = {}
        self._mesh: Mesh | None = None
        self._nodes_by_endpoint: dict[Endpoint, str] = {}

    @property
    def mesh(self) -> Mesh:
        """The nodes that are attached to the network."""
        if self._mesh is None:
            raise RuntimeError('the network has no nodes')
        return self._mesh

    def attach_nodes(self, mesh: Mesh) -> None:
        """Attach the nodes and start the periodic actions."""
        self._mesh = mesh
        self._nodes_by_endpoint = {
            (config.ip, config.packet_port): name
            for name, config in mesh.configs.items()
        }
        mesh.timeline.schedule(TIMER_PERIOD_S, self._run_timers)
        mesh.timeline.schedule(FABRIC_POLL_PERIOD_S, self._update_node_list)

    def send_from_node(self, name: str, effect: SendPacket) -> None:
        """Deliver a node's packet to a caller, another node or a backend."""
        if effect.dest == GATEWAY:
            self._schedule(lambda: self._deliver_to_caller(effect.payload))
            return
        target = self._nodes_by_endpoint.get(effect.dest)
        zone = self.mesh.configs[name].zone
        if target is not None:
            if self.are_connected(zone, self.mesh.configs[target].zone):
                config = self.mesh.configs[name]
                source = config.ip, config.packet_port
                self._schedule_for_node(target, source, effect.payload)
            return
        host = self.backend_hosts.get(effect.dest[0])
        if host is not None and self.are_connected(zone, host.spec.zone):
            inner = effect.payload[gue.PLAIN_LENGTH :]
            self._schedule(lambda: self._deliver_to_backend(host, inner))

    def poll_load(self, name: str, node: Node, effect: PollLoad) -> None:
        """Report the load of the polled backends, or None if unreachable."""
        zone = self.mesh.configs[name].zone
        for ip in effect.ips:
            host = self.backend_hosts.get(ip)
            report = None
            if host is not None and self.are_connected(zone, host.spec.zone):
                report = host.server.capacity.report(self.mesh.timeline.now)
            due = self.mesh.timeline.now + LOAD_REPORT_DELAY_S
            event = LoadReported(due, ip, report)
            self.mesh.timeline.schedule(
                LOAD_REPORT_DELAY_S,
                _bind_load_report(self.mesh, name, node, event),
            )

    def are_connected(self, zone: str, other: str) -> bool:
        """Tell whether packets can pass between two zones."""
        return all(
            (zone in cut) == (other in cut) for cut in self.mesh.partitions
        )

    def _run_timers(self) -> None:
        """Run due timers of callers and backends, and send their packets."""
        now = self.mesh.timeline.now
        for client in self.clients.values():
            if client.deadline <= now:
                client.tick(now)
            self._send_pending(client, FABRIC)
        for ip, host in self.backend_hosts.items():
            if host.server.deadline <= now:
                host.server.tick(now)
            self._send_pending(host.server, (ip, PACKET_PORT))
        self.mesh.timeline.schedule(TIMER_PERIOD_S, self._run_timers)

    def _send_pending(self, sender: Client | Server, source: Endpoint) -> None:
        """Send each pending packet to a node chosen at random."""
        for inner in sender.stack.take_packets():
            if self.fabric.nodes:
                target = self.rng.choice(self.fabric.nodes)
                self._schedule_for_node(target, source, gue.encode(inner))

    def _deliver_to_caller(self, datagram: bytes) -> None:
        inner = datagram[gue.PLAIN_LENGTH :]
        ip = addresses.format_ip(int.from_bytes(inner[16:20], 'big'))
        client = self.clients.get(ip)
        if client is not None:
            client.receive(self.mesh.timeline.now, inner)
            self._send_pending(client, FABRIC)

    def _deliver_to_backend(self, host: BackendHost, inner: bytes) -> None:
        ip = host.spec.config.ip
        # The backend may have crashed in the meantime and have a new server.
        server = self.backend_hosts[ip].server
        server.receive(self.mesh.timeline.now, inner)
        self._send_pending(server, (ip, PACKET_PORT))

    def _schedule_for_node(
        self,
        target: str,
        source: Endpoint,
        datagram: bytes,
    ) -> None:
        self._schedule(lambda: self._deliver_to_node(target, source, datagram))

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

    def _schedule(self, action: Callable[[], None]) -> None:
        delay = self.rng.uniform(MIN_DELAY_S, MAX_DELAY_S)
        self.mesh.timeline.schedule(delay, action)

    def _update_node_list(self) -> None:
        """Poll the nodes; a silent one stays listed for `FABRIC_TIMEOUT_S`."""
        for name, node in self.mesh.nodes.items():
            if not node.paused:
                self.fabric.last_answer_s[name] = self.mesh.timeline.now
        self.fabric.nodes = [
            name for name in self.mesh.configs if self._is_listed(name)
        ]
        self.mesh.timeline.schedule(
            FABRIC_POLL_PERIOD_S, self._update_node_list
        )

    def _is_listed(self, name: str) -> bool:
        last_answer_s = self.fabric.last_answer_s.get(name, -FABRIC_TIMEOUT_S)
        if self.mesh.timeline.now - last_answer_s >= FABRIC_TIMEOUT_S:
            return False
        node = self.mesh.nodes.get(name)
        if node is None or node.paused:
            return name in self.fabric.nodes
        state = node.state
        return state.shutdown.requested_at is None and dissemination.is_ready(
            state
        )


def _bind_load_report(
    mesh: Mesh,
    name: str,
    node: Node,
    event: LoadReported,
) -> Callable[[], None]:
    return lambda: mesh.dispatch(name, node, event)

"""Nodes, backends and callers on a simulated network in simulated time."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from apricottally import model
from apricottally.effects import Effect, Exit, PollLoad, SendPacket
from apricottally.events import (
    Record,
    ShutdownRequested,
)
from apricottally.model import Machine, MachineState
from soak.deployment import (
    BACKEND_SPECS,
    CALLER_IP,
    FLOOD_IP,
    NODES_PER_ZONE,
    TEMPLATES,
    WORKSPACES,
    BackendSpec,
    list_flood_work,
    list_steady_work,
)
from soak.network import BackendHost, Network
from standins.client import Client, ClientConfig
from standins.mesh import DatagramFaults, Mesh, Node
from standins.server import Server
from standins.workload import Work

# Time until all nodes know the members, the records and the backends.
STARTUP_S = 16.0


@dataclass(slots=True)
class Interval:
    """A span of simulated time; its end is infinite until it is known."""

    started_s: float
    ended_s: float = float('inf')


class PacketMesh(Mesh):
    """Nodes whose packets and load polls go through a simulated network.

    `exits` has the exit status of each node that has shut down.
    """

    def __init__(self, seed: int, network: Network) -> None:
        self._network = network
        self.exits: dict[str, int] = {}
        super().__init__(seed, NODES_PER_ZONE, DatagramFaults())

    def _carry_out(self, name: str, node: Node, effect: Effect) -> None:
        if isinstance(effect, SendPacket):
            self._network.send_from_node(name, effect)
        elif isinstance(effect, PollLoad):
            self._network.poll_load(name, node, effect)
        elif isinstance(effect, Exit):
            self.exits[name] = effect.status
            self.nodes.pop(name, None)
            self.platform.watchers.pop(name, None)
        else:
            super()._carry_out(name, node, effect)


class Simulation:
    """One deployment; all random choices derive from `seed`."""

    def __init__(self, seed: int) -> None:
        self.network = Network(seed)
        self.rng = self.network.rng
        self.backend_hosts = self.network.backend_hosts
        self.clients = self.network.clients
        self.fabric = self.network.fabric
        self.mesh = PacketMesh(seed, self.network)
        self.network.attach_nodes(self.mesh)
        # Crash times by backend IP address, and when zones were isolated.
        self.crashes: dict[str, list[float]] = {}
        self.partitions: list[Interval] = []
        for spec in BACKEND_SPECS:
            self.start_backend(spec)
            self.publish_machine(spec, MachineState.live)
        self._publish_all()

    @property
    def now(self) -> float:
        """Simulated monotonic time in seconds."""
        return self.mesh.timeline.now

    def run(self, duration_s: float) -> None:
        """Advance the simulation by some seconds."""
        self.mesh.run(duration_s)

    def start_callers(self) -> None:
        """Start the callers' steady load."""
        self._start_client(CALLER_IP, list_steady_work())

    def start_flood(self) -> None:
        """Start the flood of low-urgency flows; later calls do nothing."""
        if FLOOD_IP not in self.clients:
            self._start_client(FLOOD_IP, list_flood_work())

    def stop_flood(self) -> None:
        """End the flood of low-urgency flows."""
        client = self.clients.get(FLOOD_IP)
        if client is not None:
            client.stop(self.now)

    def start_backend(self, spec: BackendSpec) -> None:
        """Start a backend; one that already runs crashes and loses its state.

        Its journal is kept for the audit.
        """
        rng = random.Random(self.rng.getrandbits(64))
        server = Server(spec.config, rng, self.now)
        former = self.backend_hosts.get(spec.config.ip)
        if former is not None:
            server.journal = former.server.journal
            self.crashes.setdefault(spec.config.ip, []).append(self.now)
        self.backend_hosts[spec.config.ip] = BackendHost(spec, server)

    def isolate_zones(self, zones: frozenset[str]) -> Callable[[], None]:
        """Isolate zones from the others; return a function that ends this."""
        interval = Interval(self.now)
        self.partitions.append(interval)
        self.mesh.partitions.append(zones)
        return partial(self._reconnect_zones, zones, interval)

    def publish_machine(self, spec: BackendSpec, state: MachineState) -> None:
        """Write a backend's machine record to the platform."""
        config = spec.config
        machine = Machine(config.service, spec.zone, config.ip, state)
        self.mesh.platform.write(
            f'{model.MACHINE_PREFIX}{config.name}',
            model.encode_json(machine),
        )

    def publish(
        self, key: str, body: model.Template | model.Workspace
    ) -> Record:
        """Store an operator's change; here it is never rejected."""
        op = f'{self.rng.getrandbits(64):016x}'
        return self.mesh.platform.write(
            key,
            model.encode_document(op, 'soak', body),
        )

    def stop_node(self, name: str) -> None:
        """Ask a node for a graceful shutdown."""
        node = self.mesh.nodes.get(name)
        if node is not None:
            self.mesh.dispatch(name, node, ShutdownRequested(self.now))

    def _reconnect_zones(
        self, zones: frozenset[str], interval: Interval
    ) -> None:
        self.mesh.partitions.remove(zones)
        interval.ended_s = self.now

    def _publish_all(self) -> None:
        for name, template in TEMPLATES.items():
            self.publish(f'{model.TEMPLATE_PREFIX}{name}', template)
        for name, workspace in WORKSPACES.items():
            self.publish(f'{model.WORKSPACE_PREFIX}{name}', workspace)

    def _start_client(self, ip: str, works: tuple[Work, ...]) -> None:
        rng = random.Random(self.rng.getrandbits(64))
        config = ClientConfig(f'caller-{ip}', ip, works)
        self.clients[ip] = Client(config, rng, self.now)

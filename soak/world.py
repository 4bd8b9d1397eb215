"""Nodes, backends and callers joined by a fake fabric over simulated time."""

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
    BACKENDS,
    CALLER_IP,
    FLOOD_IP,
    TEMPLATES,
    WORKSPACES,
    ZONES,
    BackendPlan,
    plan_flood,
    plan_works,
)
from soak.network import Host, Network
from standins.client import Client, ClientConfig
from standins.mesh import DatagramFaults, Mesh, Node
from standins.server import Server
from standins.workload import Work

# Time until nodes know each other, the records and the backends.
START_S = 16.0


@dataclass(slots=True)
class Interval:
    """A span of simulated time that may not have ended."""

    started_s: float
    ended_s: float = float('inf')


class PacketMesh(Mesh):
    """A mesh that gives packets and polls to the world around it."""

    def __init__(self, seed: int, network: Network) -> None:
        self._network = network
        self.exits: dict[str, int] = {}
        super().__init__(seed, ZONES, DatagramFaults())

    def _carry_out(self, name: str, node: Node, effect: Effect) -> None:
        if isinstance(effect, SendPacket):
            self._network.send_from_node(name, effect)
        elif isinstance(effect, PollLoad):
            self._network.poll(name, node, effect)
        elif isinstance(effect, Exit):
            self.exits[name] = effect.status
            self.nodes.pop(name, None)
            self.platform.watchers.pop(name, None)
        else:
            super()._carry_out(name, node, effect)


class World:
    """One deployment; `seed` decides everything."""

    def __init__(self, seed: int) -> None:
        self.network = Network(seed)
        self.rng = self.network.rng
        self.hosts = self.network.hosts
        self.clients = self.network.clients
        self.fabric = self.network.fabric
        self.mesh = PacketMesh(seed, self.network)
        self.network.join(self.mesh)
        # When each backend crashed, by address, and when zones were cut off.
        self.crashes: dict[str, list[float]] = {}
        self.cuts: list[Interval] = []
        for plan in BACKENDS:
            self.start_backend(plan)
            self.list_machine(plan, MachineState.live)
        self._publish_all()

    @property
    def now(self) -> float:
        """Simulated monotonic time in seconds."""
        return self.mesh.timeline.now

    def run(self, duration_s: float) -> None:
        """Run everything for some seconds."""
        self.mesh.run(duration_s)

    def start_callers(self) -> None:
        """Start the steady work."""
        self._start_client(CALLER_IP, plan_works())

    def start_flood(self) -> None:
        """Start a rush of the least urgent work, once."""
        if FLOOD_IP not in self.clients:
            self._start_client(FLOOD_IP, plan_flood())

    def stop_flood(self) -> None:
        """End the rush."""
        client = self.clients.get(FLOOD_IP)
        if client is not None:
            client.stop(self.now)

    def start_backend(self, plan: BackendPlan) -> None:
        """Start a backend, or one that crashed without anything it knew."""
        rng = random.Random(self.rng.getrandbits(64))
        server = Server(plan.config, rng, self.now)
        former = self.hosts.get(plan.config.ip)
        if former is not None:
            server.journal = former.server.journal
            self.crashes.setdefault(plan.config.ip, []).append(self.now)
        self.hosts[plan.config.ip] = Host(plan, server)

    def cut_zones(self, zones: frozenset[str]) -> Callable[[], None]:
        """Cut zones off from the others; return what ends the cut."""
        interval = Interval(self.now)
        self.cuts.append(interval)
        self.mesh.partitions.append(zones)
        return partial(self._mend_zones, zones, interval)

    def list_machine(self, plan: BackendPlan, state: MachineState) -> None:
        """Put a backend on the platform's list."""
        config = plan.config
        machine = Machine(config.service, plan.zone, config.ip, state)
        self.mesh.platform.write(
            f'{model.MACHINE_PREFIX}{config.name}',
            model.encode_json(machine),
        )

    def publish(
        self, key: str, body: model.Template | model.Workspace
    ) -> Record:
        """Store an operators' change; its acceptance is certain here."""
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

    def _mend_zones(self, zones: frozenset[str], interval: Interval) -> None:
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

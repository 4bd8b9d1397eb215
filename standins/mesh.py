"""Simulation of many nodes in one process, connected by a fake network.

Only the nodes' reducers run, without sockets or real time. Loss, duplication
and delay of datagrams are random, determined by the seed. Delays differ, so
datagrams are reordered.
"""

import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from apricottally.addresses import Endpoint
from apricottally.effects import (
    Effect,
    SendPeer,
    StartWatch,
    StopWatch,
    SwapRecord,
)
from apricottally.events import Event, PeerReceived, Ticked
from apricottally.reducer import reduce
from apricottally.state import NodeConfig, NodeState
from standins.fakeplatform import FakePlatform, Watcher
from standins.timeline import Timeline

TICK_INTERVAL_S = 0.1
# Unix time at the start of a simulation.
START_UNIX_S = 1_700_000_000
# Length of the IPv4 and UDP headers of a datagram.
HEADER_BYTES = 28
SEEDS_PER_ZONE = 3
MIN_DELAY_S = 0.0002


@dataclass(slots=True)
class DatagramFaults:
    """Faults of the simulated network.

    `loss` and `duplication` are probabilities for each datagram.
    """

    loss: float = 0
    duplication: float = 0
    max_delay_s: float = 0.005


@dataclass(slots=True)
class Node:
    """A running node; `pending_events` arrived while it was paused."""

    state: NodeState
    paused: bool = False
    pending_events: list[Event] = field(default_factory=list)


class Mesh:
    """Simulated nodes, keyed by name, and the platform.

    Each set of zones in `partitions` can reach neither the other zones nor
    the platform. `sent_bytes` counts bytes sent by each node, headers
    included, `bytes_by_type` those of each message type, and `effects` the
    effects of each type. `cpu_s` is the time spent in reducers.
    """

    def __init__(
        self,
        seed: int,
        zones: dict[str, int],
        faults: DatagramFaults | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.faults = faults or DatagramFaults()
        self.timeline = Timeline()
        self.platform = FakePlatform(self.timeline)
        self.nodes: dict[str, Node] = {}
        self.partitions: list[frozenset[str]] = []
        self.cpu_s = float(0)
        self.sent_bytes: Counter[str] = Counter()
        self.bytes_by_type: Counter[int] = Counter()
        self.effects: Counter[str] = Counter()
        self.configs = build_configs(zones)
        self._names_by_endpoint = {
            (config.ip, config.peer_port): name
            for name, config in self.configs.items()
        }
        for name in self.configs:
            self.start(name)

    def start(self, name: str) -> None:
        """Start a node with empty state, also after it was killed."""
        rng = random.Random(self.rng.getrandbits(64))
        node = Node(NodeState(self.configs[name], rng))
        self.nodes[name] = node
        delay = TICK_INTERVAL_S * self.rng.random()
        self.timeline.schedule(delay, lambda: self._tick(name, node))

    def kill(self, name: str) -> None:
        """End a node without notice to the other nodes."""
        self.nodes.pop(name)
        self.platform.watchers.pop(name, None)

    def pause(self, name: str) -> None:
        """Pause a node as SIGSTOP does; state and sockets are kept."""
        self.nodes[name].paused = True

    def resume(self, name: str) -> None:
        """Resume a paused node.

        Its timer fires before it reads the datagrams queued in its sockets.
        """
        node = self.nodes[name]
        node.paused = False
        pending_events = tuple(node.pending_events)
        now = self.timeline.now
        self.dispatch(name, node, Ticked(now, START_UNIX_S + now))
        node.pending_events.clear()
        for event in pending_events:
            self.dispatch(name, node, event)

    def run(self, duration_s: float) -> None:
        """Advance simulated time by `duration_s`."""
        self.timeline.run(duration_s)

    def run_until(self, check: Callable[[], bool], limit_s: float) -> float:
        """Run until `check` returns true; return the simulated seconds.

        Returns infinity if it is still false after `limit_s`.
        """
        start = self.timeline.now
        while not check():
            if self.timeline.now - start >= limit_s:
                return float('inf')
            self.run(TICK_INTERVAL_S)
        return self.timeline.now - start

    def dispatch(self, name: str, node: Node, event: Event) -> None:
        """Pass an event to a node's reducer and carry out its effects.

        Events of a paused node are queued, those of a killed one dropped.
        """
        if self.nodes.get(name) is not node:
            return
        if node.paused:
            node.pending_events.append(event)
            return
        started = time.perf_counter()
        effects = reduce(node.state, event)
        self.cpu_s += time.perf_counter() - started
        for effect in effects:
            self._carry_out(name, node, effect)

    def list_states(self) -> list[NodeState]:
        """Return the states of all nodes that have not been killed."""
        return [node.state for node in self.nodes.values()]

    def can_reach_platform(self, name: str) -> bool:
        """Tell whether the node's zone is connected to the platform."""
        zone = self.configs[name].zone
        return not any(zone in zones for zones in self.partitions)

    def _tick(self, name: str, node: Node) -> None:
        if self.nodes.get(name) is not node:
            return
        if not node.paused:
            now = self.timeline.now
            self.dispatch(name, node, Ticked(now, START_UNIX_S + now))
        self.timeline.schedule(TICK_INTERVAL_S, lambda: self._tick(name, node))

    def _carry_out(self, name: str, node: Node, effect: Effect) -> None:
        self.effects[type(effect).__name__] += 1
        if isinstance(effect, SendPeer):
            self._send(name, effect)
        elif isinstance(effect, StartWatch):
            self.platform.watch(name, self._build_watcher(name, node))
        elif isinstance(effect, StopWatch):
            self.platform.watchers.pop(name, None)
        elif isinstance(effect, SwapRecord):
            self.platform.swap(self._build_watcher(name, node), effect)

    def _build_watcher(self, name: str, node: Node) -> Watcher:
        return Watcher(
            feed=lambda event: self.dispatch(name, node, event),
            is_reachable=lambda: self.can_reach_platform(name),
        )

    def _send(self, name: str, effect: SendPeer) -> None:
        size = len(effect.payload) + HEADER_BYTES
        self.sent_bytes[name] += size
        self.bytes_by_type[effect.payload[1]] += size
        copies = 1
        if self.rng.random() < self.faults.duplication:
            copies += 1
        for _ in range(copies):
            if self.rng.random() >= self.faults.loss:
                self._plan_delivery(name, effect)

    def _plan_delivery(self, sender: str, effect: SendPeer) -> None:
        delay = self.rng.uniform(MIN_DELAY_S, self.faults.max_delay_s)
        self.timeline.schedule(delay, lambda: self._deliver(sender, effect))

    def _deliver(self, sender: str, effect: SendPeer) -> None:
        name = self._names_by_endpoint.get(effect.dest, '')
        node = self.nodes.get(name)
        if node is None:
            return
        source = self.configs[sender]
        zone = self.configs[name].zone
        if all(
            (source.zone in zones) == (zone in zones)
            for zones in self.partitions
        ):
            endpoint = (source.ip, source.peer_port)
            now = self.timeline.now
            event = PeerReceived(now, endpoint, effect.payload)
            self.dispatch(name, node, event)


def build_configs(zones: dict[str, int]) -> dict[str, NodeConfig]:
    """Return the settings of all nodes, keyed by name.

    `zones` gives the number of nodes in each zone. The first nodes of each
    zone are the seeds of all nodes.
    """
    configs: dict[str, NodeConfig] = {}
    seeds: list[Endpoint] = []
    for index, (zone, count) in enumerate(sorted(zones.items())):
        for number in range(count):
            config = _build_config(zone, index, number)
            configs[config.name] = config
            if number < SEEDS_PER_ZONE:
                seeds.append((config.ip, config.peer_port))
    return {
        name: replace(config, seeds=tuple(seeds))
        for name, config in configs.items()
    }


def _build_config(zone: str, index: int, number: int) -> NodeConfig:
    return NodeConfig(
        name=f'node-{zone}-{number:04d}',
        zone=zone,
        ip=f'10.{index}.{number // 250}.{number % 250 + 1}',
        packet_port=6080,
        peer_port=6081,
        gateway=('10.255.0.1', 6080),
        strict=True,
    )

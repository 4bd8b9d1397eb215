"""Reducers of many nodes in one process, joined by a fake transport.

Time is simulated. Loss, duplication and delay of datagrams come from the
seed; delays differ, so datagrams overtake each other.
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

TICK_S = 0.1
# Unix time at the start of a run.
START_S = 1_700_000_000
# Bytes of the IP and UDP headers of a datagram.
HEADER_BYTES = 28
SEED_NODES = 3
MIN_DELAY_S = 0.0002


@dataclass(slots=True)
class Faults:
    """Shares of datagrams lost and sent twice, and the largest delay."""

    loss: float = 0
    duplication: float = 0
    max_delay_s: float = 0.005


@dataclass(slots=True)
class Node:
    """A running node; `missed` are events that came while it was paused."""

    state: NodeState
    paused: bool = False
    missed: list[Event] = field(default_factory=list)


class Mesh:
    """Nodes by name and the platform.

    `cuts` are sets of zones cut off from the others and the platform.
    `sent` counts bytes by node, headers included, and `kinds` by type of
    message; `cpu_s` is the time spent in reducers.
    """

    def __init__(
        self,
        seed: int,
        zones: dict[str, int],
        faults: Faults | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.faults = faults or Faults()
        self.timeline = Timeline()
        self.platform = FakePlatform(self.timeline)
        self.nodes: dict[str, Node] = {}
        self.cuts: list[frozenset[str]] = []
        self.cpu_s = float(0)
        self.sent: Counter[str] = Counter()
        self.kinds: Counter[int] = Counter()
        self.effects: Counter[str] = Counter()
        self.configs = build_configs(zones)
        self._names = {
            (config.ip, config.peer_port): name
            for name, config in self.configs.items()
        }
        for name in self.configs:
            self.start(name)

    def start(self, name: str) -> None:
        """Start a node, or a killed one again without anything it knew."""
        rng = random.Random(self.rng.getrandbits(64))
        node = Node(NodeState(self.configs[name], rng))
        self.nodes[name] = node
        delay = TICK_S * self.rng.random()
        self.timeline.plan(delay, lambda: self._tick(name, node))

    def kill(self, name: str) -> None:
        """End a node without a word."""
        self.nodes.pop(name)
        self.platform.watchers.pop(name, None)

    def pause(self, name: str) -> None:
        """Stop a node's process; it keeps its state and its sockets."""
        self.nodes[name].paused = True

    def resume(self, name: str) -> None:
        """Let a paused node go on.

        Its timer fires before it reads what waited in its sockets.
        """
        node = self.nodes[name]
        node.paused = False
        missed = tuple(node.missed)
        now = self.timeline.now
        self.feed(name, node, Ticked(now, START_S + now))
        node.missed.clear()
        for event in missed:
            self.feed(name, node, event)

    def run(self, duration_s: float) -> None:
        """Run all events of the next seconds."""
        self.timeline.run(duration_s)

    def run_until(self, check: Callable[[], bool], limit_s: float) -> float:
        """Run until the check holds; return the time it took in seconds."""
        start = self.timeline.now
        while not check():
            if self.timeline.now - start >= limit_s:
                return float('inf')
            self.run(TICK_S)
        return self.timeline.now - start

    def feed(self, name: str, node: Node, event: Event) -> None:
        """Give a node an event and carry out the effects."""
        if self.nodes.get(name) is not node:
            return
        if node.paused:
            node.missed.append(event)
            return
        started = time.perf_counter()
        effects = reduce(node.state, event)
        self.cpu_s += time.perf_counter() - started
        for effect in effects:
            self._carry_out(name, node, effect)

    def list_states(self) -> list[NodeState]:
        """Return the states of all nodes that have not been killed."""
        return [node.state for node in self.nodes.values()]

    def reaches_platform(self, name: str) -> bool:
        """Tell whether a node's calls get to the platform."""
        zone = self.configs[name].zone
        return not any(zone in zones for zones in self.cuts)

    def _tick(self, name: str, node: Node) -> None:
        if self.nodes.get(name) is not node:
            return
        if not node.paused:
            now = self.timeline.now
            self.feed(name, node, Ticked(now, START_S + now))
        self.timeline.plan(TICK_S, lambda: self._tick(name, node))

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
            feed=lambda event: self.feed(name, node, event),
            reaches=lambda: self.reaches_platform(name),
        )

    def _send(self, name: str, effect: SendPeer) -> None:
        size = len(effect.payload) + HEADER_BYTES
        self.sent[name] += size
        self.kinds[effect.payload[1]] += size
        copies = 1
        if self.rng.random() < self.faults.duplication:
            copies += 1
        for _ in range(copies):
            if self.rng.random() >= self.faults.loss:
                self._plan_delivery(name, effect)

    def _plan_delivery(self, sender: str, effect: SendPeer) -> None:
        delay = self.rng.uniform(MIN_DELAY_S, self.faults.max_delay_s)
        self.timeline.plan(delay, lambda: self._deliver(sender, effect))

    def _deliver(self, sender: str, effect: SendPeer) -> None:
        name = self._names.get(effect.dest, '')
        node = self.nodes.get(name)
        if node is None:
            return
        source = self.configs[sender]
        zone = self.configs[name].zone
        if all((source.zone in cut) == (zone in cut) for cut in self.cuts):
            endpoint = (source.ip, source.peer_port)
            now = self.timeline.now
            event = PeerReceived(now, endpoint, effect.payload)
            self.feed(name, node, event)


def build_configs(zones: dict[str, int]) -> dict[str, NodeConfig]:
    """Return the settings of all nodes; the first of each zone are seeds."""
    configs: dict[str, NodeConfig] = {}
    seeds: list[Endpoint] = []
    for index, (zone, count) in enumerate(sorted(zones.items())):
        for number in range(count):
            config = _build_config(zone, index, number)
            configs[config.name] = config
            if number < SEED_NODES:
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

"""The state of a node: every table that the reducer reads and changes."""

from __future__ import annotations

import random

import msgspec

from apricottally.addresses import Endpoint
from apricottally.budgets import Budget
from apricottally.counters import Counters
from apricottally.invariants import Invariants
from apricottally.tagged.answertime import AnswerTime
from apricottally.tagged.catalog import Catalog, Entry
from apricottally.tagged.demand import Demand
from apricottally.tagged.durations import Durations
from apricottally.tagged.flows import FlowTable
from apricottally.tagged.freshness import Freshness
from apricottally.tagged.messages import Peer
from apricottally.tagged.neighbours import Neighbours
from apricottally.tagged.occupancy import Occupancy
from apricottally.tagged.reading import Reading
from apricottally.tagged.records import Backend
from apricottally.tagged.suspicion import Suspicion


class NodeConfig(msgspec.Struct, frozen=True):
    """What a node is told at start.

    `peer_port` is the port for datagrams and pulls of other nodes, `seeds`
    are such endpoints. `stale_s` is the age from which records count as old,
    `watch_wait_s` how long a watch waits. `leave_s` is the time between the
    end of readiness and the exit, `grace_s` that between a request to stop
    and a kill. Heartbeats may take `heartbeat_bytes_per_s`.
    """

    name: str
    zone: str
    ip: str
    peer_port: int
    seeds: tuple[Endpoint, ...] = ()
    stale_s: float = 1.65
    watch_wait_s: float = 1.0
    leave_s: float = 1.4
    grace_s: float = 6.0
    heartbeat_bytes_per_s: float = 60_000
    strict: bool = False


class NodeState:  # noqa: WPS230
    """Everything a node knows; owned by the reducer."""

    def __init__(
        self,
        config: NodeConfig,
        rng: random.Random,
        now: float,
    ) -> None:
        self.config = config
        self.rng = rng
        self.started_at = now
        self.counters = Counters()
        self.invariants = Invariants(self.counters, strict=config.strict)
        self.catalog = Catalog()
        self.freshness = Freshness(config.stale_s)
        self.occupancy = Occupancy()
        self.suspicion = Suspicion()
        self.flows = FlowTable(self.occupancy)
        self.answer_time = AnswerTime()
        self.durations = Durations()
        self.demand = Demand()
        self.reading = Reading()
        own = Peer(
            config.name,
            config.zone,
            config.ip,
            config.peer_port,
            rng.getrandbits(32),
        )
        self.neighbours = Neighbours(own, config.seeds)
        self.budget = Budget(
            config.heartbeat_bytes_per_s, config.heartbeat_bytes_per_s
        )
        self.sequence = 0
        self.heartbeat_at = now
        self.remote_heartbeat_at = now
        self.heartbeat_due = True
        self.behind_since: float | None = None
        self.pulling_since: float | None = None
        self.asked_to_stop_at: float | None = None
        self.stopping_since: float | None = None
        self.ticked_at = now
        self.reviewed_at = float('-inf')
        self.purged_at = now
        # When each backend that is slow after its start becomes fast.
        self._cold_until: dict[int, tuple[int, float]] = {}

    @property
    def stopping(self) -> bool:
        """Whether this node is leaving; it is no longer ready."""
        return self.stopping_since is not None

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 if none is."""
        configuration = self.catalog.configuration
        return 0 if configuration is None else configuration.version

    @property
    def ready(self) -> bool:
        """Whether the node should get packets."""
        known = self.catalog.configuration is not None
        return known and not self.stopping

    def cold_until(self, entry: Entry, backend: Backend) -> float:
        """Return when a backend stops being slow after its start."""
        held = self._cold_until.get(backend.tag)
        if held is None or held[0] != entry.revision:
            until = self.ticked_at + backend.cold_ms / 1000
            held = (entry.revision, until)
            self._cold_until[backend.tag] = held
        return held[1]

"""The state of a node, which the reducer reads and changes."""

from __future__ import annotations

import random

from apricottally.counters import Counters
from apricottally.invariants import Invariants
from apricottally.tagged.answertime import AnswerTime
from apricottally.tagged.catalog import Catalog
from apricottally.tagged.clocks.bounds import ClockBounds, NodeClock
from apricottally.tagged.coldstart import create_cold_starts
from apricottally.tagged.demand import Demand
from apricottally.tagged.durations import Durations
from apricottally.tagged.flows import FlowTable
from apricottally.tagged.freshness import Freshness
from apricottally.tagged.gossiptargets import GossipTargets
from apricottally.tagged.hedging.tables import Hedging
from apricottally.tagged.neighbours import Neighbours
from apricottally.tagged.nodeconfig import NodeConfig
from apricottally.tagged.occupancy import Occupancy
from apricottally.tagged.platformreads import ReadState
from apricottally.tagged.queueing.waiting import WaitingQueue
from apricottally.tagged.suspicion import Suspicion
from apricottally.tagged.zoneloads.forwarding import Forwarding
from apricottally.tokenbucket import TokenBucket

# A longer gap between ticks means that the process was not running.
PAUSE_THRESHOLD_S = 0.15


class NodeState:  # noqa: WPS230
    """All tables and timestamps of a node."""

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
        self.clock = NodeClock(now)
        self.clock_bounds = ClockBounds()
        self.occupancy = Occupancy(config.zone)
        self.zone_forwarding = Forwarding()
        # When this node's zone last had a full backend.
        self.zone_full_at = float('-inf')
        self.suspicion = Suspicion()
        self.flows = FlowTable(self.occupancy)
        self.hedging = Hedging(config.hedge_share)
        self.answer_time = AnswerTime()
        self.durations = Durations()
        self.demand = Demand()
        self.waiting = WaitingQueue()
        self.read_state = ReadState()
        own = config.build_peer(rng.getrandbits(32))
        self.neighbours = Neighbours(own, config.seeds)
        self.cold_starts = create_cold_starts(
            config.name, config.zone, (own.ip, own.port), config.seeds
        )
        self.gossip_targets = GossipTargets(self.neighbours)
        self.heartbeat_budget = TokenBucket(
            config.heartbeat_bytes_per_s, config.heartbeat_bytes_per_s
        )
        self.heartbeat_sequence = 0
        self.last_heartbeat_at = now
        self.last_remote_heartbeat_at = now
        # Number of heartbeats that were also sent to other zones.
        self.remote_round = 0
        self.heartbeat_due = True
        self.behind_since: float | None = None
        self.pulling_since: float | None = None
        self.stop_requested_at: float | None = None
        self.stopping_since: float | None = None
        self.ticked_at = now
        self.reviewed_at = float('-inf')
        self.purged_at = now

    @property
    def stopping(self) -> bool:
        """Whether this node is shutting down and therefore not ready."""
        return self.stopping_since is not None

    def is_paused(self, now: float) -> bool:
        """Tell whether the process has not been running until now."""
        return now - self.ticked_at > PAUSE_THRESHOLD_S

    @property
    def configuration_version(self) -> int:
        """Version of the current configuration; 0 if there is none."""
        configuration = self.catalog.configuration
        return 0 if configuration is None else configuration.version

    @property
    def ready(self) -> bool:
        """Whether the node should receive packets."""
        known = self.catalog.configuration is not None
        return known and not self.stopping

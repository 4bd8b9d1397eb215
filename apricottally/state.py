"""The state of a node, which the reducer reads and changes."""

import random
from dataclasses import dataclass

from apricottally.addresses import Endpoint
from apricottally.counters import Counters
from apricottally.explanation import DecisionLog
from apricottally.flows import Admissions
from apricottally.invariants import Invariants
from apricottally.members import Member, MemberTable
from apricottally.protocolstates import create_protocol_states
from apricottally.records import RecordStore
from apricottally.routes import RouteTable
from apricottally.shards import OwnerCache
from apricottally.shutdown import Shutdown
from apricottally.silentflows import StaleFlows, TimestampClocks
from apricottally.unknownpackets import HandoverBudget


@dataclass(frozen=True, slots=True)
class NodeConfig:
    """Configuration of a node, fixed at start.

    `gateway` receives the packets to callers. `seeds` are the peer endpoints
    of nodes to contact first. With `strict`, a violated invariant raises
    `InvariantError`.
    """

    name: str
    zone: str
    ip: str
    packet_port: int
    peer_port: int
    gateway: Endpoint
    seeds: tuple[Endpoint, ...] = ()
    strict: bool = False

    def build_member(self) -> Member:
        """Build the entry of this node in the member table."""
        return Member(
            self.name,
            self.zone,
            self.ip,
            self.packet_port,
            self.peer_port,
        )


class NodeState:  # noqa: WPS230
    """All state of a node; only the reducer changes it."""

    def __init__(self, config: NodeConfig, rng: random.Random) -> None:
        self.config = config
        self.rng = rng
        self.counters = Counters()
        self.invariants = Invariants(self.counters, strict=config.strict)
        self.records = RecordStore()
        self.routes = RouteTable()
        self.members = MemberTable(config.build_member())
        self.protocols = create_protocol_states(self.members.own)
        self.owners = OwnerCache(self.members)
        self.admissions = Admissions()
        self.decisions = DecisionLog()
        self.timestamp_clocks = TimestampClocks()
        self.stale_flows = StaleFlows()
        self.handover_budget = HandoverBudget()
        self.shutdown = Shutdown()

    @property
    def stopping(self) -> bool:
        """Whether a graceful shutdown has started."""
        return self.shutdown.requested_at is not None

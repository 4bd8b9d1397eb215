"""The state of a node: every table that the reducer reads and changes."""

import random
from dataclasses import dataclass

from apricottally.addresses import Endpoint
from apricottally.control import create_control
from apricottally.counters import Counters
from apricottally.explanation import Decisions
from apricottally.flows import Admissions
from apricottally.invariants import Invariants
from apricottally.members import Member, MemberTable
from apricottally.records import RecordStore
from apricottally.routes import RouteTable
from apricottally.shards import OwnerCache
from apricottally.shutdown import Shutdown
from apricottally.silentflows import StaleFlows, TimestampClocks
from apricottally.unknownpackets import HandoverBudget


@dataclass(frozen=True, slots=True)
class NodeConfig:
    """What a node is told at start.

    `gateway` is where packets to callers go; `seeds` are peer endpoints of
    other nodes.
    """

    name: str
    zone: str
    ip: str
    packet_port: int
    peer_port: int
    gateway: Endpoint
    seeds: tuple[Endpoint, ...] = ()
    strict: bool = False

    def member(self) -> Member:
        """Return the entry of this node in the member table."""
        return Member(
            self.name,
            self.zone,
            self.ip,
            self.packet_port,
            self.peer_port,
        )


class NodeState:  # noqa: WPS230
    """Everything a node knows; owned by the reducer."""

    def __init__(self, config: NodeConfig, rng: random.Random) -> None:
        self.config = config
        self.rng = rng
        self.counters = Counters()
        self.invariants = Invariants(self.counters, strict=config.strict)
        self.records = RecordStore()
        self.routes = RouteTable()
        self.members = MemberTable(config.member())
        self.control = create_control(self.members.own)
        self.owners = OwnerCache(self.members)
        self.admissions = Admissions()
        self.decisions = Decisions()
        self.clocks = TimestampClocks()
        self.suspects = StaleFlows()
        self.unknown_budget = HandoverBudget()
        self.shutdown = Shutdown()

    @property
    def stopping(self) -> bool:
        """Whether a graceful shutdown has begun."""
        return self.shutdown.since is not None

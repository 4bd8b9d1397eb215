"""Flows that an owner admits, and the tables that hold them."""

from __future__ import annotations

import enum
import heapq
from dataclasses import dataclass, field

from apricottally import packet
from apricottally.balance import TAKEOVER_S, BackendLoad
from apricottally.fairqueue import RANKS, Entry, FairQueue
from apricottally.model import Holding
from apricottally.overload import SynBudget
from apricottally.packet import Segment
from apricottally.reserve import SlotReserve
from apricottally.retries import RetryBudgets
from apricottally.routes import Route, Service
from apricottally.shards import Shard

# Time for which a flow without a slot is kept after its SYN-ACK, and an ended
# one after its end. SYNs and SYN-ACKs retransmitted within it are recognized.
LINGER_S = 5.0
# Time for which the end of a flow is remembered, so that a retransmitted FIN
# is counted once. It exceeds the first gaps between retransmissions.
CLOSING_S = 15.0
# Time for which a refusal is remembered: two first gaps between SYNs.
REFUSED_S = 3.0
_SEQ_MASK = 0xFFFFFFFF
# Bytes that a flow may have sent before its end is taken for an older one's.
_MAX_ACKNOWLEDGED = 1 << 30


class Phase(enum.Enum):
    """Life of a flow at its owner.

    `retrying` flows wait for another backend after one was given up. `over`
    covers closed and refused flows, kept for a time for late packets.
    """

    waiting = 'waiting'
    retrying = 'retrying'
    sent = 'sent'
    established = 'established'
    over = 'over'


@dataclass(slots=True, eq=False)
class Flow:
    """One flow, from its SYN until it ends or needs no state any more.

    `syn` is the inner packet without payload, `segment` its fields. `tried`
    are the backend numbers given up. `passed` says that a SYN-ACK was passed
    on; from then on the flow is never refused. `refusal` is the reason if it
    was. `timer` names its current timer.
    """

    key: bytes
    route: Route
    owned: OwnedShard
    syn: bytes
    segment: Segment
    deadline: float
    phase: Phase = Phase.waiting
    load: BackendLoad | None = None
    tried: tuple[int, ...] = ()
    sent_at: float = 0
    retry_reason: str = ''
    passed: bool = False
    refusal: str = ''
    timer: int = 0

    @property
    def number(self) -> int:
        """The number of the chosen backend, -1 if there is none."""
        return -1 if self.load is None else self.load.backend.number

    @property
    def holds(self) -> Holding:
        """What the flow holds at its backend."""
        return self.route.template.holds

    def take(self, load: BackendLoad) -> None:
        """Hold a slot or connection of a backend."""
        self.load = load
        load.take(self.holds)
        if self.holds is Holding.slot:
            rank = RANKS[self.route.template.urgency]
            self.owned.reserve.held[rank] += 1

    def free(self) -> None:
        """Count what the flow holds at its backend as free again."""
        if self.load is None:
            return
        self.load.free(self.holds)
        if self.holds is Holding.slot:
            rank = RANKS[self.route.template.urgency]
            self.owned.reserve.held[rank] -= 1

    def entry(self) -> Entry[Flow]:
        """Return the flow's entry for the queue."""
        route = self.route
        return Entry(
            self,
            route.template.urgency,
            route.workspace,
            route.share,
            self.deadline,
            route.template.queue_limit,
        )

    def answers(self, segment: Segment) -> bool:
        """Tell whether a backend's packet acknowledges this flow's SYN."""
        if not segment.flags & packet.ACK:
            return False
        return segment.ack == (self.segment.seq + 1) & _SEQ_MASK

    def may_continue(self, segment: Segment) -> bool:
        """Tell whether a backend's packet acknowledges this flow's data.

        An end of the flow that had the same ports before does not.
        """
        if not (segment.flags & packet.ACK and segment.seq):
            return False
        sent = (segment.ack - self.segment.seq - 1) & _SEQ_MASK
        return sent < _MAX_ACKNOWLEDGED


@dataclass(slots=True, eq=False)
class OwnedShard:
    """A shard that this node admits for, with its backends and queues.

    `loads` are the backends whose records let them take new flows, `active`
    those that seem to be alive as well. `complete` says that a
    former owner handed its counts over, so reports are not needed, `adopted`
    that a takeover is over, `is_owner` that the members name this node; only
    then is it sure that answers come here.
    `retrying` holds flows that are due for another backend. `reserve` keeps
    slots for urgent work. `was_owner` says that the members have named this
    node, `handed_over` that the next owner has got what was admitted here.
    """

    shard: Shard
    service: Service
    since: float
    loads: list[BackendLoad] = field(default_factory=list)
    active: list[BackendLoad] = field(default_factory=list)
    queues: dict[Holding, FairQueue[Flow]] = field(default_factory=dict)
    retrying: list[Flow] = field(default_factory=list)
    was_owner: bool = False
    handed_over: bool = False
    reserve: SlotReserve = field(default_factory=SlotReserve)
    complete: bool = False
    adopted: bool = False
    is_owner: bool = False
    used_at: float = 0

    def is_takeover(self, now: float) -> bool:
        """Tell whether this owner does not know yet what runs."""
        return not self.complete and now - self.since < TAKEOVER_S

    @property
    def slots(self) -> int:
        """The slots of the backends that may get new flows."""
        return sum(load.backend.slots for load in self.active)


class Timers:
    """Due times of flows; a flow's newest timer replaces the former one."""

    __slots__ = ('_heap', '_seq')

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Flow]] = []
        self._seq = 0

    def set(self, flow: Flow, due: float) -> None:
        """Wake the flow at `due`."""
        self._seq += 1
        flow.timer = self._seq
        heapq.heappush(self._heap, (due, self._seq, flow))

    def pop_due(self, now: float) -> list[Flow]:
        """Return the flows whose time has come."""
        due = []
        while self._heap and self._heap[0][0] <= now:
            _, seq, flow = heapq.heappop(self._heap)
            if flow.timer == seq:
                due.append(flow)
        return due


class RecentKeys:
    """Keys seen within the last `kept_s` seconds."""

    __slots__ = ('_kept_s', '_untils')

    def __init__(self, kept_s: float) -> None:
        self._kept_s = kept_s
        self._untils: dict[bytes, float] = {}

    def __len__(self) -> int:
        return len(self._untils)

    def __contains__(self, key: bytes) -> bool:
        return key in self._untils

    def add(self, key: bytes, now: float) -> bool:
        """Note a key; tell whether it was not there."""
        is_first = self._untils.pop(key, None) is None
        self._untils[key] = now + self._kept_s
        return is_first

    def discard(self, key: bytes) -> None:
        """Forget a key."""
        self._untils.pop(key, None)

    def expire(self, now: float) -> None:
        """Forget keys that are long past; the oldest stand first."""
        expired = []
        for key, until in self._untils.items():
            if until > now:
                break
            expired.append(key)
        for key in expired:
            self._untils.pop(key)


@dataclass(slots=True, eq=False)
class Admissions:
    """Everything that a node knows as an owner.

    `closings` are flows that ended lately, `foreign` those whose SYN-ACK was
    passed on although another owner admitted them.

    `loads` is by service and backend number, `by_ip` by the backend's
    address. `young` are services with backends in slow start, weighed anew at
    `reweighed_s`. `services` and `members_version` are what the ownership is
    computed from, and `unchecked` the shards for which it is not yet.
    `wall_offset` is Unix time minus monotonic time, None before the first
    tick, `ticked_at` the time of the last tick.
    """

    flows: dict[bytes, Flow] = field(default_factory=dict)
    loads: dict[tuple[str, int], BackendLoad] = field(default_factory=dict)
    by_ip: dict[str, tuple[str, int]] = field(default_factory=dict)
    shards: dict[str, OwnedShard] = field(default_factory=dict)
    timers: Timers = field(default_factory=Timers)
    closings: RecentKeys = field(
        default_factory=lambda: RecentKeys(CLOSING_S),
    )
    foreign: RecentKeys = field(
        default_factory=lambda: RecentKeys(LINGER_S),
    )
    refused: RecentKeys = field(
        default_factory=lambda: RecentKeys(REFUSED_S),
    )
    retries: RetryBudgets = field(default_factory=RetryBudgets)
    budget: SynBudget = field(default_factory=SynBudget)
    young: list[Service] = field(default_factory=list)
    reweighed_s: int = 0
    services: dict[str, Service] | None = None
    members_version: int = 0
    unchecked: list[tuple[Service, Shard]] = field(default_factory=list)
    next_poll: float = 0
    wall_offset: float | None = None
    ticked_at: float | None = None


def name_attempt(key: bytes, acknowledged: int) -> bytes:
    """Return the name of a flow with the number that acknowledges its SYN."""
    return key + (acknowledged & 0xFFFFFFFF).to_bytes(4, 'big')

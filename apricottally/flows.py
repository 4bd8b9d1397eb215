"""Flows that a shard owner admits, and the tables that hold them.

Each shard of a service's backends has one node as owner, which admits the
shard's new flows and counts the slots and connections that they use.
"""

from __future__ import annotations

import enum
import heapq
from dataclasses import dataclass, field

from apricottally import packet
from apricottally.backendselection import TAKEOVER_S, BackendLoad
from apricottally.fairqueue import CLASS_RANKS, FairQueue, QueueEntry
from apricottally.model import Holding
from apricottally.packet import Segment
from apricottally.retries import RetryBudgets
from apricottally.routes import Route, Service
from apricottally.shards import Shard
from apricottally.slotreserve import SlotReserve
from apricottally.synbudget import SynBudget

# Retention of a flow without a slot after its SYN-ACK, and of a closed flow
# after its end. Retransmitted SYNs and SYN-ACKs are recognized meanwhile.
FLOW_RETENTION_S = 5.0
# Retention of the key of a closed flow, so that a retransmitted FIN is counted
# once. It exceeds the first retransmission intervals.
CLOSE_RETENTION_S = 15.0
# Retention of a refusal: covers the first two SYN retransmission intervals.
REFUSAL_RETENTION_S = 3.0
_SEQ_MASK = 0xFFFFFFFF
# A close that acknowledges this many bytes or more beyond the SYN is attributed
# to an earlier flow with the same ports.
_MAX_ACKNOWLEDGED_BYTES = 1 << 30


class Phase(enum.Enum):
    """Phase in the life of a flow at its owner.

    `waiting` flows are queued, `sent` flows have a SYN at a backend.
    `retrying` flows wait for another backend after an attempt has failed.
    `over` flows are closed or refused and kept for a time for late packets.
    """

    waiting = 'waiting'
    retrying = 'retrying'
    sent = 'sent'
    established = 'established'
    over = 'over'


@dataclass(slots=True, eq=False)
class Flow:
    """One flow, from its SYN until it ends or its state is not needed.

    `syn` is the inner SYN packet without payload, `segment` its parsed
    headers. `tried_numbers` are the numbers of backends whose attempts have
    failed. Once `syn_ack_forwarded` is set the flow is never refused.
    `refusal_reason` is empty unless the flow was refused. `timer_seq` is the
    sequence number of the current timer.
    """

    key: bytes
    route: Route
    owned: OwnedShard
    syn: bytes
    segment: Segment
    deadline: float
    phase: Phase = Phase.waiting
    load: BackendLoad | None = None
    tried_numbers: tuple[int, ...] = ()
    sent_at: float = 0
    retry_reason: str = ''
    syn_ack_forwarded: bool = False
    refusal_reason: str = ''
    timer_seq: int = 0

    @property
    def number(self) -> int:
        """The number of the chosen backend, -1 if there is none."""
        return -1 if self.load is None else self.load.backend.number

    @property
    def holds(self) -> Holding:
        """Kind of capacity that the flow uses: a slot or a connection."""
        return self.route.template.holds

    def acquire_capacity(self, load: BackendLoad) -> None:
        """Assign a backend and occupy one of its slots or connections."""
        self.load = load
        load.take(self.holds)
        if self.holds is Holding.slot:
            rank = CLASS_RANKS[self.route.template.urgency]
            self.owned.reserve.slots_in_use[rank] += 1

    def release_capacity(self) -> None:
        """Release the slot or connection that the flow uses at its backend."""
        if self.load is None:
            return
        self.load.free(self.holds)
        if self.holds is Holding.slot:
            rank = CLASS_RANKS[self.route.template.urgency]
            self.owned.reserve.slots_in_use[rank] -= 1

    def build_queue_entry(self) -> QueueEntry[Flow]:
        """Return the flow's entry for the fair queue."""
        route = self.route
        return QueueEntry(
            self,
            route.template.urgency,
            route.workspace,
            route.share,
            self.deadline,
            route.template.queue_limit,
        )

    def acknowledges_syn(self, segment: Segment) -> bool:
        """Return whether a backend's packet acknowledges this flow's SYN."""
        if not segment.flags & packet.ACK:
            return False
        return segment.ack == (self.segment.seq + 1) & _SEQ_MASK

    def acknowledges_data(self, segment: Segment) -> bool:
        """Return whether a backend's packet acknowledges this flow's data.

        A late FIN or RST of an earlier flow with the same ports does not.
        """
        if not (segment.flags & packet.ACK and segment.seq):
            return False
        sent = (segment.ack - self.segment.seq - 1) & _SEQ_MASK
        return sent < _MAX_ACKNOWLEDGED_BYTES


@dataclass(slots=True, eq=False)
class OwnedShard:
    """A shard for which this node admits flows: its backends and queues.

    `loads` are the backends whose records allow new flows, `active` those of
    them that also appear to be alive. `retrying` holds flows that are due
    for another backend, `reserve` keeps slots free for urgent work.
    `owned_since` is when this node took the shard over, `last_used_at` when
    the shard's state was last looked up.

    `is_owner`: by the member list this node owns the shard; only then do
    the backends' answers surely reach it. `was_owner`: the member list has
    named this node at some time. `counts_imported`: the previous owner has
    sent its counts, so load reports are not needed. `takeover_done`: the
    takeover period is over. `handed_over`: the next owner has been sent the
    flows admitted here.
    """

    shard: Shard
    service: Service
    owned_since: float
    loads: list[BackendLoad] = field(default_factory=list)
    active: list[BackendLoad] = field(default_factory=list)
    queues: dict[Holding, FairQueue[Flow]] = field(default_factory=dict)
    retrying: list[Flow] = field(default_factory=list)
    was_owner: bool = False
    handed_over: bool = False
    reserve: SlotReserve = field(default_factory=SlotReserve)
    counts_imported: bool = False
    takeover_done: bool = False
    is_owner: bool = False
    last_used_at: float = 0

    def is_takeover(self, now: float) -> bool:
        """Return whether this owner does not yet know the running flows."""
        return not self.counts_imported and now - self.owned_since < TAKEOVER_S

    @property
    def slots(self) -> int:
        """Number of slots of the backends that may get new flows."""
        return sum(load.backend.slots for load in self.active)


class Timers:
    """Timers of flows; setting a flow's timer replaces its previous one."""

    __slots__ = ('_heap', '_seq')

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Flow]] = []
        self._seq = 0

    def set(self, flow: Flow, due: float) -> None:
        """Set the flow's timer to expire at `due`."""
        self._seq += 1
        flow.timer_seq = self._seq
        heapq.heappush(self._heap, (due, self._seq, flow))

    def pop_due(self, now: float) -> list[Flow]:
        """Remove expired timers and return their flows."""
        due = []
        while self._heap and self._heap[0][0] <= now:
            _, seq, flow = heapq.heappop(self._heap)
            if flow.timer_seq == seq:
                due.append(flow)
        return due


class RecentKeys:
    """Set of keys added within the last `ttl_s` seconds."""

    __slots__ = ('_expiries', '_ttl_s')

    def __init__(self, ttl_s: float) -> None:
        self._ttl_s = ttl_s
        self._expiries: dict[bytes, float] = {}

    def __len__(self) -> int:
        return len(self._expiries)

    def __contains__(self, key: bytes) -> bool:
        return key in self._expiries

    def add(self, key: bytes, now: float) -> bool:
        """Add or renew a key; return whether it was absent."""
        is_first = self._expiries.pop(key, None) is None
        self._expiries[key] = now + self._ttl_s
        return is_first

    def discard(self, key: bytes) -> None:
        """Remove a key if it is present."""
        self._expiries.pop(key, None)

    def expire(self, now: float) -> None:
        """Remove expired keys; keys are ordered by expiry time."""
        expired = []
        for key, expires_at in self._expiries.items():
            if expires_at > now:
                break
            expired.append(key)
        for key in expired:
            self._expiries.pop(key)


@dataclass(slots=True, eq=False)
class Admissions:
    """State that a node keeps as an owner of shards.

    `flows` is by flow key, `shards` by shard name. `recent_closes` are flow
    keys of recently closed flows. `recent_refusals` and `foreign_syn_acks`
    are attempt keys: of recently refused flows, and of flows that another
    owner admitted but whose SYN-ACK was forwarded here.

    `loads` is by service and backend number; `by_ip` maps a backend's
    address to that pair. `slow_start_services` have backends in slow start
    and had their shard weights recomputed at `last_reweigh_s`, Unix time.
    Ownership is computed from `services` and `members_version`;
    `unchecked_shards` are those for which this has not been done yet.
    `next_poll` is when backends are next asked for their load.
    `wall_offset` is Unix time minus monotonic time, None before the first
    tick; `last_tick_at` is the time of the last tick.
    """

    flows: dict[bytes, Flow] = field(default_factory=dict)
    loads: dict[tuple[str, int], BackendLoad] = field(default_factory=dict)
    by_ip: dict[str, tuple[str, int]] = field(default_factory=dict)
    shards: dict[str, OwnedShard] = field(default_factory=dict)
    timers: Timers = field(default_factory=Timers)
    recent_closes: RecentKeys = field(
        default_factory=lambda: RecentKeys(CLOSE_RETENTION_S),
    )
    foreign_syn_acks: RecentKeys = field(
        default_factory=lambda: RecentKeys(FLOW_RETENTION_S),
    )
    recent_refusals: RecentKeys = field(
        default_factory=lambda: RecentKeys(REFUSAL_RETENTION_S),
    )
    retries: RetryBudgets = field(default_factory=RetryBudgets)
    budget: SynBudget = field(default_factory=SynBudget)
    slow_start_services: list[Service] = field(default_factory=list)
    last_reweigh_s: int = 0
    services: dict[str, Service] | None = None
    members_version: int = 0
    unchecked_shards: list[tuple[Service, Shard]] = field(default_factory=list)
    next_poll: float = 0
    wall_offset: float | None = None
    last_tick_at: float | None = None


def build_attempt_key(key: bytes, acknowledged: int) -> bytes:
    """Return the flow key with the acknowledgement number of its SYN added."""
    return key + (acknowledged & 0xFFFFFFFF).to_bytes(4, 'big')

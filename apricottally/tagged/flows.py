"""Table of the flows whose client packets pass through this node.

Forwarding of established flows does not need the table. It tracks which
requests are in progress: data from the client starts a request, and the first
acknowledgement of new bytes from the backend completes it.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from apricottally.addresses import Endpoint
from apricottally.tagged.catalogentry import Entry
from apricottally.tagged.flowbackends.schedule import Schedule
from apricottally.tagged.flowbackends.table import FlowBackends
from apricottally.tagged.hedging.hedges import Hedge
from apricottally.tagged.occupancy import Occupancy
from apricottally.tagged.packets import FlowPacket
from apricottally.tagged.records import Repetition, Route

if TYPE_CHECKING:
    from apricottally.tagged.flowbackends.corrections import Correction

MAX_FLOWS = 100_000
# A request is no longer counted if its flow has been silent for this long: the
# client has given up, or the backend keeps the request longer than any queue.
STALLED_REQUEST_TIMEOUT_S = 0.5
# The same for a flow whose handshake the client has not completed.
HANDSHAKE_TIMEOUT_S = 0.25
# Closed flows stay in the table for packets that still arrive.
CLOSED_FLOW_RETENTION_S = 3.0
_HALF_SEQUENCE_RANGE = 1 << 31
_SEQUENCE_RANGE = 1 << 32


@dataclass(slots=True, eq=False)
class Flow:
    """A flow between a client and a backend.

    `tag` is the tag of its backend, `tried_tags` those of all backends that
    its SYN was forwarded to, the first time at `first_sent_at`, the last time
    at `syn_sent_at`, except for a `hedge`. `seen_at` is when the client's
    last packet arrived. `established` is set when the
    client has completed the handshake, `busy` while a request is in progress.
    `acknowledged` is the client's highest acknowledgement number, `sent_end`
    the sequence number after its last byte, `initial_sequence` that of its
    SYN, None if the SYN did not pass through this node. `is_resent` is set if
    the first SYN seen here was a retransmission. `request_packet`
    carried the newest data, which arrived at `request_seen_at`; it is None
    if no request with data is pending.
    """

    key: bytes
    tag: int
    route: Route
    syn_sent_at: float
    seen_at: float
    syn: FlowPacket | None = None
    tried_tags: tuple[int, ...] = ()
    established: bool = False
    busy: bool = False
    closed: bool = False
    initial_sequence: int | None = None
    is_resent: bool = False
    acknowledged: int = 0
    sent_end: int = 0
    request_seen_at: float = 0
    request_packet: FlowPacket | None = None
    first_sent_at: float = 0
    hedge: Hedge | None = None

    @property
    def retried(self) -> bool:
        """Whether the SYN was forwarded to another backend, hedges aside."""
        return len(self.tried_tags) > (1 if self.hedge is None else 2)

    @property
    def may_be_half_open_elsewhere(self) -> bool:
        """Whether its SYN may have reached other backends than its own.

        Another node has selected the backend for the first SYN if only a
        retransmission came through here.
        """
        tried = self.tried_tags
        return self.is_resent or len(tried) > 1 or self.tag not in tried


@dataclass(slots=True)
class FlowTable:
    """All flows by key, and those that wait for an answer.

    `busy` has the flows with a request in progress; a new flow counts as one
    from its SYN on. `half_open` has a flow once for each backend selected
    for its SYN, oldest selection first. Entries are removed only when the
    time to answer is over, so that established flows may still be in it.
    """

    occupancy: Occupancy
    by_key: dict[bytes, Flow] = field(default_factory=dict)
    busy: dict[bytes, Flow] = field(default_factory=dict)
    half_open: deque[Flow] = field(default_factory=deque)
    # Start time and flow of each request, oldest first, until it is checked for
    # an answer; answered requests may still be in it.
    pending_requests: deque[tuple[float, Flow]] = field(default_factory=deque)
    # Which backends serve the flows whose SYN went to several.
    backends: FlowBackends = field(default_factory=FlowBackends)
    # Keys of flows to announce, nodes to be told of all flows, and copies of
    # SYNs for backends that lost a flow.
    due_announcements: Schedule[bytes] = field(default_factory=Schedule)
    due_newcomers: Schedule[Endpoint] = field(default_factory=Schedule)
    corrections: Schedule[Correction] = field(default_factory=Schedule)

    def insert(self, flow: Flow) -> None:
        """Add a new flow with a forwarded SYN, unless the table is full."""
        existing = self.by_key.get(flow.key)
        if existing is not None:
            self.close(existing)
        if len(self.by_key) >= MAX_FLOWS:
            return
        self.by_key[flow.key] = flow
        self.busy[flow.key] = flow
        flow.busy = True
        self.occupancy.add_busy(flow.tag, 1)
        self.occupancy.add_open(flow.tag, 1)
        flow.first_sent_at = flow.syn_sent_at
        self.half_open.append(flow)

    def adopt(self, flow: Flow, packet: FlowPacket) -> bool:
        """Add a flow established through another node; tell if it fits."""
        if len(self.by_key) >= MAX_FLOWS:
            return False
        flow.established = True
        flow.acknowledged = packet.acknowledged
        flow.sent_end = packet.sequence
        self.by_key[flow.key] = flow
        self.occupancy.add_open(flow.tag, 1)
        return True

    def reassign(self, flow: Flow, entry: Entry, now: float) -> None:
        """Move a flow to another backend, to which its SYN is forwarded."""
        if entry.backend is None:
            return
        self._add_to_occupancy(flow, -1)
        flow.tag = entry.backend.tag
        flow.tried_tags += (flow.tag,)
        flow.syn_sent_at = now
        self._add_to_occupancy(flow, 1)
        self.half_open.append(flow)

    def add_hedge(self, flow: Flow, hedge: Hedge) -> None:
        """Count a second backend, to which the flow's SYN is forwarded."""
        flow.hedge = hedge
        flow.tried_tags += (hedge.tag,)
        hedge.count(self.occupancy)

    def mark_established(self, flow: Flow, tag: int) -> None:
        """Set the backend with which the client has completed the handshake."""
        self._release_hedge(flow)
        if tag != flow.tag and tag:
            self._add_to_occupancy(flow, -1)
            flow.tag = tag
            self._add_to_occupancy(flow, 1)
        flow.established = True
        flow.syn = None

    def begin_request(self, flow: Flow, packet: FlowPacket, now: float) -> None:
        """Record the packet that starts a request; count the flow as busy."""
        flow.request_seen_at = now
        flow.request_packet = packet
        self.pending_requests.append((now, flow))
        if not flow.busy and not flow.closed:
            flow.busy = True
            self.busy[flow.key] = flow
            self.occupancy.add_busy(flow.tag, 1)

    def finish_request(self, flow: Flow) -> None:
        """Stop counting the flow's request."""
        flow.request_packet = None
        if flow.busy and not flow.closed:
            flow.busy = False
            self.busy.pop(flow.key, None)
            self.occupancy.add_busy(flow.tag, -1)

    def close(self, flow: Flow) -> None:
        """Mark a flow as closed and stop counting it."""
        if flow.closed:
            return
        self.finish_request(flow)
        self._release_hedge(flow)
        flow.closed = True
        flow.syn = None
        self.occupancy.add_open(flow.tag, -1)

    def list_repeatable(self, tag: int) -> list[Flow]:
        """Return a backend's flows whose pending request may be repeated."""
        return [
            flow
            for flow in self.busy.values()
            if flow.tag == tag
            and flow.request_packet is not None
            and flow.route.repetition is Repetition.idempotent
        ]

    def expire_silent_requests(self, now: float) -> None:
        """Stop counting requests on flows that have been silent too long."""
        silent = [
            flow
            for flow in self.busy.values()
            if now - flow.seen_at
            > (
                STALLED_REQUEST_TIMEOUT_S
                if flow.established
                else HANDSHAKE_TIMEOUT_S
            )
        ]
        for flow in silent:
            self.finish_request(flow)

    def purge(self, now: float, idle_s: float) -> None:
        """Remove flows that were closed a while ago or are idle too long."""
        expired = [
            key
            for key, flow in self.by_key.items()
            if now - flow.seen_at
            > (CLOSED_FLOW_RETENTION_S if flow.closed else idle_s)
        ]
        for key in expired:
            self.close(self.by_key.pop(key))

    def _release_hedge(self, flow: Flow) -> None:
        if flow.hedge is not None:
            flow.hedge.release(self.occupancy)

    def _add_to_occupancy(self, flow: Flow, sign: int) -> None:
        if flow.busy:
            self.occupancy.add_busy(flow.tag, sign)
        self.occupancy.add_open(flow.tag, sign)


def is_after(number: int, other: int) -> bool:
    """Tell whether a 32-bit sequence number follows another, with wrap."""
    return (
        number != other
        and (number - other) % _SEQUENCE_RANGE < _HALF_SEQUENCE_RANGE
    )

"""Flows whose packets pass through this node, and what they show.

The table is not needed to send packets on. It tells which requests are in
progress: data of the client starts one, and the first acknowledgement beyond
what was acknowledged before ends the backend's work on it.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from apricottally.tagged.catalog import Entry
from apricottally.tagged.occupancy import Occupancy
from apricottally.tagged.packets import FlowPacket
from apricottally.tagged.records import Repetition, Route

MAX_FLOWS = 100_000
# A request without any packet for so long is no longer counted: its client
# has given up, or the backend holds it beyond any queue.
BUSY_LIFE_S = 0.5
# The same for a flow that its client has not opened.
OPENING_LIFE_S = 0.25
# A closed flow is remembered for its last packets.
CLOSED_LIFE_S = 3.0
_HALF_RANGE = 1 << 31
_RANGE = 1 << 32


@dataclass(slots=True, eq=False)
class Flow:
    """One flow.

    `tag` names its backend, `tried` the backends that got its first packet.
    `sent_at` is when the last try was sent. `opened` says that the client has
    answered the backend, `busy` that a request is in progress.
    `acknowledged` and `sent_end` are the client's newest sequence numbers,
    `initial` the one of its first packet, if that came through this node.
    `data_at` is when the newest data was first seen, `last` the packet that
    carried it.
    """

    key: bytes
    tag: int
    route: Route
    sent_at: float
    seen_at: float
    syn: FlowPacket | None = None
    tried: tuple[int, ...] = ()
    opened: bool = False
    busy: bool = False
    closed: bool = False
    initial: int | None = None
    acknowledged: int = 0
    sent_end: int = 0
    data_at: float = 0
    last: FlowPacket | None = None


@dataclass(slots=True)
class FlowTable:
    """Flows by key, those with a request, and those that wait to open."""

    occupancy: Occupancy
    by_key: dict[bytes, Flow] = field(default_factory=dict)
    busy: dict[bytes, Flow] = field(default_factory=dict)
    opening: deque[Flow] = field(default_factory=deque)
    # Requests whose answers are awaited: when each began, and its flow.
    awaiting: deque[tuple[float, Flow]] = field(default_factory=deque)

    def start(self, flow: Flow) -> None:
        """Take a new flow that waits for its backend's answer."""
        held = self.by_key.get(flow.key)
        if held is not None:
            self.close(held)
        if len(self.by_key) >= MAX_FLOWS:
            return
        self.by_key[flow.key] = flow
        self.busy[flow.key] = flow
        flow.busy = True
        self.occupancy.add_busy(flow.tag, 1)
        self.occupancy.add_open(flow.tag, 1)
        self.opening.append(flow)

    def adopt(self, flow: Flow, packet: FlowPacket) -> bool:
        """Take a flow that was opened elsewhere; tell whether there is room."""
        if len(self.by_key) >= MAX_FLOWS:
            return False
        flow.opened = True
        flow.acknowledged = packet.acknowledged
        flow.sent_end = packet.sequence
        self.by_key[flow.key] = flow
        self.occupancy.add_open(flow.tag, 1)
        return True

    def move(self, flow: Flow, entry: Entry, now: float) -> None:
        """Count a flow at another backend, which gets its first packet."""
        if entry.backend is None:
            return
        self._count(flow, -1)
        flow.tag = entry.backend.tag
        flow.tried += (flow.tag,)
        flow.sent_at = now
        self._count(flow, 1)
        self.opening.append(flow)

    def open_at(self, flow: Flow, tag: int) -> None:
        """Note at which backend the client has opened the flow."""
        if tag != flow.tag and tag:
            self._count(flow, -1)
            flow.tag = tag
            self._count(flow, 1)
        flow.opened = True
        flow.syn = None

    def begin(self, flow: Flow, packet: FlowPacket, now: float) -> None:
        """Count a request that starts on the flow."""
        flow.data_at = now
        flow.last = packet
        self.awaiting.append((now, flow))
        if not flow.busy and not flow.closed:
            flow.busy = True
            self.busy[flow.key] = flow
            self.occupancy.add_busy(flow.tag, 1)

    def finish(self, flow: Flow) -> None:
        """Count a request that the backend has answered."""
        flow.last = None
        if flow.busy and not flow.closed:
            flow.busy = False
            self.busy.pop(flow.key, None)
            self.occupancy.add_busy(flow.tag, -1)

    def close(self, flow: Flow) -> None:
        """Count a flow that has ended."""
        if flow.closed:
            return
        self.finish(flow)
        flow.closed = True
        flow.syn = None
        self.occupancy.add_open(flow.tag, -1)

    def list_repeatable(self, tag: int) -> list[Flow]:
        """Return a backend's flows with a request that may be repeated."""
        return [
            flow
            for flow in self.busy.values()
            if flow.tag == tag
            and flow.last is not None
            and flow.route.repetition is Repetition.idempotent
        ]

    def release_silent(self, now: float) -> None:
        """Stop counting requests that went silent."""
        silent = [
            flow
            for flow in self.busy.values()
            if now - flow.seen_at
            > (BUSY_LIFE_S if flow.opened else OPENING_LIFE_S)
        ]
        for flow in silent:
            self.finish(flow)

    def purge(self, now: float, idle_s: float) -> None:
        """Drop closed and idle flows."""
        old = [
            key
            for key, flow in self.by_key.items()
            if now - flow.seen_at > (CLOSED_LIFE_S if flow.closed else idle_s)
        ]
        for key in old:
            self.close(self.by_key.pop(key))

    def _count(self, flow: Flow, sign: int) -> None:
        if flow.busy:
            self.occupancy.add_busy(flow.tag, sign)
        self.occupancy.add_open(flow.tag, sign)


def is_after(number: int, other: int) -> bool:
    """Tell whether a 32-bit sequence number follows another."""
    return number != other and (number - other) % _RANGE < _HALF_RANGE

"""Detection of silent flows: open flows whose backend no longer answers.

A caller echoes the last TSval that it received as TSecr. TSecr advances while
the backend answers; a caller that keeps sending the same TSecr gets no
answers. An idle flow is never ended: it sends no packets, and its first packet
after a pause is answered.

A packet is stale if its TSecr is old by the clock of its backend. Stale
packets of a flow all go to one node, the flow's tracker, which compares them.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from apricottally import packet
from apricottally.packet import Segment

if TYPE_CHECKING:
    from apricottally.state import NodeState

# A packet is stale if its TSecr is older than this by its backend's clock.
STALE_MS = 30_000
# A flow that still sends the same TSecr after this time is unanswered.
UNANSWERED_S = 10.0
# When a network partition heals, a flow appears unanswered until its next
# packet is answered. So another packet with the same TSecr is required, at
# least this much later.
CONFIRMATION_S = 1.0
# Interval between clock readings; 14,000 backends cost about 0.2% of a core.
CLOCK_READING_INTERVAL_S = 10.0
# A clock is used once a second reading, at least CLOCK_CHECK_S after the first,
# agrees with it within CLOCK_TOLERANCE_MS.
CLOCK_CHECK_S = 1.0
CLOCK_TOLERANCE_MS = 5_000
# Tracking time after a flow's last stale packet; exceeds the 75 s between
# keep-alive probes.
STALE_FLOW_TTL_S = 100.0
# Maximum number of tracked flows, 3.4 MB; the least recently seen is evicted.
MAX_STALE_FLOWS = 16_384
# After a longer gap between ticks this node was paused and may not yet have
# read the answers that arrived meanwhile.
NODE_PAUSE_S = 2.0

_UINT32_MASK = 0xFFFFFFFF
_SIGN_BIT = 0x80000000


class ClockReading(msgspec.Struct, frozen=True, gc=False):
    """A backend's timestamp clock: `ts_val` ms at monotonic time `read_at`."""

    ts_val: int
    read_at: float

    def contradicts(self, ts_val: int, now: float) -> bool:
        """Return whether a reading at `now` does not fit the same clock."""
        expected = self.ts_val + int((now - self.read_at) * 1000)
        shifted = (ts_val - expected + CLOCK_TOLERANCE_MS) & _UINT32_MASK
        return shifted > 2 * CLOCK_TOLERANCE_MS


class TimestampClocks:
    """Timestamp clocks of backends by address, learned from their replies.

    `stale_limits` holds by address the oldest TSecr that was not stale at the
    last reading. `due_ips` are the backends due for a reading. The packet path
    reads both.
    """

    __slots__ = ('_readings', 'due_ips', 'stale_limits')

    def __init__(self) -> None:
        self.stale_limits: dict[str, int] = {}
        self.due_ips: set[str] = set()
        self._readings: dict[str, ClockReading] = {}

    def add_reading(self, ip: str, ts_val: int, now: float) -> None:
        """Add a reading; the clock is unknown if it contradicts the last."""
        self.due_ips.discard(ip)
        last = self._readings.get(ip)
        if last is not None and last.contradicts(ts_val, now):
            self.stale_limits.pop(ip, None)
        elif last is not None:
            if now - last.read_at < CLOCK_CHECK_S:
                return
            self.stale_limits[ip] = (ts_val - STALE_MS) & _UINT32_MASK
        self._readings[ip] = ClockReading(ts_val, now)

    def is_stale(self, ip: str, ts_ecr: int) -> bool:
        """Return whether TSecr is stale by the clock of its backend."""
        limit = self.stale_limits.get(ip)
        return limit is not None and (ts_ecr - limit) & _SIGN_BIT != 0

    def has_reply_since(self, ip: str, since: float) -> bool:
        """Return whether a reply of the backend was read after `since`."""
        last = self._readings.get(ip)
        return last is not None and last.read_at > since

    def request_readings(self, ips: set[str]) -> None:
        """Request a reading of each backend in `ips`; remove all others."""
        self.due_ips = ips
        if len(self._readings) > len(ips):
            for ip in self._readings.keys() - ips:
                del self._readings[ip]
                self.stale_limits.pop(ip, None)


@dataclass(slots=True)
class StaleFlow:
    """A flow that may be silent, with the times of packets with its TSecr.

    `first_seen` and `last_seen` are the first and latest such packet.
    `unanswered_at` is the first one after `UNANSWERED_S`, None before it.
    `ended` is set once the flow was found silent.
    """

    ts_ecr: int
    first_seen: float
    last_seen: float
    unanswered_at: float | None = None
    ended: bool = False


class StaleFlows:
    """Flows tracked by this node, by flow key, least recently seen first."""

    __slots__ = ('_last_request_at', '_last_tick_at', 'flows')

    def __init__(self) -> None:
        self.flows: dict[bytes, StaleFlow] = {}
        self._last_tick_at = float('-inf')
        self._last_request_at = float('-inf')

    def track(self, key: bytes, ts_ecr: int, now: float) -> StaleFlow:
        """Record a stale packet; return its flow, reset if TSecr advanced."""
        flow = self.flows.pop(key, None)
        if flow is None or flow.ts_ecr != ts_ecr:
            flow = StaleFlow(ts_ecr, now, now)
        flow.last_seen = now
        if len(self.flows) >= MAX_STALE_FLOWS:
            del self.flows[next(iter(self.flows))]
        self.flows[key] = flow
        return flow

    def tick(self, now: float) -> bool:
        """Remove expired flows; return whether clock readings are due.

        After a pause of this node all flows are removed, since answers may
        still be waiting in the socket buffer.
        """
        if now - self._last_tick_at > NODE_PAUSE_S:
            self.flows.clear()
        self._last_tick_at = now
        if now - self._last_request_at < CLOCK_READING_INTERVAL_S:
            return False
        self._last_request_at = now
        while self.flows:
            key = next(iter(self.flows))
            if now - self.flows[key].last_seen < STALE_FLOW_TTL_S:
                break
            del self.flows[key]
        return True


def tick(state: NodeState, now: float) -> None:
    """Remove expired stale flows and request due clock readings."""
    if state.stale_flows.tick(now):
        state.timestamp_clocks.request_readings(set(state.routes.service_of_ip))


def detect_silent_flow(
    state: NodeState,
    now: float,
    key: bytes,
    backend_ip: str,
    segment: Segment,
) -> bool:
    """Track a stale packet; return True once, when its flow is silent.

    The backend must have answered other flows meanwhile: flows of a backend
    that is unreachable may continue when it is reachable again.
    """
    flow = state.stale_flows.track(key, segment.ts_ecr, now)
    if flow.ended or now - flow.first_seen < UNANSWERED_S:
        return False
    if flow.unanswered_at is None:
        flow.unanswered_at = now
        return False
    if now - flow.unanswered_at < CONFIRMATION_S:
        return False
    if not state.timestamp_clocks.has_reply_since(backend_ip, flow.first_seen):
        return False
    flow.ended = True
    return True


def build_backend_resets(segment: Segment) -> list[bytes]:
    """Return the resets that close the flow at its backend.

    The backend accepts only the sequence number that it expects next: that of
    the packet if the packet was lost, the one after its payload if the answer
    was lost, or one more than the packet's if it was a keep-alive probe. The
    resets carry the caller's timestamps, so that they are routed to the
    backend and the owner is notified, which releases the flow's slot.
    """
    length = segment.end - segment.payload
    first = segment.seq
    options = packet.encode_timestamps(segment.ts_val, segment.ts_ecr)
    return [
        packet.build(
            segment.src_ip,
            segment.src_port,
            segment.dst_ip,
            segment.dst_port,
            sequence,
            0,
            packet.RST,
            options,
        )
        for sequence in sorted({first, first + 1, first + length})
    ]

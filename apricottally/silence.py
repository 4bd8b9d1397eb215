"""Silent connections: open flows whose backend no longer answers.

A caller echoes the last TSval it received. While its backend answers, TSecr
moves on; a caller that repeats itself with the same TSecr gets no answers.
Nothing is ended for being quiet: a feed without traffic sends no packets, and
its first one is answered.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from apricottally import packet
from apricottally.packet import Segment

if TYPE_CHECKING:
    from apricottally.state import NodeState

# TSecr older than this by the backend's clock brings a packet to its tracker.
STALE_MS = 30_000
# The same TSecr after this time is not answered.
UNANSWERED_S = 10.0
# A cut that heals looks unanswered until the next packet has been answered,
# so one more repetition is awaited, at least this much later.
CONFIRMATION_S = 1.0
# Clocks are read this often; 14,000 backends cost about 0.2% of a core.
REFRESH_S = 10.0
# A clock is used once a second reading this much later agrees with the first.
AGREEMENT_S = 1.0
AGREEMENT_MS = 5_000
# Above the 75 s between keep-alive probes.
KEPT_S = 100.0
# Flows tracked at most, 3.4 MB; the oldest one makes room.
MAX_SUSPECTS = 16_384
# A gap between ticks in which this node cannot have read the answers.
PAUSE_S = 2.0

_WORD = 0xFFFFFFFF
_SIGN_BIT = 0x80000000


class Reading(msgspec.Struct, frozen=True, gc=False):
    """A backend's timestamp clock: `ts_val` ms at monotonic time `at`."""

    ts_val: int
    at: float

    def differs(self, ts_val: int, now: float) -> bool:
        """Tell whether another reading cannot be of the same clock."""
        expected = self.ts_val + int((now - self.at) * 1000)
        shifted = (ts_val - expected + AGREEMENT_MS) & _WORD
        return shifted > 2 * AGREEMENT_MS


class Clocks:
    """Timestamp clocks of backends by address, learned from their replies.

    `limits` are the oldest TSecr that were not stale at the last reading, and
    `wanted` the backends of which a reading is due; the packet path reads
    both.
    """

    __slots__ = ('_readings', 'limits', 'wanted')

    def __init__(self) -> None:
        self.limits: dict[str, int] = {}
        self.wanted: set[str] = set()
        self._readings: dict[str, Reading] = {}

    def learn(self, ip: str, ts_val: int, now: float) -> None:
        """Take a reading. One that disagrees makes the clock unknown."""
        self.wanted.discard(ip)
        held = self._readings.get(ip)
        if held is not None and held.differs(ts_val, now):
            self.limits.pop(ip, None)
        elif held is not None:
            if now - held.at < AGREEMENT_S:
                return
            self.limits[ip] = (ts_val - STALE_MS) & _WORD
        self._readings[ip] = Reading(ts_val, now)

    def is_stale(self, ip: str, ts_ecr: int) -> bool:
        """Tell whether TSecr is old by the clock of its backend."""
        limit = self.limits.get(ip)
        return limit is not None and (ts_ecr - limit) & _SIGN_BIT != 0

    def heard_since(self, ip: str, since: float) -> bool:
        """Tell whether the backend has sent a reply after a time."""
        held = self._readings.get(ip)
        return held is not None and held.at > since

    def refresh(self, ips: set[str]) -> None:
        """Ask for a reading of each backend; forget those that are gone."""
        self.wanted = ips
        if len(self._readings) > len(ips):
            for ip in self._readings.keys() - ips:
                del self._readings[ip]
                self.limits.pop(ip, None)


@dataclass(slots=True)
class Suspect:
    """A flow that may be silent: its TSecr, and when packets had it."""

    ts_ecr: int
    since: float
    seen: float
    repeated: float | None = None
    ended: bool = False


class Suspects:
    """Flows tracked by this node, by flow key, the oldest first."""

    __slots__ = ('_refreshed', '_ticked', 'flows')

    def __init__(self) -> None:
        self.flows: dict[bytes, Suspect] = {}
        self._ticked = float('-inf')
        self._refreshed = float('-inf')

    def see(self, key: bytes, ts_ecr: int, now: float) -> Suspect:
        """Return the flow's entry, a new one if its TSecr has moved on."""
        suspect = self.flows.pop(key, None)
        if suspect is None or suspect.ts_ecr != ts_ecr:
            suspect = Suspect(ts_ecr, now, now)
        suspect.seen = now
        if len(self.flows) >= MAX_SUSPECTS:
            del self.flows[next(iter(self.flows))]
        self.flows[key] = suspect
        return suspect

    def tick(self, now: float) -> bool:
        """Forget flows not seen lately; tell whether clocks are due.

        After a pause of the node it forgets all: answers may have waited.
        """
        if now - self._ticked > PAUSE_S:
            self.flows.clear()
        self._ticked = now
        if now - self._refreshed < REFRESH_S:
            return False
        self._refreshed = now
        while self.flows:
            key = next(iter(self.flows))
            if now - self.flows[key].seen < KEPT_S:
                break
            del self.flows[key]
        return True


def tick(state: NodeState, now: float) -> None:
    """Keep clocks and suspects up to date."""
    if state.suspects.tick(now):
        state.clocks.refresh(set(state.routes.service_of_ip))


def is_silent(
    state: NodeState,
    now: float,
    key: bytes,
    backend_ip: str,
    segment: Segment,
) -> bool:
    """Track a packet with an old TSecr; true once, when its flow is silent.

    The backend must have answered others meanwhile: flows of one that cannot
    be reached at all may go on when it can.
    """
    suspect = state.suspects.see(key, segment.ts_ecr, now)
    if suspect.ended or now - suspect.since < UNANSWERED_S:
        return False
    if suspect.repeated is None:
        suspect.repeated = now
        return False
    if now - suspect.repeated < CONFIRMATION_S:
        return False
    if not state.clocks.heard_since(backend_ip, suspect.since):
        return False
    suspect.ended = True
    return True


def build_backend_resets(segment: Segment) -> list[bytes]:
    """Return the resets that end the flow at its backend.

    The backend takes only the sequence it expects next: that of the packet if
    it did not get it, the one after it if its answers were lost, and one more
    for a keep-alive probe. They carry the caller's timestamps, so that they
    reach the backend by way of the owner, which then frees the flow's slot.
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

"""Silent connections: open flows whose backend no longer answers.

A caller echoes the last TSval it received. While its backend answers, TSecr
moves on; a caller that repeats itself with the same TSecr gets no answers.
Nothing is ended for being quiet: a feed without traffic sends no packets, and
its first one is answered.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

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
# Clocks are read this often; 14,000 backends cost about 0.3% of a core.
REFRESH_S = 5.0
# A clock is used once a second reading this much later agrees with the first.
AGREEMENT_S = 1.0
AGREEMENT_MS = 5_000
# Above the 75 s between keep-alive probes.
KEPT_S = 100.0
# Flows tracked at most, about 4 MB; the oldest one makes room.
MAX_SUSPECTS = 16_384
# A gap between ticks in which this node cannot have read the answers.
PAUSE_S = 2.0

_WORD = 0xFFFFFFFF
_SIGN_BIT = 0x80000000


@dataclass(frozen=True, slots=True)
class Reading:
    """A backend's timestamp clock: `ts_val` ms at monotonic time `at`."""

    ts_val: int
    at: float
    agreed: bool

    def estimate(self, now: float) -> int:
        """Return the backend's TSval at another time."""
        return (self.ts_val + int((now - self.at) * 1000)) & _WORD


class Clocks:
    """Timestamp clocks of backends by address, learned from their replies.

    `limits` are the oldest TSecr that are not stale, and `wanted` the
    backends of which a reading is due; the packet path reads both.
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
        agreed = False
        if held is not None and _differ(ts_val, held.estimate(now)):
            self.limits.pop(ip, None)
        elif held is not None:
            if now - held.at < AGREEMENT_S:
                return
            agreed = True
        self._readings[ip] = Reading(ts_val, now, agreed)

    def is_stale(self, ip: str, ts_ecr: int) -> bool:
        """Tell whether TSecr is old by the clock of its backend."""
        limit = self.limits.get(ip)
        return limit is not None and (ts_ecr - limit) & _SIGN_BIT != 0

    def heard_since(self, ip: str, since: float) -> bool:
        """Tell whether the backend has sent a reply after a time."""
        held = self._readings.get(ip)
        return held is not None and held.at > since

    def refresh(self, now: float, ips: set[str]) -> None:
        """Move the limits on and ask for a reading of each backend."""
        self._readings = {
            ip: held
            for ip, held in self._readings.items()
            if ip in ips and now - held.at < KEPT_S
        }
        self.limits = {
            ip: (held.estimate(now) - STALE_MS) & _WORD
            for ip, held in self._readings.items()
            if held.agreed
        }
        self.wanted = ips


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
        state.clocks.refresh(now, set(state.routes.service_of_ip))


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


def _differ(ts_val: int, expected: int) -> bool:
    shifted = (ts_val - expected + AGREEMENT_MS) & _WORD
    return shifted > 2 * AGREEMENT_MS

"""State of hedging: answer times, limits and flows by service."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from apricottally.tagged.flows import HANDSHAKE_TIMEOUT_S, Flow
from apricottally.tagged.hedging.limits import HedgeLimit
from apricottally.tagged.hedging.percentiles import (
    SAMPLE_LIFETIME_S,
    AnswerPercentile,
)
from apricottally.tagged.occupancy import Occupancy


@dataclass(slots=True, eq=False)
class ServiceHedging:
    """Observations of one service, and its flows that may be hedged.

    `waiting` has these flows from their first SYN until the decision, oldest
    first; answered flows may still be in it. `has_room` is whether enough
    slots were free at `room_checked_at`.
    """

    limit: HedgeLimit
    answers: AnswerPercentile = field(default_factory=AnswerPercentile)
    waiting: deque[Flow] = field(default_factory=deque)
    opened_at: float = 0
    has_room: bool = False
    room_checked_at: float = float('-inf')


@dataclass(slots=True, eq=False)
class Hedging:
    """Hedging of all services; `share` 0 turns it off.

    `pending` has the services with waiting flows, `hedged` the flows with a
    second backend, oldest hedge first, until the handshake time-out. Answers
    to SYNs from before `measurable_since`, when this process last paused, are
    not measured.
    """

    share: float
    services: dict[str, ServiceHedging] = field(default_factory=dict)
    pending: dict[str, ServiceHedging] = field(default_factory=dict)
    hedged: deque[Flow] = field(default_factory=deque)
    measurable_since: float = 0

    def record_opening(self, service: str, now: float) -> ServiceHedging:
        """Count an opening of a service; return the service's entry."""
        found = self.services.get(service)
        if found is None:
            found = ServiceHedging(HedgeLimit(self.share))
            self.services[service] = found
        found.opened_at = now
        found.limit.record_opening(now)
        return found

    def release_expired(self, occupancy: Occupancy, now: float) -> None:
        """Stop counting second backends at which no flow was opened."""
        hedged = self.hedged
        while hedged:
            hedge = hedged[0].hedge
            if hedge and now - hedge.sent_at < HANDSHAKE_TIMEOUT_S:
                break
            hedged.popleft()
            if hedge is not None:
                hedge.release(occupancy)

    def purge(self, now: float) -> None:
        """Remove services without recent openings."""
        expired = [
            service
            for service, found in self.services.items()
            if now - found.opened_at > SAMPLE_LIFETIME_S
        ]
        for service in expired:
            self.services.pop(service)

"""Passive health checks: which backends do not answer.

A node sees only the clients' packets. If a client completes a handshake or
acknowledges more bytes, its backend has answered. A SYN without an answer is
counted as a miss and makes the backend suspect: new flows avoid it. A request
without progress triggers a probe, a TCP connection to the backend, since an
overloaded backend answers late but still accepts connections. Only a backend
that fails a probe is unreachable, until it answers again. The nodes of a zone
tell each other which backends are unreachable. Reports of nodes in other zones
are ignored, because those may reach a backend over another path.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from apricottally.tagged.catalogentry import Entry

# How long a backend is suspect after its first, second and further misses.
SUSPICION_DURATIONS_S = (0.3, 1.0, 2.0)
# How long a failed probe makes a backend unreachable, and the minimum interval
# between two probes of a backend.
UNREACHABLE_DURATION_S = 1.0
MIN_PROBE_INTERVAL_S = 0.5
# In a suspect zone, backends that have not answered for this long are suspect.
MAX_RESPONSE_AGE_S = 0.25
# A backend that refuses connections may be alive and at its limit of
# connections. It is dead if it has also answered no client for this long, which
# exceeds the wait in a full queue of a slow backend.
REFUSAL_SILENCE_S = 1.0
# Misses older than this are dropped.
MISS_LIFETIME_S = 4.0
# Minimum number and share of suspect backends that make a whole zone suspect.
MIN_ZONE_SUSPECTS = 2
MIN_ZONE_SUSPECT_SHARE = 0.4
# How long a neighbour's report of an unreachable backend is valid. A report is
# ignored if the backend has answered a client of this node within this time.
REPORT_LIFETIME_S = 1.0
# Time of an event that has not occurred.
NEVER = float('-inf')


@dataclass(slots=True)
class BackendHealth:
    """Observations of one backend; times are monotonic seconds."""

    last_response_at: float = NEVER
    last_probe_at: float = NEVER
    unreachable_until: float = NEVER
    suspect_until: float = NEVER
    # Time of the last miss by flow key.
    misses: dict[bytes, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class DueProbe:
    """A probe of a backend to repeat at `due_at`.

    It is not needed if the backend has answered since `since`, the start of
    the refused probe.
    """

    due_at: float
    tag: int
    since: float


@dataclass(slots=True)
class Suspicion:
    """Observations of all backends by tag, and the zones that are suspect.

    `reported_until` is when a neighbour's report of an unreachable backend
    expires.
    """

    health: dict[int, BackendHealth] = field(default_factory=dict)
    # Those entries of `health` that have misses or are suspect.
    suspects: dict[int, BackendHealth] = field(default_factory=dict)
    reported_until: dict[int, float] = field(default_factory=dict)
    suspect_zones: frozenset[str] = frozenset()
    # Probes to repeat because a connection was refused, the earliest first.
    due_probes: deque[DueProbe] = field(default_factory=deque)

    def record_response(self, tag: int, now: float) -> None:
        """Record that the backend has answered; drop misses and reports."""
        health = self._get_or_create(tag)
        health.last_response_at = now
        health.unreachable_until = NEVER
        health.suspect_until = NEVER
        if health.misses:
            health.misses.clear()
        if self.reported_until:
            self.reported_until.pop(tag, None)

    def record_miss(
        self,
        tag: int,
        key: bytes,
        sent_at: float,
        now: float,
    ) -> bool:
        """Record an unanswered SYN; tell whether it counts as a miss.

        It does not if the backend has answered another packet since `sent_at`.
        """
        health = self._get_or_create(tag)
        if sent_at < health.last_response_at:
            return False
        health.misses[key] = now
        self.suspects[tag] = health
        step = min(len(health.misses), len(SUSPICION_DURATIONS_S)) - 1
        health.suspect_until = max(
            health.suspect_until, now + SUSPICION_DURATIONS_S[step]
        )
        return True

    def claim_probe(self, tag: int, since: float, now: float) -> bool:
        """Tell whether a probe is due; if so, record that it is made.

        No probe is due if the backend has answered after `since`.
        """
        health = self._get_or_create(tag)
        if health.last_response_at > since:
            return False
        if now - health.last_probe_at < MIN_PROBE_INTERVAL_S:
            return False
        health.last_probe_at = now
        return True

    def record_failed_probe(
        self, tag: int, asked_at: float, now: float
    ) -> bool:
        """Record a failed probe; tell whether the backend is unreachable.

        It is not if it has answered a client since the probe was sent.
        """
        health = self._get_or_create(tag)
        if health.last_response_at > asked_at:
            return False
        health.unreachable_until = now + UNREACHABLE_DURATION_S
        self.suspects[tag] = health
        health.suspect_until = max(
            health.suspect_until, now + SUSPICION_DURATIONS_S[-1]
        )
        return True

    def record_connection_refused(
        self, tag: int, since: float, now: float
    ) -> bool:
        """Record a refused connection; tell whether the backend may be alive.

        It is not if it has answered nothing for `REFUSAL_SILENCE_S`. If it may
        be, new flows avoid it for a while and it is probed again. `since` is
        when the refused probe was started.
        """
        health = self._get_or_create(tag)
        if now - health.last_response_at >= REFUSAL_SILENCE_S:
            return False
        self.suspects[tag] = health
        health.suspect_until = max(
            health.suspect_until, now + SUSPICION_DURATIONS_S[0]
        )
        due_at = now + MIN_PROBE_INTERVAL_S
        self.due_probes.append(DueProbe(due_at, tag, since))
        return True

    def record_neighbour_report(self, tags: Iterable[int], now: float) -> None:
        """Record the backends that a neighbour reports as unreachable."""
        for tag in tags:
            health = self.health.get(tag)
            last_response_at = health.last_response_at if health else NEVER
            if now - last_response_at > REPORT_LIFETIME_S:
                self.reported_until[tag] = now + REPORT_LIFETIME_S

    def is_suspect(self, tag: int, zone: str, now: float) -> bool:
        """Tell whether new flows should avoid the backend."""
        health = self.health.get(tag)
        if health is not None and now < health.suspect_until:
            return True
        if self.reported_until and now < self.reported_until.get(tag, NEVER):
            return True
        if zone not in self.suspect_zones:
            return False
        return (
            health is None or now - health.last_response_at > MAX_RESPONSE_AGE_S
        )

    def is_unreachable(self, tag: int, now: float) -> bool:
        """Tell whether a probe failed recently, without an answer since."""
        health = self.health.get(tag)
        return health is not None and now < health.unreachable_until

    def list_unreachable(self, now: float) -> tuple[int, ...]:
        """Return the tags of all backends that fail this node's probes."""
        return tuple(
            tag
            for tag, health in self.suspects.items()
            if now < health.unreachable_until
        )

    def last_response_at(self, tag: int) -> float:
        """Return when the backend last answered a client, or `NEVER`."""
        health = self.health.get(tag)
        return NEVER if health is None else health.last_response_at

    def forget(self, tag: int) -> None:
        """Remove all observations of a backend."""
        self.health.pop(tag, None)
        self.suspects.pop(tag, None)
        self.reported_until.pop(tag, None)

    def clear(self) -> None:
        """Clear all misses and suspicion after a pause of this process.

        Answers that arrived during the pause could not be seen.
        """
        for health in self.suspects.values():
            health.misses.clear()
            health.suspect_until = NEVER
            health.unreachable_until = NEVER
        self.suspects.clear()

    def review(self, entries: Iterable[Entry], now: float) -> None:
        """Drop expired misses and reports; update the suspect zones."""
        self._drop_expired(now)
        zones = [
            entry.backend.zone
            for entry in self._list_suspect_entries(entries, now)
            if entry.backend is not None
        ]
        if len(zones) < MIN_ZONE_SUSPECTS:
            self.suspect_zones = frozenset()
            return
        total = Counter(
            entry.backend.zone
            for entry in entries
            if entry.backend is not None and entry.is_registered()
        )
        self.suspect_zones = frozenset(
            zone
            for zone, count in Counter(zones).items()
            if count >= MIN_ZONE_SUSPECTS
            and count >= MIN_ZONE_SUSPECT_SHARE * total[zone]
        )

    def _list_suspect_entries(
        self,
        entries: Iterable[Entry],
        now: float,
    ) -> list[Entry]:
        tags = {
            tag
            for tag, health in self.suspects.items()
            if now < health.suspect_until
        }
        if not tags:
            return []
        return [
            entry
            for entry in entries
            if entry.is_registered()
            and entry.backend is not None
            and entry.backend.tag in tags
        ]

    def _drop_expired(self, now: float) -> None:
        cleared = []
        for tag, health in self.suspects.items():
            expired = [
                key
                for key, missed_at in health.misses.items()
                if now - missed_at > MISS_LIFETIME_S
            ]
            for key in expired:
                health.misses.pop(key)
            if not health.misses and now >= health.suspect_until:
                cleared.append(tag)
        for tag in cleared:
            self.suspects.pop(tag)
        lapsed = [
            tag for tag, until in self.reported_until.items() if until <= now
        ]
        for tag in lapsed:
            self.reported_until.pop(tag)

    def _get_or_create(self, tag: int) -> BackendHealth:
        health = self.health.get(tag)
        if health is None:
            health = BackendHealth()
            self.health[tag] = health
        return health

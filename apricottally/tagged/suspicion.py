"""Backends that do not answer, judged by the progress of their flows.

A node sees only the clients' packets. A client that opens a flow or
acknowledges more bytes proves that its backend answers. A first packet
without an answer counts against the backend, and a request without progress
asks for a probe, a TCP connection to the backend: an overloaded backend is
late with its answers, but takes connections. Only a backend that fails a
probe is unreachable; any proof clears it. The nodes of a zone tell each other
which backends are unreachable; nodes of other zones may see a backend over
another path, so their reports are unused.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from apricottally.tagged.catalog import Entry

# How long a backend is avoided after its first, second and further misses.
SUSPICION_S = (0.3, 1.0, 2.0)
# How long a failed probe counts, and the shortest time between two probes.
UNREACHABLE_S = 1.0
PROBE_PERIOD_S = 0.5
# Time without any proof from which a zone's suspicion covers a backend.
UNPROVED_S = 0.25
# A miss older than this no longer counts.
MISS_LIFE_S = 4.0
# Suspected backends, and their part of a zone, that make all of it suspect.
ZONE_MISSES = 2
ZONE_SHARE = 0.4
# A neighbour's report lasts so long, and counts only if no proof is newer.
REPORT_LIFE_S = 1.0
# Time of what has not happened.
NEVER = float('-inf')


@dataclass(slots=True)
class Health:
    """Evidence on one backend; times are monotonic seconds."""

    proved_at: float = NEVER
    probed_at: float = NEVER
    unreachable_until: float = NEVER
    suspect_until: float = NEVER
    # Time of the last miss, by flow.
    misses: dict[bytes, float] = field(default_factory=dict)


@dataclass(slots=True)
class Suspicion:
    """Evidence on all backends, by tag."""

    health: dict[int, Health] = field(default_factory=dict)
    # The part of it that holds a miss or a suspicion.
    suspects: dict[int, Health] = field(default_factory=dict)
    reported: dict[int, float] = field(default_factory=dict)
    zones: frozenset[str] = frozenset()

    def note_proof(self, tag: int, now: float) -> None:
        """Take an answer of the backend as proof that it works."""
        health = self._find(tag)
        health.proved_at = now
        health.unreachable_until = NEVER
        if health.misses:
            health.misses.clear()
            health.suspect_until = NEVER
        if self.reported:
            self.reported.pop(tag, None)

    def note_miss(
        self,
        tag: int,
        key: bytes,
        sent_at: float,
        now: float,
    ) -> bool:
        """Count a packet without answer; tell whether it counts."""
        health = self._find(tag)
        if sent_at < health.proved_at:
            return False
        health.misses[key] = now
        self.suspects[tag] = health
        step = min(len(health.misses), len(SUSPICION_S)) - 1
        health.suspect_until = max(
            health.suspect_until, now + SUSPICION_S[step]
        )
        return True

    def wants_probe(self, tag: int, since: float, now: float) -> bool:
        """Tell whether a probe is due; note that it is made.

        None is due if the backend has proved itself since a time.
        """
        health = self._find(tag)
        if health.proved_at > since:
            return False
        if now - health.probed_at < PROBE_PERIOD_S:
            return False
        health.probed_at = now
        return True

    def note_unreachable(self, tag: int, asked_at: float, now: float) -> bool:
        """Take a failed probe; tell whether the backend is unreachable."""
        health = self._find(tag)
        if health.proved_at > asked_at:
            return False
        health.unreachable_until = now + UNREACHABLE_S
        self.suspects[tag] = health
        health.suspect_until = max(health.suspect_until, now + SUSPICION_S[-1])
        return True

    def note_reported(self, tags: Iterable[int], now: float) -> None:
        """Take a neighbour's report of unreachable backends."""
        for tag in tags:
            health = self.health.get(tag)
            proved_at = health.proved_at if health else NEVER
            if now - proved_at > REPORT_LIFE_S:
                self.reported[tag] = now + REPORT_LIFE_S

    def is_suspect(self, tag: int, zone: str, now: float) -> bool:
        """Tell whether new flows should avoid the backend."""
        health = self.health.get(tag)
        if health is not None and now < health.suspect_until:
            return True
        if self.reported and now < self.reported.get(tag, NEVER):
            return True
        if zone not in self.zones:
            return False
        return health is None or now - health.proved_at > UNPROVED_S

    def is_unreachable(self, tag: int, now: float) -> bool:
        """Tell whether a probe has failed and nothing has come since."""
        health = self.health.get(tag)
        return health is not None and now < health.unreachable_until

    def list_unreachable(self, now: float) -> tuple[int, ...]:
        """Return the tags of all unreachable backends."""
        return tuple(
            tag
            for tag, health in self.suspects.items()
            if now < health.unreachable_until
        )

    def proved_at(self, tag: int) -> float:
        """Return when the backend last proved that it answers."""
        health = self.health.get(tag)
        return NEVER if health is None else health.proved_at

    def forget(self, tag: int) -> None:
        """Drop all evidence on a backend."""
        self.health.pop(tag, None)
        self.suspects.pop(tag, None)
        self.reported.pop(tag, None)

    def clear(self) -> None:
        """Forget all misses, after a pause of this process."""
        for health in self.suspects.values():
            health.misses.clear()
            health.suspect_until = NEVER
            health.unreachable_until = NEVER
        self.suspects.clear()

    def review(self, entries: Iterable[Entry], now: float) -> None:
        """Drop old misses and judge whether whole zones are out of reach."""
        self._drop_old(now)
        zones = [
            entry.backend.zone
            for entry in self._list_suspects(entries, now)
            if entry.backend is not None
        ]
        if len(zones) < ZONE_MISSES:
            self.zones = frozenset()
            return
        total = Counter(
            entry.backend.zone
            for entry in entries
            if entry.backend is not None and entry.is_registered()
        )
        self.zones = frozenset(
            zone
            for zone, count in Counter(zones).items()
            if count >= ZONE_MISSES and count >= ZONE_SHARE * total[zone]
        )

    def _list_suspects(
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

    def _drop_old(self, now: float) -> None:
        settled = []
        for tag, health in self.suspects.items():
            old = [
                key
                for key, at in health.misses.items()
                if now - at > MISS_LIFE_S
            ]
            for key in old:
                health.misses.pop(key)
            if not health.misses and now >= health.suspect_until:
                settled.append(tag)
        for tag in settled:
            self.suspects.pop(tag)
        lapsed = [tag for tag, until in self.reported.items() if until <= now]
        for tag in lapsed:
            self.reported.pop(tag)

    def _find(self, tag: int) -> Health:
        health = self.health.get(tag)
        if health is None:
            health = Health()
            self.health[tag] = health
        return health

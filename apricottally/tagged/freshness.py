"""Age of a node's copy of the platform's records.

The copy is confirmed as of a time if a read of the platform that began then or
later found nothing newer. Neighbours pass confirmations on with the age
of their own copy; `AsOf` keeps it from getting younger on the way.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from apricottally.effects import LogValue
from apricottally.tagged.clocks.asof import AsOf

_LONG_AGO = float('-inf')
_NEVER = float('inf')
# Record age from which the platform is assumed unreachable for the whole fleet.
OUTAGE_AGE_S = 1.5
# For OUTAGE_RECOVERY_S after an outage, live backends may be missing from the
# records because their registrations lapsed; such a backend stays usable for
# LAPSE_GRACE_S.
OUTAGE_RECOVERY_S = 6.0
LAPSE_GRACE_S = 2.0
# Source of a confirmation by a read of this node's own.
PLATFORM = 'platform'
# Upper limit of the reported age; also reported for unconfirmed records.
MAX_AGE_MS = 3_600_000


@dataclass(slots=True)
class Freshness:
    """Time as of which the records were last confirmed to be the newest.

    Records of age `stale_s` or more do not count as current. `current_since`
    is when they last became current, `last_outage_at` when the platform was
    last unreachable. `confirmed_by` tells who confirmed them, `read_at` is
    when this node itself last began a read that confirmed them.
    """

    stale_s: float
    confirmed_at: float = _LONG_AGO
    current_since: float = _NEVER
    last_outage_at: float = _LONG_AGO
    confirmed_by: str = ''
    read_at: float = _LONG_AGO

    def confirm(self, as_of: AsOf | None, now: float) -> None:
        """Record that this node's records are the newest as of a time.

        None confirms nothing. The source is `PLATFORM` for a read of this
        node's own, else the kind of the message and the name of its sender.
        """
        if as_of is None:
            return
        if as_of.source == PLATFORM:
            self.read_at = max(as_of.at, self.read_at)
        if as_of.at <= self.confirmed_at:
            return
        if not self.is_current(now):
            self.current_since = now
        self.confirmed_at = as_of.at
        self.confirmed_by = as_of.source

    def is_current(self, now: float) -> bool:
        """Tell whether the records are younger than `stale_s`."""
        return now - self.confirmed_at < self.stale_s

    def record_outage(self, now: float) -> None:
        """Record that the platform was away until now."""
        self.last_outage_at = now

    def detect_outage(self, now: float) -> bool:
        """Record an outage of the platform; tell whether it has just begun."""
        if now - self.confirmed_at < OUTAGE_AGE_S:
            return False
        begun = now - self.last_outage_at > OUTAGE_RECOVERY_S
        self.last_outage_at = now
        return begun and self.confirmed_at != _LONG_AGO

    def lapse_grace_s(self, now: float) -> float:
        """Return how long a backend stays usable after its record vanished."""
        if now - self.last_outage_at < OUTAGE_RECOVERY_S:
            return LAPSE_GRACE_S
        return 0

    def age_ms(self, now: float) -> int:
        """Return the age of the records in milliseconds."""
        return _to_age_ms(now - self.confirmed_at)

    def read_age_ms(self, now: float) -> int:
        """Return the time since this node's own last read, in milliseconds."""
        return _to_age_ms(now - self.read_at)

    def describe(self, now: float) -> dict[str, LogValue]:
        """Return log fields with the age of the records and who told it."""
        return {
            'age_ms': self.age_ms(now),
            'confirmed_by': self.confirmed_by,
        }


def _to_age_ms(age_s: float) -> int:
    """Round up: an age must not get younger by being stated."""
    return math.ceil(min(age_s * 1000, MAX_AGE_MS))

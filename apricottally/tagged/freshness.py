"""How old a node's knowledge of the platform's records is.

Records are current at a time if a read that was begun then, or later, showed
nothing newer. Neighbours pass such confirmations on with their age.
"""

from __future__ import annotations

from dataclasses import dataclass

_LONG_AGO = float('-inf')
_NEVER = float('inf')
# Age from which the platform counts as out of reach of the whole fleet.
OUTAGE_S = 1.5
# How long after an outage registrations may be missing though their backends
# live, and how long such a backend stays usable.
AFTERMATH_S = 6.0
LAPSE_GRACE_S = 2.0
# Shown as the age of records that were never current.
MAX_AGE_MS = 3_600_000


@dataclass(slots=True)
class Freshness:
    """Up to when the records are known to be the newest.

    `stale_s` is the age from which they are not treated as current.
    `current_since` is when they last became current, `outage_at` when the
    platform was last out of reach.
    """

    stale_s: float
    confirmed_at: float = _LONG_AGO
    current_since: float = _NEVER
    outage_at: float = _LONG_AGO

    def confirm(self, at: float, now: float) -> None:
        """Note that the records held are the newest as of a time."""
        if at <= self.confirmed_at:
            return
        if not self.is_current(now):
            self.current_since = now
        self.confirmed_at = at

    def is_current(self, now: float) -> bool:
        """Tell whether the records are current."""
        return now - self.confirmed_at < self.stale_s

    def review(self, now: float) -> bool:
        """Note an outage; tell whether it has just begun."""
        if now - self.confirmed_at < OUTAGE_S:
            return False
        begun = now - self.outage_at > AFTERMATH_S
        self.outage_at = now
        return begun and self.confirmed_at != _LONG_AGO

    def lapse_grace_s(self, now: float) -> float:
        """Return how long a backend whose record vanished stays usable."""
        if now - self.outage_at < AFTERMATH_S:
            return LAPSE_GRACE_S
        return 0

    def age_ms(self, now: float) -> int:
        """Return the age of the records in milliseconds."""
        age_s = now - self.confirmed_at
        return int(min(age_s * 1000, MAX_AGE_MS))

"""Table of the evacuations of availability zones."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, replace

from apricottally.tagged.records import EvacuationChange
from apricottally.tagged.revisions import NO_REVISION, Revision

# A restored platform may have lost an evacuation that its operator still wants.
# The evacuation stays in force for this long, so that it can be written again.
LOST_EVACUATION_GRACE_S = 2.0


@dataclass(frozen=True, slots=True)
class Evacuation:
    """The latest change of one zone.

    `changed_at` is when this node learned of the change. If the platform has
    lost the evacuation in a restoration, `lost_revision` is that of the first
    complete records without it, and it ends at `ends_at`.
    """

    revision: Revision
    active: bool
    changed_at: float = 0
    lost_revision: Revision = NO_REVISION
    ends_at: float = float('inf')


class Evacuations:
    """All known evacuations by zone, including ended ones for a while.

    `generation` rises whenever a zone is evacuated or restored.
    """

    __slots__ = ('_by_zone', 'generation')

    def __init__(self) -> None:
        self.generation = 0
        self._by_zone: dict[str, Evacuation] = {}

    def apply(self, change: EvacuationChange, now: float) -> bool:
        """Apply a newer change; tell whether the zone's state changed."""
        known = self.find(change.zone)
        if change.revision <= known.revision:
            return False
        self._by_zone[change.zone] = Evacuation(
            change.revision, change.active, now
        )
        if change.active == known.active:
            return False
        self.generation += 1
        return True

    def end_missing(
        self, present: Collection[str], revision: Revision, now: float
    ) -> list[EvacuationChange]:
        """End the evacuations that complete records of a revision lack.

        Those known from an earlier epoch end only after a grace period. Returns
        the changes of the zones that are restored now.
        """
        missing = [
            zone
            for zone in self.list_active()
            if zone not in present and self.find(zone).revision <= revision
        ]
        ended: list[EvacuationChange] = []
        for zone in missing:
            if self.find(zone).revision.epoch < revision.epoch:
                self._postpone_end(zone, revision, now)
            else:
                ended.append(EvacuationChange(zone, revision, active=False))
        return self._end(ended, now)

    def end_lost(self, now: float) -> list[EvacuationChange]:
        """End lost evacuations whose grace period is over; return the ends."""
        ended = [
            EvacuationChange(zone, known.lost_revision, active=False)
            for zone, known in self._by_zone.items()
            if known.active and now >= known.ends_at
        ]
        return self._end(ended, now)

    def find(self, zone: str) -> Evacuation:
        """Return the latest change of a zone, also if there was none."""
        return self._by_zone.get(zone, _NEVER_EVACUATED)

    def list_active(self) -> list[str]:
        """Return the zones that are evacuated."""
        return [zone for zone, known in self._by_zone.items() if known.active]

    def list_changes(self, after: Revision) -> list[EvacuationChange]:
        """Return the changes after a revision, including ends."""
        return [
            EvacuationChange(zone, known.revision, known.active)
            for zone, known in self._by_zone.items()
            if known.revision > after
        ]

    def purge(self, now: float, retention_s: float) -> Revision:
        """Drop evacuations that ended longer than `retention_s` ago.

        Returns the highest revision of them, `NO_REVISION` if there are none.
        """
        expired = [
            zone
            for zone, known in self._by_zone.items()
            if not known.active and now - known.changed_at > retention_s
        ]
        revisions = [self._by_zone.pop(zone).revision for zone in expired]
        return max(revisions, default=NO_REVISION)

    def _postpone_end(self, zone: str, revision: Revision, now: float) -> None:
        """Start the grace period, once in each epoch."""
        known = self.find(zone)
        if known.lost_revision.epoch < revision.epoch:
            self._by_zone[zone] = replace(
                known,
                lost_revision=revision,
                ends_at=now + LOST_EVACUATION_GRACE_S,
            )

    def _end(
        self, ended: list[EvacuationChange], now: float
    ) -> list[EvacuationChange]:
        # The revision may equal that of the evacuation: its key was deleted
        # while the pages of the list were read.
        for change in ended:
            self._by_zone[change.zone] = Evacuation(
                change.revision, active=False, changed_at=now
            )
        self.generation += len(ended)
        return ended


_NEVER_EVACUATED = Evacuation(NO_REVISION, active=False)

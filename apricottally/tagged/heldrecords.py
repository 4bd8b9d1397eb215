"""Records of a restored platform that are older than what this node knows.

A platform that was restored from an older copy shows backends as they were
before the lost changes, until each writes its record again: one that drains as
ready, one that has left as registered. Such a record is held back until the
backend has had the time to replace it.
"""

from __future__ import annotations

from collections.abc import Container

import msgspec

from apricottally.tagged.records import BackendChange
from apricottally.tagged.revisions import Revision

# Longer than three periods in which a backend writes its record, after which
# the record of a dead one has lapsed.
HOLD_S = 5.0


class _HeldRecord(msgspec.Struct, frozen=True):
    held_at: float
    change: BackendChange


class HeldRecords:
    """The records that are held back, by the name of the backend."""

    __slots__ = ('_by_name',)

    def __init__(self) -> None:
        self._by_name: dict[str, _HeldRecord] = {}

    def hold(self, change: BackendChange, now: float) -> None:
        """Hold a record back; a later one keeps the time of the first."""
        held = self._by_name.get(change.name)
        held_at = now if held is None else held.held_at
        self._by_name[change.name] = _HeldRecord(held_at, change)

    def drop(self, name: str) -> None:
        """Drop the record of a backend, which is out of date."""
        self._by_name.pop(name, None)

    def drop_missing(self, present: Container[str]) -> None:
        """Drop the records of all backends that a complete list lacks."""
        self._by_name = {
            name: held
            for name, held in self._by_name.items()
            if name in present
        }

    def take_due(self, now: float) -> list[BackendChange]:
        """Return and drop the records that were held back for long enough."""
        due = [
            held.change
            for held in self._by_name.values()
            if now - held.held_at > HOLD_S
        ]
        for change in due:
            self._by_name.pop(change.name)
        return due

    def list_changes(self, after: Revision) -> list[BackendChange]:
        """Return the records after a revision."""
        return [
            held.change
            for held in self._by_name.values()
            if held.change.revision > after
        ]

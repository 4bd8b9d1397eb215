"""Backends and routes that a node holds, each with its revision.

A record replaces another only if its revision is higher, whatever order and
source records arrive in. Removed backends are kept for a time: packets of
their flows may still arrive, and an old record must not bring them back.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeAlias

from apricottally.tagged.records import (
    Backend,
    BackendChange,
    Change,
    Configuration,
    ConfigurationChange,
    Route,
)

# Longer than the life of a flow at a removed backend.
KEEP_REMOVED_S = 120.0


@dataclass(slots=True, eq=False)
class Entry:
    """A backend's record.

    `backend` is the last one known, also after its removal. `removed_at` is
    when the removal was learned, `usable_until` up to when new flows may go
    to a removed backend whose registration may merely have lapsed. A backend
    whose record cannot be read keeps its flows and gets no new ones.
    """

    revision: int
    backend: Backend | None
    removed_at: float | None = None
    usable_until: float = 0
    readable: bool = True

    def is_gone(self, now: float) -> bool:
        """Tell whether new flows must not go to the backend any more."""
        return self.removed_at is not None and now >= self.usable_until

    def is_live(self) -> bool:
        """Tell whether the backend is registered."""
        return self.removed_at is None and self.backend is not None


# A service and a zone, None for all zones.
_Place: TypeAlias = tuple[str, str | None]
_ServiceIndex: TypeAlias = dict[_Place, tuple[Entry, ...]]


class Catalog:
    """All records of a node, with the indexes that the packet path needs."""

    __slots__ = (
        '_by_name',
        '_by_service',
        '_by_tag',
        'configuration',
        'configuration_revision',
        'forgotten',
        'revision',
        'routes',
    )

    def __init__(self) -> None:
        # Up to which every change of the platform is held; 0 before a list.
        self.revision = 0
        # Highest revision of a removal that is no longer held.
        self.forgotten = 0
        self.configuration: Configuration | None = None
        self.configuration_revision = 0
        self.routes: dict[tuple[int, int], Route] = {}
        self._by_name: dict[str, Entry] = {}
        self._by_tag: dict[int, Entry] = {}
        self._by_service: _ServiceIndex | None = None

    def apply(self, change: Change, now: float, grace_s: float) -> bool:
        """Take a change if it is newer than what is held; tell whether taken.

        A backend whose record vanishes while it is not draining stays usable
        for `grace_s`.
        """
        if isinstance(change, ConfigurationChange):
            return self._apply_configuration(change)
        return self._apply_backend(change, now, grace_s)

    def retain(
        self,
        names: Iterable[str],
        revision: int,
        now: float,
        grace_s: float,
    ) -> list[str]:
        """Remove backends that a complete list lacks; return their names."""
        present = set(names)
        missing = [
            name
            for name, entry in self._by_name.items()
            if entry.is_live()
            and name not in present
            and entry.revision <= revision
        ]
        for name in missing:
            self._apply_backend(
                BackendChange(name, revision, None), now, grace_s
            )
        return missing

    def find_name(self, name: str) -> Entry | None:
        """Return the entry of a backend by its name."""
        return self._by_name.get(name)

    def find_tag(self, tag: int) -> Entry | None:
        """Return the entry of the backend that flows name by the tag."""
        return self._by_tag.get(tag)

    def list_service(
        self,
        service: str,
        zone: str | None = None,
    ) -> tuple[Entry, ...]:
        """Return the entries of a service that new flows may go to.

        With a zone these are only the service's entries there.
        """
        index = self._by_service
        if index is None:
            index = self._build_index()
            self._by_service = index
        return index.get((service, zone), ())

    def forget(self, now: float) -> None:
        """Drop removals that are older than any flow."""
        old = [
            name
            for name, entry in self._by_name.items()
            if entry.removed_at is not None
            and now - entry.removed_at > KEEP_REMOVED_S
        ]
        for name in old:
            entry = self._by_name.pop(name)
            self.forgotten = max(self.forgotten, entry.revision)
            if entry.backend and self._by_tag.get(entry.backend.tag) is entry:
                self._by_tag.pop(entry.backend.tag)
        if old:
            self._by_service = None

    def entries(self) -> Iterable[Entry]:
        """Return all entries, removed ones included."""
        return self._by_name.values()

    def list_changes(self, after: int) -> tuple[Change, ...]:
        """Return what changed after a revision, removals included."""
        changes: list[Change] = [
            BackendChange(
                name,
                entry.revision,
                entry.backend if entry.is_live() else None,
                entry.readable,
            )
            for name, entry in self._by_name.items()
            if entry.revision > after
        ]
        if self.configuration and self.configuration_revision > after:
            changes.append(
                ConfigurationChange(
                    self.configuration_revision, self.configuration
                ),
            )
        return tuple(changes)

    def _apply_configuration(self, change: ConfigurationChange) -> bool:
        held = self.configuration
        if change.revision <= self.configuration_revision:
            return False
        if held is not None and change.configuration.version < held.version:
            return False
        self.configuration_revision = change.revision
        self.configuration = change.configuration
        self.routes = {
            (route.address, route.port): route
            for route in change.configuration.routes
        }
        return True

    def _apply_backend(
        self,
        change: BackendChange,
        now: float,
        grace_s: float,
    ) -> bool:
        entry = self._by_name.get(change.name)
        if entry is None:
            entry = Entry(0, None)
            self._by_name[change.name] = entry
        if change.revision <= entry.revision:
            return False
        entry.revision = change.revision
        entry.readable = change.readable
        self._by_service = None
        if not change.readable:
            return True
        if change.backend is None:
            _remove(entry, now, grace_s)
            return True
        entry.removed_at = None
        entry.backend = change.backend
        self._index_tag(entry)
        self._end_reused(entry)
        return True

    def _index_tag(self, entry: Entry) -> None:
        """Let the tag name the entry, unless a live backend has it."""
        if entry.backend is None:
            return
        held = self._by_tag.get(entry.backend.tag)
        if held is None or held is entry or not held.is_live():
            self._by_tag[entry.backend.tag] = entry

    def _end_reused(self, entry: Entry) -> None:
        """End the grace of removed backends whose address is used again."""
        taken = entry.backend
        if taken is None:
            return
        for other in self._by_name.values():
            if other is entry or other.removed_at is None or not other.backend:
                continue
            if (other.backend.ip, other.backend.port) == (taken.ip, taken.port):
                other.usable_until = 0

    def _takes_flows(self, entry: Entry, backend: Backend) -> bool:
        """Tell whether new flows may go there, but for the end of a grace.

        Of two backends with one tag only one may get new flows.
        """
        if backend.draining or not entry.readable:
            return False
        if self._by_tag.get(backend.tag) is not entry:
            return False
        return entry.removed_at is None or entry.usable_until > 0

    def _build_index(self) -> _ServiceIndex:
        index: dict[_Place, list[Entry]] = {}
        for entry in self._by_name.values():
            backend = entry.backend
            if backend is not None and self._takes_flows(entry, backend):
                service = backend.service
                index.setdefault((service, None), []).append(entry)
                index.setdefault((service, backend.zone), []).append(entry)
        return {key: tuple(found) for key, found in index.items()}


def _remove(entry: Entry, now: float, grace_s: float) -> None:
    if entry.removed_at is not None:
        return
    entry.removed_at = now
    lapsed = entry.backend is not None and not entry.backend.draining
    entry.usable_until = now + grace_s if lapsed and grace_s else 0

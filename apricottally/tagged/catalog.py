"""A node's copy of the platform's records: backends and the configuration.

A record of a backend replaces another only if its revision is higher and its
epoch is not over, regardless of order and source of arrival. A configuration
replaces one with a lower version: after a restoration, the platform may hold an
older one for a while, and nodes may have one that the platform has lost.
Entries of removed backends are retained for a while: packets of their flows
may still arrive, and an outdated record must not register the backend again.
"""

from __future__ import annotations

from collections.abc import Iterable

from apricottally.tagged.addressindex import AddressIndex
from apricottally.tagged.catalogentry import Entry
from apricottally.tagged.places.candidates import (
    Candidates,
    build_candidates,
)
from apricottally.tagged.places.evacuations import Evacuations
from apricottally.tagged.records import (
    BackendChange,
    Change,
    Configuration,
    ConfigurationChange,
    EvacuationChange,
    Route,
)
from apricottally.tagged.revisions import NO_REVISION, Revision
from apricottally.tagged.tagtable import TagTable

# Must exceed the lifetime of a flow at a removed backend.
REMOVED_RETENTION_S = 120.0


class Catalog:
    """All records of a node, indexed for the packet path."""

    __slots__ = (
        '_by_name',
        '_candidates',
        'addresses',
        'configuration',
        'configuration_revision',
        'epoch_start',
        'evacuations',
        'purged_revision',
        'revision',
        'routes',
        'tags',
        'was_restored',
    )

    def __init__(self) -> None:
        # All platform changes up to this revision are applied; `NO_REVISION`
        # before the first list or snapshot.
        self.revision = NO_REVISION
        # Highest revision among the purged entries of removed backends and
        # ended evacuations.
        self.purged_revision = NO_REVISION
        # Revision of the first complete records of the epoch. Removals before
        # it are unknown here.
        self.epoch_start = NO_REVISION
        self.configuration: Configuration | None = None
        self.configuration_revision = NO_REVISION
        self.routes: dict[tuple[int, int], Route] = {}
        self._by_name: dict[str, Entry] = {}
        self.tags = TagTable()
        self.addresses = AddressIndex()
        # Whether the platform was restored from a copy since the first records.
        self.was_restored = False
        self.evacuations = Evacuations()
        self._candidates: Candidates | None = None

    def apply(self, change: Change, now: float, grace_s: float) -> bool:
        """Apply a change if it is newer; tell whether it was applied.

        A backend whose record is removed while it is not draining stays usable
        for `grace_s`.
        """
        if isinstance(change, ConfigurationChange):
            return self._apply_configuration(change)
        if change.revision.epoch < self.revision.epoch:
            return False
        if isinstance(change, EvacuationChange):
            return self.evacuations.apply(change, now)
        return self._apply_backend(change, now, grace_s)

    def lacks_removals(self, after: Revision) -> bool:
        """Tell whether removals after a revision may be unknown here."""
        if after.epoch != self.revision.epoch:
            return True
        return after < self.epoch_start or after < self.purged_revision

    def remove_missing(
        self,
        names: Iterable[str],
        revision: Revision,
        now: float,
        grace_s: float,
    ) -> list[str]:
        """Remove backends missing from a complete list; return their names.

        Among them are those whose removal is known from an earlier epoch only.
        `names` are the backends in the list, `revision` is that of the list.
        """
        present = set(names)
        missing = [
            name
            for name, entry in self._by_name.items()
            if name not in present
            and entry.revision <= revision
            and (entry.is_registered() or entry.revision.epoch < revision.epoch)
        ]
        for name in missing:
            self._apply_backend(
                BackendChange(name, revision, None), now, grace_s
            )
        return missing

    def find_by_name(self, name: str) -> Entry | None:
        """Return the entry of the backend with a name."""
        return self._by_name.get(name)

    def find_by_tag(self, tag: int) -> Entry | None:
        """Return the entry of the backend that a tag identifies in packets."""
        return self.tags.find(tag, self.entries())

    def list_candidates(
        self,
        service: str,
        zone: str | None = None,
    ) -> tuple[Entry, ...]:
        """Return the entries of a service, or of its part in a zone.

        Draining and unreadable backends and those in evacuated zones are left
        out. A removed backend may be past its grace period: check
        `excludes_new_flows`.
        """
        return self.candidates().usable.get((service, zone), ())

    def candidates(self) -> Candidates:
        """Return all candidates for new flows, grouped by service."""
        found = self._candidates
        generation = self.evacuations.generation
        if found is None or found.generation != generation:
            found = build_candidates(
                filter(self._is_candidate, self._by_name.values()),
                self.evacuations.list_active(),
                generation,
            )
            self._candidates = found
        return found

    def purge_removed(self, now: float) -> list[int]:
        """Drop entries of backends whose removal is older than any flow.

        Evacuations that ended as long ago are dropped, too. Returns the tags
        that no longer identify a backend.
        """
        self.purged_revision = max(
            self.purged_revision,
            self.evacuations.purge(now, REMOVED_RETENTION_S),
        )
        tags: list[int] = []
        expired = [
            name
            for name, entry in self._by_name.items()
            if entry.removed_at is not None
            and now - entry.removed_at > REMOVED_RETENTION_S
        ]
        for name in expired:
            entry = self._by_name.pop(name)
            self.addresses.remove(entry)
            self.purged_revision = max(self.purged_revision, entry.revision)
            tag = self.tags.remove(entry)
            if tag is not None:
                tags.append(tag)
        if expired:
            self._candidates = None
        return tags

    def entries(self) -> Iterable[Entry]:
        """Return all entries, including those of removed backends."""
        return self._by_name.values()

    def list_changes(self, after: Revision, version: int) -> tuple[Change, ...]:
        """Return the changes after a revision, including removals.

        The configuration is among them if its version is above `version`.
        """
        changes: list[Change] = [
            BackendChange(
                name,
                entry.revision,
                entry.record if entry.is_registered() else None,
                entry.readable,
            )
            for name, entry in self._by_name.items()
            if entry.revision > after
        ]
        changes += self.evacuations.list_changes(after)
        if self.configuration and self.configuration.version > version:
            changes.append(
                ConfigurationChange(
                    self.configuration_revision, self.configuration
                ),
            )
        return tuple(changes)

    def _apply_configuration(self, change: ConfigurationChange) -> bool:
        current = self.configuration
        if current is not None:
            version = change.configuration.version
            if version < current.version:
                return False
            is_repeated = change.revision <= self.configuration_revision
            if version == current.version and is_repeated:
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
            entry = Entry(NO_REVISION, None)
            self._by_name[change.name] = entry
        if change.revision <= entry.revision:
            return False
        if _is_from_copy(entry, change, self.epoch_start):
            if entry.is_repeated_by(change):
                entry.revision = change.revision
                return False
            if entry.outdates(change):
                return False
        self._store_backend(entry, change, now, grace_s)
        return True

    def _store_backend(
        self,
        entry: Entry,
        change: BackendChange,
        now: float,
        grace_s: float,
    ) -> None:
        entry.revision = change.revision
        entry.readable = change.readable
        self._candidates = None
        if not change.readable:
            return
        if change.backend is None:
            entry.mark_removed(now, grace_s)
            return
        entry.removed_at = None
        self.addresses.remove(entry)
        self.tags.remove(entry)
        entry.record = change.backend
        entry.backend = change.backend
        self.addresses.add(entry)
        self.tags.add(entry)
        entry.cold_until = now + change.backend.cold_ms / 1000
        # The removed backends that had the address before are gone.
        for other in self.addresses.list_others(entry):
            if other.removed_at is not None:
                other.usable_until = 0

    def _is_candidate(self, entry: Entry) -> bool:
        """Tell whether a backend is a candidate for new flows.

        The end of a grace period and evacuations are not checked here.
        """
        backend = entry.backend
        if backend is None or backend.draining or not entry.readable:
            return False
        return entry.removed_at is None or entry.usable_until > 0


def _is_from_copy(
    entry: Entry, change: BackendChange, epoch_start: Revision
) -> bool:
    """Tell whether a restored platform may have a record from its copy.

    What was written after this node has entered the epoch is newer than all
    that it knows.
    """
    is_other_epoch = change.revision.epoch > entry.revision.epoch
    return is_other_epoch and change.revision <= epoch_start

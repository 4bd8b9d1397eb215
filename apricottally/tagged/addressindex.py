"""Entries of backends by their address."""

from __future__ import annotations

from apricottally.tagged.catalogentry import Entry


class AddressIndex:
    """Entries by IP and port; several had or have the same one."""

    __slots__ = ('_entries',)

    def __init__(self) -> None:
        self._entries: dict[tuple[str, int], list[Entry]] = {}

    def add(self, entry: Entry) -> None:
        """Add an entry under the address of its backend."""
        self._entries.setdefault(entry.address, []).append(entry)

    def remove(self, entry: Entry) -> None:
        """Remove an entry; nothing happens if it is not there."""
        others = self.list_others(entry)
        if others:
            self._entries[entry.address] = others
        else:
            self._entries.pop(entry.address, None)

    def list_others(self, entry: Entry) -> list[Entry]:
        """Return the other entries with the address of an entry."""
        return [
            other
            for other in self._entries.get(entry.address, ())
            if other is not entry
        ]

    def is_reused(self, entry: Entry) -> bool:
        """Tell whether another registered backend has the entry's address."""
        return any(other.is_registered() for other in self.list_others(entry))

"""Which backend a tag in packets identifies.

Ids longer than 32 bits are hashed to a tag, so that two backends may share one.
Each then gets a tag of its own: the backend that started first keeps the tag,
and the other one takes the first of its further hashes that is free. As this
depends on the backends alone, all nodes agree in whatever order they learn of
them.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

import msgspec

from apricottally.tagged.catalogentry import Entry
from apricottally.tagged.records import Backend

_TAG_BYTES = 4


class TagTable:
    """Entries by tag; every entry has another tag.

    A node that has not heard of a backend that is gone may have given its tag
    to another one. Tags that no entry has are therefore looked up among the
    tags that an entry may have at other nodes.
    """

    __slots__ = ('_by_tag', '_other_tags')

    def __init__(self) -> None:
        self._by_tag: dict[int, Entry] = {}
        self._other_tags: dict[int, Entry] | None = None

    def find(self, tag: int, entries: Iterable[Entry]) -> Entry | None:
        """Return the entry that a tag identifies, out of all entries."""
        found = self._by_tag.get(tag)
        if found is not None or not tag:
            return found
        if self._other_tags is None:
            self._other_tags = _index_other_tags(entries)
        return self._other_tags.get(tag)

    def add(self, entry: Entry) -> None:
        """Give an entry a tag; one that started later may lose its own."""
        self._other_tags = None
        waiting: Entry | None = entry
        entry.tag_attempt = 0
        while waiting is not None:
            waiting = self._place(waiting)

    def remove(self, entry: Entry) -> int | None:
        """Remove an entry; return the tag that it had."""
        self._other_tags = None
        if entry.backend is None:
            return None
        tag = entry.backend.tag
        if self._by_tag.get(tag) is not entry:
            return None
        self._by_tag.pop(tag)
        return tag

    def _place(self, entry: Entry) -> Entry | None:
        """Give an entry its first free tag; return the entry that loses it."""
        record = entry.record
        if record is None:
            return None
        while True:
            tag = compute_tag(record, entry.tag_attempt)
            holder = self._by_tag.get(tag)
            if holder is None or _started_before(entry, holder):
                break
            entry.tag_attempt += 1
        self._by_tag[tag] = entry
        entry.backend = msgspec.structs.replace(record, tag=tag)
        if holder is not None:
            holder.tag_attempt += 1
        return holder


def compute_tag(record: Backend, attempt: int) -> int:
    """Return the tag in a backend's record, or one of its further hashes."""
    return hash_number(record.number, attempt) if attempt else record.tag


def hash_number(number: int, attempt: int = 0) -> int:
    """Return a 32-bit hash of a backend's number for an attempt.

    A tag of 0 would mean no backend, so it is replaced by 1.
    """
    digest = hashlib.blake2b(
        number.to_bytes(8, 'big'),
        digest_size=_TAG_BYTES,
        salt=attempt.to_bytes(_TAG_BYTES, 'big'),
    )
    return int.from_bytes(digest.digest(), 'big') or 1


def _started_before(entry: Entry, holder: Entry) -> bool:
    """Tell whether an entry's backend started before that of a tag's holder."""
    if entry is holder or holder.backend is None or entry.backend is None:
        return True
    return _get_age_key(entry.backend) < _get_age_key(holder.backend)


def _get_age_key(backend: Backend) -> tuple[bool, int, int, str]:
    """Return the key by which backends are ordered by their start.

    One that does not state its start comes last.
    """
    is_unknown = not backend.born_ms
    return is_unknown, backend.born_ms, backend.number, backend.name


def _index_other_tags(entries: Iterable[Entry]) -> dict[int, Entry]:
    """Return the first two tags of all entries."""
    found: dict[int, Entry] = {}
    for entry in entries:
        record = entry.record
        if record is not None:
            found.setdefault(record.tag, entry)
            found.setdefault(compute_tag(record, 1), entry)
    return found

"""Versioned records of the platform, stored by each node.

A record replaces another with the same key only if its version is higher,
whatever the order and source of arrival. Deletions are stored as records
without a value, so that a peer that lags behind cannot restore an old value.
"""

import heapq
from collections.abc import Iterable

import msgspec
import xxhash

from apricottally import model
from apricottally.errors import ModelError
from apricottally.events import Record

BUCKETS = 64
# Deletions of VMs, 2,750 a day in a region, are dropped after this many
# revisions: about three days at 100,000 revisions a day. The few other
# deletions are kept.
DELETION_RETENTION_REVISIONS = 300_000


class RecordStore:
    """Records by key, with a digest per bucket and one over all buckets."""

    __slots__ = ('_buckets', '_deleted', '_keys', 'records', 'revision')

    def __init__(self) -> None:
        self.records: dict[str, Record] = {}
        # Highest version seen in any record.
        self.revision = 0
        self._buckets = [0] * BUCKETS
        self._keys: list[set[str]] = [set() for _ in range(BUCKETS)]
        # Versions and keys of deleted VMs, lowest version first.
        self._deleted: list[tuple[int, str]] = []

    def apply(self, record: Record) -> bool:
        """Store a record if it is newer; tell whether it was stored.

        Raises `ModelError` for a newer record whose value is invalid.
        """
        stored = self.records.get(record.key)
        if stored is not None and stored.version >= record.version:
            return False
        if record.value is not None:
            _validate(record)
        elif stored is None and self._is_forgotten(record):
            return False
        self._replace(stored, record)
        return True

    def find(self, key: str) -> Record | None:
        """Return the record of a key, unless it is unknown or deleted."""
        record = self.records.get(key)
        if record is None or record.value is None:
            return None
        return record

    def version_of(self, key: str) -> int:
        """Return the version stored for a key, 0 if there is none."""
        record = self.records.get(key)
        return 0 if record is None else record.version

    def list_prefix(self, prefix: str) -> list[Record]:
        """Return the records under a key prefix, sorted by key.

        Deletions are excluded.
        """
        keys = [key for key in self.records if key.startswith(prefix)]
        return [
            self.records[key]
            for key in sorted(keys)
            if self.records[key].value is not None
        ]

    def list_missing(self, present: Iterable[str]) -> list[str]:
        """Return the keys, deletions excluded, that are not in `present`."""
        known = set(present)
        return [
            key
            for key, record in self.records.items()
            if record.value is not None and key not in known
        ]

    def digest(self) -> int:
        """Return a 64-bit digest of all keys and versions."""
        packed = b''.join(bucket.to_bytes(8, 'big') for bucket in self._buckets)
        return xxhash.xxh3_64_intdigest(packed)

    def bucket_digests(self) -> tuple[int, ...]:
        """Return the digest of each bucket."""
        return tuple(self._buckets)

    def list_bucket(self, bucket: int, after: str) -> list[Record]:
        """Return a bucket's records whose keys sort after `after`, by key.

        Deletions are included.
        """
        keys = sorted(key for key in self._keys[bucket] if key > after)
        return [self.records[key] for key in keys]

    def _replace(self, stored: Record | None, record: Record) -> None:
        bucket = find_bucket(record.key)
        if stored is not None:
            self._buckets[bucket] ^= _hash_version(stored)
        self._buckets[bucket] ^= _hash_version(record)
        self._keys[bucket].add(record.key)
        self.records[record.key] = record
        if record.value is None and _is_machine(record):
            heapq.heappush(self._deleted, (record.version, record.key))
        if record.version > self.revision:
            self.revision = record.version
            self._forget_deletions()

    def _forget_deletions(self) -> None:
        """Drop old deletions of VMs.

        The choice depends on the revision only, so nodes with the same records
        drop the same deletions and their digests stay equal.
        """
        while self._deleted:
            version, key = self._deleted[0]
            if version >= self.revision - DELETION_RETENTION_REVISIONS:
                return
            heapq.heappop(self._deleted)
            stored = self.records[key]
            if stored.version == version:
                bucket = find_bucket(key)
                self._buckets[bucket] ^= _hash_version(stored)
                self._keys[bucket].discard(key)
                self.records.pop(key)

    def _is_forgotten(self, record: Record) -> bool:
        """Tell whether a deletion is so old that this node would drop it."""
        old = record.version < self.revision - DELETION_RETENTION_REVISIONS
        return old and _is_machine(record)


def find_bucket(key: str) -> int:
    """Return the digest bucket of a key."""
    return xxhash.xxh3_64_intdigest(key.encode()) % BUCKETS


def _is_machine(record: Record) -> bool:
    return record.key.startswith(model.MACHINE_PREFIX)


def _hash_version(record: Record) -> int:
    text = f'{record.key}\n{record.version}'
    return xxhash.xxh3_64_intdigest(text.encode())


def _validate(record: Record) -> None:
    """Raise `ModelError` unless the value decodes completely."""
    try:
        model.decode_record(record.key, record.value or b'')
    except msgspec.MsgspecError as error:
        raise ModelError(record.key, str(error)) from error

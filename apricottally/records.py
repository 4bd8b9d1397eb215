"""Versioned records of the platform, held by each node.

A record replaces another only if its version is higher, whatever order and
source records arrive in. Deletions stay as records without a value, so that
an old value from a slow neighbour cannot come back.
"""

import heapq
from collections.abc import Iterable

import msgspec
import xxhash

from apricottally import model
from apricottally.errors import ModelError
from apricottally.events import Record

BUCKETS = 64
# Deletions of VMs are forgotten after so many revisions, which are about
# three days at 100,000 a day: 2,750 VMs a day are deleted in a region. Other
# deletions are few and are kept.
FORGET_REVISIONS = 300_000


class RecordStore:
    """Records by key, with a digest a bucket and one over all buckets."""

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
        """Take a record if it is newer and well formed; tell whether taken.

        Raises `ModelError` for a newer record whose value is refused.
        """
        held = self.records.get(record.key)
        if held is not None and held.version >= record.version:
            return False
        if record.value is not None:
            _check(record)
        elif held is None and self._is_forgotten(record):
            return False
        self._replace(held, record)
        return True

    def find(self, key: str) -> Record | None:
        """Return the record of a key, if it exists and is not deleted."""
        record = self.records.get(key)
        if record is None or record.value is None:
            return None
        return record

    def version_of(self, key: str) -> int:
        """Return the version held for a key, 0 if none is."""
        record = self.records.get(key)
        return 0 if record is None else record.version

    def list_prefix(self, prefix: str) -> list[Record]:
        """Return the live records below a prefix, by key."""
        keys = [key for key in self.records if key.startswith(prefix)]
        return [
            self.records[key]
            for key in sorted(keys)
            if self.records[key].value is not None
        ]

    def list_missing(self, present: Iterable[str]) -> list[str]:
        """Return the live keys that a complete list does not contain."""
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
        """Return a bucket's records by key, from `after` on.

        Deletions are included.
        """
        keys = sorted(key for key in self._keys[bucket] if key > after)
        return [self.records[key] for key in keys]

    def _replace(self, held: Record | None, record: Record) -> None:
        bucket = bucket_of(record.key)
        if held is not None:
            self._buckets[bucket] ^= _fingerprint(held)
        self._buckets[bucket] ^= _fingerprint(record)
        self._keys[bucket].add(record.key)
        self.records[record.key] = record
        if record.value is None and _is_machine(record):
            heapq.heappush(self._deleted, (record.version, record.key))
        if record.version > self.revision:
            self.revision = record.version
            self._forget_deletions()

    def _forget_deletions(self) -> None:
        """Drop old deletions of VMs.

        Only the revision decides, so nodes with the same records drop the
        same ones and their digests stay equal.
        """
        while self._deleted:
            version, key = self._deleted[0]
            if version >= self.revision - FORGET_REVISIONS:
                return
            heapq.heappop(self._deleted)
            held = self.records[key]
            if held.version == version:
                bucket = bucket_of(key)
                self._buckets[bucket] ^= _fingerprint(held)
                self._keys[bucket].discard(key)
                self.records.pop(key)

    def _is_forgotten(self, record: Record) -> bool:
        """Tell whether a deletion is one that this node would drop."""
        old = record.version < self.revision - FORGET_REVISIONS
        return old and _is_machine(record)


def bucket_of(key: str) -> int:
    """Return the digest bucket of a key."""
    return xxhash.xxh3_64_intdigest(key.encode()) % BUCKETS


def _is_machine(record: Record) -> bool:
    return record.key.startswith(model.MACHINE_PREFIX)


def _fingerprint(record: Record) -> int:
    text = f'{record.key}\n{record.version}'
    return xxhash.xxh3_64_intdigest(text.encode())


def _check(record: Record) -> None:
    """Raise `ModelError` unless the value can be used as a whole."""
    try:
        model.decode_record(record.key, record.value or b'')
    except msgspec.MsgspecError as error:
        raise ModelError(record.key, str(error)) from error

"""Transfer of values that exceed a datagram, compressed and in chunks.

A node that is offered such a record requests the chunks itself. It uses the
value only if all chunks have arrived and the digest matches.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import xxhash

from apricottally import dissemination, messages, model
from apricottally.addresses import Endpoint
from apricottally.effects import Effect, SendPeer
from apricottally.events import Record
from apricottally.messages import Chunk, ChunkQuery, Entry, Offer

if TYPE_CHECKING:
    from apricottally.state import NodeState

# Together with MAX_CHUNKS, limits the memory for values in transit to 4 MB.
MAX_FETCHES = 4
MAX_CHUNKS = 1 + model.MAX_VALUE_BYTES // messages.CHUNK_BYTES
# Chunks requested and not yet received.
WINDOW_CHUNKS = 8
RETRY_S = 0.3
MAX_TRIES = 10
MAX_SOURCES = 3
# Compressed values cached while other nodes fetch them.
MAX_CACHED_VALUES = 4
COMPRESSION_LEVEL = 6


@dataclass(slots=True)
class Fetch:
    """A value being fetched.

    `next_index` is the lowest chunk index not requested yet. `count` and
    `digest` are those of the chunks received.
    """

    entry: Entry
    sources: list[Endpoint]
    progressed_at: float
    count: int = 0
    digest: int = 0
    next_index: int = 1
    tries: int = 0
    chunks: dict[int, bytes] = field(default_factory=dict)


@dataclass(slots=True)
class CompressedValue:
    """A compressed value and its xxh3 digest."""

    payload: bytes
    digest: int


@dataclass(slots=True)
class ChunkTransfers:
    """Fetches by key, and compressed values by key and version."""

    fetches: dict[str, Fetch] = field(default_factory=dict)
    compressed: dict[tuple[str, int], CompressedValue] = field(
        default_factory=dict
    )


def receive_offer(
    state: NodeState,
    now: float,
    source: Endpoint,
    message: Offer,
) -> list[Effect]:
    """Fetch an offered record if it is newer than the one stored."""
    return fetch(state, now, source, message.entry)


def fetch(
    state: NodeState,
    now: float,
    source: Endpoint,
    entry: Entry,
) -> list[Effect]:
    """Request the first chunk of a newer record unless it is being fetched."""
    fetches = state.protocols.transfers.fetches
    if state.records.version_of(entry.key) >= entry.version:
        return []
    current = fetches.get(entry.key)
    if current is not None and current.entry.version >= entry.version:
        known = current.sources
        if source not in known and len(known) < MAX_SOURCES:
            known.append(source)
        return []
    if current is None and len(fetches) >= MAX_FETCHES:
        state.counters.add('transfer', 'over_limit')
        return []
    if entry.size > model.MAX_VALUE_BYTES:
        state.counters.add('transfer', 'oversized')
        return []
    fetches[entry.key] = Fetch(entry, [source], now)
    return [_request_chunk(fetches[entry.key], 0)]


def receive_query(
    state: NodeState,
    now: float,
    source: Endpoint,
    message: ChunkQuery,
) -> list[Effect]:
    """Answer with the chunk, or with the stored record if versions differ."""
    stored = state.records.records.get(message.key)
    if stored is None:
        return []
    if stored.value is None or stored.version != message.version:
        return [
            SendPeer(source, messages.encode(part))
            for part in dissemination.pack_records([stored])
        ]
    compressed = _compress(state, stored.key, stored.version, stored.value)
    count = -(-len(compressed.payload) // messages.CHUNK_BYTES)
    start = message.index * messages.CHUNK_BYTES
    payload = compressed.payload[start : start + messages.CHUNK_BYTES]
    if not 0 <= message.index < count:
        return []
    answer = Chunk(
        stored.key,
        stored.version,
        message.index,
        count,
        compressed.digest,
        payload,
    )
    return [SendPeer(source, messages.encode(answer))]


def receive_chunk(
    state: NodeState,
    now: float,
    source: Endpoint,
    message: Chunk,
) -> list[Effect]:
    """Store a chunk and request more; apply the value when it is complete."""
    current = state.protocols.transfers.fetches.get(message.key)
    if current is None or current.entry.version != message.version:
        return []
    has_valid_index = 0 <= message.index < message.count
    if message.count > MAX_CHUNKS or not has_valid_index:
        state.counters.add('transfer', 'foreign_chunk')
        return []
    if source not in current.sources:
        state.counters.add('transfer', 'foreign_chunk')
        return []
    if (current.count, current.digest) != (message.count, message.digest):
        # Another source may compress the same value differently.
        current.count = message.count
        current.digest = message.digest
        current.chunks.clear()
        current.next_index = 1
    if message.index in current.chunks:
        return []
    current.chunks[message.index] = message.payload
    current.progressed_at = now
    if len(current.chunks) == current.count:
        return _assemble(state, now, current)
    return _request_next_chunks(current)


def tick(state: NodeState, now: float) -> list[Effect]:
    """Repeat overdue requests, at another source if there is one.

    Drops the fetch after too many tries.
    """
    effects: list[Effect] = []
    fetches = state.protocols.transfers.fetches
    for key, current in list(fetches.items()):
        if now - current.progressed_at < RETRY_S:
            continue
        current.tries += 1
        if current.tries > MAX_TRIES:
            state.counters.add('transfer', 'gave_up')
            fetches.pop(key)
            continue
        current.progressed_at = now
        current.sources.append(current.sources.pop(0))
        missing = [
            index
            for index in range(max(1, current.count))
            if index not in current.chunks
        ]
        effects += [
            _request_chunk(current, index) for index in missing[:WINDOW_CHUNKS]
        ]
    return effects


def _request_next_chunks(current: Fetch) -> list[Effect]:
    """Request chunks until the window is full."""
    limit = min(current.count, len(current.chunks) + WINDOW_CHUNKS)
    indexes = range(current.next_index, limit)
    current.next_index = max(current.next_index, limit)
    return [
        _request_chunk(current, index)
        for index in indexes
        if index not in current.chunks
    ]


def _request_chunk(current: Fetch, index: int) -> SendPeer:
    entry = current.entry
    query = ChunkQuery(entry.key, entry.version, index)
    return SendPeer(current.sources[0], messages.encode(query))


def _assemble(state: NodeState, now: float, current: Fetch) -> list[Effect]:
    entry = current.entry
    state.protocols.transfers.fetches.pop(entry.key)
    joined = b''.join(current.chunks[index] for index in range(current.count))
    if xxhash.xxh3_64_intdigest(joined) != current.digest:
        state.counters.add('transfer', 'torn')
        return []
    unpacker = zlib.decompressobj()
    try:
        value = unpacker.decompress(joined, model.MAX_VALUE_BYTES + 1)
    except zlib.error:
        state.counters.add('transfer', 'torn')
        return []
    if not unpacker.eof:
        state.counters.add('transfer', 'oversized')
        return []
    record = Record(entry.key, entry.version, value)
    return dissemination.merge_records(state, now, (record,))


def _compress(
    state: NodeState, key: str, version: int, value: bytes
) -> CompressedValue:
    cache = state.protocols.transfers.compressed
    compressed = cache.get((key, version))
    if compressed is None:
        payload = zlib.compress(value, COMPRESSION_LEVEL)
        compressed = CompressedValue(payload, xxhash.xxh3_64_intdigest(payload))
        while len(cache) >= MAX_CACHED_VALUES:
            cache.pop(next(iter(cache)))
        cache[key, version] = compressed
    return compressed

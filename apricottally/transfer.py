"""Transfer of values that exceed a datagram, in chunks, compressed.

A node is offered such a record and asks for the chunks itself. The value is
used only when it is whole and its digest is right.
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

# Bounds the memory for values in transit, with MAX_CHUNKS, to 4 MB.
MAX_FETCHES = 4
MAX_CHUNKS = 1 + model.MAX_VALUE_BYTES // messages.CHUNK_BYTES
# Chunks asked for and not yet received.
WINDOW_CHUNKS = 8
RETRY_S = 0.3
MAX_TRIES = 10
MAX_SOURCES = 3
# Compressed values kept while others fetch them.
KEPT_VALUES = 4
COMPRESSION_LEVEL = 6


@dataclass(slots=True)
class Fetch:
    """A value being fetched; `asked` counts the chunks asked for so far."""

    entry: Entry
    sources: list[Endpoint]
    progressed: float
    count: int = 0
    digest: int = 0
    asked: int = 1
    tries: int = 0
    chunks: dict[int, bytes] = field(default_factory=dict)


@dataclass(slots=True)
class Packed:
    """A compressed value and its xxh3 digest."""

    payload: bytes
    digest: int


@dataclass(slots=True)
class Transfers:
    """Fetches by key, and compressed values by key and version."""

    fetches: dict[str, Fetch] = field(default_factory=dict)
    packed: dict[tuple[str, int], Packed] = field(default_factory=dict)


def receive_offer(
    state: NodeState,
    now: float,
    source: Endpoint,
    message: Offer,
) -> list[Effect]:
    """Fetch an offered record if it is newer than the one held."""
    return fetch(state, now, source, message.entry)


def fetch(
    state: NodeState,
    now: float,
    source: Endpoint,
    entry: Entry,
) -> list[Effect]:
    """Ask for the first chunk of a record unless it is being fetched."""
    fetches = state.control.transfers.fetches
    if state.records.version_of(entry.key) >= entry.version:
        return []
    running = fetches.get(entry.key)
    if running is not None and running.entry.version >= entry.version:
        known = running.sources
        if source not in known and len(known) < MAX_SOURCES:
            known.append(source)
        return []
    if running is None and len(fetches) >= MAX_FETCHES:
        state.counters.add('transfer', 'over_limit')
        return []
    if entry.size > model.MAX_VALUE_BYTES:
        state.counters.add('transfer', 'oversized')
        return []
    fetches[entry.key] = Fetch(entry, [source], now)
    return [_ask(fetches[entry.key], 0)]


def receive_query(
    state: NodeState,
    now: float,
    source: Endpoint,
    message: ChunkQuery,
) -> list[Effect]:
    """Answer with the chunk, or name the newer version held."""
    held = state.records.records.get(message.key)
    if held is None:
        return []
    if held.value is None or held.version != message.version:
        return [
            SendPeer(source, messages.encode(part))
            for part in dissemination.pack([held])
        ]
    packed = _pack(state, held.key, held.version, held.value)
    count = -(-len(packed.payload) // messages.CHUNK_BYTES)
    start = message.index * messages.CHUNK_BYTES
    payload = packed.payload[start : start + messages.CHUNK_BYTES]
    if not 0 <= message.index < count:
        return []
    answer = Chunk(
        held.key,
        held.version,
        message.index,
        count,
        packed.digest,
        payload,
    )
    return [SendPeer(source, messages.encode(answer))]


def receive_chunk(
    state: NodeState,
    now: float,
    source: Endpoint,
    message: Chunk,
) -> list[Effect]:
    """Keep a chunk and ask for the next; use the value once it is whole."""
    running = state.control.transfers.fetches.get(message.key)
    if running is None or running.entry.version != message.version:
        return []
    if message.count > MAX_CHUNKS or not 0 <= message.index < message.count:
        state.counters.add('transfer', 'foreign_chunk')
        return []
    if (running.count, running.digest) != (message.count, message.digest):
        # Another source may compress the same value differently.
        running.count = message.count
        running.digest = message.digest
        running.chunks.clear()
        running.asked = 1
    if message.index in running.chunks:
        return []
    running.chunks[message.index] = message.payload
    running.progressed = now
    if len(running.chunks) == running.count:
        return _finish(state, now, running)
    return _ask_next(running)


def tick(state: NodeState, now: float) -> list[Effect]:
    """Ask again, another source if there is one; give up in the end."""
    effects: list[Effect] = []
    fetches = state.control.transfers.fetches
    for key, running in list(fetches.items()):
        if now - running.progressed < RETRY_S:
            continue
        running.tries += 1
        if running.tries > MAX_TRIES:
            state.counters.add('transfer', 'gave_up')
            fetches.pop(key)
            continue
        running.progressed = now
        running.sources.append(running.sources.pop(0))
        missing = [
            index
            for index in range(max(1, running.count))
            if index not in running.chunks
        ]
        effects += [_ask(running, index) for index in missing[:WINDOW_CHUNKS]]
    return effects


def _ask_next(running: Fetch) -> list[Effect]:
    """Keep a window of chunks asked for."""
    limit = min(running.count, len(running.chunks) + WINDOW_CHUNKS)
    indexes = range(running.asked, limit)
    running.asked = max(running.asked, limit)
    return [
        _ask(running, index) for index in indexes if index not in running.chunks
    ]


def _ask(running: Fetch, index: int) -> SendPeer:
    entry = running.entry
    query = ChunkQuery(entry.key, entry.version, index)
    return SendPeer(running.sources[0], messages.encode(query))


def _finish(state: NodeState, now: float, running: Fetch) -> list[Effect]:
    entry = running.entry
    state.control.transfers.fetches.pop(entry.key)
    whole = b''.join(running.chunks[index] for index in range(running.count))
    if xxhash.xxh3_64_intdigest(whole) != running.digest:
        state.counters.add('transfer', 'torn')
        return []
    unpacker = zlib.decompressobj()
    try:
        value = unpacker.decompress(whole, model.MAX_VALUE_BYTES + 1)
    except zlib.error:
        state.counters.add('transfer', 'torn')
        return []
    if not unpacker.eof:
        state.counters.add('transfer', 'oversized')
        return []
    record = Record(entry.key, entry.version, value)
    return dissemination.take_records(state, now, (record,))


def _pack(state: NodeState, key: str, version: int, value: bytes) -> Packed:
    kept = state.control.transfers.packed
    packed = kept.get((key, version))
    if packed is None:
        payload = zlib.compress(value, COMPRESSION_LEVEL)
        packed = Packed(payload, xxhash.xxh3_64_intdigest(payload))
        while len(kept) >= KEPT_VALUES:
            kept.pop(next(iter(kept)))
        kept[key, version] = packed
    return packed

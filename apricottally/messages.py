"""Datagrams between nodes: MessagePack arrays with a leading type number.

A query is answered with at most one datagram. The node that sent the query
repeats it if the answer is lost, so the answering node keeps no state.
"""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from apricottally import decoding
from apricottally.errors import DecodingError, WireError
from apricottally.members import Member
from apricottally.occupancymessage import Occupancy

# With IP, UDP and tunnel headers, fits the smallest common path MTU.
MAX_DATAGRAM_BYTES = 1200
# Reserved for the fields of a message other than its list of items.
OVERHEAD_BYTES = 100
MAX_CONTENT_BYTES = MAX_DATAGRAM_BYTES - OVERHEAD_BYTES
# Larger values are offered, and fetched in chunks.
MAX_INLINE_BYTES = 800
CHUNK_BYTES = 900
MAX_KEY_BYTES = 160


class View(msgspec.Struct, frozen=True, array_like=True):
    """Summary of a node's state, with which peers detect differences.

    `digest` and `members` are 64-bit digests of its records and of its member
    list, `revision` is the highest version of its records. `ready` is set
    once the node has had a complete configuration.
    """

    revision: int
    digest: int
    members: int
    ready: bool


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Requests an `Ack` with the same `seq`."""

    seq: int
    sender: Member
    view: View
    updates: tuple[Member, ...] = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answers a `Ping`, or a `PingRequest` once its target has answered."""

    seq: int
    sender: Member
    view: View
    updates: tuple[Member, ...] = ()


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks a node to ping the target and to relay its answer."""

    seq: int
    target: Member


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Member updates, sent without waiting for the next ping."""

    updates: tuple[Member, ...]


class MemberQuery(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Requests the members whose names sort after `after`."""

    after: str


class MemberPage(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Members sorted by name, answering a `MemberQuery`."""

    after: str
    members: tuple[Member, ...]
    more: bool


class Item(msgspec.Struct, frozen=True, array_like=True):
    """A record; `value` is None for a deletion."""

    key: str
    version: int
    value: bytes | None


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """Key and version of a record; `size` is that of its value in bytes."""

    key: str
    version: int
    size: int


class Push(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Records whose values are small enough for one datagram."""

    items: tuple[Item, ...]


class Offer(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Announces a record whose value the sender provides in chunks."""

    entry: Entry


class ChunkQuery(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Requests one chunk of a record's compressed value."""

    key: str
    version: int
    index: int


class Chunk(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """One chunk; `digest` is the xxh3 hash of the whole compressed value."""

    key: str
    version: int
    index: int
    count: int
    digest: int
    payload: bytes


class DigestQuery(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Requests the digest of each bucket of records."""


class DigestReply(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """The digests of all buckets, 8 bytes each, big-endian."""

    digests: bytes


class ListQuery(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Requests the entries of a bucket whose keys sort after `after`."""

    bucket: int
    after: str


class ListReply(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Entries of a bucket sorted by key, answering a `ListQuery`."""

    bucket: int
    after: str
    entries: tuple[Entry, ...]
    more: bool


class FetchQuery(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """Requests a `Push` with as many of these records as fit."""

    keys: tuple[str, ...]


class OccupancyReport(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """Transfers the occupancy of a shard from its former to its new owner."""

    occupancy: Occupancy


Message: TypeAlias = (
    Ping
    | Ack
    | PingRequest
    | Gossip
    | MemberQuery
    | MemberPage
    | Push
    | Offer
    | ChunkQuery
    | Chunk
    | DigestQuery
    | DigestReply
    | ListQuery
    | ListReply
    | FetchQuery
    | OccupancyReport
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encode a message; raise `WireError` if it exceeds a datagram."""
    payload = _encoder.encode(message)
    if len(payload) > MAX_DATAGRAM_BYTES:
        raise WireError('oversized_message')
    return payload


def decode(payload: bytes) -> Message:
    """Decode a datagram; raise `WireError` if it is not a valid message."""
    if len(payload) > MAX_DATAGRAM_BYTES:
        raise WireError('oversized_message')
    try:
        return decoding.decode(_decoder.decode, payload)
    except DecodingError as error:
        raise WireError(f'{error.reason}_message') from error


def compute_size(part: Item | Entry | Member) -> int:
    """Return the encoded size of a part of a message in bytes."""
    return len(_encoder.encode(part))

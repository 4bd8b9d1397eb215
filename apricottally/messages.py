"""Datagrams between nodes: MessagePack arrays with a leading type number.

A query is answered with at most one datagram, so a lost one is asked again
by the node that needs it and no node keeps state for another's transfer.
"""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from apricottally.errors import WireError
from apricottally.members import Member
from apricottally.occupancymessage import Occupancy

# Fits the smallest usual path MTU with IP, UDP and a tunnel header.
MAX_DATAGRAM_BYTES = 1200
# Room for the fields of a message beside the items it lists.
HEADROOM_BYTES = 100
ROOM_BYTES = MAX_DATAGRAM_BYTES - HEADROOM_BYTES
# Largest value sent whole; larger ones are offered and fetched in chunks.
INLINE_BYTES = 800
CHUNK_BYTES = 900
MAX_KEY_BYTES = 160


class View(msgspec.Struct, frozen=True, array_like=True):
    """What a node holds, in brief: 64-bit digests of records and members.

    `revision` is the highest version of its records; `ready` says that the
    node once had a complete configuration.
    """

    revision: int
    digest: int
    members: int
    ready: bool


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks a member for an `Ack` with the same `seq`."""

    seq: int
    sender: Member
    view: View
    updates: tuple[Member, ...] = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answers a `Ping`, or a `PingRequest` whose target answered."""

    seq: int
    sender: Member
    view: View
    updates: tuple[Member, ...] = ()


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks a node to ping another one and to pass its answer on."""

    seq: int
    target: Member


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Changes of members, spread ahead of the next ping."""

    updates: tuple[Member, ...]


class MemberQuery(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Asks for the members whose names follow `after`."""

    after: str


class MemberPage(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Members in the order of their names, answering a `MemberQuery`."""

    after: str
    members: tuple[Member, ...]
    more: bool


class Item(msgspec.Struct, frozen=True, array_like=True):
    """A record; `value` is None for a deletion."""

    key: str
    version: int
    value: bytes | None


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """Names a record without its value; `size` is the value's in bytes."""

    key: str
    version: int
    size: int


class Push(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Records whose values are small enough to be sent whole."""

    items: tuple[Item, ...]


class Offer(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """A record whose value can be fetched in chunks from the sender."""

    entry: Entry


class ChunkQuery(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Asks for one chunk of a record's compressed value."""

    key: str
    version: int
    index: int


class Chunk(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """One chunk; `digest` is the xxh3 of the whole compressed value."""

    key: str
    version: int
    index: int
    count: int
    digest: int
    payload: bytes


class DigestQuery(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Asks for the digest of each bucket of records."""


class DigestReply(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """The digests of all buckets, 8 bytes each, big-endian."""

    digests: bytes


class ListQuery(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Asks for the records of a bucket whose keys follow `after`."""

    bucket: int
    after: str


class ListReply(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Names records of a bucket in the order of their keys."""

    bucket: int
    after: str
    entries: tuple[Entry, ...]
    more: bool


class FetchQuery(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """Asks for a `Push` with these records, as many as fit."""

    keys: tuple[str, ...]


class OccupancyReport(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """Hands over what a leaving owner has admitted for one shard."""

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
    """Encode a message; raises `WireError` if it exceeds a datagram."""
    payload = _encoder.encode(message)
    if len(payload) > MAX_DATAGRAM_BYTES:
        raise WireError('oversized_message')
    return payload


def decode(payload: bytes) -> Message:
    """Decode a datagram; raises `WireError` with the reason."""
    if len(payload) > MAX_DATAGRAM_BYTES:
        raise WireError('oversized_message')
    try:
        return _decoder.decode(payload)
    except msgspec.ValidationError as error:
        raise WireError('invalid_message') from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise WireError('malformed_message') from error


def measure(part: Item | Entry | Member) -> int:
    """Return the encoded size of a part of a message in bytes."""
    return len(_encoder.encode(part))

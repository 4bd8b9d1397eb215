"""Datagrams between nodes, and the snapshot that one node reads of another.

Datagrams are MessagePack arrays with a leading type number. Ages are in
milliseconds, since nodes share no clock.
"""

from __future__ import annotations

from typing import TypeAlias, TypeVar

import msgspec

from apricottally.errors import WireError
from apricottally.tagged.records import Change

# A datagram that fits a path of 1,500 bytes is not fragmented.
MAX_DATAGRAM_BYTES = 1400


class Peer(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A node as others name it; `incarnation` differs after a restart."""

    name: str
    zone: str
    ip: str
    port: int
    incarnation: int


class Load(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What one node has under way at a backend, by the backend's tag.

    `busy` counts requests in progress, `open` counts flows.
    """

    tag: int
    busy: int
    open: int


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A node's state, sent often.

    `revision` is up to which the node holds all records, `age_ms` the time
    since these were known to be the newest. `unreachable` are the tags of
    backends that a probe did not reach. `known` are some other nodes.
    """

    sender: Peer
    sequence: int
    leaving: bool
    revision: int
    age_ms: int
    loads: tuple[Load, ...]
    unreachable: tuple[int, ...]
    known: tuple[Peer, ...]


class Delta(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """All changes of the platform after one revision up to another."""

    sender: str
    after: int
    revision: int
    age_ms: int
    changes: tuple[Change, ...]


class Snapshot(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Records that a node holds and that are newer than the asker's.

    `complete` says that a backend not listed is not registered.
    """

    revision: int
    age_ms: int
    complete: bool
    changes: tuple[Change, ...]


Message: TypeAlias = Heartbeat | Delta
_Decoded = TypeVar('_Decoded')

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)
_snapshot_decoder = msgspec.msgpack.Decoder(Snapshot)


def encode(message: Message | Snapshot) -> bytes:
    """Encode a message."""
    return _encoder.encode(message)


def decode(payload: bytes) -> Message:
    """Decode a datagram; raises `WireError` with the reason."""
    return _decode(_decoder, payload, 'message')


def decode_snapshot(payload: bytes) -> Snapshot:
    """Decode a snapshot; raises `WireError` with the reason."""
    return _decode(_snapshot_decoder, payload, 'snapshot')


def _decode(
    decoder: msgspec.msgpack.Decoder[_Decoded],
    payload: bytes,
    kind: str,
) -> _Decoded:
    try:
        return decoder.decode(payload)
    except msgspec.ValidationError as error:
        raise WireError(f'invalid_{kind}') from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise WireError(f'malformed_{kind}') from error

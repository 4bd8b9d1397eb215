"""Messages between nodes: datagrams, and the snapshot sent over TCP.

Messages are MessagePack arrays with a leading type number. Times are sent as
ages in milliseconds at the time when the message was sent. The receiver can
place that time only by what it knows of the sender's clock (`clocks`).
"""

from __future__ import annotations

from typing import TypeAlias, TypeVar

import msgspec

from apricottally import decoding
from apricottally.errors import DecodingError, WireError
from apricottally.fields import (
    FlowKey,
    IpAddress,
    LoadNumber,
    Number,
    Port,
    SequenceNumber,
    Tag,
    Text,
)
from apricottally.tagged.records import Change
from apricottally.tagged.revisions import Revision
from apricottally.tagged.zoneloads.wire import ZoneLoads

# Avoids IP fragmentation on paths with an MTU of 1,500 bytes.
MAX_DATAGRAM_BYTES = 1400

# Milliseconds since the start of the process whose clock was read.
ClockReading: TypeAlias = Number
AgeMs: TypeAlias = Number


class Peer(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Identity and address of a node; `incarnation` changes at a restart."""

    name: Text
    zone: Text
    ip: IpAddress
    port: Port
    incarnation: Number


class Load(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Load that one node has placed on the backend with this tag.

    `busy` counts requests in progress, `open` counts open flows.
    """

    tag: Tag
    busy: LoadNumber
    open: LoadNumber


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Periodic state report of a node.

    The sender has all record changes up to `revision`; `age_ms` is the time
    since these were last confirmed to be the newest. `version` is that of its
    configuration, 0 without one: a restored platform may have an older one at
    a higher revision. `unreachable` are the
    tags of backends that a probe did not reach. `known` is a sample of other
    live nodes. `zone_size` is the number of nodes of its zone that the sender
    remembers, itself included; 0 if it limits no rates. `zone_loads` are the
    sums of the sender's zone, for nodes of another zone, or of other zones, for
    nodes of its own. `sent_ms` is the sender's clock when the ages in the
    message were true, in milliseconds since its start.
    """

    sender: Peer
    sequence: Number
    leaving: bool
    revision: Revision
    version: Number
    age_ms: AgeMs
    loads: tuple[Load, ...]
    unreachable: tuple[Tag, ...]
    known: tuple[Peer, ...]
    zone_size: Number = 0
    zone_loads: tuple[ZoneLoads, ...] = ()
    sent_ms: ClockReading | None = None


class Delta(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """All record changes after `after` up to `revision`, of one epoch.

    `age_ms` and `sent_ms` are as in a heartbeat; `incarnation` is the sender's.
    """

    sender: Text
    after: Revision
    revision: Revision
    age_ms: AgeMs
    changes: tuple[Change, ...]
    incarnation: Number = 0
    sent_ms: ClockReading | None = None


class ClockRequest(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Request for a reading of the receiver's clock.

    `incarnation` and `sent_ms`, the time of the request by the sender's clock,
    come back in the reply.
    """

    incarnation: Number
    sent_ms: ClockReading


class ClockReply(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Reply to a `ClockRequest` of the process `requester`.

    `received_ms` is when the node `name` has read the request, by its clock.
    """

    requester: Number
    sent_ms: ClockReading
    name: Text
    incarnation: Number
    received_ms: ClockReading


class FlowBackend(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The tag of the backend that serves the flow with a key.

    `initial_sequence` is the sequence number of its SYN, `age_ms` the time
    since it was opened.
    """

    key: FlowKey
    tag: Tag
    initial_sequence: SequenceNumber
    age_ms: AgeMs = 0


class FlowAnnouncement(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Flows whose SYN went to several backends, and which one serves them."""

    flows: tuple[FlowBackend, ...]


class SnapshotRequest(msgspec.Struct, frozen=True):
    """Request for records that are newer than those of the requesting node.

    `after` is the revision of its records, `version` that of its configuration.
    """

    after: Revision
    version: int


class Snapshot(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """A node's records that are newer than those of the requesting node.

    If `complete`, a backend that is not listed is not registered.
    """

    revision: Revision
    age_ms: AgeMs
    complete: bool
    changes: tuple[Change, ...]


Message: TypeAlias = (
    Heartbeat | Delta | ClockRequest | ClockReply | FlowAnnouncement
)
_Decoded = TypeVar('_Decoded')

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)
_snapshot_decoder = msgspec.msgpack.Decoder(Snapshot)


def encode(message: Message | Snapshot) -> bytes:
    """Encode a message as MessagePack."""
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
        return decoding.decode(decoder.decode, payload)
    except DecodingError as error:
        raise WireError(f'{error.reason}_{kind}') from error

"""Input of the reducer: events.

Times are monotonic, in seconds: `now` is when the event occurred,
`requested_at` when the call whose result it carries was started.
"""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from apricottally.addresses import Endpoint
from apricottally.tagged.messages import Snapshot
from apricottally.tagged.packets import FlowPacket
from apricottally.tagged.records import Change, Rejection
from apricottally.tagged.revisions import Revision


class PacketArrived(msgspec.Struct, frozen=True, gc=False):
    """A packet from a client arrived."""

    now: float
    packet: FlowPacket


class PeerArrived(msgspec.Struct, frozen=True, gc=False):
    """A datagram from another node arrived; `source` is its address."""

    now: float
    source: Endpoint
    payload: bytes


class Ticked(msgspec.Struct, frozen=True):
    """The timer fired."""

    now: float


class RecordsListed(msgspec.Struct, frozen=True):
    """The platform returned a complete list of its records.

    The list includes at least every change up to `revision`. `rejected` are
    the entries that cannot be used.
    """

    now: float
    requested_at: float
    revision: Revision
    changes: tuple[Change, ...]
    rejected: tuple[Rejection, ...] = ()


class RecordsChanged(msgspec.Struct, frozen=True):
    """A watch of the platform returned; it timed out if `changes` is empty.

    `changes` are all changes after the revision `after` up to `revision`,
    `rejected` the entries among them that cannot be used.
    """

    now: float
    requested_at: float
    after: Revision
    revision: Revision
    changes: tuple[Change, ...]
    rejected: tuple[Rejection, ...] = ()


class ReadFailed(msgspec.Struct, frozen=True):
    """A list or watch request failed; `reason` is a counter label.

    `compacted` is set if the platform no longer has the history that a watch
    needs, or was restored from an older copy.
    """

    now: float
    reason: str
    compacted: bool = False


class SnapshotPulled(msgspec.Struct, frozen=True):
    """A pull from a neighbour ended.

    `snapshot` is None if it failed; `problem` then describes the error.
    """

    now: float
    requested_at: float
    peer: str
    snapshot: Snapshot | None
    problem: str = ''


class ProbeEnded(msgspec.Struct, frozen=True):
    """A probe of a backend ended; `reached` is set if it connected.

    The probe is `conclusive` if the backend was reached or if the reference
    backend answered in time. A connection was `refused` if a reset arrived in
    place of the answer.
    """

    now: float
    requested_at: float
    tag: int
    reached: bool
    conclusive: bool = True
    refused: bool = False


class ShutdownRequested(msgspec.Struct, frozen=True):
    """The process received a request to stop."""

    now: float


Event: TypeAlias = (
    PacketArrived
    | PeerArrived
    | Ticked
    | RecordsListed
    | RecordsChanged
    | ReadFailed
    | SnapshotPulled
    | ProbeEnded
    | ShutdownRequested
)

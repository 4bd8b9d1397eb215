"""Input of the reducer: one frozen type an event.

Every event carries `now`, monotonic time in seconds.
"""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from apricottally.addresses import Endpoint
from apricottally.tagged.messages import Snapshot
from apricottally.tagged.packets import FlowPacket
from apricottally.tagged.records import Change


class PacketArrived(msgspec.Struct, frozen=True, gc=False):
    """A packet of a client arrived."""

    now: float
    packet: FlowPacket


class PeerArrived(msgspec.Struct, frozen=True, gc=False):
    """A datagram of another node arrived; `source` is its sender's."""

    now: float
    source: Endpoint
    payload: bytes


class Ticked(msgspec.Struct, frozen=True):
    """The timer fired."""

    now: float


class RecordsListed(msgspec.Struct, frozen=True):
    """A complete list came from the platform.

    The list was asked for at `asked_at` and holds at least every change up to
    `revision`.
    """

    now: float
    asked_at: float
    revision: int
    changes: tuple[Change, ...]


class RecordsChanged(msgspec.Struct, frozen=True):
    """A watch of the platform returned; without changes it timed out.

    `changes` are all that came after the revision `after`, up to `revision`.
    """

    now: float
    asked_at: float
    after: int
    revision: int
    changes: tuple[Change, ...]


class ReadFailed(msgspec.Struct, frozen=True):
    """A list or watch failed; `reason` is a counter label.

    `compacted` says that the platform no longer has the history.
    """

    now: float
    reason: str
    compacted: bool = False


class SnapshotPulled(msgspec.Struct, frozen=True):
    """A neighbour's records came, or None and what the problem was."""

    now: float
    asked_at: float
    peer: str
    snapshot: Snapshot | None
    problem: str = ''


class ProbeEnded(msgspec.Struct, frozen=True):
    """A probe of a backend ended; `reached` says that it connected.

    It is `conclusive` if the backend was reached, or if the one probed beside
    it answered at once.
    """

    now: float
    asked_at: float
    tag: int
    reached: bool
    conclusive: bool = True


class ShutdownRequested(msgspec.Struct, frozen=True):
    """The process was asked to stop."""

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

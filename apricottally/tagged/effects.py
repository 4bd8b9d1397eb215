"""Output of the reducer: effects, which `node` carries out."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeAlias

import msgspec

from apricottally.addresses import Endpoint
from apricottally.effects import Exit, LogValue
from apricottally.tagged.packets import FlowPacket
from apricottally.tagged.records import Backend
from apricottally.tagged.revisions import Revision


class Forward(msgspec.Struct, frozen=True, gc=False):
    """Send a client's packet to a backend.

    `tag` is written into the packet; None leaves the packet unchanged.
    """

    backend: Backend
    raw: bytes
    tag: int | None = None


class Reset(msgspec.Struct, frozen=True, gc=False):
    """Send a TCP reset to the client that sent a packet."""

    packet: FlowPacket


class SendPeer(msgspec.Struct, frozen=True, gc=False):
    """Send a datagram to other nodes."""

    dests: tuple[Endpoint, ...]
    payload: bytes


class ListRecords(msgspec.Struct, frozen=True):
    """List all records of the platform."""


class WatchRecords(msgspec.Struct, frozen=True):
    """Wait up to `wait_s` for changes after the revision `after`."""

    after: Revision
    wait_s: float


class PullSnapshot(msgspec.Struct, frozen=True):
    """Fetch the records newer than this node's revision from a neighbour."""

    peer: str
    endpoint: Endpoint


class ProbeBackend(msgspec.Struct, frozen=True):
    """Connect to a backend server, and to a reference known to answer.

    If neither answers, the probe is inconclusive: this node or its link may be
    too slow.
    """

    backend: Backend
    reference: Backend


class WriteLog(msgspec.Struct, frozen=True):
    """Write a structured log record."""

    event: str
    fields: Mapping[str, LogValue] = msgspec.field(default_factory=dict)


Effect: TypeAlias = (
    Forward
    | Reset
    | SendPeer
    | ListRecords
    | WatchRecords
    | PullSnapshot
    | ProbeBackend
    | WriteLog
    | Exit
)

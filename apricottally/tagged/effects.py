"""Output of the reducer: one frozen type an effect, done by the shell."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeAlias

import msgspec

from apricottally.addresses import Endpoint
from apricottally.effects import Exit, LogValue
from apricottally.tagged.packets import FlowPacket
from apricottally.tagged.records import Backend


class Forward(msgspec.Struct, frozen=True, gc=False):
    """Send a client's packet to a backend.

    A `tag` is written into the packet; None leaves it as it is.
    """

    backend: Backend
    raw: bytes
    tag: int | None = None


class Reset(msgspec.Struct, frozen=True, gc=False):
    """Send a reset to the client of a packet."""

    packet: FlowPacket


class SendPeer(msgspec.Struct, frozen=True, gc=False):
    """Send a datagram to other nodes."""

    dests: tuple[Endpoint, ...]
    payload: bytes


class ListRecords(msgspec.Struct, frozen=True):
    """Read all records of the platform."""


class WatchRecords(msgspec.Struct, frozen=True):
    """Wait for changes after a revision, for `wait_s` at most."""

    after: int
    wait_s: float


class PullSnapshot(msgspec.Struct, frozen=True):
    """Read all records from a neighbour."""

    peer: str
    endpoint: Endpoint


class ProbeBackend(msgspec.Struct, frozen=True):
    """Try to connect to a backend server, and to one known to answer.

    Without an answer of `reference` the probe says nothing: this node, or its
    link, may be too slow.
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

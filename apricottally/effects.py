"""Output of the reducer: one immutable type per kind of effect.

The I/O layer executes the effects.
"""

from typing import TypeAlias

import msgspec

from apricottally.addresses import Endpoint

LogValue: TypeAlias = str | int | float | bool


class SendPacket(msgspec.Struct, frozen=True, gc=False):
    """Send a datagram from the packet socket."""

    dest: Endpoint
    payload: bytes


class SendPeer(msgspec.Struct, frozen=True, gc=False):
    """Send a datagram from the peer socket."""

    dest: Endpoint
    payload: bytes


class StartWatch(msgspec.Struct, frozen=True):
    """List the platform's records, then watch them for changes.

    A running watch is stopped first. The I/O layer reports a failure and
    does not retry; the reducer decides when to start the next watch.
    """


class StopWatch(msgspec.Struct, frozen=True):
    """Stop the watch on the platform's records."""


class SwapRecord(msgspec.Struct, frozen=True):
    """Write `value` if the key still has `version` (0: key is absent)."""

    op_id: str
    key: str
    version: int
    value: bytes


class PollLoad(msgspec.Struct, frozen=True):
    """Request load reports from these backend servers."""

    ips: tuple[str, ...]


class WriteLog(msgspec.Struct, frozen=True):
    """Write a structured log record."""

    event: str
    fields: dict[str, LogValue] = msgspec.field(default_factory=dict)


class Exit(msgspec.Struct, frozen=True):
    """End the process with an exit status."""

    status: int


Effect: TypeAlias = (
    SendPacket
    | SendPeer
    | StartWatch
    | StopWatch
    | SwapRecord
    | PollLoad
    | WriteLog
    | Exit
)

"""Output of the reducer: one frozen type an effect, done by the shell."""

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
    """List the platform's records and watch them from then on.

    A watch that is already running ends first. The reducer decides on
    delays; the shell reports a failure and does not try again by itself.
    """


class StopWatch(msgspec.Struct, frozen=True):
    """Stop watching the platform."""


class SwapRecord(msgspec.Struct, frozen=True):
    """Write `value` if the key still has `version` (0: does not exist)."""

    op_id: str
    key: str
    version: int
    value: bytes


class PollLoad(msgspec.Struct, frozen=True):
    """Ask these backend servers for their load."""

    ips: tuple[str, ...]


class WriteLog(msgspec.Struct, frozen=True):
    """Write a structured log record."""

    event: str
    fields: dict[str, LogValue] = msgspec.field(default_factory=dict)


class Exit(msgspec.Struct, frozen=True):
    """End the process."""

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

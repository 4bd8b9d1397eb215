"""Output of the reducer: one frozen type an effect, done by the shell."""

from dataclasses import dataclass, field
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


@dataclass(frozen=True, slots=True)
class StartWatch:
    """List the platform's records and watch them from then on.

    A watch that is already running ends first. The reducer decides on
    delays; the shell reports a failure and does not try again by itself.
    """


@dataclass(frozen=True, slots=True)
class StopWatch:
    """Stop watching the platform."""


@dataclass(frozen=True, slots=True)
class SwapRecord:
    """Write `value` if the key still has `version` (0: does not exist)."""

    op_id: str
    key: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class PollLoad:
    """Ask these backend servers for their load."""

    ips: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class WriteLog:
    """Write a structured log record."""

    event: str
    fields: dict[str, LogValue] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Exit:
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

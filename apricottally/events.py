"""Input of the reducer: one frozen type an event.

Every event carries `now`, monotonic time in seconds. `source` is the outer
source of a datagram.
"""

from dataclasses import dataclass
from typing import TypeAlias

import msgspec

from apricottally.addresses import Endpoint


class PacketReceived(msgspec.Struct, frozen=True, gc=False):
    """A datagram arrived on the packet socket."""

    now: float
    source: Endpoint
    payload: bytes


class PeerReceived(msgspec.Struct, frozen=True, gc=False):
    """A datagram arrived on the peer socket."""

    now: float
    source: Endpoint
    payload: bytes


@dataclass(frozen=True, slots=True)
class Ticked:
    """The timer fired; `wall_s` is Unix time in seconds."""

    now: float
    wall_s: float


@dataclass(frozen=True, slots=True)
class Record:
    """A key of the platform; `value` is None for a deletion.

    `version` is the key's mod_revision.
    """

    key: str
    version: int
    value: bytes | None


@dataclass(frozen=True, slots=True)
class RecordsReceived:
    """Records came from the platform, by list or watch.

    `revision` is the store's revision. `complete` says that `records` is the
    whole content of the store at that revision.
    """

    now: float
    records: tuple[Record, ...]
    revision: int
    complete: bool


@dataclass(frozen=True, slots=True)
class PlatformLost:
    """A call to the platform failed.

    `reason` is one of few words, since it labels a counter.
    """

    now: float
    reason: str


@dataclass(frozen=True, slots=True)
class SwapCompleted:
    """A compare-and-swap ended.

    `outcome` is `stored`, `conflict` or `unknown`.
    """

    now: float
    op_id: str
    key: str
    outcome: str


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What a backend server says of itself.

    `busy` counts slots in use, `open` connections; `state` is `ready`,
    `cold` or `draining`.
    """

    busy: int
    open: int
    state: str


@dataclass(frozen=True, slots=True)
class LoadReported:
    """A poll of a backend's load ended; `report` is None if it failed."""

    now: float
    backend_ip: str
    report: LoadReport | None


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """An operator or SIGTERM asks for a graceful shutdown."""

    now: float


Event: TypeAlias = (
    PacketReceived
    | PeerReceived
    | Ticked
    | RecordsReceived
    | PlatformLost
    | SwapCompleted
    | LoadReported
    | ShutdownRequested
)

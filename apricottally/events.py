"""Input of the reducer: one immutable type per kind of event.

Every event carries `now`, monotonic time in seconds. `source` is the source
of a datagram's outer IP and UDP headers.
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
    """The periodic timer fired; `wall_s` is Unix time in seconds."""

    now: float
    wall_s: float


@dataclass(frozen=True, slots=True)
class Record:
    """A key of the platform's store; `value` is None for a deleted key.

    `version` is the store revision of the key's last change (etcd calls it
    mod_revision).
    """

    key: str
    version: int
    value: bytes | None


@dataclass(frozen=True, slots=True)
class RecordsReceived:
    """The platform returned records, from a list or a watch.

    `revision` is the store's revision. `complete` is true if `records` is the
    whole content of the store at that revision.
    """

    now: float
    records: tuple[Record, ...]
    revision: int
    complete: bool


@dataclass(frozen=True, slots=True)
class PlatformLost:
    """A call to the platform failed.

    `reason` comes from a small fixed set, because it labels a counter.
    """

    now: float
    reason: str


@dataclass(frozen=True, slots=True)
class SwapCompleted:
    """A compare-and-swap of a platform key ended.

    `outcome` is `stored`, `conflict` or `unknown`.
    """

    now: float
    op_id: str
    key: str
    outcome: str


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load and state that a backend server reports.

    `busy` counts the slots in use, `open` the open connections; `state` is
    `ready`, `cold` or `draining`.
    """

    busy: int
    open: int
    state: str


@dataclass(frozen=True, slots=True)
class LoadReported:
    """A load poll of a backend ended; `report` is None if it failed."""

    now: float
    backend_ip: str
    report: LoadReport | None


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """An operator or a signal requests a graceful shutdown."""

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

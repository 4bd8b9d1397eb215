"""The platform's records as used by the core.

An adapter decodes the values in the platform's store into these types. Nodes
also send them to each other as MessagePack arrays.
"""

from __future__ import annotations

import enum
from typing import TypeAlias

import msgspec

from apricottally.fields import (
    BackendNumber,
    IpAddress,
    IpNumber,
    Number,
    Port,
    Rate,
    Slots,
    Tag,
    Text,
)
from apricottally.tagged.revisions import Revision


class Repetition(enum.IntEnum):
    """Whether a client may repeat a request of a route."""

    idempotent = 0
    once = 1


class Backend(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A registered backend server.

    `number` is the 64-bit number in packets sent to it, `tag` the 32-bit form
    of it in flows. `cold_ms` is the remaining time for which it is slow after
    its start, `born_ms` the Unix time of its start. `sequence` rises with each
    record that it writes after a start.
    """

    name: Text
    number: BackendNumber
    tag: Tag
    service: Text
    ip: IpAddress
    port: Port
    zone: Text
    slots: Slots
    draining: bool
    cold_ms: Number
    born_ms: Number
    sequence: Number

    @property
    def order(self) -> tuple[int, int]:
        """Key by which the records of one backend are ordered."""
        return self.born_ms, self.sequence


class Target(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A service that gets a weighted share of a route's new flows."""

    service: str
    weight: Number


class Route(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """An address and port that clients use, with the services behind it.

    `priority` is 0 for the most urgent requests. New flows go to backends in
    `regions` only; none stands for all regions.
    """

    name: str
    address: IpNumber
    port: Port
    targets: tuple[Target, ...]
    repetition: Repetition
    priority: Number
    timeout_ms: Number
    latency_ms: Number
    regions: tuple[str, ...] = ()


class Service(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """How the backends of a service start.

    For `cold_start_ms` after its start, a backend can take `cold_per_s` new
    flows a second; 0 means that no rate is stated.
    """

    name: str
    cold_start_ms: Number
    cold_per_s: Rate


class Configuration(msgspec.Struct, frozen=True, array_like=True):
    """All routes and services; idle flows are dropped after a time."""

    version: Number
    routes: tuple[Route, ...]
    idle_timeout_ms: Number
    services: tuple[Service, ...] = ()


class BackendChange(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A backend's record was written or removed.

    `backend` is None if the record was removed, or if it cannot be decoded.
    In the second case `readable` is False: the backend gets no new flows but
    keeps its open ones.
    """

    name: Text
    revision: Revision
    backend: Backend | None
    readable: bool = True


class ConfigurationChange(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A configuration was written."""

    revision: Revision
    configuration: Configuration


class EvacuationChange(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """The evacuation of an availability zone began (`active`) or ended.

    The backends of an evacuated zone get no new flows.
    """

    zone: str
    revision: Revision
    active: bool


class Rejection(msgspec.Struct, frozen=True):
    """An entry of the platform that cannot be used.

    `reason` labels a counter, `problem` is for the log.
    """

    key: str
    revision: Revision
    reason: str
    problem: str


Change: TypeAlias = BackendChange | ConfigurationChange | EvacuationChange

"""Records of the platform as the core uses them.

An adapter decodes the platform's values into these types. They also travel
between nodes, as MessagePack arrays.
"""

from __future__ import annotations

import enum
from typing import TypeAlias

import msgspec


class Repetition(enum.IntEnum):
    """Whether a client may send a request of a route again."""

    idempotent = 0
    once = 1


class Backend(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A backend server that has registered itself.

    `number` is the 64-bit number that packets to it carry, `tag` its 32-bit
    form in flows. `cold_ms` is how much longer it is slow after its start,
    `born_ms` the Unix time of its start.
    """

    name: str
    number: int
    tag: int
    service: str
    ip: str
    port: int
    zone: str
    slots: int
    draining: bool
    cold_ms: int
    born_ms: int


class Target(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A service that gets a part of a route's new flows."""

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """An address and port that clients use, and where its flows go.

    `priority` is 0 for the most urgent work.
    """

    name: str
    address: int
    port: int
    targets: tuple[Target, ...]
    repetition: Repetition
    priority: int
    timeout_ms: int
    latency_ms: int


class Configuration(msgspec.Struct, frozen=True, array_like=True):
    """All routes in force, and how long an idle flow is kept."""

    version: int
    routes: tuple[Route, ...]
    idle_timeout_ms: int


class BackendChange(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A backend's record changed; `backend` is None if it was removed.

    A record that is not `readable` names no backend for new flows, but does
    not say that the backend has gone.
    """

    name: str
    revision: int
    backend: Backend | None
    readable: bool = True


class ConfigurationChange(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The configuration changed."""

    revision: int
    configuration: Configuration


Change: TypeAlias = BackendChange | ConfigurationChange

"""Slow start of backend servers that are new.

A backend's number has to be known to every node before flows carry it, and a
cold backend needs time to warm up.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from apricottally.model import Backend, BackendState

if TYPE_CHECKING:
    from apricottally.routes import Service

# Time for which a new number gets no flow.
SETTLE_S = 2.0
# Time over which a new backend's share grows to its full size.
RAMP_S = 10.0
FULL_AGE_S = SETTLE_S + RAMP_S


def ramp(age_s: float) -> float:
    """Return the part of its share that a backend of this age gets."""
    return min(max((age_s - SETTLE_S) / RAMP_S, 0), 1)


def find_age(backend: Backend, wall_s: float) -> float:
    """Return the time since the platform's record made the backend active.

    Clocks of different machines differ, so the age is not below 0.
    """
    return min(max(wall_s - backend.changed_s, 0), FULL_AGE_S)


def list_young(services: Iterable[Service], wall_s: int) -> list[Service]:
    """Return the services with a backend in slow start."""
    return [
        service
        for service in services
        if any(
            backend.changed_s + FULL_AGE_S > wall_s
            for backend in service.backends.values()
            if backend.state is BackendState.active
        )
    ]


def reweigh(services: Iterable[Service], wall_s: int) -> None:
    """Set the weights of shards to what their backends may take now.

    Without it a shard would get the flows of a new backend before that
    backend may take them, and overload its others. Every node computes the
    same weights, since they come from the records and Unix time in whole
    seconds.
    """
    for service in services:
        _reweigh_service(service, wall_s)


def _reweigh_service(service: Service, wall_s: int) -> None:
    weights = dict.fromkeys((shard.name for shard in service.shards), float(0))
    full = weights.copy()
    for number, shard in service.shard_by_number.items():
        backend = service.backends[number]
        if backend.state is BackendState.active:
            grown = ramp(find_age(backend, wall_s))
            weights[shard.name] += backend.slots * grown
            full[shard.name] += backend.slots
    # A service whose backends are all new is used as a whole.
    usable = weights if any(weights.values()) else full
    for shard in service.shards:
        shard.weight = usable[shard.name]

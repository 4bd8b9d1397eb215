"""Slow start of new backend servers.

Every node has to know a backend's number before packets of flows carry it, and
a cold backend needs time to warm up.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from apricottally.model import Backend, BackendState

if TYPE_CHECKING:
    from apricottally.routes import Service

# Time for the backend's number to reach all nodes; it gets no flows until then.
PROPAGATION_S = 2.0
# Time over which a backend's share of new flows then grows to its full size.
RAMP_S = 10.0
FULL_AGE_S = PROPAGATION_S + RAMP_S


def compute_share(age_s: float) -> float:
    """Return the fraction, 0 to 1, of its full share that a backend gets."""
    return min(max((age_s - PROPAGATION_S) / RAMP_S, 0), 1)


def compute_age(backend: Backend, wall_s: float) -> float:
    """Return the seconds since the record made the backend active, capped.

    An age below 0, which clock differences between machines cause, becomes 0;
    ages above FULL_AGE_S need no distinction.
    """
    return min(max(wall_s - backend.changed_s, 0), FULL_AGE_S)


def list_slow_starting(
    services: Iterable[Service], wall_s: int
) -> list[Service]:
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


def update_weights(services: Iterable[Service], wall_s: int) -> None:
    """Set each shard's weight to the slots that its backends may use now.

    With full weights a shard would get the flows of a new backend before that
    backend may take them, and overload its other backends. Every node computes
    the same weights, from the records and Unix time in whole seconds.
    """
    for service in services:
        _update_service_weights(service, wall_s)


def _update_service_weights(service: Service, wall_s: int) -> None:
    weights = dict.fromkeys((shard.name for shard in service.shards), float(0))
    full = weights.copy()
    for number, shard in service.shard_by_number.items():
        backend = service.backends[number]
        if backend.state is BackendState.active:
            share = compute_share(compute_age(backend, wall_s))
            weights[shard.name] += backend.slots * share
            full[shard.name] += backend.slots
    # If all backends of a service are new, they start with full weights.
    chosen = weights if any(weights.values()) else full
    for shard in service.shards:
        shard.weight = chosen[shard.name]

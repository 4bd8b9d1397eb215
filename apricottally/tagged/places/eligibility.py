"""Backends that a route's new flows may go to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally.tagged.catalogentry import Entry
from apricottally.tagged.records import Route

if TYPE_CHECKING:
    from apricottally.tagged.state import NodeState


def list_eligible(
    state: NodeState, route: Route, service: str, zone: str | None = None
) -> tuple[Entry, ...]:
    """Return a service's candidates for a route, or those in one zone.

    Backends in evacuated zones and outside the route's regions are left out.
    A removed backend may be past its grace period: check `excludes_new_flows`.
    """
    catalog = state.catalog
    if not route.regions:
        return catalog.list_candidates(service, zone)
    found: tuple[Entry, ...] = ()
    for allowed in _list_allowed_zones(state, route):
        if zone is None or zone == allowed:
            found += catalog.list_candidates(service, allowed)
    return found


def is_eligible(
    state: NodeState, route: Route, entry: Entry, now: float
) -> bool:
    """Tell whether a backend may get a new flow of a route."""
    backend = entry.backend
    if backend is None or entry.excludes_new_flows(now):
        return False
    return entry in list_eligible(state, route, backend.service, backend.zone)


def explain_exclusion(state: NodeState, route: Route) -> str:
    """Return why none of a route's backends is eligible.

    Returns 'evacuated' if those in its regions are in evacuated zones,
    'no_region' if there are backends in other regions only, and an empty
    string if there is an eligible backend or none at all.
    """
    services = [target.service for target in route.targets if target.weight > 0]
    if any(list_eligible(state, route, service) for service in services):
        return ''
    candidates = state.catalog.candidates()
    zones = _list_allowed_zones(state, route) if route.regions else [None]
    evacuated = candidates.evacuated
    if any((name, zone) in evacuated for name in services for zone in zones):
        return 'evacuated'
    if any(
        (name, None) in group
        for name in services
        for group in (evacuated, candidates.usable)
    ):
        return 'no_region'
    return ''


def _list_allowed_zones(state: NodeState, route: Route) -> list[str]:
    """Return the zones in a route's regions."""
    return [
        zone
        for zone, region in state.config.zone_regions
        if region in route.regions
    ]

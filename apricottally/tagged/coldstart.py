"""Cold backends: those that have just started and can take few new flows.

A service states for how long its backends are cold and how many new flows a
second such a backend can take. New flows go to a cold backend only with a
permit, so that all nodes together stay within the rate.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from apricottally.addresses import Endpoint
from apricottally.tagged.catalogentry import Entry
from apricottally.tagged.effects import WriteLog
from apricottally.tagged.places import eligibility
from apricottally.tagged.quotas.membership import Membership
from apricottally.tagged.quotas.permits import Permits
from apricottally.tagged.records import (
    Backend,
    BackendChange,
    Change,
    Configuration,
    Route,
    Service,
)
from apricottally.tagged.revisions import NO_REVISION

if TYPE_CHECKING:
    from apricottally.tagged.state import NodeState

# Minimum time between two log lines about refused permits of one backend.
REFUSAL_LOG_PERIOD_S = 1.0
# A backend that was unreachable is probed this often until it answers, because
# it gets hardly any flows that would show it.
PROBE_PERIOD_S = 1.0


@dataclass(slots=True)
class Start:
    """A start of a backend: when this node noticed it, and its Unix time.

    `is_certain` is set if the node has seen an earlier start. Otherwise the
    start may have been long ago.
    """

    noticed_at: float
    born_ms: int
    is_certain: bool

    def is_cold(self, cold_s: float, newest_born_ms: int, now: float) -> bool:
        """Tell whether less than `cold_s` has passed since the start.

        `newest_born_ms` is the newest start of any backend.
        """
        if now >= self.noticed_at + cold_s:
            return False
        age_s = (newest_born_ms - self.born_ms) / 1000
        return self.is_certain or (self.born_ms > 0 and age_s < cold_s)


@dataclass(slots=True)
class Silence:
    """A backend that failed a probe, and when it has answered again."""

    since: float
    answered_at: float | None = None
    probed_at: float = 0

    def is_cold(self, cold_s: float, now: float) -> bool:
        """Tell whether less than `cold_s` has passed since the answer."""
        return self.answered_at is None or now < self.answered_at + cold_s

    def is_probe_due(self, now: float) -> bool:
        """Tell whether the backend is to be probed for an answer."""
        return (
            self.answered_at is None and now - self.probed_at >= PROBE_PERIOD_S
        )


@dataclass(slots=True)
class ColdStarts:
    """Which backends are cold, and the permits for them.

    `starts` are by backend name, `silences` by tag. `refused` has the refusals
    to log, with the held permits; `logged_at` is by backend name.
    `newest_born_ms` is the newest start in any record, as a lower bound of the
    time of day.
    """

    membership: Membership
    permits: Permits = field(default_factory=Permits)
    newest_born_ms: int = 0
    starts: dict[str, Start] = field(default_factory=dict)
    silences: dict[int, Silence] = field(default_factory=dict)
    refused: list[WriteLog] = field(default_factory=list)
    logged_at: dict[str, float] = field(default_factory=dict)
    configuration: Configuration | None = None
    limited: dict[str, Service] = field(default_factory=dict)

    def list_limited(
        self, configuration: Configuration | None
    ) -> dict[str, Service]:
        """Return the services with a rate by name."""
        if configuration is not self.configuration:
            self.configuration = configuration
            services = configuration.services if configuration else ()
            self.limited = {
                service.name: service
                for service in services
                if service.cold_per_s > 0
            }
        return self.limited


def create_cold_starts(
    name: str, zone: str, own: Endpoint, seeds: Iterable[Endpoint]
) -> ColdStarts:
    """Return the table of a node that has just started."""
    has_seeds = any(seed != own for seed in seeds)
    return ColdStarts(Membership(name, zone, has_seeds=has_seeds))


def is_available(state: NodeState, entry: Entry, now: float) -> bool:
    """Tell whether the backend may get a new flow: it is warm or has a permit.

    A missing permit is counted and logged.
    """
    service = find_limit(state, entry, now)
    backend = entry.backend
    if service is None or backend is None:
        return True
    if _may_use_permit(state, backend, service, now):
        return True
    state.counters.add('permit', 'refused')
    _log_refusal(state, backend, service, now)
    return False


def take_permit(state: NodeState, entry: Entry, now: float) -> bool:
    """Use a permit for a new flow if the backend is cold; tell if it may go."""
    service = find_limit(state, entry, now)
    backend = entry.backend
    if service is None or backend is None:
        return True
    if backend.zone != state.config.zone:
        return False
    taken = state.cold_starts.permits.take(
        backend.name.encode(),
        service.cold_per_s,
        state.cold_starts.membership.get_usable_arc(now),
        now,
    )
    state.counters.add('permit', 'taken' if taken else 'refused')
    return taken


def find_limit(state: NodeState, entry: Entry, now: float) -> Service | None:
    """Return the service of a cold backend, None if the backend is warm."""
    limited = state.cold_starts.list_limited(state.catalog.configuration)
    backend = entry.backend
    if not limited or backend is None:
        return None
    service = limited.get(backend.service)
    if service is None or not _is_cold(state, entry, backend, service, now):
        return None
    return service


def are_all_limited(state: NodeState, route: Route, now: float) -> bool:
    """Tell whether every backend of a route is cold and lacks a permit."""
    if not state.cold_starts.list_limited(state.catalog.configuration):
        return False
    entries = [
        entry
        for target in route.targets
        if target.weight > 0
        for entry in eligibility.list_eligible(state, route, target.service)
        if not entry.excludes_new_flows(now)
    ]
    if not entries:
        return False
    for entry in entries:
        service = find_limit(state, entry, now)
        backend = entry.backend
        if service is None or backend is None:
            return False
        if _may_use_permit(state, backend, service, now):
            return False
    return True


def observe_change(state: NodeState, change: Change, now: float) -> None:
    """Record the start of a backend that a change shows.

    Call it before the catalog applies the change, as it compares it with the
    known record. Backends in a node's first records do not count as just
    started, since all of a service may have started together long ago: only
    the remaining time in their records counts.
    """
    if not isinstance(change, BackendChange) or change.backend is None:
        return
    backend = change.backend
    cold_starts = state.cold_starts
    cold_starts.newest_born_ms = max(
        cold_starts.newest_born_ms, backend.born_ms
    )
    entry = state.catalog.find_by_name(change.name)
    known = None if entry is None else entry.backend
    is_first = known is None and state.catalog.revision != NO_REVISION
    if is_first or (known is not None and backend.born_ms > known.born_ms):
        cold_starts.starts[change.name] = Start(
            now, backend.born_ms, is_certain=known is not None
        )
    if known is not None and backend.order > known.order:
        # It was written after the silence.
        cold_starts.silences.pop(known.tag, None)


def record_unreachable(state: NodeState, tag: int, now: float) -> None:
    """Record that a backend has failed a probe; it may come back cold."""
    entry = state.catalog.find_by_tag(tag)
    limited = state.cold_starts.list_limited(state.catalog.configuration)
    if entry is None or entry.backend is None:
        return
    if entry.backend.service in limited:
        silence = state.cold_starts.silences.get(tag)
        if silence is None or silence.answered_at is not None:
            state.cold_starts.silences[tag] = Silence(now, probed_at=now)


def _is_cold(
    state: NodeState,
    entry: Entry,
    backend: Backend,
    service: Service,
    now: float,
) -> bool:
    cold_starts = state.cold_starts
    cold_s = service.cold_start_ms / 1000
    start = cold_starts.starts.get(backend.name)
    silence = cold_starts.silences.get(backend.tag)
    return (
        now < entry.cold_until
        or (
            start is not None
            and start.is_cold(cold_s, cold_starts.newest_born_ms, now)
        )
        or (silence is not None and silence.is_cold(cold_s, now))
    )


def _may_use_permit(
    state: NodeState, backend: Backend, service: Service, now: float
) -> bool:
    """Tell whether this node has a permit; it holds those of its zone only."""
    return (
        backend.zone == state.config.zone
        and state.cold_starts.permits.would_allow(
            backend.name.encode(),
            service.cold_per_s,
            state.cold_starts.membership.get_usable_arc(now),
            now,
        )
    )


def _log_refusal(
    state: NodeState, backend: Backend, service: Service, now: float
) -> None:
    """Log a missing permit, at most once a period for each backend."""
    cold_starts = state.cold_starts
    last_at = cold_starts.logged_at.get(backend.name)
    if last_at is not None and now - last_at < REFUSAL_LOG_PERIOD_S:
        return
    cold_starts.logged_at[backend.name] = now
    cold_starts.refused.append(
        WriteLog(
            'permit_refused',
            {
                'backend': backend.name,
                'rate': service.cold_per_s,
                'held': cold_starts.permits.count_held(backend.name.encode()),
                'version': state.configuration_version,
                'age_ms': state.freshness.age_ms(now),
            },
        )
    )

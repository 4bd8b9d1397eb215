"""Decides whether this node watches the platform, and when it retries.

In each zone the first `WATCHERS_PER_ZONE` members in rendezvous order are the
watchers. While nodes disagree on the members there may be more watchers, which
costs the platform extra calls but is otherwise harmless.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from apricottally import shards
from apricottally.effects import (
    Effect,
    LogValue,
    StartWatch,
    StopWatch,
    WriteLog,
)
from apricottally.events import PlatformLost, RecordsReceived
from apricottally.members import Member

if TYPE_CHECKING:
    from apricottally.state import NodeState

WATCHERS_PER_ZONE = 3
# Bounds of the exponential back-off, with full jitter, between attempts to
# watch the platform.
INITIAL_BACKOFF_S = 1.0
MAX_BACKOFF_S = 60.0


@dataclass(slots=True)
class WatcherState:
    """State of this node's watch of the platform.

    `active` is set while this node is a watcher. `list_received` is set once
    the current watch has delivered a complete list. `revision` is the platform
    revision up to which this node's own watch has delivered every change.
    `role_version` and `watchers_version` are the versions of the member table
    that `active` and `watchers` were computed from.
    """

    active: bool = False
    list_received: bool = False
    revision: int = 0
    failures: int = 0
    retry_at: float | None = None
    role_version: int = 0
    watchers: tuple[Member, ...] = ()
    watchers_version: int = 0


def tick(state: NodeState, now: float) -> list[Effect]:
    """Update this node's role, and start a watch whose delay has passed."""
    watch = state.protocols.watch
    effects: list[Effect] = []
    if state.protocols.memberlist_sync.joined:
        effects += _update_role(state)
    if watch.retry_at is not None and now >= watch.retry_at:
        watch.retry_at = None
        effects.append(StartWatch())
    return effects


def handle_platform_loss(state: NodeState, event: PlatformLost) -> list[Effect]:
    """Schedule a retry after the watch has failed."""
    state.counters.add('platform_lost', event.reason)
    schedule_retry(state, event.now)
    return [WriteLog('platform_lost', {'reason': event.reason})]


def refuse_older_list(state: NodeState, event: RecordsReceived) -> list[Effect]:
    """Stop a watch whose list is older than what it has already delivered.

    The platform was restored from an older copy without a raised revision. It
    gives out revisions again, which nodes cannot tell from those they know.
    """
    watch = state.protocols.watch
    state.counters.add('platform_lost', 'older_revision')
    schedule_retry(state, event.now)
    fields: dict[str, LogValue] = {
        'revision': event.revision,
        'known_revision': watch.revision,
    }
    return [StopWatch(), WriteLog('platform_restored', fields)]


def is_older_list(state: NodeState, event: RecordsReceived) -> bool:
    """Tell whether a list precedes what this node's watch has delivered.

    Lists are linearizable: that of a platform that has lost nothing does not.
    """
    return event.complete and event.revision < state.protocols.watch.revision


def schedule_retry(state: NodeState, now: float) -> None:
    """Schedule a new list and watch, unless one is scheduled already."""
    watch = state.protocols.watch
    if not watch.active or watch.retry_at is not None:
        return
    limit = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** min(watch.failures, 16))
    watch.failures += 1
    watch.list_received = False
    watch.retry_at = now + state.rng.uniform(0, limit)


def update_progress(state: NodeState, event: RecordsReceived) -> None:
    """Update the revision that this node's own watch has reached."""
    watch = state.protocols.watch
    if event.complete:
        watch.list_received = watch.active and watch.retry_at is None
        watch.failures = 0
        watch.revision = max(watch.revision, event.revision)
        return
    # The revision of a watch message may be ahead of the changes delivered.
    shown = max((record.version for record in event.records), default=0)
    watch.revision = max(watch.revision, shown)


def list_watchers(state: NodeState) -> tuple[Member, ...]:
    """Return the watchers of all zones."""
    watch = state.protocols.watch
    if watch.watchers_version != state.members.version:
        watch.watchers_version = state.members.version
        zones = sorted({member.zone for member in state.members.list_active()})
        watch.watchers = tuple(
            member
            for zone in zones
            for member in _select_zone_watchers(state, zone)
        )
    return watch.watchers


def _select_zone_watchers(state: NodeState, zone: str) -> list[Member]:
    candidates = state.members.list_active(zone)
    subject = f'watch/{zone}'.encode()
    return shards.rank_members(candidates, subject, WATCHERS_PER_ZONE)


def _update_role(state: NodeState) -> list[Effect]:
    watch = state.protocols.watch
    if watch.role_version == state.members.version:
        return []
    watch.role_version = state.members.version
    own = state.members.own
    active = own in _select_zone_watchers(state, own.zone)
    if active == watch.active:
        return []
    watch.active = active
    watch.list_received = False
    watch.failures = 0
    watch.retry_at = None
    return [StartWatch() if active else StopWatch()]

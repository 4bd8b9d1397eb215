"""Which nodes watch the platform, and when they try it again.

In each zone the first nodes in rendezvous order watch. Nodes whose views
differ may add a watcher, which costs the platform calls but harms nothing.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from apricottally import shards
from apricottally.effects import Effect, StartWatch, StopWatch, WriteLog
from apricottally.events import PlatformLost, RecordsReceived
from apricottally.members import Member

if TYPE_CHECKING:
    from apricottally.state import NodeState

WATCHERS_PER_ZONE = 3
# Exponential back-off with full jitter between tries of the platform.
FIRST_DELAY_S = 1.0
MAX_DELAY_S = 60.0


@dataclass(slots=True)
class Watch:
    """This node's part in watching the platform.

    `listed` says that a complete list came since the watch was started.
    `revision` is the platform's up to which this node's own watch has shown
    every change.
    """

    active: bool = False
    listed: bool = False
    revision: int = 0
    failures: int = 0
    retry_at: float | None = None
    members_version: int = 0
    watchers: tuple[Member, ...] = ()
    watchers_version: int = 0


def tick(state: NodeState, now: float) -> list[Effect]:
    """Take or give up the role, and start a delayed watch."""
    watch = state.control.watch
    effects: list[Effect] = []
    if state.control.memberlist.joined:
        effects += _choose_role(state)
    if watch.retry_at is not None and now >= watch.retry_at:
        watch.retry_at = None
        effects.append(StartWatch())
    return effects


def lose(state: NodeState, event: PlatformLost) -> list[Effect]:
    """Try the platform again after a delay."""
    state.counters.add('platform_lost', event.reason)
    schedule(state, event.now)
    return [WriteLog('platform_lost', {'reason': event.reason})]


def schedule(state: NodeState, now: float) -> None:
    """Plan a new list and watch, unless one is planned."""
    watch = state.control.watch
    if not watch.active or watch.retry_at is not None:
        return
    limit = min(MAX_DELAY_S, FIRST_DELAY_S * 2 ** min(watch.failures, 16))
    watch.failures += 1
    watch.listed = False
    watch.retry_at = now + state.rng.uniform(0, limit)


def note_records(state: NodeState, event: RecordsReceived) -> None:
    """Note how far this node's own watch has come."""
    watch = state.control.watch
    if event.complete:
        watch.listed = watch.active and watch.retry_at is None
        watch.failures = 0
        watch.revision = max(watch.revision, event.revision)
        return
    # A watch answer may carry a revision whose changes are yet to come.
    shown = max((record.version for record in event.records), default=0)
    watch.revision = max(watch.revision, shown)


def list_watchers(state: NodeState) -> tuple[Member, ...]:
    """Return the nodes of all zones that should watch."""
    watch = state.control.watch
    if watch.watchers_version != state.members.version:
        watch.watchers_version = state.members.version
        zones = sorted({member.zone for member in state.members.list_active()})
        watch.watchers = tuple(
            member for zone in zones for member in _rank_zone(state, zone)
        )
    return watch.watchers


def _rank_zone(state: NodeState, zone: str) -> list[Member]:
    candidates = state.members.list_active(zone)
    subject = f'watch/{zone}'.encode()
    return shards.rank_members(candidates, subject, WATCHERS_PER_ZONE)


def _choose_role(state: NodeState) -> list[Effect]:
    watch = state.control.watch
    if watch.members_version == state.members.version:
        return []
    watch.members_version = state.members.version
    own = state.members.own
    active = own in _rank_zone(state, own.zone)
    if active == watch.active:
        return []
    watch.active = active
    watch.listed = False
    watch.failures = 0
    watch.retry_at = None
    return [StartWatch() if active else StopWatch()]

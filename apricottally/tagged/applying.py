"""Applying records of any source to this node's copy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally.tagged import coldstart, recordlogs
from apricottally.tagged.clocks.asof import AsOf
from apricottally.tagged.effects import Effect
from apricottally.tagged.records import BackendChange, Change
from apricottally.tagged.revisions import NO_REVISION, Revision

if TYPE_CHECKING:
    from apricottally.tagged.state import NodeState


def apply_changes(
    state: NodeState,
    changes: tuple[Change, ...],
    source: str,
    now: float,
) -> tuple[list[Effect], list[Change]]:
    """Apply changes; return log effects and the changes that were new."""
    grace_s = state.freshness.lapse_grace_s(now)
    version = state.configuration_version
    if changes and state.catalog.revision != NO_REVISION:
        state.durations.in_force.add(now - state.freshness.confirmed_at)
    for change in changes:
        _clear_suspicion_on_restart(state, change)
        coldstart.observe_change(state, change, now)
    applied: list[Change] = []
    logs: list[Effect] = []
    for change in changes:
        if state.catalog.apply(change, now, grace_s):
            applied.append(change)
            logs.append(recordlogs.describe_change(state, change, source, now))
        else:
            logs += _report_ignored(state, change)
    state.invariants.check(
        'configuration_version_monotone',
        holds=state.configuration_version >= version,
        detail=(version, state.configuration_version),
    )
    return logs, applied


def start_epoch(
    state: NodeState, revision: Revision, now: float
) -> list[Effect]:
    """Prepare for the first records of an epoch that this node has not seen.

    The platform was away and has lost changes: registrations may be missing
    until the backends write them again.
    """
    known_revision = state.catalog.revision
    if known_revision == NO_REVISION:
        state.catalog.epoch_start = revision
        return []
    if revision.epoch <= known_revision.epoch:
        return []
    state.catalog.epoch_start = revision
    state.catalog.was_restored = True
    state.freshness.record_outage(now)
    state.counters.add('platform_restored', 'epoch')
    return [recordlogs.describe_restoration(state, revision)]


def remove_missing(
    state: NodeState,
    changes: tuple[Change, ...],
    revision: Revision,
    now: float,
) -> list[str]:
    """Remove the backends that a complete list lacks; return their names."""
    if revision.epoch < state.catalog.revision.epoch:
        return []
    names = [
        change.name
        for change in changes
        if isinstance(change, BackendChange)
        and (change.backend is not None or not change.readable)
    ]
    grace_s = state.freshness.lapse_grace_s(now)
    return state.catalog.remove_missing(names, revision, now, grace_s)


def advance_revision(
    state: NodeState,
    revision: Revision,
    as_of: AsOf | None,
    now: float,
) -> None:
    """Record that all changes up to a revision are applied.

    They are the newest as of a time; None if that is unknown.
    """
    if revision < state.catalog.revision:
        return
    state.catalog.revision = revision
    state.freshness.confirm(as_of, now)
    state.behind_since = None


def _report_ignored(state: NodeState, change: Change) -> list[Effect]:
    """Count and log a change that was not applied, unless it is known."""
    reason = recordlogs.explain_ignored(state.catalog, change)
    if not reason:
        return []
    state.counters.add('change_ignored', reason)
    return [recordlogs.describe_ignored(state, change, reason)]


def _clear_suspicion_on_restart(state: NodeState, change: Change) -> None:
    """Clear the suspicion of a backend that has restarted."""
    if not isinstance(change, BackendChange) or change.backend is None:
        return
    entry = state.catalog.find_by_name(change.name)
    if entry is None or entry.backend is None:
        return
    if entry.backend.born_ms < change.backend.born_ms:
        state.suspicion.forget(entry.backend.tag)

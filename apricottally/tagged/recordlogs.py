"""Log records about the platform's records."""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally.effects import LogValue
from apricottally.tagged.catalogentry import Entry
from apricottally.tagged.effects import WriteLog
from apricottally.tagged.places import transitions
from apricottally.tagged.records import (
    Change,
    ConfigurationChange,
    EvacuationChange,
)
from apricottally.tagged.revisions import NO_REVISION, Revision

if TYPE_CHECKING:
    from apricottally.tagged.catalog import Catalog
    from apricottally.tagged.state import NodeState


def describe_change(
    state: NodeState, change: Change, source: str, now: float
) -> WriteLog:
    """Return the log record of a change that was applied.

    `source` is `PLATFORM`, or the message and the node that brought it.
    """
    age = state.freshness.describe(now)
    if isinstance(change, EvacuationChange):
        return transitions.describe(state, change, now)
    if isinstance(change, ConfigurationChange):
        return WriteLog(
            'configuration_in_force',
            {
                'version': change.configuration.version,
                'epoch': change.revision.epoch,
                'revision': change.revision.number,
                'routes': len(change.configuration.routes),
                'source': source,
                **age,
            },
        )
    backend = change.backend
    if not change.readable:
        status = 'unreadable'
    elif backend is None:
        status = 'removed'
    else:
        status = 'draining' if backend.draining else 'ready'
    return WriteLog(
        'backend_changed',
        {
            'backend': change.name,
            'state': status,
            'epoch': change.revision.epoch,
            'revision': change.revision.number,
            'source': source,
            **age,
        },
    )


def describe_missing(state: NodeState, name: str, now: float) -> WriteLog:
    """Return the log record of a backend that a complete list lacks."""
    return WriteLog(
        'backend_changed',
        {
            'backend': name,
            'state': 'missing',
            'epoch': state.catalog.revision.epoch,
            'revision': state.catalog.revision.number,
            **state.freshness.describe(now),
        },
    )


def describe_ignored(state: NodeState, change: Change, reason: str) -> WriteLog:
    """Return the log record of a change that was not applied."""
    if isinstance(change, ConfigurationChange):
        record = 'configuration'
    elif isinstance(change, EvacuationChange):
        record = change.zone
    else:
        record = change.name
    fields: dict[str, LogValue] = {
        'record': record,
        'reason': reason,
        'epoch': change.revision.epoch,
        'revision': change.revision.number,
        'known_revision': state.catalog.revision.number,
    }
    return WriteLog('change_ignored', fields)


def explain_ignored(catalog: Catalog, change: Change) -> str:
    """Return why a change that was not applied was ignored.

    Returns an empty string if it repeats a record that is known.
    """
    known_revision = NO_REVISION
    if isinstance(change, ConfigurationChange):
        known_revision = catalog.configuration_revision
        same = change.configuration == catalog.configuration
    elif isinstance(change, EvacuationChange):
        evacuation = catalog.evacuations.find(change.zone)
        known_revision = evacuation.revision
        same = change.active == evacuation.active
    else:
        entry = catalog.find_by_name(change.name) or Entry(NO_REVISION, None)
        known_revision = entry.revision
        registered = entry.record if entry.is_registered() else None
        same = change.backend == registered
    if same:
        return ''
    if change.revision.epoch < catalog.revision.epoch:
        return 'older_epoch'
    if change.revision.epoch > known_revision.epoch:
        return 'older_copy'
    if change.revision > known_revision:
        return 'older_version'
    if change.revision == known_revision:
        return 'same_revision_other_content'
    return 'older_revision'


def describe_restoration(state: NodeState, revision: Revision) -> WriteLog:
    """Return the log record of the first records of another epoch."""
    known_revision = state.catalog.revision
    fields: dict[str, LogValue] = {
        'epoch': revision.epoch,
        'revision': revision.number,
        'known_epoch': known_revision.epoch,
        'known_revision': known_revision.number,
        'version': state.configuration_version,
    }
    return WriteLog('platform_restored', fields)

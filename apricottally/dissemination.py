"""Spread of records from the platform to every node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally.effects import Effect, WriteLog
from apricottally.errors import ModelError
from apricottally.events import Record, RecordsReceived, Ticked

if TYPE_CHECKING:
    from apricottally.state import NodeState


def tick(state: NodeState, event: Ticked) -> list[Effect]:
    """Exchange digests."""
    return []


def receive_records(
    state: NodeState,
    event: RecordsReceived,
) -> list[Effect]:
    """Apply records from the platform."""
    effects: list[Effect] = []
    changed = False
    for record in _complete_list(state, event):
        try:
            changed |= state.records.apply(record)
        except ModelError as error:
            state.counters.add('record_refused', record.key.split('/')[1])
            effects.append(
                WriteLog(
                    'record_refused',
                    {'key': record.key, 'problem': str(error)},
                ),
            )
    if changed:
        state.routes.rebuild(state.records)
    return effects


def _complete_list(
    state: NodeState,
    event: RecordsReceived,
) -> tuple[Record, ...]:
    """Add deletions for keys that a complete list no longer has."""
    if not event.complete:
        return event.records
    missing = state.records.list_missing(record.key for record in event.records)
    deletions = tuple(
        Record(key, event.revision, None)
        for key in missing
        if state.records.version_of(key) < event.revision
    )
    return event.records + deletions

"""Ends of evacuations that no change reports, and logs of all transitions."""

from __future__ import annotations

from collections.abc import Collection
from typing import TYPE_CHECKING

from apricottally.tagged.effects import Effect, WriteLog
from apricottally.tagged.records import Change, EvacuationChange
from apricottally.tagged.revisions import Revision

if TYPE_CHECKING:
    from apricottally.tagged.state import NodeState


def end_missing(
    state: NodeState,
    changes: tuple[Change, ...],
    revision: Revision,
    now: float,
) -> list[EvacuationChange]:
    """End the evacuations that complete records lack; return the ends.

    An evacuation of an earlier epoch among the records is one that the
    platform has lost and that another node keeps in force for a while.
    """
    if revision.epoch < state.catalog.revision.epoch:
        return []
    present = {
        change.zone
        for change in changes
        if isinstance(change, EvacuationChange)
        and change.active
        and change.revision.epoch == revision.epoch
    }
    return state.catalog.evacuations.end_missing(present, revision, now)


def tick(state: NodeState, now: float) -> list[Effect]:
    """End the lost evacuations that were not written again in time."""
    return describe_all(state, state.catalog.evacuations.end_lost(now), now)


def describe_all(
    state: NodeState, changes: list[EvacuationChange], now: float
) -> list[Effect]:
    """Return the log records of several transitions."""
    return [describe(state, change, now) for change in changes]


def describe(
    state: NodeState, change: EvacuationChange, now: float
) -> WriteLog:
    """Return the log record of an evacuation that began or ended."""
    return WriteLog(
        'zone_evacuated' if change.active else 'zone_restored',
        {
            'zone': change.zone,
            'epoch': change.revision.epoch,
            'revision': change.revision.number,
            'age_ms': state.freshness.age_ms(now),
            'flows': count_open_flows(state, (change.zone,)),
        },
    )


def count_open_flows(state: NodeState, zones: Collection[str]) -> int:
    """Return this node's open flows at the backends of some zones."""
    total = 0
    for tag, count in state.occupancy.own.items():
        entry = state.catalog.find_by_tag(tag)
        if entry is not None and entry.backend is not None:
            total += count.open if entry.backend.zone in zones else 0
    return total

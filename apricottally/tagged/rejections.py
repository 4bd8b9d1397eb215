"""Counts and logs of the platform's entries that cannot be used."""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally.effects import LogValue
from apricottally.tagged.effects import Effect, WriteLog
from apricottally.tagged.records import Rejection

if TYPE_CHECKING:
    from apricottally.tagged.state import NodeState

# Number of keys whose rejection is remembered, so that it is logged once.
MAX_KNOWN_KEYS = 1000
MAX_LOGGED_CHARACTERS = 120


def record_listed(
    state: NodeState, rejected: tuple[Rejection, ...]
) -> list[Effect]:
    """Record the rejected entries of a complete list."""
    new = _select_new(state, rejected)
    state.read_state.rejected.clear()
    _remember(state, rejected)
    return _report(state, new)


def record_changed(
    state: NodeState, rejected: tuple[Rejection, ...]
) -> list[Effect]:
    """Record the rejected entries among changes."""
    new = _select_new(state, rejected)
    _remember(state, new)
    return _report(state, new)


def _select_new(
    state: NodeState, rejected: tuple[Rejection, ...]
) -> tuple[Rejection, ...]:
    return tuple(
        rejection
        for rejection in rejected
        if state.read_state.rejected.get(rejection.key) != rejection.revision
    )


def _remember(state: NodeState, rejected: tuple[Rejection, ...]) -> None:
    for rejection in rejected[:MAX_KNOWN_KEYS]:
        state.read_state.rejected[rejection.key] = rejection.revision
    while len(state.read_state.rejected) > MAX_KNOWN_KEYS:
        state.read_state.rejected.pop(next(iter(state.read_state.rejected)))


def _report(state: NodeState, new: tuple[Rejection, ...]) -> list[Effect]:
    """Count entries by reason; log one line for all, with the first one."""
    if not new:
        return []
    for rejection in new:
        state.counters.add('entry_rejected', rejection.reason)
    first = new[0]
    fields: dict[str, LogValue] = {
        'entries': len(new),
        'key': first.key[:MAX_LOGGED_CHARACTERS],
        'reason': first.reason,
        'problem': first.problem[:MAX_LOGGED_CHARACTERS],
    }
    return [WriteLog('entry_rejected', fields)]

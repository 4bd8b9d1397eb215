"""Feeds events to the reducer and carries out the effects it returns."""

import traceback
from collections.abc import Callable, Mapping
from typing import Any

from apricottally.effects import Effect, WriteLog
from apricottally.errors import InvariantError
from apricottally.events import Event
from apricottally.reducer import reduce
from apricottally.state import NodeState


class Driver:
    """One node's loop: event in, effects out.

    `actions` maps each effect type to the function that carries it out. A
    fault in a handler is counted and logged, since one packet must not end
    the process; broken invariants are raised when the state is strict.
    """

    def __init__(
        self,
        state: NodeState,
        actions: Mapping[type, Callable[[Any], object]],
    ) -> None:
        self.state = state
        self.actions = actions

    def submit(self, event: Event) -> None:
        """Apply one event and carry out its effects."""
        try:
            effects = reduce(self.state, event)
        except InvariantError:
            raise
        except Exception:
            effects = self._report(event)
        actions = self.actions
        for effect in effects:
            actions[type(effect)](effect)

    def _report(self, event: Event) -> list[Effect]:
        name = type(event).__name__
        self.state.counters.add('handler_failed', name)
        trace = traceback.format_exc(limit=-3)
        return [WriteLog('handler_failed', {'event': name, 'trace': trace})]

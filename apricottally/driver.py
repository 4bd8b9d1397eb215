"""Passes events to the reducer and executes the effects it returns."""

import traceback
from collections.abc import Callable, Mapping
from typing import Any

from apricottally.effects import Effect, WriteLog
from apricottally.errors import InvariantError
from apricottally.events import Event
from apricottally.reducer import reduce
from apricottally.state import NodeState


class Driver:
    """Applies events to the state of one node.

    `effect_handlers` maps each effect type to the function that executes it.
    An exception in an event handler is counted and logged, since one packet
    must not end the process. An `InvariantError`, which only a strict
    configuration raises, is not caught.
    """

    def __init__(
        self,
        state: NodeState,
        effect_handlers: Mapping[type, Callable[[Any], object]],
    ) -> None:
        self.state = state
        self.effect_handlers = effect_handlers

    def submit(self, event: Event) -> None:
        """Apply one event and execute the resulting effects."""
        try:
            effects = reduce(self.state, event)
        except InvariantError:
            raise
        except Exception:
            effects = self._report_exception(event)
        handlers = self.effect_handlers
        for effect in effects:
            handlers[type(effect)](effect)

    def _report_exception(self, event: Event) -> list[Effect]:
        name = type(event).__name__
        self.state.counters.add('handler_failed', name)
        trace = traceback.format_exc(limit=-3)
        return [WriteLog('handler_failed', {'event': name, 'trace': trace})]

"""Exhaustive breadth-first exploration of a finite model."""

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from typing import Generic, TypeAlias, TypeVar

State = TypeVar('State', bound=Hashable)

# The name of a transition and the state it leads to.
Transition: TypeAlias = tuple[str, State]


@dataclass(frozen=True, slots=True)
class Outcome(Generic[State]):
    """What an exploration found.

    `states` and `transitions` are counts; `depth` is the largest distance of
    a state from the start. `violations` maps each violated property to the
    transitions of a shortest run that violates it. `landmarks` are the names
    of the landmarks that were reached.
    """

    states: int
    transitions: int
    depth: int
    violations: dict[str, list[str]]
    landmarks: frozenset[str]


class TooManyStatesError(Exception):
    """The model has more states than the given limit."""


def explore(
    start: State,
    list_transitions: Callable[[State], Iterable[Transition[State]]],
    find_violations: Callable[[State], Iterable[str]],
    find_landmarks: Callable[[State], Iterable[str]],
    max_states: int,
    stop_violation: str = '',
) -> Outcome[State]:
    """Visit every state that can be reached from `start`.

    A state that violates a property is not explored further. The exploration
    ends early once the property `stop_violation` is violated. Raises
    `TooManyStatesError` beyond `max_states` states.
    """
    visited = _Visited(start, max_states)
    violations: dict[str, list[str]] = {}
    landmarks: set[str] = set()
    while visited.queue and stop_violation not in violations:
        state = visited.queue.popleft()
        landmarks.update(find_landmarks(state))
        violated = tuple(find_violations(state))
        for name in violated:
            violations.setdefault(name, visited.trace(state))
        if not violated:
            visited.add_all(state, list_transitions(state))
    return Outcome(
        len(visited.depths),
        visited.transitions,
        max(visited.depths.values()),
        violations,
        frozenset(landmarks),
    )


class _Visited(Generic[State]):
    """The visited states, how each was reached, and the queue to explore."""

    def __init__(self, start: State, max_states: int) -> None:
        self.queue = deque((start,))
        self.depths = {start: 0}
        self.transitions = 0
        self._limit = max_states
        self._origins: dict[State, tuple[State, str]] = {}

    def add_all(
        self, state: State, outgoing: Iterable[Transition[State]]
    ) -> None:
        """Record the transitions from a state and queue the new states."""
        for name, successor in outgoing:
            self.transitions += 1
            if successor not in self.depths:
                self._origins[successor] = (state, name)
                self.depths[successor] = self.depths[state] + 1
                self.queue.append(successor)
        if len(self.depths) > self._limit:
            raise TooManyStatesError(self._limit)

    def trace(self, state: State) -> list[str]:
        """Return the names of the transitions of a shortest run to a state."""
        names = []
        while state in self._origins:
            state, name = self._origins[state]
            names.append(name)
        names.reverse()
        return names

"""Exhaustive breadth-first exploration of a finite model."""

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from typing import Generic, TypeAlias, TypeVar

State = TypeVar('State', bound=Hashable)

# A step's name and the state it leads to.
Step: TypeAlias = tuple[str, State]


@dataclass(frozen=True, slots=True)
class Outcome(Generic[State]):
    """What an exploration found.

    `violations` maps each broken property to the steps of a shortest run that
    breaks it. `reached` names the landmarks that some run passes.
    """

    states: int
    transitions: int
    depth: int
    violations: dict[str, list[str]]
    reached: frozenset[str]


class TooManyStatesError(Exception):
    """The model does not fit into the stated bound."""


def explore(
    start: State,
    list_steps: Callable[[State], Iterable[Step[State]]],
    find_violations: Callable[[State], Iterable[str]],
    find_landmarks: Callable[[State], Iterable[str]],
    limit: int,
    wanted: str = '',
) -> Outcome[State]:
    """Visit every state that can be reached from `start`.

    Raises `TooManyStatesError` beyond `limit` states. A state that breaks a
    property is not explored further, and all ends with one that breaks the
    `wanted` one.
    """
    visited = _Visited(start, limit)
    violations: dict[str, list[str]] = {}
    reached: set[str] = set()
    while visited.queue and wanted not in violations:
        state = visited.queue.popleft()
        reached.update(find_landmarks(state))
        broken = tuple(find_violations(state))
        for name in broken:
            violations.setdefault(name, visited.trace(state))
        if not broken:
            visited.add_all(state, list_steps(state))
    return Outcome(
        len(visited.depths),
        visited.transitions,
        max(visited.depths.values()),
        violations,
        frozenset(reached),
    )


class _Visited(Generic[State]):
    """States seen so far, how each was reached, and those to follow."""

    def __init__(self, start: State, limit: int) -> None:
        self.queue = deque((start,))
        self.depths = {start: 0}
        self.transitions = 0
        self._limit = limit
        self._origins: dict[State, tuple[State, str]] = {}

    def add_all(self, state: State, steps: Iterable[Step[State]]) -> None:
        """Take the steps from a state."""
        for step, following in steps:
            self.transitions += 1
            if following not in self.depths:
                self._origins[following] = (state, step)
                self.depths[following] = self.depths[state] + 1
                self.queue.append(following)
        if len(self.depths) > self._limit:
            raise TooManyStatesError(self._limit)

    def trace(self, state: State) -> list[str]:
        """Return the steps of a shortest run to a state."""
        steps = []
        while state in self._origins:
            state, step = self._origins[state]
            steps.append(step)
        steps.reverse()
        return steps

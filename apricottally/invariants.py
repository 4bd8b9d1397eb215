"""Assertions of the program, on in production, each with a counter.

A broken invariant is counted and logged in production. Tests and long runs
set `strict`, so that the first break raises `InvariantError`.
"""

from apricottally.counters import Counters
from apricottally.errors import InvariantError


class Invariants:
    """Counts checks that failed; raises on the first one when strict."""

    __slots__ = ('_counters', 'strict')

    def __init__(self, counters: Counters, *, strict: bool = False) -> None:
        self._counters = counters
        self.strict = strict

    def check(self, name: str, *, holds: bool, detail: object = '') -> bool:
        """Count and, when strict, raise if `holds` is false; return it."""
        if holds:
            return True
        self._counters.add('invariant_broken', name)
        if self.strict:
            raise InvariantError(f'{name}: {detail}')
        return False

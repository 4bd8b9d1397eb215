"""Invariant checks that also run in production, each with a counter.

In production a violation is counted and logged. Tests and long runs set
`strict`, so that the first violation raises `InvariantError`.
"""

from apricottally.counters import Counters
from apricottally.errors import InvariantError


class Invariants:
    """Counts failed checks; raises on the first one if strict."""

    __slots__ = ('_counters', 'strict')

    def __init__(self, counters: Counters, *, strict: bool = False) -> None:
        self._counters = counters
        self.strict = strict

    def check(self, name: str, *, holds: bool, detail: object = '') -> bool:
        """Return `holds`; if it is false, count it and, if strict, raise."""
        if holds:
            return True
        self._counters.add('invariant_broken', name)
        if self.strict:
            raise InvariantError(f'{name}: {detail}')
        return False

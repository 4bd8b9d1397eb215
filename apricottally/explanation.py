"""Recent decisions of a node, kept so that an operator can ask why."""

from collections import deque
from dataclasses import dataclass

# Decisions kept; at about 200 bytes each they take less than 1 MB.
KEPT_DECISIONS = 4096


@dataclass(frozen=True, slots=True)
class Decision:
    """One decision about a flow.

    `action` is what was done (`admit`, `refuse`, `retry`, `reset`), `rule`
    the reason. `number` is the backend number, -1 if none was chosen.
    """

    now: float
    key: bytes
    action: str
    rule: str
    workspace: str
    service: str
    number: int
    version: int


class Decisions:
    """A ring of the last decisions."""

    __slots__ = ('_ring',)

    def __init__(self) -> None:
        self._ring: deque[Decision] = deque(maxlen=KEPT_DECISIONS)

    def add(self, decision: Decision) -> None:
        """Keep a decision; the oldest one makes room."""
        self._ring.append(decision)

    def find(self, key: bytes) -> list[Decision]:
        """Return the kept decisions about a flow, oldest first."""
        return [decision for decision in self._ring if decision.key == key]

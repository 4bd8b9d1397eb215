"""The nodes of a zone in hash order, and the part of the ring of one node.

The order is that in which nodes of large zones send heartbeats: each node hears
the nodes before it, so that it knows where its part begins even if it does not
know the whole zone. Rendezvous hashing would need the whole zone.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeAlias

from apricottally.tagged.neighbours import get_hash_key

# Hash of a name and the name, as `get_hash_key` returns them.
Position: TypeAlias = tuple[int, str]


@dataclass(frozen=True, slots=True)
class Arc:
    """The positions after `start` up to and including `end`, with wrap.

    It is the whole ring if both are equal.
    """

    start: Position
    end: Position

    def covers(self, position: Position) -> bool:
        """Tell whether a position lies on the arc."""
        if self.start < self.end:
            return self.start < position <= self.end
        return position > self.start or position <= self.end

    def includes(self, other: Arc) -> bool:
        """Tell whether another arc with the same end is a part of this one."""
        if self.start in {self.end, other.start}:
            return True
        return other.start != other.end and self.covers(other.start)


def build_arc(own_name: str, predecessors: list[str]) -> Arc:
    """Return the arc from the nearest node before this one up to it."""
    end = get_hash_key(own_name)
    return Arc(get_hash_key(predecessors[0]) if predecessors else end, end)


def list_predecessors(own_name: str, others: Iterable[str]) -> list[str]:
    """Return the names before this node on the ring, nearest first."""
    end = get_hash_key(own_name)
    keys = sorted(map(get_hash_key, others), reverse=True)
    before = [name for crc, name in keys if (crc, name) < end]
    after = [name for crc, name in keys if (crc, name) > end]
    return before + after


def place_permit(resource: bytes, index: int) -> Position:
    """Return the position of a permit; it has the range of nodes' hashes."""
    digest = hashlib.blake2b(
        resource, digest_size=4, salt=index.to_bytes(4, 'big')
    )
    return int.from_bytes(digest.digest(), 'big'), ''

"""Random choice of peers among the eligible members."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import xxhash

from apricottally.members import Member, MemberTable

SUCCESSORS = 8


@dataclass(slots=True)
class Peers:
    """Eligible members other than this node, cached while they stand.

    `successors` are the names that follow this node's by hash.
    """

    version: int = 0
    everywhere: list[Member] = field(default_factory=list)
    same_zone: list[Member] = field(default_factory=list)
    other_zones: list[Member] = field(default_factory=list)
    successors: list[str] = field(default_factory=list)

    def refresh(self, table: MemberTable) -> None:
        """Rebuild the lists if the members have changed."""
        if self.version == table.version:
            return
        self.version = table.version
        zone = table.own.zone
        self.everywhere = [
            member
            for member in table.eligible()
            if member.name != table.own_name
        ]
        self.same_zone = [
            member for member in self.everywhere if member.zone == zone
        ]
        self.other_zones = [
            member for member in self.everywhere if member.zone != zone
        ]
        names = [member.name for member in self.everywhere]
        distance = _build_distance(table.own_name)
        self.successors = heapq.nsmallest(SUCCESSORS, names, key=distance)


def choose(
    rng: random.Random,
    candidates: list[Member],
    count: int,
) -> list[Member]:
    """Return up to `count` different members."""
    return rng.sample(candidates, min(count, len(candidates)))


def _build_distance(own_name: str) -> Callable[[str], int]:
    """Return the distance of a name from this node's on a ring of hashes."""
    start = xxhash.xxh3_64_intdigest(own_name.encode())

    def measure(name: str) -> int:  # noqa: WPS430
        return (xxhash.xxh3_64_intdigest(name.encode()) - start) % (1 << 64)

    return measure

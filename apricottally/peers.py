"""Active members other than this node, and random choice among them."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import xxhash

from apricottally.members import Member, MemberTable

SUCCESSOR_COUNT = 8


@dataclass(slots=True)
class PeerLists:
    """Active members other than this node, cached per table version.

    `successors` are the names that follow this node's on the ring of hashes.
    """

    version: int = 0
    all_peers: list[Member] = field(default_factory=list)
    same_zone: list[Member] = field(default_factory=list)
    other_zones: list[Member] = field(default_factory=list)
    successors: list[str] = field(default_factory=list)

    def refresh(self, table: MemberTable) -> None:
        """Rebuild the lists if the members have changed."""
        if self.version == table.version:
            return
        self.version = table.version
        zone = table.own.zone
        self.all_peers = [
            member
            for member in table.list_active()
            if member.name != table.own_name
        ]
        self.same_zone = [
            member for member in self.all_peers if member.zone == zone
        ]
        self.other_zones = [
            member for member in self.all_peers if member.zone != zone
        ]
        names = [member.name for member in self.all_peers]
        distance = _build_ring_distance(table.own_name)
        self.successors = heapq.nsmallest(SUCCESSOR_COUNT, names, key=distance)


def choose_random(
    rng: random.Random,
    candidates: list[Member],
    count: int,
) -> list[Member]:
    """Return up to `count` distinct members."""
    return rng.sample(candidates, min(count, len(candidates)))


def _build_ring_distance(own_name: str) -> Callable[[str], int]:
    """Return a function that gives a name's distance on the ring."""
    start = xxhash.xxh3_64_intdigest(own_name.encode())

    def compute_distance(name: str) -> int:  # noqa: WPS430
        return (xxhash.xxh3_64_intdigest(name.encode()) - start) % (1 << 64)

    return compute_distance

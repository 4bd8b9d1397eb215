"""Backend shards, and the nodes that own them by rendezvous hash."""

from dataclasses import dataclass

import xxhash

from apricottally.members import Member, MemberTable

# One owner admits for a whole shard; its size bounds the work of one node
# and the number of shards a large service spreads over.
SHARD_BACKENDS = 64
# Zone of a shard whose backends stand in several zones.
ANY_ZONE = ''
# Flows share trackers by bucket, since a rendezvous hash over the 750 members
# of a zone costs 190 us.
TRACKER_BUCKETS = 4096


@dataclass(slots=True)
class Shard:
    """The backend servers of one service that one node admits for.

    A service with few backends has one shard for all zones, since exact
    counts over all of them balance better than a choice among zones by hash.
    Shards of larger services each stand in one zone.

    `numbers` are those that may get new flows; `weight` is their slots. It
    is the only field that changes: it grows while backends are in slow start.
    """

    name: str
    service: str
    zone: str
    numbers: tuple[int, ...]
    weight: float


def count_shards(backends: int) -> int:
    """Return the number of shards for a zone's backends, a power of two."""
    shards = 1
    while shards * SHARD_BACKENDS < backends:
        shards *= 2
    return shards


def shard_index(number: int, shards: int) -> int:
    """Return the shard that a backend number belongs to."""
    return xxhash.xxh3_64_intdigest(number.to_bytes(2, 'big')) % shards


def choose_member(
    candidates: tuple[Member, ...],
    subject: bytes,
) -> Member | None:
    """Return the candidate with the highest rendezvous score."""
    if not candidates:
        return None
    seed = xxhash.xxh3_64_intdigest(subject)
    return max(
        candidates,
        key=lambda member: xxhash.xxh3_64_intdigest(member.name.encode(), seed),
    )


def rank_members(
    candidates: tuple[Member, ...],
    subject: bytes,
    count: int,
) -> list[Member]:
    """Return the first `count` candidates in rendezvous order."""
    seed = xxhash.xxh3_64_intdigest(subject)
    ordered = sorted(
        candidates,
        key=lambda member: xxhash.xxh3_64_intdigest(member.name.encode(), seed),
        reverse=True,
    )
    return ordered[:count]


@dataclass(frozen=True, slots=True)
class Reachable:
    """A service's shards, and those of them that can be reached."""

    known: tuple[Shard, ...]
    reachable: tuple[Shard, ...]


class Owners:
    """Owners of shards and trackers of flows, cached while members stand."""

    __slots__ = ('_members', '_owners', '_reachable', '_trackers', '_version')

    def __init__(self, members: MemberTable) -> None:
        self._members = members
        self._owners: dict[str, Member] = {}
        self._trackers: dict[int, Member] = {}
        self._reachable: dict[str, Reachable] = {}
        self._version = 0

    def find(self, shard_name: str, zone: str) -> Member:
        """Return the owner of a shard; this node if no member is eligible."""
        self._forget_old()
        owner = self._owners.get(shard_name)
        if owner is None:
            owner = self._choose(shard_name, zone)
            self._owners[shard_name] = owner
        return owner

    def owns(self, shard_name: str, zone: str) -> bool:
        """Tell whether this node owns the shard."""
        return self.find(shard_name, zone).name == self._members.own_name

    def find_tracker(self, key: bytes) -> Member:
        """Return the node that tracks a flow that may be silent."""
        self._forget_old()
        bucket = xxhash.xxh3_64_intdigest(key) % TRACKER_BUCKETS
        tracker = self._trackers.get(bucket)
        if tracker is None:
            own = self._members.own
            candidates = self._members.list_owner_candidates(own.zone)
            subject = bucket.to_bytes(2, 'big')
            tracker = choose_member(candidates, subject) or own
            self._trackers[bucket] = tracker
        return tracker

    def choose_shard(
        self,
        service: str,
        shards: tuple[Shard, ...],
        key: bytes,
    ) -> Shard | None:
        """Return the shard of a service for a new flow."""
        return choose_shard(self.list_reachable(service, shards), key)

    def list_reachable(
        self,
        service: str,
        shards: tuple[Shard, ...],
    ) -> tuple[Shard, ...]:
        """Return the shards whose zone has a live node; all if none has.

        A zone that is cut off keeps its backends to itself: new flows go to
        the shards that this side can reach.
        """
        self._forget_old()
        kept = self._reachable.get(service)
        if kept is None or kept.known is not shards:
            reachable = tuple(
                shard
                for shard in shards
                if self._members.list_owner_candidates(shard.zone)
            )
            kept = Reachable(shards, reachable or shards)
            self._reachable[service] = kept
        return kept.reachable

    def _forget_old(self) -> None:
        if self._version != self._members.version:
            self._owners.clear()
            self._trackers.clear()
            self._reachable.clear()
            self._version = self._members.version

    def _choose(self, shard_name: str, zone: str) -> Member:
        subject = shard_name.encode()
        candidates = (
            self._members.list_owner_candidates(zone)
            or self._members.list_owner_candidates()
        )
        return choose_member(candidates, subject) or self._members.own


def choose_shard(shards: tuple[Shard, ...], key: bytes) -> Shard | None:
    """Return the shard for a flow by weighted rendezvous of its key.

    The choice depends only on the key and the shards, so every node with the
    same configuration makes the same one.
    """
    best: Shard | None = None
    best_score = float(-1)
    seed = xxhash.xxh3_64_intdigest(key)
    for shard in shards:
        if not shard.weight:
            continue
        shard_score = _weigh(
            xxhash.xxh3_64_intdigest(shard.name.encode(), seed),
            shard.weight,
        )
        if best is None or shard_score > best_score:
            best = shard
            best_score = shard_score
    return best


def _weigh(hashed: int, weight: float) -> float:
    """Return u ** (1 / weight) for u uniform in (0, 1): weighted rendezvous."""
    uniform = (hashed + 1) / ((1 << 64) + 1)
    return float(uniform ** (1 / weight))

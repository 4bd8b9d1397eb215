"""Backend shards, and the choice of their owners by rendezvous hashing."""

from dataclasses import dataclass

import xxhash

from apricottally.members import Member, MemberTable

# A service with at most this many backends has one shard. Larger services have
# shards of at most this size on average in each zone, which bounds both the
# work of a shard's owner and the number of shards.
BACKENDS_PER_SHARD = 64
# Zone of a shard whose backends are in several zones.
ANY_ZONE = ''
# The flows of a bucket of keys share a tracker, which is cached, since
# rendezvous hashing over the 750 members of a zone takes 190 us.
TRACKER_BUCKETS = 4096


@dataclass(slots=True)
class Shard:
    """Backend servers of a service whose flows one node, the owner, admits.

    A service with few backends has one shard for all zones, since exact
    counts over all backends balance better than a choice among zones by hash.
    Each shard of a larger service has the backends of one zone only.

    `numbers` are the backend numbers that may get new flows. `weight` is the
    number of their slots, and the only field that changes: it grows while
    backends are in slow start.
    """

    name: str
    service: str
    zone: str
    numbers: tuple[int, ...]
    weight: float


def count_shards(backends: int) -> int:
    """Return the number of shards for a zone's backends, a power of two."""
    shards = 1
    while shards * BACKENDS_PER_SHARD < backends:
        shards *= 2
    return shards


def compute_shard_index(number: int, shards: int) -> int:
    """Return the index of the shard that a backend number belongs to."""
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
    ranked = sorted(
        candidates,
        key=lambda member: xxhash.xxh3_64_intdigest(member.name.encode(), seed),
        reverse=True,
    )
    return ranked[:count]


@dataclass(frozen=True, slots=True)
class ReachableShards:
    """A service's shards, and the reachable ones among them."""

    known: tuple[Shard, ...]
    reachable: tuple[Shard, ...]


class OwnerCache:
    """Caches owners of shards and trackers of flows until members change."""

    __slots__ = (
        '_members',
        '_members_version',
        '_owners',
        '_reachable',
        '_trackers',
    )

    def __init__(self, members: MemberTable) -> None:
        self._members = members
        self._owners: dict[str, Member] = {}
        self._trackers: dict[int, Member] = {}
        self._reachable: dict[str, ReachableShards] = {}
        self._members_version = 0

    def find_owner(self, shard_name: str, zone: str) -> Member:
        """Return the owner of a shard; this node if there is no candidate."""
        self._invalidate_if_outdated()
        owner = self._owners.get(shard_name)
        if owner is None:
            owner = self._choose_owner(shard_name, zone)
            self._owners[shard_name] = owner
        return owner

    def owns_shard(self, shard_name: str, zone: str) -> bool:
        """Return whether this node owns the shard."""
        return self.find_owner(shard_name, zone).name == self._members.own_name

    def find_tracker(self, key: bytes) -> Member:
        """Return the node that checks whether a flow has become silent."""
        self._invalidate_if_outdated()
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
        """Return the shards whose zone has a candidate owner, else all.

        If the network is partitioned, new flows go only to the shards on this
        side of the partition.
        """
        self._invalidate_if_outdated()
        cached = self._reachable.get(service)
        if cached is None or cached.known is not shards:
            reachable = tuple(
                shard
                for shard in shards
                if self._members.list_owner_candidates(shard.zone)
            )
            cached = ReachableShards(shards, reachable or shards)
            self._reachable[service] = cached
        return cached.reachable

    def _invalidate_if_outdated(self) -> None:
        if self._members_version != self._members.version:
            self._owners.clear()
            self._trackers.clear()
            self._reachable.clear()
            self._members_version = self._members.version

    def _choose_owner(self, shard_name: str, zone: str) -> Member:
        subject = shard_name.encode()
        candidates = (
            self._members.list_owner_candidates(zone)
            or self._members.list_owner_candidates()
        )
        return choose_member(candidates, subject) or self._members.own


def choose_shard(shards: tuple[Shard, ...], key: bytes) -> Shard | None:
    """Return the shard for a flow by weighted rendezvous hashing of its key.

    The choice depends only on the key and the shards, so all nodes with the
    same configuration choose the same shard.
    """
    best: Shard | None = None
    best_score = float(-1)
    seed = xxhash.xxh3_64_intdigest(key)
    for shard in shards:
        if not shard.weight:
            continue
        shard_score = _compute_score(
            xxhash.xxh3_64_intdigest(shard.name.encode(), seed),
            shard.weight,
        )
        if best is None or shard_score > best_score:
            best = shard
            best_score = shard_score
    return best


def _compute_score(hashed: int, weight: float) -> float:
    """Return the weighted rendezvous score: u ** (1 / weight), u in (0, 1)."""
    uniform = (hashed + 1) / ((1 << 64) + 1)
    return float(uniform ** (1 / weight))

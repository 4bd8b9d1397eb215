"""Membership: the other nodes and their latest heartbeats.

A node discovers others through its seeds and through the nodes listed in
heartbeats.
"""

from __future__ import annotations

import random
import zlib
from dataclasses import dataclass, field

from apricottally.addresses import Endpoint
from apricottally.tagged.messages import Heartbeat, Peer
from apricottally.tagged.revisions import NO_REVISION, Revision

# A node counts as dead if no heartbeat of it has arrived for this time.
ALIVE_TIMEOUT_S = 1.2
# The same for a node known only from the heartbeats of others.
MENTION_TIMEOUT_S = 3.0
# A node that has left counts as absent for this time, as it may restart.
RETURN_TIMEOUT_S = 2.5
# A silent node is contacted until no heartbeat has mentioned it for this time.
FORGET_TIMEOUT_S = 30.0
CONTACT_PERIOD_S = 1.0
MAX_CONTACTS = 3
# Below the first size, each node sends to every node of the fleet; up to the
# second, to every node of its zone.
MAX_MESH_NODES = 16
MAX_ZONE_MESH_NODES = 24
MAX_KNOWN_PEERS = 4
LONG_AGO = float('-inf')


@dataclass(slots=True)
class Neighbour:
    """Another node and the state from its latest heartbeat.

    `heard_at` is when its last heartbeat arrived, `mentioned_at` when a
    heartbeat, its own or another node's, last mentioned it. `hears_us_at` is
    when its heartbeat last listed this process as alive, `clock_requested_at`
    when it was last asked to read its clock.
    """

    peer: Peer
    mentioned_at: float
    heard_at: float = LONG_AGO
    sequence: int = 0
    leaving: bool = False
    revision: Revision = NO_REVISION
    version: int = 0
    hears_us_at: float = LONG_AGO
    zone_size: int = 0
    clock_requested_at: float = LONG_AGO

    @property
    def endpoint(self) -> Endpoint:
        """Address of the node's peer port, for datagrams and snapshots."""
        return self.peer.ip, self.peer.port


@dataclass(slots=True)
class Neighbours:
    """All known nodes by name, except this one (`own`)."""

    own: Peer
    seeds: tuple[Endpoint, ...]
    by_name: dict[str, Neighbour] = field(default_factory=dict)
    contacted_at: float = LONG_AGO
    # How often a sender of a heartbeat was new.
    new_count: int = 0

    def record_heartbeat(
        self, heartbeat: Heartbeat, now: float
    ) -> tuple[Neighbour, bool]:
        """Record a heartbeat; return its sender and whether that is new.

        A sender is new if it was unknown, was silent or has restarted. A
        heartbeat that arrives after a newer one does not change the sender's
        revision or state.
        """
        sender = heartbeat.sender
        neighbour = self.by_name.get(sender.name)
        is_new = neighbour is None or now - neighbour.heard_at > ALIVE_TIMEOUT_S
        if (
            neighbour is None
            or neighbour.peer.incarnation != sender.incarnation
        ):
            neighbour = Neighbour(sender, now)
            self.by_name[sender.name] = neighbour
            is_new = True
        self.new_count += is_new
        neighbour.heard_at = now
        neighbour.mentioned_at = now
        if heartbeat.sequence > neighbour.sequence:
            neighbour.sequence = heartbeat.sequence
            neighbour.leaving = heartbeat.leaving
            neighbour.revision = heartbeat.revision
            neighbour.version = heartbeat.version
            neighbour.zone_size = heartbeat.zone_size
        if self.own in heartbeat.known:
            neighbour.hears_us_at = now
        for peer in heartbeat.known:
            self._mention(peer, now)
        return neighbour, is_new

    def list_alive(
        self, now: float, zone: str | None = None
    ) -> list[Neighbour]:
        """Return the live nodes of one zone or of all zones."""
        return [
            neighbour
            for neighbour in self.by_name.values()
            if now - neighbour.heard_at < ALIVE_TIMEOUT_S
            and (zone is None or neighbour.peer.zone == zone)
        ]

    def list_zone_members(self, now: float, zone: str) -> list[Neighbour]:
        """Return the members of a zone.

        In a zone with a full mesh these are the nodes whose heartbeats arrive;
        in a larger zone they include nodes known only from others' heartbeats.
        """
        mentioned = [
            neighbour
            for neighbour in self.list_mentioned(now)
            if neighbour.peer.zone == zone
        ]
        if len(mentioned) > MAX_ZONE_MESH_NODES:
            return mentioned
        return [
            neighbour
            for neighbour in mentioned
            if now - neighbour.heard_at < ALIVE_TIMEOUT_S
        ]

    def rank_of_zone(self, now: float) -> int:
        """Return how many zones with live nodes precede this one in hash order.

        Nodes known only from the heartbeats of others count as live.
        """
        own_key = get_hash_key(self.own.zone)
        zones = {
            neighbour.peer.zone
            for neighbour in self.list_mentioned(now)
            if not neighbour.leaving
        }
        return sum(1 for zone in zones if get_hash_key(zone) < own_key)

    def rank_in_zone(self, now: float) -> int:
        """Return how many nodes of the zone precede this one in hash order.

        Nodes that are leaving, or whose heartbeats report no records, are not
        counted.
        """
        own_key = get_hash_key(self.own.name)
        return sum(
            1
            for neighbour in self.list_zone_members(now, self.own.zone)
            if not neighbour.leaving
            and (
                neighbour.revision != NO_REVISION
                or neighbour.heard_at == LONG_AGO
            )
            and get_hash_key(neighbour.peer.name) < own_key
        )

    def count_absent(self, now: float) -> int:
        """Return how many nodes of the zone are leaving or have just left."""
        return sum(
            1
            for neighbour in self.by_name.values()
            if neighbour.leaving
            and neighbour.peer.zone == self.own.zone
            and now - neighbour.heard_at < RETURN_TIMEOUT_S
        )

    def list_contacts(
        self,
        now: float,
        rng: random.Random,
    ) -> list[Endpoint]:
        """Return seeds and silent nodes to contact, once per period.

        In a large fleet, a silent node of another zone is contacted only if
        no heartbeat mentions that zone any more.
        """
        if now - self.contacted_at < CONTACT_PERIOD_S:
            return []
        self.contacted_at = now
        self._drop_expired(now)
        skipped = self._list_in_touch(now)
        known = {neighbour.endpoint for neighbour in skipped}
        known.add((self.own.ip, self.own.port))
        silent = [
            neighbour.endpoint
            for neighbour in self.by_name.values()
            if neighbour.endpoint not in known
        ]
        endpoints = {seed for seed in self.seeds if seed not in known}
        endpoints.update(rng.sample(silent, min(MAX_CONTACTS, len(silent))))
        return sorted(endpoints)

    def sample_alive(self, now: float, rng: random.Random) -> tuple[Peer, ...]:
        """Return a random sample of live nodes to list in a heartbeat."""
        alive = [neighbour.peer for neighbour in self.list_alive(now)]
        return tuple(rng.sample(alive, min(MAX_KNOWN_PEERS, len(alive))))

    def is_small(self, now: float) -> bool:
        """Tell whether each node sends to every node of the fleet."""
        return len(self.list_mentioned(now)) < MAX_MESH_NODES

    def _list_in_touch(self, now: float) -> list[Neighbour]:
        """Return the nodes that need no contact."""
        if self.is_small(now):
            return self.list_alive(now)
        mentioned = self.list_mentioned(now)
        zones = {neighbour.peer.zone for neighbour in mentioned}
        zones.discard(self.own.zone)
        return mentioned + [
            neighbour
            for neighbour in self.by_name.values()
            if neighbour.peer.zone in zones
        ]

    def list_mentioned(self, now: float) -> list[Neighbour]:
        """Return the nodes that any node has heard recently."""
        return [
            neighbour
            for neighbour in self.by_name.values()
            if now - neighbour.mentioned_at < MENTION_TIMEOUT_S
        ]

    def _mention(self, peer: Peer, now: float) -> None:
        """Record that another node has heard this peer.

        A new incarnation replaces a neighbour that is silent here: what its
        last heartbeat said is out of date.
        """
        if peer.name == self.own.name:
            return
        neighbour = self.by_name.get(peer.name)
        if neighbour is None:
            self.by_name[peer.name] = Neighbour(peer, now)
            self.contacted_at = LONG_AGO
            return
        neighbour.mentioned_at = now
        is_silent = now - neighbour.heard_at > ALIVE_TIMEOUT_S
        if is_silent and neighbour.peer.incarnation != peer.incarnation:
            self.by_name[peer.name] = Neighbour(peer, now)

    def _drop_expired(self, now: float) -> None:
        expired = [
            name
            for name, neighbour in self.by_name.items()
            if now - neighbour.mentioned_at > FORGET_TIMEOUT_S
        ]
        for name in expired:
            self.by_name.pop(name)


def get_hash_key(name: str) -> tuple[int, str]:
    """Return the key by which nodes and zones are ordered."""
    return zlib.crc32(name.encode()), name

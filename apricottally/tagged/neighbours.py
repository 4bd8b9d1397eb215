"""Other nodes: who they are, what they told last, and whom to tell.

A node learns of others through its seeds and through what neighbours know.
It tells all nodes of a small fleet, else those of its zone that follow it in
a ring, and a few of other zones.
"""

from __future__ import annotations

import random
import zlib
from dataclasses import dataclass, field

from apricottally.addresses import Endpoint
from apricottally.tagged.messages import Heartbeat, Peer

# A node that has not been heard for longer counts as gone.
ALIVE_S = 1.2
# The same for a node that only others hear.
MENTIONED_S = 3.0
# A node that has left is awaited back for so long.
ABSENT_S = 2.5
# A node that was never heard, or went silent, is tried again for so long.
FORGET_S = 30.0
CONTACT_PERIOD_S = 1.0
CONTACTS = 3
# Fleets up to this size tell every node; zones up to this size every node of
# the zone.
MESH_NODES = 16
ZONE_MESH_NODES = 24
OTHER_ZONE_PEERS = 2
KNOWN_PEERS = 4
_LONG_AGO = float('-inf')


@dataclass(slots=True)
class Neighbour:
    """What is known of one node.

    `heard_at` is when it last spoke itself, `mentioned_at` when another node
    last said that it had heard it.
    """

    peer: Peer
    mentioned_at: float
    heard_at: float = _LONG_AGO
    sequence: int = 0
    leaving: bool = False
    revision: int = 0

    @property
    def endpoint(self) -> Endpoint:
        """Where the node takes datagrams and answers pulls."""
        return self.peer.ip, self.peer.port


@dataclass(slots=True)
class Neighbours:
    """All known nodes by name, without this one."""

    own: Peer
    seeds: tuple[Endpoint, ...]
    by_name: dict[str, Neighbour] = field(default_factory=dict)
    contacted_at: float = _LONG_AGO

    def hear(self, heartbeat: Heartbeat, now: float) -> tuple[Neighbour, bool]:
        """Take a heartbeat; tell whether its node is new or has restarted.

        A heartbeat that arrives late, after a newer one, changes nothing.
        """
        sender = heartbeat.sender
        held = self.by_name.get(sender.name)
        fresh = held is None or now - held.heard_at > ALIVE_S
        if held is None or held.peer.incarnation != sender.incarnation:
            held = Neighbour(sender, now)
            self.by_name[sender.name] = held
            fresh = True
        held.heard_at = now
        held.mentioned_at = now
        if heartbeat.sequence > held.sequence:
            held.sequence = heartbeat.sequence
            held.leaving = heartbeat.leaving
            held.revision = heartbeat.revision
        for peer in heartbeat.known:
            self._mention(peer, now)
        return held, fresh

    def list_alive(
        self, now: float, zone: str | None = None
    ) -> list[Neighbour]:
        """Return the nodes heard lately, of one zone or of all."""
        return [
            held
            for held in self.by_name.values()
            if now - held.heard_at < ALIVE_S
            and (zone is None or held.peer.zone == zone)
        ]

    def list_members(self, now: float, zone: str) -> list[Neighbour]:
        """Return the nodes of a zone that take part.

        Where every node of the zone speaks to every other one, these are the
        nodes heard; in a larger zone also those that others hear.
        """
        mentioned = [
            held
            for held in self.by_name.values()
            if held.peer.zone == zone and now - held.mentioned_at < MENTIONED_S
        ]
        if len(mentioned) > ZONE_MESH_NODES:
            return mentioned
        return [held for held in mentioned if now - held.heard_at < ALIVE_S]

    def list_targets(self, now: float, rng: random.Random) -> list[Neighbour]:
        """Return the nodes that get this node's heartbeats and changes."""
        alive = self.list_alive(now)
        if len(alive) < MESH_NODES:
            return alive
        near = self.list_members(now, self.own.zone)
        if len(near) > ZONE_MESH_NODES:
            near = self._follow_ring(near)
        others = [held for held in alive if held.peer.zone != self.own.zone]
        chosen = rng.sample(others, min(OTHER_ZONE_PEERS, len(others)))
        return near + chosen

    def rank_in_zone(self, now: float) -> int:
        """Return how many nodes of the zone come before this one."""
        own_key = _order(self.own.name)
        return sum(
            1
            for held in self.list_members(now, self.own.zone)
            if not held.leaving
            and (held.revision or held.heard_at == _LONG_AGO)
            and _order(held.peer.name) < own_key
        )

    def count_absent(self, now: float) -> int:
        """Return how many nodes of the zone leave or have just left."""
        return sum(
            1
            for held in self.by_name.values()
            if held.leaving
            and held.peer.zone == self.own.zone
            and now - held.heard_at < ABSENT_S
        )

    def list_contacts(
        self,
        now: float,
        rng: random.Random,
    ) -> list[Endpoint]:
        """Return seeds and silent nodes to try, at most once a period."""
        if now - self.contacted_at < CONTACT_PERIOD_S:
            return []
        self.contacted_at = now
        self._forget(now)
        alive = {held.endpoint for held in self.list_alive(now)}
        alive.add((self.own.ip, self.own.port))
        silent = [
            held.endpoint
            for held in self.by_name.values()
            if held.endpoint not in alive
        ]
        wanted = {seed for seed in self.seeds if seed not in alive}
        wanted.update(rng.sample(silent, min(CONTACTS, len(silent))))
        return sorted(wanted)

    def sample_known(self, now: float, rng: random.Random) -> tuple[Peer, ...]:
        """Return a few live nodes to tell others of."""
        alive = [held.peer for held in self.list_alive(now)]
        return tuple(rng.sample(alive, min(KNOWN_PEERS, len(alive))))

    def _mention(self, peer: Peer, now: float) -> None:
        if peer.name == self.own.name:
            return
        held = self.by_name.get(peer.name)
        if held is None:
            self.by_name[peer.name] = Neighbour(peer, now)
            self.contacted_at = _LONG_AGO
        else:
            held.mentioned_at = now

    def _forget(self, now: float) -> None:
        old = [
            name
            for name, held in self.by_name.items()
            if now - held.mentioned_at > FORGET_S
        ]
        for name in old:
            self.by_name.pop(name)

    def _follow_ring(self, near: list[Neighbour]) -> list[Neighbour]:
        """Return the nodes of the zone that follow this one in hash order."""
        own_key = _order(self.own.name)
        ring = sorted(near, key=lambda held: _order(held.peer.name))
        after = [held for held in ring if _order(held.peer.name) > own_key]
        before = [held for held in ring if _order(held.peer.name) < own_key]
        return (after + before)[:ZONE_MESH_NODES]


def _order(name: str) -> tuple[int, str]:
    return zlib.crc32(name.encode()), name

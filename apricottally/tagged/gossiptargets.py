"""Selection of the nodes that heartbeats and changes are sent to.

In a small fleet a node sends to all nodes; in a larger one to the nodes of its
zone, or those that follow it in the hash ring if the zone is large, and to its
partners, one node of each other zone. Partners are selected by hash, so that a
node hears regularly from the same nodes of other zones.
"""

from __future__ import annotations

from apricottally.tagged.neighbours import (
    LONG_AGO,
    MAX_ZONE_MESH_NODES,
    Neighbour,
    Neighbours,
    get_hash_key,
)

# Number of partners that get one heartbeat; they take turns.
MAX_REMOTE_TARGETS = 2
PARTNER_REVIEW_PERIOD_S = 0.5


class GossipTargets:
    """Selects among the known neighbours."""

    __slots__ = ('_neighbours', '_partners', '_partners_selected_at')

    def __init__(self, neighbours: Neighbours) -> None:
        self._neighbours = neighbours
        self._partners: list[Neighbour] = []
        self._partners_selected_at = LONG_AGO

    def list_near(self, now: float) -> list[Neighbour]:
        """Return the nodes that every heartbeat and change is sent to.

        These are all nodes of a small fleet, else nodes of this zone.
        """
        if self._neighbours.is_small(now):
            return self._neighbours.list_alive(now)
        near = [
            neighbour
            for neighbour in self._neighbours.list_mentioned(now)
            if neighbour.peer.zone == self._neighbours.own.zone
        ]
        if len(near) > MAX_ZONE_MESH_NODES:
            return self._list_ring_successors(near)
        return near

    def list_partners(self, now: float) -> list[Neighbour]:
        """Return the partners in other zones; a small fleet needs none."""
        if self._neighbours.is_small(now):
            return []
        if now - self._partners_selected_at >= PARTNER_REVIEW_PERIOD_S:
            self._partners_selected_at = now
            self._partners = self._select_partners()
        return self._partners

    def list_next_partners(
        self, now: float, round_number: int
    ) -> list[Neighbour]:
        """Return the partners whose turn it is in a round of heartbeats."""
        partners = self.list_partners(now)
        if len(partners) <= MAX_REMOTE_TARGETS:
            return partners
        start = round_number * MAX_REMOTE_TARGETS
        return [
            partners[(start + offset) % len(partners)]
            for offset in range(MAX_REMOTE_TARGETS)
        ]

    def _select_partners(self) -> list[Neighbour]:
        """Return the first node of each other zone in the order of a hash.

        The hash includes this node's name, so that the nodes of a zone have
        different partners. Nodes of other zones are mentioned rarely; one that
        has died stays a partner until it is forgotten, and the partners of
        other nodes serve the zone.
        """
        by_zone: dict[str, list[Neighbour]] = {}
        for neighbour in self._neighbours.by_name.values():
            if not neighbour.leaving:
                by_zone.setdefault(neighbour.peer.zone, []).append(neighbour)
        by_zone.pop(self._neighbours.own.zone, None)
        return [
            min(by_zone[zone], key=self._get_partner_key)
            for zone in sorted(by_zone)
        ]

    def _get_partner_key(self, neighbour: Neighbour) -> tuple[int, str]:
        return get_hash_key(
            f'{self._neighbours.own.name} {neighbour.peer.name}'
        )

    def _list_ring_successors(self, near: list[Neighbour]) -> list[Neighbour]:
        """Return the nodes of the zone that follow this one in hash order."""
        own_key = get_hash_key(self._neighbours.own.name)
        ring = sorted(
            near, key=lambda neighbour: get_hash_key(neighbour.peer.name)
        )
        after = [
            neighbour
            for neighbour in ring
            if get_hash_key(neighbour.peer.name) > own_key
        ]
        before = [
            neighbour
            for neighbour in ring
            if get_hash_key(neighbour.peer.name) < own_key
        ]
        return (after + before)[:MAX_ZONE_MESH_NODES]

"""When a node knows enough of its zone to use the permits that it holds.

Two nodes use the same permit only if the later one on the ring does not know
the earlier one. So a node that starts or wakes waits until the others know it,
a node that is silent keeps its part of the ring, and nodes that are cut off
from the majority of their zone use no permits at all.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from apricottally.tagged.neighbours import (
    ALIVE_TIMEOUT_S,
    FORGET_TIMEOUT_S,
    LONG_AGO,
    MAX_ZONE_MESH_NODES,
    Neighbour,
)
from apricottally.tagged.quotas.ring import Arc, build_arc, list_predecessors

# No permit is used for this time after the start, or after a change by which
# permits of another node may have come to this one. In a zone without a full
# mesh, nodes hear of a new one from others and need longer.
START_DELAY_S = 1.5
CHANGE_DELAY_S = 1.2
RING_START_DELAY_S = 4.0
# A longer time between two reviews means that the process was paused. What was
# decided before the pause may be sent after it.
MAX_REVIEW_GAP_S = 0.15
# After a longer pause the others may have forgotten this node. It is below
# FORGET_TIMEOUT_S by the time for which mentions of it may have been delayed.
MAX_REMEMBERED_PAUSE_S = 15.0
# A heartbeat lists 4 of the up to 24 nodes that its sender hears, and a node
# sends 4 a second. A node that has not listed this one for so long does not
# hear it.
MAX_CONFIRMATION_AGE_S = 10.0
# Of two nodes in a zone, neither is a majority: the whole fleet counts instead.
MIN_ZONE_ELECTORATE = 3


@dataclass(slots=True)
class _Sighting:
    """Another node, with the last times when it was mentioned and heard.

    `hears_us_at` is when it last said that it hears this node, `zone_size` how
    many nodes of its zone it remembers.
    """

    zone: str
    mentioned_at: float
    heard_at: float
    hears_us_at: float
    zone_size: int


@dataclass(slots=True)
class Membership:
    """This node's part of the ring of its zone, and whether it may be used.

    `known` has the nodes of the fleet by name, without this one. A silent node
    is dropped after `FORGET_TIMEOUT_S`, but only while most of the zone is
    heard. `has_seeds` is set if this node should know others. Heartbeats
    before `heard_since` do not prove that their senders know this node.
    `zone_size` is the number of known nodes of the zone, including this one.
    """

    name: str
    zone: str
    has_seeds: bool
    known: dict[str, _Sighting] = field(default_factory=dict)
    heard_since: float = LONG_AGO
    started_at: float = LONG_AGO
    reviewed_at: float = LONG_AGO
    settled_at: float = LONG_AGO
    arc: Arc | None = None
    zone_size: int = 0

    def get_usable_arc(self, now: float) -> Arc | None:
        """Return this node's arc, or None while it may use no permit."""
        if now - self.reviewed_at > MAX_REVIEW_GAP_S or now < self.settled_at:
            return None
        return self.arc

    def review(self, neighbours: Iterable[Neighbour], now: float) -> None:
        """Take over what is known of other nodes; call it every 50 ms."""
        self._detect_pause(now)
        for neighbour in neighbours:
            self.known[neighbour.peer.name] = _Sighting(
                neighbour.peer.zone,
                neighbour.mentioned_at,
                neighbour.heard_at,
                neighbour.hears_us_at,
                neighbour.zone_size,
            )
        zone = self._list_zone()
        self.zone_size = len(zone) + 1
        electorate, size = self._list_electorate(zone, now)
        has_majority = self._has_majority(electorate, size, now)
        is_safe = has_majority and not self._may_be_unknown(zone, now)
        if not is_safe or not self._is_heard(electorate, size, now):
            self._wait(now, CHANGE_DELAY_S)
        self._update_arc(zone, now)
        if has_majority or self.zone_size >= MIN_ZONE_ELECTORATE:
            self._forget_silent(now, has_majority=has_majority)

    def _detect_pause(self, now: float) -> None:
        gap = now - self.reviewed_at
        self.reviewed_at = now
        if gap > MAX_REMEMBERED_PAUSE_S:
            self.heard_since = now
            self.started_at = now
            self._wait(now, START_DELAY_S)
        elif gap > MAX_REVIEW_GAP_S:
            self._wait(now, CHANGE_DELAY_S)

    def _wait(self, now: float, delay_s: float) -> None:
        self.settled_at = max(self.settled_at, now + delay_s)

    def _list_zone(self) -> list[str]:
        """Return the other nodes of the zone, nearest before this one first."""
        return list_predecessors(
            self.name,
            [
                name
                for name, sighting in self.known.items()
                if sighting.zone == self.zone
            ],
        )

    def _list_electorate(
        self, zone: list[str], now: float
    ) -> tuple[list[str], int]:
        """Return nodes of which a majority has to be heard, and their number.

        In a large zone these are the nodes whose heartbeats this node gets.
        The number includes this node, and nodes that only others remember:
        this one may have started while it was cut off from them.
        """
        sizes = [
            self.known[name].zone_size
            for name in zone
            if now - self.known[name].heard_at < ALIVE_TIMEOUT_S
        ]
        size = max([self.zone_size, *sizes])
        if size < MIN_ZONE_ELECTORATE:
            return list(self.known), len(self.known) + 1
        size = min(size, MAX_ZONE_MESH_NODES + 1)
        return zone[:MAX_ZONE_MESH_NODES], size

    def _has_majority(
        self, electorate: list[str], size: int, now: float
    ) -> bool:
        """Tell whether this node hears most nodes of the electorate.

        Itself counts. A node that knows nobody although it has seeds may be
        cut off since its start.
        """
        if not self.known:
            return not self.has_seeds
        heard = 1 + sum(
            now - self.known[name].heard_at < ALIVE_TIMEOUT_S
            for name in electorate
        )
        return 2 * heard > size

    def _is_heard(self, electorate: list[str], size: int, now: float) -> bool:
        """Tell whether most nodes of the electorate hear this node.

        They would forget it if its own heartbeats alone were lost. In a large
        zone, the nodes that hear this one do not send to it.
        """
        if self.zone_size > MAX_ZONE_MESH_NODES + 1:
            return True
        oldest = max(self.heard_since, now - MAX_CONFIRMATION_AGE_S)
        confirmed = 1 + sum(
            self.known[name].hears_us_at >= oldest for name in electorate
        )
        return 2 * confirmed > size

    def _may_be_unknown(self, zone: list[str], now: float) -> bool:
        """Tell whether a node of the zone may not know this one yet.

        The nodes of a zone with a full mesh send heartbeats to the nodes that
        they know, so that one that is heard knows this node.
        """
        if len(zone) > MAX_ZONE_MESH_NODES:
            return now - self.started_at < RING_START_DELAY_S
        return any(
            self.known[name].heard_at < self.heard_since
            and now - self.known[name].mentioned_at < FORGET_TIMEOUT_S
            for name in zone
        )

    def _forget_silent(self, now: float, *, has_majority: bool) -> None:
        """Drop silent nodes, those of this zone only with a majority."""
        silent = [
            name
            for name, sighting in self.known.items()
            if now - sighting.mentioned_at > FORGET_TIMEOUT_S
            and (has_majority or sighting.zone != self.zone)
        ]
        for name in silent:
            self.known.pop(name)

    def _update_arc(self, zone: list[str], now: float) -> None:
        """Recompute the arc; wait if it has grown."""
        arc = build_arc(self.name, zone)
        if self.arc is not None and not self.arc.includes(arc):
            self._wait(now, CHANGE_DELAY_S)
        self.arc = arc

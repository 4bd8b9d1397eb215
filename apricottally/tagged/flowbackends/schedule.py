"""When which announcements are sent."""

from __future__ import annotations

import heapq
from dataclasses import dataclass

from apricottally.addresses import Endpoint


@dataclass(frozen=True, slots=True)
class DueAnnouncements:
    """The keys of flows to announce, and nodes to be told of all flows."""

    keys: tuple[bytes, ...]
    newcomers: tuple[Endpoint, ...]


class AnnouncementSchedule:
    """Announcements of single flows, and of all flows to single nodes."""

    __slots__ = ('_flows', '_newcomers')

    def __init__(self) -> None:
        self._flows: list[tuple[float, bytes]] = []
        self._newcomers: list[tuple[float, Endpoint]] = []

    def add_flow(self, key: bytes, due_at: float) -> None:
        """Announce a flow at a time."""
        heapq.heappush(self._flows, (due_at, key))

    def add_newcomer(self, endpoint: Endpoint, due_at: float) -> None:
        """Tell a node of all flows at a time."""
        heapq.heappush(self._newcomers, (due_at, endpoint))

    def take_due(self, now: float) -> DueAnnouncements:
        """Remove and return what is due."""
        keys: list[bytes] = []
        while self._flows and self._flows[0][0] <= now:
            keys.append(heapq.heappop(self._flows)[1])
        newcomers: list[Endpoint] = []
        while self._newcomers and self._newcomers[0][0] <= now:
            newcomers.append(heapq.heappop(self._newcomers)[1])
        return DueAnnouncements(tuple(keys), tuple(newcomers))

"""Waiting SYNs of one shard: by class, then fair over workspaces, then FIFO.

Within a class the order is start-time fair queueing (Goyal, Vin and Cheng,
1996): each entry gets a start tag, and the lowest tag is served first.
"""

import heapq
from bisect import bisect_left, insort
from dataclasses import dataclass
from typing import Generic, TypeVar

from apricottally.model import Urgency

Item = TypeVar('Item')

# Classes in the order in which they are served.
CLASSES = tuple(Urgency)
RANKS = {urgency: rank for rank, urgency in enumerate(CLASSES)}
# Refusals that a workspace pays for at most with its next entry.
MAX_CHARGE = 4
# Finish tags of idle workspaces are dropped when this many are held.
_KEPT_TAGS = 256


@dataclass(frozen=True, slots=True)
class Entry(Generic[Item]):
    """One waiting item; `share` is its workspace's weight.

    `limit` bounds the waiting entries of the workspace within the class and
    `deadline` is the time from which the item must no longer start.
    """

    item: Item
    urgency: Urgency
    workspace: str
    share: float
    deadline: float
    limit: int


@dataclass(frozen=True, slots=True)
class Pushed(Generic[Item]):
    """Outcome of a push.

    `refused` is the reason if the entry was not taken, empty otherwise.
    `displaced` are entries that made room, each with the reason.
    """

    refused: str = ''
    displaced: tuple[tuple[Entry[Item], str], ...] = ()


class FairQueue(Generic[Item]):
    """A bounded queue of entries in the order in which they are served."""

    __slots__ = (
        '_classes',
        '_counts',
        '_deadlines',
        '_entries',
        '_limit',
        '_seq',
    )

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._classes = tuple(_ClassTags() for _ in CLASSES)
        self._counts: dict[tuple[int, str], int] = {}
        self._deadlines: list[tuple[float, int, float, int]] = []
        self._entries: dict[int, Entry[Item]] = {}
        self._seq = 0

    def __len__(self) -> int:
        return len(self._entries)

    def push(self, entry: Entry[Item]) -> Pushed[Item]:
        """Take an entry, or refuse it, or displace a less urgent one.

        Of one class, the entry with the highest start tag gives way, which
        belongs to the workspace furthest ahead of its share.
        """
        rank = RANKS[entry.urgency]
        if self._counts.get((rank, entry.workspace), 0) >= entry.limit:
            return Pushed('queue_full')
        tag = self._classes[rank].start_tag(entry.workspace)
        displaced: tuple[tuple[Entry[Item], str], ...] = ()
        if len(self._entries) >= self._limit:
            victim = self._displace(rank, tag)
            if victim is None:
                return Pushed('queue_full')
            displaced = (victim,)
        self._insert(rank, tag, entry)
        return Pushed('', displaced)

    def peek(self) -> Entry[Item] | None:
        """Return the entry that is served next."""
        for tags in self._classes:
            if tags.order:
                return self._entries[tags.order[0][1]]
        return None

    def pop(self) -> Entry[Item]:
        """Take the next entry out; raises `IndexError` if there is none."""
        for rank, tags in enumerate(self._classes):
            if tags.order:
                tag, seq = tags.order[0]
                tags.serve(tag)
                return self._remove(rank, tag, seq)
        raise IndexError('empty queue')

    def expire(self, now: float) -> list[Entry[Item]]:
        """Take out the entries whose deadline has come."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, rank, tag, seq = heapq.heappop(self._deadlines)
            if seq in self._entries:
                expired.append(self._withdraw(rank, tag, seq))
        return expired

    def charge(self, urgency: Urgency, workspace: str) -> None:
        """Let a workspace pay for a refusal with its next entry.

        A workspace that sends more than its share then stands behind short
        bursts of those that do not.
        """
        charges = self._classes[RANKS[urgency]].charges
        charges[workspace] = min(charges.get(workspace, 0) + 1, MAX_CHARGE)

    def count_ahead(self, urgency: Urgency, workspace: str) -> list[int]:
        """Return how many entries a new one would wait for, by class."""
        rank = RANKS[urgency]
        ahead = [len(tags.order) for tags in self._classes[:rank]]
        tags = self._classes[rank]
        tag = tags.start_tag(workspace)
        ahead.append(bisect_left(tags.order, (tag, self._seq + 1)))
        return ahead

    def _insert(self, rank: int, tag: float, entry: Entry[Item]) -> None:
        self._seq += 1
        tags = self._classes[rank]
        insort(tags.order, (tag, self._seq))
        cost = 1 + tags.charges.pop(entry.workspace, 0)
        tags.finish[entry.workspace] = tag + cost / entry.share
        owner = rank, entry.workspace
        self._counts[owner] = self._counts.get(owner, 0) + 1
        self._entries[self._seq] = entry
        deadline = entry.deadline, rank, tag, self._seq
        heapq.heappush(self._deadlines, deadline)

    def _displace(
        self,
        rank: int,
        tag: float,
    ) -> tuple[Entry[Item], str] | None:
        """Take out the last entry of a lesser class, or a higher tag."""
        for lesser in range(len(CLASSES) - 1, rank, -1):
            order = self._classes[lesser].order
            if order:
                return self._withdraw(lesser, *order[-1]), 'shed_class'
        order = self._classes[rank].order
        if order and order[-1][0] > tag:
            return self._withdraw(rank, *order[-1]), 'queue_full'
        return None

    def _withdraw(self, rank: int, tag: float, seq: int) -> Entry[Item]:
        """Take out an entry that was not served, and give its share back."""
        entry = self._remove(rank, tag, seq)
        finish = self._classes[rank].finish
        spent = finish.get(entry.workspace, 0)
        finish[entry.workspace] = spent - 1 / entry.share
        return entry

    def _remove(self, rank: int, tag: float, seq: int) -> Entry[Item]:
        tags = self._classes[rank]
        del tags.order[bisect_left(tags.order, (tag, seq))]  # noqa: WPS420
        entry = self._entries.pop(seq)
        owner = rank, entry.workspace
        self._counts[owner] -= 1
        if not self._counts[owner]:
            self._counts.pop(owner)
        if not self._entries:
            self._deadlines.clear()
        return entry


class _ClassTags:
    """Order and tags of one class.

    `order` holds the start tag and sequence number of each waiting entry.
    """

    __slots__ = ('charges', 'finish', 'order', 'virtual')

    def __init__(self) -> None:
        self.order: list[tuple[float, int]] = []
        self.finish: dict[str, float] = {}
        self.charges: dict[str, int] = {}
        self.virtual = float(0)

    def start_tag(self, workspace: str) -> float:
        """Return the tag of the workspace's next entry.

        It is at least the virtual time, so that a workspace that was idle
        does not get ahead for the time it did not use.
        """
        return max(self.virtual, self.finish.get(workspace, 0))

    def serve(self, tag: float) -> None:
        """Move the virtual time to the start tag of the entry served."""
        self.virtual = max(self.virtual, tag)
        if len(self.finish) > _KEPT_TAGS + 2 * len(self.order):
            self.finish = {
                workspace: finish
                for workspace, finish in self.finish.items()
                if finish > self.virtual
            }
            self.charges.clear()

"""Queue of waiting SYNs: by class, then fair over workspaces, then FIFO.

The classes are the values of `Urgency`. Within a class the order is start-time
fair queueing (Goyal, Vin and Cheng, 1996): each entry gets a start tag, and
the lowest tag is served first.
"""

import heapq
from bisect import bisect_left, insort
from dataclasses import dataclass
from typing import Generic, TypeVar

from apricottally.model import Urgency

Item = TypeVar('Item')

# Classes, most urgent first; an index into them is called a rank.
PRIORITY_CLASSES = tuple(Urgency)
CLASS_RANKS = {urgency: rank for rank, urgency in enumerate(PRIORITY_CLASSES)}
# Maximum number of refusals charged to a workspace's next entry.
MAX_REFUSAL_CHARGE = 4
# Finish tags of idle workspaces are removed when there are more tags than this
# plus two for each waiting entry.
_MAX_IDLE_TAGS = 256


@dataclass(frozen=True, slots=True)
class QueueEntry(Generic[Item]):
    """One waiting item; `share` is its workspace's weight.

    `limit` is the maximum number of waiting entries of the workspace within
    the class. From `deadline` on the item must not be started.
    """

    item: Item
    urgency: Urgency
    workspace: str
    share: float
    deadline: float
    limit: int


@dataclass(frozen=True, slots=True)
class PushResult(Generic[Item]):
    """Result of a push.

    `refused` is the reason if the entry was refused, empty otherwise.
    `displaced` are entries removed to make room, each with the reason.
    """

    refused: str = ''
    displaced: tuple[tuple[QueueEntry[Item], str], ...] = ()


class FairQueue(Generic[Item]):
    """Bounded queue of entries in service order."""

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
        self._classes = tuple(_ClassTags() for _ in PRIORITY_CLASSES)
        self._counts: dict[tuple[int, str], int] = {}
        self._deadlines: list[tuple[float, int, float, int]] = []
        self._entries: dict[int, QueueEntry[Item]] = {}
        self._seq = 0

    def __len__(self) -> int:
        return len(self._entries)

    def push(self, entry: QueueEntry[Item]) -> PushResult[Item]:
        """Add an entry, or refuse it if the queue or workspace is at its limit.

        In a full queue the new entry may displace a less urgent one, or the
        one with the highest start tag in its own class, which belongs to the
        workspace furthest ahead of its share.
        """
        rank = CLASS_RANKS[entry.urgency]
        if self._counts.get((rank, entry.workspace), 0) >= entry.limit:
            return PushResult('queue_full')
        tag = self._classes[rank].start_tag(entry.workspace)
        displaced: tuple[tuple[QueueEntry[Item], str], ...] = ()
        if len(self._entries) >= self._limit:
            displaced_entry = self._displace(rank, tag)
            if displaced_entry is None:
                return PushResult('queue_full')
            displaced = (displaced_entry,)
        self._insert(rank, tag, entry)
        return PushResult('', displaced)

    def peek(self) -> QueueEntry[Item] | None:
        """Return the next entry without removing it, None if empty."""
        for tags in self._classes:
            if tags.order:
                return self._entries[tags.order[0][1]]
        return None

    def pop(self) -> QueueEntry[Item]:
        """Remove and return the next entry; raises `IndexError` if empty."""
        for rank, tags in enumerate(self._classes):
            if tags.order:
                tag, seq = tags.order[0]
                tags.advance(tag)
                return self._remove(rank, tag, seq)
        raise IndexError('empty queue')

    def expire(self, now: float) -> list[QueueEntry[Item]]:
        """Remove and return the entries whose deadline has passed."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, rank, tag, seq = heapq.heappop(self._deadlines)
            if seq in self._entries:
                expired.append(self._cancel(rank, tag, seq))
        return expired

    def charge_refusal(self, urgency: Urgency, workspace: str) -> None:
        """Add the cost of a refusal to the workspace's next entry.

        A workspace that exceeds its share is then served after short bursts
        of workspaces that do not.
        """
        charges = self._classes[CLASS_RANKS[urgency]].charges
        charges[workspace] = min(
            charges.get(workspace, 0) + 1, MAX_REFUSAL_CHARGE
        )

    def count_ahead(self, urgency: Urgency, workspace: str) -> list[int]:
        """Return the number of entries ahead of a new one, by class."""
        rank = CLASS_RANKS[urgency]
        ahead = [len(tags.order) for tags in self._classes[:rank]]
        tags = self._classes[rank]
        tag = tags.start_tag(workspace)
        ahead.append(bisect_left(tags.order, (tag, self._seq + 1)))
        return ahead

    def _insert(self, rank: int, tag: float, entry: QueueEntry[Item]) -> None:
        self._seq += 1
        tags = self._classes[rank]
        insort(tags.order, (tag, self._seq))
        cost = 1 + tags.charges.pop(entry.workspace, 0)
        tags.finish_tags[entry.workspace] = tag + cost / entry.share
        owner = rank, entry.workspace
        self._counts[owner] = self._counts.get(owner, 0) + 1
        self._entries[self._seq] = entry
        deadline = entry.deadline, rank, tag, self._seq
        heapq.heappush(self._deadlines, deadline)

    def _displace(
        self,
        rank: int,
        tag: float,
    ) -> tuple[QueueEntry[Item], str] | None:
        """Remove the last less urgent entry, or one with a higher tag."""
        for lower_rank in range(len(PRIORITY_CLASSES) - 1, rank, -1):
            order = self._classes[lower_rank].order
            if order:
                return self._cancel(lower_rank, *order[-1]), 'shed_class'
        order = self._classes[rank].order
        if order and order[-1][0] > tag:
            return self._cancel(rank, *order[-1]), 'queue_full'
        return None

    def _cancel(self, rank: int, tag: float, seq: int) -> QueueEntry[Item]:
        """Remove an entry that was not served and refund its cost."""
        entry = self._remove(rank, tag, seq)
        finish_tags = self._classes[rank].finish_tags
        spent = finish_tags.get(entry.workspace, 0)
        finish_tags[entry.workspace] = spent - 1 / entry.share
        return entry

    def _remove(self, rank: int, tag: float, seq: int) -> QueueEntry[Item]:
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
    By workspace, `finish_tags` are the finish tags of the last entries and
    `charges` the number of refusals charged to the next one.
    """

    __slots__ = ('charges', 'finish_tags', 'order', 'virtual_time')

    def __init__(self) -> None:
        self.order: list[tuple[float, int]] = []
        self.finish_tags: dict[str, float] = {}
        self.charges: dict[str, int] = {}
        self.virtual_time = float(0)

    def start_tag(self, workspace: str) -> float:
        """Return the start tag of the workspace's next entry.

        It is at least the virtual time, so that a workspace gets no credit
        for the time in which it was idle.
        """
        return max(self.virtual_time, self.finish_tags.get(workspace, 0))

    def advance(self, tag: float) -> None:
        """Advance the virtual time to the start tag of the entry served."""
        self.virtual_time = max(self.virtual_time, tag)
        if len(self.finish_tags) > _MAX_IDLE_TAGS + 2 * len(self.order):
            self.finish_tags = {
                workspace: finish
                for workspace, finish in self.finish_tags.items()
                if finish > self.virtual_time
            }
            self.charges.clear()

"""Member updates queued for dissemination, least often sent first."""

import math
from dataclasses import dataclass, field

from apricottally.members import Member

UPDATES_PER_MESSAGE = 8
# Each node sends an update this many times log10 of the number of nodes.
SENDS_PER_DECADE = 3


@dataclass(slots=True)
class PendingUpdate:
    """A member update and how often this node has sent it."""

    member: Member
    send_count: int = 0


@dataclass(slots=True)
class PendingUpdates:
    """The newest update of each member, until it was sent often enough.

    `unsent` are the updates that no `Gossip` message has carried yet.
    """

    queue: dict[str, PendingUpdate] = field(default_factory=dict)
    unsent: dict[str, Member] = field(default_factory=dict)

    def add(self, member: Member) -> None:
        """Queue an update; it replaces an older one of the same member."""
        self.queue[member.name] = PendingUpdate(member)
        self.unsent[member.name] = member

    def take_unsent(self) -> tuple[Member, ...]:
        """Remove and return updates for one `Gossip` message."""
        names = list(self.unsent)[:UPDATES_PER_MESSAGE]
        return tuple(self.unsent.pop(name) for name in names)

    def take(self, nodes: int) -> tuple[Member, ...]:
        """Return updates for one message, in a cluster of `nodes` nodes."""
        if not self.queue:
            return ()
        limit = math.ceil(SENDS_PER_DECADE * math.log10(nodes + 1))
        chosen = sorted(self.queue.values(), key=_get_send_count)[
            :UPDATES_PER_MESSAGE
        ]
        for update in chosen:
            update.send_count += 1
            if update.send_count >= limit:
                self.queue.pop(update.member.name)
        return tuple(update.member for update in chosen)


def _get_send_count(update: PendingUpdate) -> int:
    return update.send_count

"""Changes of members that wait to be passed on, fewest sent first."""

import math
from dataclasses import dataclass, field

from apricottally.members import Member

# Changes in one message.
UPDATES_PER_MESSAGE = 8
# Times a change is sent by each node, per decade of the number of nodes.
SENDS_PER_DECADE = 3


@dataclass(slots=True)
class PendingUpdate:
    """A change of a member and how often this node has sent it."""

    member: Member
    sent: int = 0


@dataclass(slots=True)
class PendingUpdates:
    """The newest change of each member, until it was sent often enough."""

    queue: dict[str, PendingUpdate] = field(default_factory=dict)
    fresh: dict[str, Member] = field(default_factory=dict)

    def add(self, member: Member) -> None:
        """Queue a change; an older one of the same member is dropped."""
        self.queue[member.name] = PendingUpdate(member)
        self.fresh[member.name] = member

    def take_fresh(self) -> tuple[Member, ...]:
        """Return changes that no message has carried yet, and mark them."""
        names = list(self.fresh)[:UPDATES_PER_MESSAGE]
        return tuple(self.fresh.pop(name) for name in names)

    def take(self, nodes: int) -> tuple[Member, ...]:
        """Return the changes for one message among `nodes` nodes."""
        if not self.queue:
            return ()
        limit = math.ceil(SENDS_PER_DECADE * math.log10(nodes + 1))
        chosen = sorted(self.queue.values(), key=_sends)[:UPDATES_PER_MESSAGE]
        for update in chosen:
            update.sent += 1
            if update.sent >= limit:
                self.queue.pop(update.member.name)
        return tuple(update.member for update in chosen)


def _sends(update: PendingUpdate) -> int:
    return update.sent

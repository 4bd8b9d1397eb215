"""The nodes that a node knows of, and which of them may own shards."""

import enum

import msgspec

from apricottally.addresses import Endpoint


class MemberState(enum.IntEnum):
    """State of a node, in the order in which it overrides the former one."""

    alive = 0
    suspect = 1
    leaving = 2
    dead = 3


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One node. `incarnation` is raised by the node itself only."""

    name: str
    zone: str
    ip: str
    packet_port: int
    peer_port: int
    incarnation: int = 0
    state: MemberState = MemberState.alive

    @property
    def packet(self) -> Endpoint:
        """The endpoint of its packet socket."""
        return self.ip, self.packet_port

    @property
    def peer(self) -> Endpoint:
        """The endpoint of its peer socket."""
        return self.ip, self.peer_port


_ELIGIBLE = frozenset((MemberState.alive, MemberState.suspect))


class MemberTable:
    """Members by name, and those in use by zone.

    Eligible members are alive or suspect: they get messages. Owners are
    chosen from those that are not `doubted`, which a member is once it has
    been suspect for some time: a suspect that is dead would swallow every new
    flow until the suspicion lapses, but most suspects refute at once.
    `version` grows whenever one of these sets changes, so that choices made
    from it can be kept until then.
    """

    __slots__ = (
        '_alive',
        '_eligible',
        'doubted',
        'members',
        'own_name',
        'version',
    )

    def __init__(self, own: Member) -> None:
        self.own_name = own.name
        self.members: dict[str, Member] = {own.name: own}
        self.doubted: set[str] = set()
        self.version = 1
        self._alive: dict[str, tuple[Member, ...]] = {}
        self._eligible: dict[str, tuple[Member, ...]] = {}

    @property
    def own(self) -> Member:
        """The entry of this node."""
        return self.members[self.own_name]

    def put(self, member: Member) -> None:
        """Store a member; the caller has decided that it overrides."""
        held = self.members.get(member.name)
        self.members[member.name] = member
        was_doubted = member.name in self.doubted
        if member.state is not MemberState.suspect:
            self.doubted.discard(member.name)
        if was_doubted or held is None or _rank(held) != _rank(member):
            self._invalidate()

    def doubt(self, name: str) -> None:
        """Choose a suspect as owner no more, until it refutes."""
        if name not in self.doubted:
            self.doubted.add(name)
            self._invalidate()

    def remove(self, name: str) -> None:
        """Forget a member."""
        self.doubted.discard(name)
        if self.members.pop(name, None) is not None:
            self._invalidate()

    def eligible(self, zone: str = '') -> tuple[Member, ...]:
        """Return the members of a zone (all zones if empty) to talk to."""
        listed = self._eligible.get(zone)
        if listed is None:
            listed = tuple(
                member
                for member in self.members.values()
                if member.state in _ELIGIBLE and zone in {'', member.zone}
            )
            self._eligible[zone] = listed
        return listed

    def alive(self, zone: str = '') -> tuple[Member, ...]:
        """Return the members of a zone (all zones if empty) that may own."""
        listed = self._alive.get(zone)
        if listed is None:
            listed = tuple(
                member
                for member in self.eligible(zone)
                if member.name not in self.doubted
            )
            self._alive[zone] = listed
        return listed

    def _invalidate(self) -> None:
        self.version += 1
        self._alive.clear()
        self._eligible.clear()


def _rank(member: Member) -> tuple[bool, str, Endpoint, Endpoint]:
    """Return what decides whether choices made from the table still hold."""
    eligible = member.state in _ELIGIBLE
    return eligible, member.zone, member.packet, member.peer

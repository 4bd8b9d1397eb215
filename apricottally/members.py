"""Members known to a node, and which of them may own shards."""

import enum

import msgspec

from apricottally.addresses import Endpoint
from apricottally.fields import IpAddress, Number, Port, Text


class MemberState(enum.IntEnum):
    """State of a node. At equal incarnation, a higher value overrides."""

    alive = 0
    suspect = 1
    leaving = 2
    dead = 3


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One node. Only the node itself increases its `incarnation`."""

    name: Text
    zone: Text
    ip: IpAddress
    packet_port: Port
    peer_port: Port
    incarnation: Number = 0
    state: MemberState = MemberState.alive

    @property
    def packet(self) -> Endpoint:
        """Endpoint of the packet socket."""
        return self.ip, self.packet_port

    @property
    def peer(self) -> Endpoint:
        """Endpoint of the peer socket."""
        return self.ip, self.peer_port


_ACTIVE_STATES = frozenset((MemberState.alive, MemberState.suspect))


class MemberTable:
    """Members by name, with cached lists of members by zone.

    Active members are alive or suspect; they are sent messages. Shard owners
    are chosen from the active members that are not in `doubted`. A member is
    added to `doubted` after it has been suspect for some time, not at once,
    since most suspects refute quickly. A suspect that is really dead would
    lose every new flow until its suspicion expires.
    `version` increases whenever one of these sets changes; callers cache
    choices made from the table until then.
    """

    __slots__ = (
        '_owner_candidates',
        '_zone_active',
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
        self._owner_candidates: dict[str, tuple[Member, ...]] = {}
        self._zone_active: dict[str, tuple[Member, ...]] = {}

    @property
    def own(self) -> Member:
        """Entry of this node."""
        return self.members[self.own_name]

    def put(self, member: Member) -> None:
        """Store a member; the caller has checked that it overrides."""
        current = self.members.get(member.name)
        self.members[member.name] = member
        was_doubted = member.name in self.doubted
        if member.state is not MemberState.suspect:
            self.doubted.discard(member.name)
        if (
            was_doubted
            or current is None
            or _get_selection_key(current) != _get_selection_key(member)
        ):
            self._invalidate()

    def doubt(self, name: str) -> None:
        """Exclude a suspect from the owner candidates until it refutes."""
        if name not in self.doubted:
            self.doubted.add(name)
            self._invalidate()

    def remove(self, name: str) -> None:
        """Remove a member."""
        self.doubted.discard(name)
        if self.members.pop(name, None) is not None:
            self._invalidate()

    def list_active(self, zone: str = '') -> tuple[Member, ...]:
        """Return the active members of a zone (all zones if empty)."""
        listed = self._zone_active.get(zone)
        if listed is None:
            listed = tuple(
                member
                for member in self.members.values()
                if member.state in _ACTIVE_STATES and zone in {'', member.zone}
            )
            self._zone_active[zone] = listed
        return listed

    def list_owner_candidates(self, zone: str = '') -> tuple[Member, ...]:
        """Return members of a zone (all zones if empty) that may own shards."""
        listed = self._owner_candidates.get(zone)
        if listed is None:
            listed = tuple(
                member
                for member in self.list_active(zone)
                if member.name not in self.doubted
            )
            self._owner_candidates[zone] = listed
        return listed

    def _invalidate(self) -> None:
        self.version += 1
        self._owner_candidates.clear()
        self._zone_active.clear()


def _get_selection_key(member: Member) -> tuple[bool, str, Endpoint, Endpoint]:
    """Return the fields whose change makes cached choices invalid."""
    active = member.state in _ACTIVE_STATES
    return active, member.zone, member.packet, member.peer

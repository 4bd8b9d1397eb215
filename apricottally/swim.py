"""State of the SWIM protocol, and the rules for applying member updates.

An update overrides the stored entry of a member if its incarnation is higher
or, at equal incarnation, if its state comes later in this order: alive,
suspect, leaving, dead.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec
import xxhash

from apricottally.addresses import Endpoint
from apricottally.effects import Effect, WriteLog
from apricottally.members import Member, MemberState
from apricottally.memberupdates import PendingUpdates
from apricottally.peers import PeerLists
from apricottally.tokenbucket import TokenBucket

if TYPE_CHECKING:
    from apricottally.state import NodeState

SUSPICION_S = 3.0
# Interval at which a node pings a suspect, whose refutation may be lost.
RECHECK_S = 1.2
# Limits name, zone and IP, so that a message with nine updates and the sender
# fits a datagram.
MAX_MEMBER_BYTES = 100
GOSSIP_BYTES_PER_S = 1000
GOSSIP_BURST_BYTES = 8000


@dataclass(slots=True)
class Probe:
    """A ping that has not been answered yet.

    `requester` is the endpoint of the node that requested the ping, and the
    sequence number for the answer. `recovery` marks a probe of a member that
    is not alive, or of a seed; its failure raises no suspicion of the member.
    `indirect` is set once other members were asked to ping the target.
    """

    name: str
    sent_at: float
    requester: tuple[Endpoint, int] | None = None
    recovery: bool = False
    indirect: bool = False


@dataclass(slots=True)
class Suspicion:
    """When a suspect is declared dead, and when it is pinged again.

    `disseminate` tells whether the death is announced to other nodes.
    """

    deadline: float
    recheck_at: float
    disseminate: bool = True


@dataclass(slots=True)
class SwimState:
    """Outstanding probes, suspicions and pending member updates.

    `dead_since` maps a name to the time at which it was declared dead.
    `digest` covers all members except dead ones. `zone_last_heard` is the
    time of the last message from a zone, and `failed_zone_probes` the number
    of probes of the zone that have failed since then.
    """

    sequence: int = 0
    last_tick: float | None = None
    next_ping: float = 0
    next_reconnect: float = 0
    ping_order: list[str] = field(default_factory=list)
    probes: dict[int, Probe] = field(default_factory=dict)
    suspicions: dict[str, Suspicion] = field(default_factory=dict)
    dead_since: dict[str, float] = field(default_factory=dict)
    pending_updates: PendingUpdates = field(default_factory=PendingUpdates)
    peers: PeerLists = field(default_factory=PeerLists)
    failed_zone_probes: dict[str, int] = field(default_factory=dict)
    zone_last_heard: dict[str, float] = field(default_factory=dict)
    digest: int = 0
    gossip_budget: TokenBucket = field(
        default_factory=lambda: TokenBucket(
            GOSSIP_BYTES_PER_S, GOSSIP_BURST_BYTES
        ),
    )


def apply_updates(
    state: NodeState,
    now: float,
    updates: tuple[Member, ...],
    *,
    disseminate: bool = True,
) -> list[Effect]:
    """Apply the updates that override the stored members.

    Queues them for dissemination if `disseminate` is set.
    """
    effects: list[Effect] = []
    for update in updates:
        if update.name == state.members.own_name:
            _refute(state, update)
        elif _is_oversized(update):
            state.counters.add('peer_dropped', 'oversized_member')
        else:
            effects += _apply_update(
                state, now, update, disseminate=disseminate
            )
    return effects


def suspect_member(state: NodeState, now: float, name: str) -> list[Effect]:
    """Start to suspect a member that did not answer a probe."""
    current = state.members.members.get(name)
    if current is None or current.state is MemberState.dead:
        return []
    _start_suspicion(state.protocols.swim, now, name)
    if current.state is not MemberState.alive:
        return []
    update = msgspec.structs.replace(current, state=MemberState.suspect)
    return apply_updates(state, now, (update,))


def suspect_zone(state: NodeState, now: float, zone: str) -> list[Effect]:
    """Suspect all members of a zone, without disseminating it.

    Other nodes detect the silent zone themselves, which is faster than
    disseminating an update for each member of a large zone.
    """
    swim = state.protocols.swim
    silent = [
        member
        for member in state.members.members.values()
        if member.zone == zone and member.state is MemberState.alive
    ]
    effects: list[Effect] = []
    for member in silent:
        update = msgspec.structs.replace(member, state=MemberState.suspect)
        effects += apply_updates(state, now, (update,), disseminate=False)
        swim.suspicions[member.name].disseminate = False
    if silent:
        state.counters.add('member', 'zone_silent')
        effects.append(WriteLog('zone_silent', {'zone': zone}))
    return effects


def store_member(
    state: NodeState, member: Member, *, disseminate: bool = True
) -> None:
    """Store an update, adjust the digest and queue it for dissemination."""
    swim = state.protocols.swim
    current = state.members.members.get(member.name)
    state.invariants.check(
        'member_incarnation_monotone',
        holds=current is None
        or get_precedence(current) <= get_precedence(member),
        detail=(current, member),
    )
    swim.digest ^= hash_member(current) ^ hash_member(member)
    state.members.put(member)
    if disseminate:
        swim.pending_updates.add(member)


def get_precedence(member: Member) -> tuple[int, MemberState]:
    """Return the sort key by which one update of a member overrides another."""
    return member.incarnation, member.state


def hash_member(member: Member | None) -> int:
    """Return a member's contribution to the digest; 0 for dead members."""
    if member is None or member.state is MemberState.dead:
        return 0
    leaving = member.state is MemberState.leaving
    text = f'{member.name}\n{member.incarnation}\n{leaving}'
    return xxhash.xxh3_64_intdigest(text.encode())


def _apply_update(
    state: NodeState,
    now: float,
    update: Member,
    *,
    disseminate: bool,
) -> list[Effect]:
    current = state.members.members.get(update.name)
    if current is None and update.state is MemberState.dead:
        return []
    if current is not None and get_precedence(update) <= get_precedence(
        current
    ):
        return []
    store_member(state, update, disseminate=disseminate)
    _update_timers(state.protocols.swim, now, update)
    if current is not None and current.state is update.state:
        return []
    name = update.state.name
    state.counters.add('member', name)
    return [WriteLog('member_changed', {'node': update.name, 'state': name})]


def _start_suspicion(swim: SwimState, now: float, name: str) -> None:
    suspicion = Suspicion(now + SUSPICION_S, now + RECHECK_S)
    swim.suspicions.setdefault(name, suspicion)


def _update_timers(swim: SwimState, now: float, update: Member) -> None:
    if update.state is MemberState.suspect:
        _start_suspicion(swim, now, update.name)
    else:
        swim.suspicions.pop(update.name, None)
    if update.state is MemberState.dead:
        swim.dead_since[update.name] = now
    else:
        swim.dead_since.pop(update.name, None)


def _refute(state: NodeState, update: Member) -> None:
    """Raise this node's incarnation if an update about it is wrong."""
    own = state.members.own
    if update.incarnation < own.incarnation:
        return
    same = update.incarnation == own.incarnation and (
        (update.peer, update.packet) == (own.peer, own.packet)
    )
    if same and update.state <= own.state:
        return
    state.counters.add('member', 'refuted')
    incarnation = update.incarnation + 1
    store_member(state, msgspec.structs.replace(own, incarnation=incarnation))


def _is_oversized(member: Member) -> bool:
    texts = (member.name, member.zone, member.ip)
    return sum(len(text.encode()) for text in texts) > MAX_MEMBER_BYTES

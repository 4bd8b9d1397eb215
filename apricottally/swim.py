"""State of the membership protocol, and the rules by which it changes.

A change of a member overrides another by incarnation first, then by state:
alive, suspect, leaving, dead.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec
import xxhash

from apricottally.addresses import Endpoint
from apricottally.effects import Effect, WriteLog
from apricottally.members import Member, MemberState
from apricottally.peers import Peers
from apricottally.tokenbucket import TokenBucket
from apricottally.updates import PendingUpdates

if TYPE_CHECKING:
    from apricottally.state import NodeState

SUSPICION_S = 3.0
# When a node that missed a refutation asks the suspect itself.
RECHECK_S = 1.2
# A message of nine changes and the sender then fits a datagram.
MAX_MEMBER_BYTES = 100
GOSSIP_BYTES_PER_S = 1000
GOSSIP_BURST_BYTES = 8000


@dataclass(slots=True)
class Probe:
    """A ping without an answer yet.

    `asker` is the node that asked for it and the number it waits for; a
    contact is a try to reach a node that is not known to be alive.
    """

    name: str
    sent: float
    asker: tuple[Endpoint, int] | None = None
    contact: bool = False
    indirect: bool = False


@dataclass(slots=True)
class Suspicion:
    """When a suspect is declared dead, and when it is asked again.

    `spread` says whether the others are told of its death.
    """

    deadline: float
    recheck: float
    spread: bool = True


@dataclass(slots=True)
class Swim:
    """Probes, suspicions and changes to pass on.

    `dead` maps a name to the time at which it was declared dead; `digest`
    covers all members but dead ones. `silent` counts the probes of a zone
    that failed since a message last came from it, which was at `heard`.
    """

    sequence: int = 0
    last_tick: float | None = None
    next_ping: float = 0
    next_contact: float = 0
    order: list[str] = field(default_factory=list)
    probes: dict[int, Probe] = field(default_factory=dict)
    suspects: dict[str, Suspicion] = field(default_factory=dict)
    dead: dict[str, float] = field(default_factory=dict)
    updates: PendingUpdates = field(default_factory=PendingUpdates)
    peers: Peers = field(default_factory=Peers)
    silent: dict[str, int] = field(default_factory=dict)
    heard: dict[str, float] = field(default_factory=dict)
    digest: int = 0
    gossip_budget: TokenBucket = field(
        default_factory=lambda: TokenBucket(
            GOSSIP_BYTES_PER_S, GOSSIP_BURST_BYTES
        ),
    )


def learn(
    state: NodeState,
    now: float,
    updates: tuple[Member, ...],
    *,
    spread: bool = True,
) -> list[Effect]:
    """Take those changes that override what is held; pass them on."""
    effects: list[Effect] = []
    for update in updates:
        if update.name == state.members.own_name:
            _refute(state, update)
        elif _is_oversized(update):
            state.counters.add('peer_dropped', 'oversized_member')
        else:
            effects += _learn_other(state, now, update, spread=spread)
    return effects


def suspect(state: NodeState, now: float, name: str) -> list[Effect]:
    """Start to suspect a member that did not answer."""
    held = state.members.members.get(name)
    if held is None or held.state is MemberState.dead:
        return []
    _open_suspicion(state.control.swim, now, name)
    if held.state is not MemberState.alive:
        return []
    update = msgspec.structs.replace(held, state=MemberState.suspect)
    return learn(state, now, (update,))


def suspect_zone(state: NodeState, now: float, zone: str) -> list[Effect]:
    """Suspect all members of a zone, and do not tell the others.

    They find out in the same way; telling them of each member of a large
    zone takes longer than that.
    """
    swim = state.control.swim
    silent = [
        member
        for member in state.members.members.values()
        if member.zone == zone and member.state is MemberState.alive
    ]
    effects: list[Effect] = []
    for member in silent:
        update = msgspec.structs.replace(member, state=MemberState.suspect)
        effects += learn(state, now, (update,), spread=False)
        swim.suspects[member.name].spread = False
    if silent:
        state.counters.add('member', 'zone_silent')
        effects.append(WriteLog('zone_silent', {'zone': zone}))
    return effects


def put(state: NodeState, member: Member, *, spread: bool = True) -> None:
    """Store a change, keep the digest right and queue it for the others."""
    swim = state.control.swim
    held = state.members.members.get(member.name)
    state.invariants.check(
        'member_incarnation_monotone',
        holds=held is None or rank(held) <= rank(member),
        detail=(held, member),
    )
    swim.digest ^= fingerprint(held) ^ fingerprint(member)
    state.members.put(member)
    if spread:
        swim.updates.add(member)


def rank(member: Member) -> tuple[int, MemberState]:
    """Return what decides which of two changes of a member overrides."""
    return member.incarnation, member.state


def fingerprint(member: Member | None) -> int:
    """Return the part of a member in the digest; dead ones have none."""
    if member is None or member.state is MemberState.dead:
        return 0
    leaving = member.state is MemberState.leaving
    text = f'{member.name}\n{member.incarnation}\n{leaving}'
    return xxhash.xxh3_64_intdigest(text.encode())


def _learn_other(
    state: NodeState,
    now: float,
    update: Member,
    *,
    spread: bool,
) -> list[Effect]:
    held = state.members.members.get(update.name)
    if held is None and update.state is MemberState.dead:
        return []
    if held is not None and rank(update) <= rank(held):
        return []
    put(state, update, spread=spread)
    _keep_deadlines(state.control.swim, now, update)
    if held is not None and held.state is update.state:
        return []
    name = update.state.name
    state.counters.add('member', name)
    return [WriteLog('member_changed', {'node': update.name, 'state': name})]


def _open_suspicion(swim: Swim, now: float, name: str) -> None:
    suspicion = Suspicion(now + SUSPICION_S, now + RECHECK_S)
    swim.suspects.setdefault(name, suspicion)


def _keep_deadlines(swim: Swim, now: float, update: Member) -> None:
    if update.state is MemberState.suspect:
        _open_suspicion(swim, now, update.name)
    else:
        swim.suspects.pop(update.name, None)
    if update.state is MemberState.dead:
        swim.dead[update.name] = now
    else:
        swim.dead.pop(update.name, None)


def _refute(state: NodeState, update: Member) -> None:
    """Override what others say of this node, unless it is the truth."""
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
    put(state, msgspec.structs.replace(own, incarnation=incarnation))


def _is_oversized(member: Member) -> bool:
    texts = (member.name, member.zone, member.ip)
    return sum(len(text.encode()) for text in texts) > MAX_MEMBER_BYTES

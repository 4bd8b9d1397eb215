"""Membership of the nodes of a region by the SWIM protocol.

Each node pings a random member a second, asks others to ping it when no
answer comes, suspects it, and after the suspicion lapses declares it dead. A
node that hears of its own suspicion refutes it with a higher incarnation.
A second ping goes to the node's successor on a ring of hashed names: random
pings alone leave one member in twenty without any for 3 s.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from apricottally import (
    memberlist,
    memberprobes,
    messages,
    peers,
    repair,
    suspects,
)
from apricottally.addresses import PEER_PORT, Endpoint
from apricottally.effects import Effect, SendPeer
from apricottally.events import Ticked
from apricottally.members import Member, MemberState
from apricottally.messages import Ack, Gossip, Ping, PingRequest, View
from apricottally.swim import (
    Probe,
    learn,
    put,
    rank,
)

if TYPE_CHECKING:
    from apricottally.state import NodeState

PING_PERIOD_S = 1.0
# Mean time between tries to reach a dead member or an unknown seed.
CONTACT_PERIOD_S = 4.0
JOIN_PERIOD_S = 0.5
# A gap between ticks that shows that this process did not run.
PAUSE_S = 1.0
GOSSIP_PEERS = 3


def tick(state: NodeState, event: Ticked) -> list[Effect]:
    """Send pings and act on answers that did not come."""
    now = event.now
    swim = state.control.swim
    if swim.last_tick is None:
        _start(state, now)
    elif now - swim.last_tick > PAUSE_S:
        _resume(state, now, now - swim.last_tick)
    swim.last_tick = now
    swim.peers.refresh(state.members)
    effects = memberprobes.check(state, now)
    effects += suspects.check(state, now)
    effects += suspects.recheck(state, now)
    if now >= swim.next_ping:
        swim.next_ping = now + PING_PERIOD_S
        effects += _ping_next(state, now)
        effects += _ping_successor(state, now)
    if now >= swim.next_contact:
        swim.next_contact = now + _draw_contact_delay(state)
        effects += _contact(state, now)
    effects += memberlist.tick(state, now)
    return effects + _gossip(state, now)


def receive_ping(
    state: NodeState,
    now: float,
    source: Endpoint,
    message: Ping,
) -> list[Effect]:
    """Answer, telling the sender if it is held to be anything but alive."""
    name = message.sender.name
    held = state.members.members.get(name)
    told: tuple[Member, ...] = ()
    if held is not None and rank(held) > rank(message.sender):
        told = (held,)
    memberprobes.mark_zone_heard(state, now, message.sender.zone)
    effects = learn(state, now, (message.sender, *message.updates))
    effects += _note_view(state, now, source, message.view)
    answer = Ack(
        message.seq,
        state.members.own,
        memberprobes.build_view(state),
        told + memberprobes.take_updates(state),
    )
    effects.append(SendPeer(source, messages.encode(answer)))
    return effects


def receive_ack(
    state: NodeState,
    now: float,
    source: Endpoint,
    message: Ack,
) -> list[Effect]:
    """Close the probe, and pass the answer on if another node asked."""
    swim = state.control.swim
    memberprobes.mark_zone_heard(state, now, message.sender.zone)
    effects = learn(state, now, (message.sender, *message.updates))
    probe = swim.probes.pop(message.seq, None)
    if probe is None:
        return effects
    held = state.members.members.get(probe.name)
    if held is not None and held.state is not MemberState.suspect:
        swim.suspects.pop(probe.name, None)
    effects += _note_view(state, now, source, message.view)
    if probe.asker is not None:
        endpoint, seq = probe.asker
        answer = Ack(seq, message.sender, memberprobes.build_view(state))
        effects.append(SendPeer(endpoint, messages.encode(answer)))
    return effects


def receive_ping_request(
    state: NodeState,
    now: float,
    source: Endpoint,
    message: PingRequest,
) -> list[Effect]:
    """Ping the target for another node."""
    probe = Probe(message.target.name, now, asker=(source, message.seq))
    return [memberprobes.ping(state, message.target.peer, probe)]


def receive_gossip(
    state: NodeState,
    now: float,
    source: Endpoint,
    message: Gossip,
) -> list[Effect]:
    """Take changes of members."""
    return learn(state, now, message.updates)


def leave(state: NodeState, now: float) -> list[Effect]:
    """Announce that this node is leaving."""
    own = state.members.own
    put(state, msgspec.structs.replace(own, state=MemberState.leaving))
    state.control.swim.peers.refresh(state.members)
    return _gossip(state, now)


def _note_view(
    state: NodeState,
    now: float,
    source: Endpoint,
    view: View,
) -> list[Effect]:
    effects = memberlist.note_digest(state, now, source, view.members)
    return effects + repair.note_view(state, now, source, view)


def _draw_contact_delay(state: NodeState) -> float:
    period = CONTACT_PERIOD_S
    if not state.control.memberlist.joined:
        period = JOIN_PERIOD_S
    return period * state.rng.uniform(0.5, 1.5)


def _start(state: NodeState, now: float) -> None:
    """Spread the first pings of nodes that start together."""
    swim = state.control.swim
    swim.sequence = state.rng.getrandbits(32)
    swim.next_ping = now + PING_PERIOD_S * state.rng.random()
    swim.next_contact = now
    swim.updates.add(state.members.own)


def _resume(state: NodeState, now: float, gap: float) -> None:
    """Forget probes whose answers this process could not read in time."""
    swim = state.control.swim
    swim.probes.clear()
    for suspicion in swim.suspects.values():
        suspicion.deadline += gap
    state.counters.add('member', 'paused')


def _ping_next(state: NodeState, now: float) -> list[Effect]:
    """Ping the next member of a shuffled list, so that none is left out."""
    swim = state.control.swim
    for _ in range(2):
        while swim.order:
            name = swim.order.pop()
            target = state.members.members.get(name)
            if target is not None and target.state is not MemberState.dead:
                return [memberprobes.ping(state, target.peer, Probe(name, now))]
        swim.order = [
            name
            for name, member in state.members.members.items()
            if name != state.members.own_name
            and member.state is not MemberState.dead
        ]
        state.rng.shuffle(swim.order)
    return []


def _ping_successor(state: NodeState, now: float) -> list[Effect]:
    """Ping the next member on the ring that is not suspected."""
    for name in state.control.swim.peers.successors:
        target = state.members.members[name]
        if target.state is MemberState.alive:
            return [memberprobes.ping(state, target.peer, Probe(name, now))]
    return []


def _contact(state: NodeState, now: float) -> list[Effect]:
    """Try a dead member or a seed that is not known, to heal a cut."""
    known = {member.peer for member in state.control.swim.peers.everywhere}
    known.add(state.members.own.peer)
    listed = state.control.spread.balancers.values()
    seeds = (*state.config.seeds, *((ip, PEER_PORT) for ip in listed))
    unknown = [seed for seed in seeds if seed not in known]
    dead = [state.members.members[name] for name in state.control.swim.dead]
    effects: list[Effect] = []
    if dead:
        target = state.rng.choice(dead)
        probe = Probe(target.name, now, contact=True)
        effects.append(memberprobes.ping(state, target.peer, probe))
    if unknown:
        probe = Probe('', now, contact=True)
        seed = state.rng.choice(unknown)
        effects.append(memberprobes.ping(state, seed, probe))
    return effects


def _gossip(state: NodeState, now: float) -> list[Effect]:
    """Send new changes at once, as far as the budget goes."""
    swim = state.control.swim
    if not swim.updates.fresh:
        return []
    cost = messages.MAX_DATAGRAM_BYTES // 2 * GOSSIP_PEERS
    if not swim.gossip_budget.take(now, cost):
        return []
    payload = messages.encode(Gossip(swim.updates.take_fresh()))
    return [
        SendPeer(member.peer, payload)
        for member in peers.choose(
            state.rng,
            swim.peers.everywhere,
            GOSSIP_PEERS,
        )
    ]

"""Membership of the nodes of a region by the SWIM protocol.

Each node pings one random member per second. If no answer arrives, it asks
other members to ping the target, then suspects the target, and declares it
dead when the suspicion expires. A suspected node refutes the suspicion with
a higher incarnation. Each node also pings its successor on a ring of hashed
names: with random pings alone, one member in twenty gets no ping for 3 s.
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
    apply_updates,
    get_precedence,
    store_member,
)

if TYPE_CHECKING:
    from apricottally.state import NodeState

PING_PERIOD_S = 1.0
# Mean time between probes of a dead member or an unknown seed.
RECONNECT_PERIOD_S = 4.0
JOIN_PERIOD_S = 0.5
# A longer gap between ticks means that this process was paused.
PAUSE_DETECTION_S = 1.0
GOSSIP_PEERS = 3


def tick(state: NodeState, event: Ticked) -> list[Effect]:
    """Send pings and gossip, and handle probes and suspicions that expire."""
    now = event.now
    swim = state.protocols.swim
    if swim.last_tick is None:
        _start(state, now)
    elif now - swim.last_tick > PAUSE_DETECTION_S:
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
    if now >= swim.next_reconnect:
        swim.next_reconnect = now + _draw_reconnect_delay(state)
        effects += _try_reconnect(state, now)
    effects += memberlist.tick(state, now)
    return effects + _gossip(state, now)


def receive_ping(
    state: NodeState,
    now: float,
    source: Endpoint,
    message: Ping,
) -> list[Effect]:
    """Answer a ping.

    Includes the entry for the sender if it overrides the sender's own.
    """
    name = message.sender.name
    current = state.members.members.get(name)
    corrections: tuple[Member, ...] = ()
    if current is not None and get_precedence(current) > get_precedence(
        message.sender
    ):
        corrections = (current,)
    memberprobes.mark_zone_heard(state, now, message.sender.zone)
    effects = apply_updates(state, now, (message.sender, *message.updates))
    effects += _note_view(state, now, source, message.view)
    answer = Ack(
        message.seq,
        state.members.own,
        memberprobes.build_view(state),
        corrections + memberprobes.take_updates(state),
    )
    effects.append(SendPeer(source, messages.encode(answer)))
    return effects


def receive_ack(
    state: NodeState,
    now: float,
    source: Endpoint,
    message: Ack,
) -> list[Effect]:
    """Complete the probe; relay the answer if another node requested it."""
    swim = state.protocols.swim
    memberprobes.mark_zone_heard(state, now, message.sender.zone)
    effects = apply_updates(state, now, (message.sender, *message.updates))
    probe = swim.probes.pop(message.seq, None)
    if probe is None:
        return effects
    current = state.members.members.get(probe.name)
    if current is not None and current.state is not MemberState.suspect:
        swim.suspicions.pop(probe.name, None)
    effects += _note_view(state, now, source, message.view)
    if probe.requester is not None:
        endpoint, seq = probe.requester
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
    probe = Probe(message.target.name, now, requester=(source, message.seq))
    return [memberprobes.ping(state, message.target.peer, probe)]


def receive_gossip(
    state: NodeState,
    now: float,
    source: Endpoint,
    message: Gossip,
) -> list[Effect]:
    """Apply member updates."""
    return apply_updates(state, now, message.updates)


def leave(state: NodeState, now: float) -> list[Effect]:
    """Announce that this node is leaving."""
    own = state.members.own
    store_member(state, msgspec.structs.replace(own, state=MemberState.leaving))
    state.protocols.swim.peers.refresh(state.members)
    return _gossip(state, now)


def _note_view(
    state: NodeState,
    now: float,
    source: Endpoint,
    view: View,
) -> list[Effect]:
    effects = memberlist.compare_digest(state, now, source, view.members)
    return effects + repair.compare_view(state, now, source, view)


def _draw_reconnect_delay(state: NodeState) -> float:
    period = RECONNECT_PERIOD_S
    if not state.protocols.memberlist_sync.joined:
        period = JOIN_PERIOD_S
    return period * state.rng.uniform(0.5, 1.5)


def _start(state: NodeState, now: float) -> None:
    """Randomize the first ping time, for nodes that start together."""
    swim = state.protocols.swim
    swim.sequence = state.rng.getrandbits(32)
    swim.next_ping = now + PING_PERIOD_S * state.rng.random()
    swim.next_reconnect = now
    swim.pending_updates.add(state.members.own)


def _resume(state: NodeState, now: float, gap: float) -> None:
    """Discard probes and extend suspicions after a pause of this process.

    Answers to the probes may have arrived while the process could not run.
    """
    swim = state.protocols.swim
    swim.probes.clear()
    for suspicion in swim.suspicions.values():
        suspicion.deadline += gap
    state.counters.add('member', 'paused')


def _ping_next(state: NodeState, now: float) -> list[Effect]:
    """Ping the next member of a shuffled list, so that each gets a turn."""
    swim = state.protocols.swim
    for _ in range(2):
        while swim.ping_order:
            name = swim.ping_order.pop()
            target = state.members.members.get(name)
            if target is not None and target.state is not MemberState.dead:
                return [memberprobes.ping(state, target.peer, Probe(name, now))]
        swim.ping_order = [
            name
            for name, member in state.members.members.items()
            if name != state.members.own_name
            and member.state is not MemberState.dead
        ]
        state.rng.shuffle(swim.ping_order)
    return []


def _ping_successor(state: NodeState, now: float) -> list[Effect]:
    """Ping the next member on the ring that is alive."""
    for name in state.protocols.swim.peers.successors:
        target = state.members.members[name]
        if target.state is MemberState.alive:
            return [memberprobes.ping(state, target.peer, Probe(name, now))]
    return []


def _try_reconnect(state: NodeState, now: float) -> list[Effect]:
    """Ping a dead member and an unknown seed, to heal a partition."""
    known = {member.peer for member in state.protocols.swim.peers.all_peers}
    known.add(state.members.own.peer)
    listed = state.protocols.dissemination.balancer_ips.values()
    seeds = (*state.config.seeds, *((ip, PEER_PORT) for ip in listed))
    unknown = [seed for seed in seeds if seed not in known]
    dead = [
        state.members.members[name] for name in state.protocols.swim.dead_since
    ]
    effects: list[Effect] = []
    if dead:
        target = state.rng.choice(dead)
        probe = Probe(target.name, now, recovery=True)
        effects.append(memberprobes.ping(state, target.peer, probe))
    if unknown:
        probe = Probe('', now, recovery=True)
        seed = state.rng.choice(unknown)
        effects.append(memberprobes.ping(state, seed, probe))
    return effects


def _gossip(state: NodeState, now: float) -> list[Effect]:
    """Send new member updates at once, within the byte budget."""
    swim = state.protocols.swim
    if not swim.pending_updates.unsent:
        return []
    cost = messages.MAX_DATAGRAM_BYTES // 2 * GOSSIP_PEERS
    if not swim.gossip_budget.take(now, cost):
        return []
    payload = messages.encode(Gossip(swim.pending_updates.take_unsent()))
    return [
        SendPeer(member.peer, payload)
        for member in peers.choose_random(
            state.rng,
            swim.peers.all_peers,
            GOSSIP_PEERS,
        )
    ]

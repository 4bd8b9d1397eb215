"""Probes of members: pings, answers that did not come, and silent zones."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from apricottally import messages, peers
from apricottally.addresses import Endpoint
from apricottally.effects import Effect, SendPeer
from apricottally.members import Member, MemberState
from apricottally.messages import Ping, PingRequest, View
from apricottally.swim import Probe, suspect, suspect_zone

if TYPE_CHECKING:
    from apricottally.state import NodeState

# Within a region an answer takes a few milliseconds.
DIRECT_TIMEOUT_S = 0.3
PROBE_TIMEOUT_S = 0.7
INDIRECT_PROBES = 3
# Probes of another zone in a row that fail before all of it is suspected.
ZONE_FAILURES = 6
# Members pinged after the first failure; some may die of other news.
ZONE_PROBES = 8


def build_view(state: NodeState) -> View:
    """Return what this node tells of its state in pings."""
    return View(
        state.records.revision,
        state.records.digest(),
        state.control.swim.digest,
        state.control.repair.ready,
    )


def ping(
    state: NodeState,
    endpoint: Endpoint,
    probe: Probe,
) -> SendPeer:
    """Ping a node, telling it if it is held to be suspect or dead."""
    swim = state.control.swim
    held = state.members.members.get(probe.name)
    told: tuple[Member, ...] = ()
    if held is not None and held.state is not MemberState.alive:
        told = (held,)
    swim.sequence += 1
    swim.probes[swim.sequence] = probe
    message = Ping(
        swim.sequence,
        state.members.own,
        build_view(state),
        told + take_updates(state),
    )
    return SendPeer(endpoint, messages.encode(message))


def hear_zone(state: NodeState, now: float, zone: str) -> None:
    """Note that a zone is not cut off."""
    state.control.swim.heard[zone] = now
    state.control.swim.silent.pop(zone, None)


def check(state: NodeState, now: float) -> list[Effect]:
    """Ask others about late answers, and suspect who did not answer them."""
    probes = state.control.swim.probes
    effects: list[Effect] = []
    late = [
        (seq, probe)
        for seq, probe in probes.items()
        if now - probe.sent >= DIRECT_TIMEOUT_S
    ]
    for seq, probe in late:
        if now - probe.sent >= PROBE_TIMEOUT_S:
            probes.pop(seq)
            effects += _fail_probe(state, now, probe)
        elif not (probe.indirect or probe.contact or probe.asker):
            probe.indirect = True
            effects += _ask_others(state, seq, probe.name)
    return effects


def take_updates(state: NodeState) -> tuple[Member, ...]:
    """Return the changes of members that the next message carries."""
    swim = state.control.swim
    return swim.updates.take(len(state.members.members))


def _fail_probe(state: NodeState, now: float, probe: Probe) -> list[Effect]:
    """Suspect a member, and its whole zone if nothing comes from there."""
    if probe.asker is not None:
        return []
    effects: list[Effect] = []
    if not probe.contact:
        effects += suspect(state, now, probe.name)
    member = state.members.members.get(probe.name)
    if member is None or member.zone == state.config.zone:
        return effects
    swim = state.control.swim
    if probe.sent <= swim.heard.get(member.zone, -math.inf):
        return effects
    silent = swim.silent
    failures = silent.get(member.zone, 0) + 1
    if probe.contact and (failures > 1 or member.state is MemberState.dead):
        # Suspects of one lost rack are asked again all at once.
        return effects
    silent[member.zone] = failures
    if failures == 1:
        effects += _probe_zone(state, now, member.zone)
    if failures >= ZONE_FAILURES:
        effects += suspect_zone(state, now, member.zone)
    return effects


def _probe_zone(state: NodeState, now: float, zone: str) -> list[Effect]:
    """Ping a few members of a zone at once, to learn whether it is cut."""
    members = [
        member
        for member in state.control.swim.peers.other_zones
        if member.zone == zone
    ]
    state.rng.shuffle(members)
    # Suspects are asked only where too few others are left.
    members.sort(key=lambda member: member.state)
    chosen = members[:ZONE_PROBES]
    return [
        ping(state, member.peer, Probe(member.name, now)) for member in chosen
    ]


def _ask_others(state: NodeState, seq: int, name: str) -> list[Effect]:
    target = state.members.members.get(name)
    if target is None:
        return []
    payload = messages.encode(PingRequest(seq, target))
    silent = state.control.swim.silent
    others = [
        member
        for member in state.control.swim.peers.everywhere
        if member.name != name and member.zone not in silent
    ]
    return [
        SendPeer(member.peer, payload)
        for member in peers.choose(state.rng, others, INDIRECT_PROBES)
    ]

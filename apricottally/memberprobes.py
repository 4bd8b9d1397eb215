"""Probes of the membership protocol: pings, late answers, silent zones."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from apricottally import messages, peers
from apricottally.addresses import Endpoint
from apricottally.effects import Effect, SendPeer
from apricottally.members import Member, MemberState
from apricottally.messages import Ping, PingRequest, View
from apricottally.swim import Probe, suspect_member, suspect_zone

if TYPE_CHECKING:
    from apricottally.state import NodeState

# Time without an ack after which other members are asked to ping the target.
# Within a region an ack takes a few milliseconds.
DIRECT_TIMEOUT_S = 0.3
# Time without an ack after which a probe has failed.
PROBE_TIMEOUT_S = 0.7
INDIRECT_PROBES = 3
# Consecutive failed probes of another zone after which all of its members are
# suspected.
ZONE_SUSPECT_FAILURES = 6
# Members of a zone that are pinged after its first failed probe. More than
# ZONE_SUSPECT_FAILURES, since some may be dead for other reasons.
ZONE_PROBES = 8


def build_view(state: NodeState) -> View:
    """Return the summary of this node's state that its pings carry."""
    return View(
        state.records.revision,
        state.records.digest(),
        state.protocols.swim.digest,
        state.protocols.repair.ready,
    )


def ping(
    state: NodeState,
    endpoint: Endpoint,
    probe: Probe,
) -> SendPeer:
    """Ping a node; include its entry unless it is alive, so it can refute."""
    swim = state.protocols.swim
    known = state.members.members.get(probe.name)
    notice: tuple[Member, ...] = ()
    if known is not None and known.state is not MemberState.alive:
        notice = (known,)
    swim.sequence += 1
    swim.probes[swim.sequence] = probe
    message = Ping(
        swim.sequence,
        state.members.own,
        build_view(state),
        notice + take_updates(state),
    )
    return SendPeer(endpoint, messages.encode(message))


def mark_zone_heard(state: NodeState, now: float, zone: str) -> None:
    """Record that a message came from a zone, which resets its failures."""
    state.protocols.swim.zone_last_heard[zone] = now
    state.protocols.swim.failed_zone_probes.pop(zone, None)


def check(state: NodeState, now: float) -> list[Effect]:
    """Start indirect probes for late acks, and handle failed probes."""
    probes = state.protocols.swim.probes
    effects: list[Effect] = []
    late = [
        (seq, probe)
        for seq, probe in probes.items()
        if now - probe.sent_at >= DIRECT_TIMEOUT_S
    ]
    for seq, probe in late:
        if now - probe.sent_at >= PROBE_TIMEOUT_S:
            probes.pop(seq)
            effects += _handle_failed_probe(state, now, probe)
        elif not (probe.indirect or probe.recovery or probe.requester):
            probe.indirect = True
            effects += _request_indirect_probes(state, seq, probe.name)
    return effects


def take_updates(state: NodeState) -> tuple[Member, ...]:
    """Return the member updates that the next message carries."""
    swim = state.protocols.swim
    return swim.pending_updates.take(len(state.members.members))


def _handle_failed_probe(
    state: NodeState, now: float, probe: Probe
) -> list[Effect]:
    """Suspect the probed member; suspect its whole zone if that is silent."""
    if probe.requester is not None:
        return []
    effects: list[Effect] = []
    if not probe.recovery:
        effects += suspect_member(state, now, probe.name)
    member = state.members.members.get(probe.name)
    if member is None or member.zone == state.config.zone:
        return effects
    swim = state.protocols.swim
    if probe.sent_at <= swim.zone_last_heard.get(member.zone, -math.inf):
        return effects
    silent = swim.failed_zone_probes
    failures = silent.get(member.zone, 0) + 1
    if probe.recovery and (failures > 1 or member.state is MemberState.dead):
        # The suspects of one lost rack are all probed again at the same time;
        # they must not count as several failures of the zone.
        return effects
    silent[member.zone] = failures
    if failures == 1:
        effects += _probe_zone(state, now, member.zone)
    if failures >= ZONE_SUSPECT_FAILURES:
        effects += suspect_zone(state, now, member.zone)
    return effects


def _probe_zone(state: NodeState, now: float, zone: str) -> list[Effect]:
    """Ping several members of a zone to find out if it is unreachable."""
    members = [
        member
        for member in state.protocols.swim.peers.other_zones
        if member.zone == zone
    ]
    state.rng.shuffle(members)
    # Suspects are pinged only if there are too few live members.
    members.sort(key=lambda member: member.state)
    chosen = members[:ZONE_PROBES]
    return [
        ping(state, member.peer, Probe(member.name, now)) for member in chosen
    ]


def _request_indirect_probes(
    state: NodeState, seq: int, name: str
) -> list[Effect]:
    target = state.members.members.get(name)
    if target is None:
        return []
    payload = messages.encode(PingRequest(seq, target))
    silent = state.protocols.swim.failed_zone_probes
    others = [
        member
        for member in state.protocols.swim.peers.all_peers
        if member.name != name and member.zone not in silent
    ]
    return [
        SendPeer(member.peer, payload)
        for member in peers.choose_random(state.rng, others, INDIRECT_PROBES)
    ]

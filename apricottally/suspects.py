"""Members that did not answer: asked again, declared dead, forgotten."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from apricottally import probes
from apricottally.effects import Effect
from apricottally.members import MemberState
from apricottally.swim import RECHECK_S, SUSPICION_S, Probe, learn

if TYPE_CHECKING:
    from apricottally.state import NodeState

# Zones may be cut off for an hour; until then a dead node is tried again.
FORGET_S = 7200.0
# A suspect owns its shards for so long: a longer time delays new flows after a
# kill, a shorter one moves owners for each lost datagram.
OWNER_GRACE_S = 0.5
# A ping with few changes.
PING_BYTES = 200


def check(state: NodeState, now: float) -> list[Effect]:
    """Declare lapsed suspects dead and forget nodes that died long ago."""
    swim = state.control.swim
    effects: list[Effect] = []
    for name, suspicion in swim.suspects.items():
        if suspicion.deadline - SUSPICION_S + OWNER_GRACE_S <= now:
            state.members.doubt(name)
    lapsed = [
        name
        for name, suspicion in swim.suspects.items()
        if suspicion.deadline <= now
    ]
    for name in lapsed:
        spread = swim.suspects.pop(name).spread
        held = state.members.members[name]
        update = msgspec.structs.replace(held, state=MemberState.dead)
        effects += learn(state, now, (update,), spread=spread)
    old = [name for name, at in swim.dead.items() if at + FORGET_S <= now]
    for name in old:
        swim.dead.pop(name)
        state.members.remove(name)
    return effects


def recheck(state: NodeState, now: float) -> list[Effect]:
    """Ask suspects themselves, in case their refutation was lost."""
    swim = state.control.swim
    effects: list[Effect] = []
    for name, suspicion in swim.suspects.items():
        if now < suspicion.recheck:
            continue
        suspicion.recheck = now + RECHECK_S
        target = state.members.members[name]
        if swim.gossip_budget.take(now, PING_BYTES):
            probe = Probe(name, now, contact=True)
            effects.append(probes.ping(state, target.peer, probe))
    return effects

"""Suspect members: pinged again, declared dead, and later removed."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from apricottally import memberprobes
from apricottally.effects import Effect
from apricottally.members import MemberState
from apricottally.swim import RECHECK_S, SUSPICION_S, Probe, apply_updates

if TYPE_CHECKING:
    from apricottally.state import NodeState

# Time for which a dead member is kept and contacted again. A zone may be
# unreachable for an hour.
DEAD_RETENTION_S = 7200.0
# Time for which a suspect still owns its shards. A longer time delays new flows
# after a node is killed; with a shorter one each lost datagram moves shards.
OWNER_GRACE_S = 0.5
# Size of a ping with few member updates, charged to the gossip budget.
PING_BYTES = 200


def check(state: NodeState, now: float) -> list[Effect]:
    """Declare overdue suspects dead and remove members that died long ago."""
    swim = state.protocols.swim
    effects: list[Effect] = []
    for name, suspicion in swim.suspicions.items():
        if suspicion.deadline - SUSPICION_S + OWNER_GRACE_S <= now:
            state.members.doubt(name)
    overdue = [
        name
        for name, suspicion in swim.suspicions.items()
        if suspicion.deadline <= now
    ]
    for name in overdue:
        disseminate = swim.suspicions.pop(name).disseminate
        held = state.members.members[name]
        update = msgspec.structs.replace(held, state=MemberState.dead)
        effects += apply_updates(state, now, (update,), disseminate=disseminate)
    expired = [
        name
        for name, at in swim.dead_since.items()
        if at + DEAD_RETENTION_S <= now
    ]
    for name in expired:
        swim.dead_since.pop(name)
        state.members.remove(name)
    return effects


def recheck(state: NodeState, now: float) -> list[Effect]:
    """Ping suspects directly, in case their refutation was lost."""
    swim = state.protocols.swim
    effects: list[Effect] = []
    for name, suspicion in swim.suspicions.items():
        if now < suspicion.recheck_at:
            continue
        suspicion.recheck_at = now + RECHECK_S
        target = state.members.members[name]
        if swim.gossip_budget.take(now, PING_BYTES):
            probe = Probe(name, now, recovery=True)
            effects.append(memberprobes.ping(state, target.peer, probe))
    return effects

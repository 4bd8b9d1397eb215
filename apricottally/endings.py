"""Ends of flows, as the owner of their backend shard is told of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally import attempts, gue
from apricottally.effects import Effect, SendPacket
from apricottally.flows import Phase
from apricottally.model import Holding
from apricottally.packet import Segment
from apricottally.routes import Route

if TYPE_CHECKING:
    from apricottally.state import NodeState


def receive_bare_reset(
    state: NodeState,
    now: float,
    key: bytes,
    segment: Segment,
    datagram: bytes,
) -> list[Effect]:
    """Pass a caller's reset without timestamps on, if its flow is known.

    Kernels answer a packet for a closed socket so, such as a SYN-ACK that
    comes after the caller has given up.
    """
    flow = state.admissions.flows.get(key)
    if flow is None or flow.load is None or flow.phase is Phase.over:
        state.counters.add('dropped', 'reset_without_number')
        return []
    endpoint = flow.owned.service.endpoints.get(flow.number)
    effects = note_close(
        state,
        now,
        flow.route,
        flow.number,
        segment,
        key,
        from_backend=False,
    )
    if endpoint is None:
        return effects
    inner = datagram[segment.start :]
    return [SendPacket(endpoint, gue.encode(inner)), *effects]


def note_close(
    state: NodeState,
    now: float,
    route: Route,
    number: int,
    segment: Segment,
    key: bytes,
    *,
    from_backend: bool,
) -> list[Effect]:
    """Free what a flow held, once, and use it for those waiting."""
    flow = state.admissions.flows.get(key)
    if flow is not None and number in flow.tried:
        state.counters.add('unused_notice', 'late_close')
        return []
    if flow is not None and number == flow.number and not flow.passed:
        if from_backend and not flow.may_continue(segment):
            state.counters.add('unused_notice', 'late_close')
            return []
        # The SYN-ACK went through another node that acts as owner.
        attempts.establish(state, now, flow)
    return _end(state, now, route, number, key)


def _end(
    state: NodeState,
    now: float,
    route: Route,
    number: int,
    key: bytes,
) -> list[Effect]:
    """Free what a flow held, once, and use it for those waiting."""
    admissions = state.admissions
    is_first = admissions.closings.add(key, now)
    flow = admissions.flows.get(key)
    if flow is not None and flow.number == number:
        if flow.phase is not Phase.established or flow.load is None:
            return []
        flow.free()
        if flow.holds is Holding.slot:
            urgency = flow.route.template.urgency
            flow.owned.reserve.note_run(urgency, now - flow.sent_at)
        attempts.finish(state, now, flow)
        return attempts.place_waiting(state, now, flow.owned)
    load = admissions.loads.get((route.service.name, number))
    if load is None or not is_first:
        return []
    if route.template.holds is Holding.connection:
        load.free(Holding.connection)
    else:
        # A former owner's flow; its slot may still be in the last report.
        load.ended += 1
    return []

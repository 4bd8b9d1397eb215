"""Releases slots and connections of closed flows at their shard's owner."""

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


def receive_reset_without_number(
    state: NodeState,
    now: float,
    key: bytes,
    segment: Segment,
    datagram: bytes,
) -> list[Effect]:
    """Forward a caller's reset without timestamps if its flow is known.

    Kernels send such a reset in answer to a packet for a closed socket, for
    example a SYN-ACK that arrives after the caller has given up.
    """
    flow = state.admissions.flows.get(key)
    if flow is None or flow.load is None or flow.phase is Phase.over:
        state.counters.add('dropped', 'reset_without_number')
        return []
    endpoint = flow.owned.service.endpoints.get(flow.number)
    effects = record_close(
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


def record_close(
    state: NodeState,
    now: float,
    route: Route,
    number: int,
    segment: Segment,
    key: bytes,
    *,
    from_backend: bool,
) -> list[Effect]:
    """Process the close of a flow, reported by its caller or backend.

    Ignores late closes of earlier attempts. Otherwise releases the flow's
    slot or connection once and admits waiting flows.
    """
    flow = state.admissions.flows.get(key)
    if flow is not None and number in flow.tried_numbers:
        state.counters.add('unused_notice', 'late_close')
        return []
    if (
        flow is not None
        and number == flow.number
        and not flow.syn_ack_forwarded
    ):
        if from_backend and not flow.acknowledges_data(segment):
            state.counters.add('unused_notice', 'late_close')
            return []
        # Another node that acts as owner forwarded the SYN-ACK.
        attempts.establish(state, now, flow)
    return _release(state, now, route, number, key)


def _release(
    state: NodeState,
    now: float,
    route: Route,
    number: int,
    key: bytes,
) -> list[Effect]:
    """Release the flow's capacity once and admit waiting flows."""
    admissions = state.admissions
    is_first = admissions.recent_closes.add(key, now)
    flow = admissions.flows.get(key)
    if flow is not None and flow.number == number:
        if flow.phase is not Phase.established or flow.load is None:
            return []
        flow.release_capacity()
        if flow.holds is Holding.slot:
            urgency = flow.route.template.urgency
            flow.owned.reserve.record_run(urgency, now - flow.sent_at)
        attempts.finish(state, now, flow)
        return attempts.dispatch_waiting(state, now, flow.owned)
    load = admissions.loads.get((route.service.name, number))
    if load is None or not is_first:
        return []
    if route.template.holds is Holding.connection:
        load.free(Holding.connection)
    else:
        # A previous owner admitted the flow; the backend's last load report
        # may still count its slot.
        load.ended_since_poll += 1
    return []

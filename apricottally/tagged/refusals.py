"""Refusals of packets, and log events about the handling of flows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally.addresses import format_ip
from apricottally.effects import LogValue
from apricottally.tagged import coldstart, removedbackends
from apricottally.tagged.catalogentry import Entry
from apricottally.tagged.effects import Effect, Reset, WriteLog
from apricottally.tagged.packets import RST, FlowPacket
from apricottally.tagged.places import eligibility
from apricottally.tagged.records import Route

if TYPE_CHECKING:
    from apricottally.tagged.state import NodeState


# Reasons for which a route has backends, but none that it may use.
_EXCLUSIONS = frozenset(('evacuated', 'no_region'))


def refuse_unknown_backend(
    state: NodeState,
    packet: FlowPacket,
    now: float,
) -> list[Effect]:
    """Reset or drop a packet whose backend is in no record.

    A packet that is dropped will be retransmitted by the client.
    """
    treatment = removedbackends.treat_unknown(state, now)
    if not packet.tag or treatment is not removedbackends.Treatment.reset:
        state.counters.add('dropped', 'unknown_backend')
        return []
    return reset_flow(state, packet, 'backend_unknown', now)


def refuse_unrouted(
    state: NodeState,
    packet: FlowPacket,
    now: float,
) -> list[Effect]:
    """Refuse a packet without a route; drop it if records may be stale."""
    if not state.freshness.is_current(now):
        state.counters.add('dropped', 'no_route')
        return []
    return reset_flow(state, packet, 'no_route', now)


def refuse_overloaded(
    state: NodeState,
    packet: FlowPacket,
    route: Route,
    now: float,
) -> list[Effect]:
    """Refuse a new flow for which no backend could be selected.

    The acknowledgement number of a SYN counts its retransmissions. The flow
    of a retransmitted SYN may be open through another node, at a backend that
    was usable when the first SYN arrived there: it is dropped, not reset.
    """
    reason = explain_refusal(state, route, now)
    if packet.acknowledged and reason in _EXCLUSIONS:
        state.counters.add('dropped', reason)
        return []
    return reset_flow(state, packet, reason, now)


def explain_refusal(state: NodeState, route: Route, now: float) -> str:
    """Return the reason for which no backend could be selected."""
    exclusion = eligibility.explain_exclusion(state, route)
    if exclusion:
        return exclusion
    services = [target.service for target in route.targets]
    if not any(map(state.catalog.list_candidates, services)):
        return 'no_backend'
    if coldstart.are_all_limited(state, route, now):
        return 'cold'
    return 'full'


def reset_flow(
    state: NodeState,
    packet: FlowPacket,
    reason: str,
    now: float,
) -> list[Effect]:
    """Reset and log a packet's flow; packets with RST are ignored."""
    if packet.flags & RST:
        return []
    state.counters.add('refused', reason)
    flow = state.flows.by_key.get(packet.key)
    if flow is not None:
        state.flows.close(flow)
    fields: dict[str, LogValue] = {
        'flow': format_flow(packet),
        'reason': reason,
        'tag': packet.tag,
        'version': state.configuration_version,
        **state.freshness.describe(now),
    }
    return [Reset(packet), WriteLog('refused', fields)]


def build_selection_log(
    state: NodeState,
    event: str,
    packet: FlowPacket,
    entry: Entry,
    now: float,
) -> WriteLog:
    """Return the log event of a selection with the backend's load.

    Also adds the age of the records to the `choice_age` histogram.
    """
    backend = entry.backend
    state.durations.choice_age.add(now - state.freshness.confirmed_at)
    if backend is None:
        return WriteLog(event)
    return WriteLog(
        event,
        {
            'flow': format_flow(packet),
            'backend': backend.name,
            'service': backend.service,
            'busy': state.occupancy.count_busy(backend.tag),
            'own': state.occupancy.get_own_count(backend.tag).busy,
            'revision': entry.revision.number,
            'version': state.configuration_version,
            **state.freshness.describe(now),
        },
    )


def format_flow(packet: FlowPacket) -> str:
    """Return a flow's id in logs, as client IP:port>service IP:port."""
    client = f'{format_ip(packet.client)}:{packet.client_port}'
    return f'{client}>{format_ip(packet.address)}:{packet.port}'

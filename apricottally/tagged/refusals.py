"""Refusals of packets, and the log lines of decisions on flows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally.addresses import format_ip
from apricottally.effects import LogValue
from apricottally.tagged.catalog import Entry
from apricottally.tagged.effects import Effect, Reset, WriteLog
from apricottally.tagged.packets import RST, FlowPacket
from apricottally.tagged.records import Route

if TYPE_CHECKING:
    from apricottally.tagged.state import NodeState


# A registration that lapsed while its backend lives is back within 2 s.
GONE_AFTER_S = 2.5


def answer_unknown(
    state: NodeState,
    packet: FlowPacket,
    now: float,
) -> list[Effect]:
    """Handle a packet whose backend is in no record.

    A node that has just started, or whose records may be old, cannot tell
    that the backend is gone and leaves the packet to its retransmission.
    """
    settled = now - state.freshness.current_since >= GONE_AFTER_S
    if not packet.tag or not settled or not state.freshness.is_current(now):
        state.counters.add('dropped', 'unknown_backend')
        return []
    return reset(state, packet, 'backend_unknown', now)


def refuse_unrouted(
    state: NodeState,
    packet: FlowPacket,
    now: float,
) -> list[Effect]:
    """Refuse a packet without a route, unless the records may be old."""
    if not state.freshness.is_current(now):
        state.counters.add('dropped', 'no_route')
        return []
    return reset(state, packet, 'no_route', now)


def refuse_full(
    state: NodeState,
    packet: FlowPacket,
    route: Route,
    now: float,
) -> list[Effect]:
    """Refuse a new flow that no backend can take."""
    known = any(
        state.catalog.list_candidates(target.service)
        for target in route.targets
    )
    return reset(state, packet, 'full' if known else 'no_backend', now)


def reset(
    state: NodeState,
    packet: FlowPacket,
    reason: str,
    now: float,
) -> list[Effect]:
    """Reset a flow and log why; a reset is never answered."""
    if packet.flags & RST:
        return []
    state.counters.add('refused', reason)
    flow = state.flows.by_key.get(packet.key)
    if flow is not None:
        state.flows.close(flow)
    fields: dict[str, LogValue] = {
        'flow': describe(packet),
        'reason': reason,
        'tag': packet.tag,
        'version': state.configuration_version,
        'age_ms': state.freshness.age_ms(now),
    }
    return [Reset(packet), WriteLog('refused', fields)]


def is_surely_gone(state: NodeState, entry: Entry, now: float) -> bool:
    """Tell whether a removed backend cannot merely have lapsed."""
    removed_at = entry.removed_at
    if removed_at is None or now - removed_at < GONE_AFTER_S:
        return False
    return state.freshness.is_current(now)


def log_choice(
    state: NodeState,
    event: str,
    packet: FlowPacket,
    entry: Entry,
    now: float,
) -> WriteLog:
    """Return the log line of a choice, with what decided it."""
    backend = entry.backend
    state.durations.choice_age.add(now - state.freshness.confirmed_at)
    if backend is None:
        return WriteLog(event)
    return WriteLog(
        event,
        {
            'flow': describe(packet),
            'backend': backend.name,
            'service': backend.service,
            'busy': state.occupancy.busy(backend.tag),
            'own': state.occupancy.count_own(backend.tag).busy,
            'version': state.configuration_version,
            'age_ms': state.freshness.age_ms(now),
        },
    )


def describe(packet: FlowPacket) -> str:
    """Return the flow's id in logs: client, then the address it uses."""
    client = f'{format_ip(packet.client)}:{packet.client_port}'
    return f'{client}>{format_ip(packet.address)}:{packet.port}'

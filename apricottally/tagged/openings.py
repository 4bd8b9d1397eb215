"""Forwarding of the first SYN of a flow to the selected backend."""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally.tagged import refusals
from apricottally.tagged.catalogentry import Entry
from apricottally.tagged.effects import Effect, Forward, WriteLog
from apricottally.tagged.flows import Flow
from apricottally.tagged.hedging import hedgedsyns
from apricottally.tagged.packets import FlowPacket
from apricottally.tagged.records import Route

if TYPE_CHECKING:
    from apricottally.tagged.state import NodeState


def forward_syn(
    state: NodeState,
    packet: FlowPacket,
    route: Route,
    entry: Entry,
    now: float,
    waited_s: float | None = None,
) -> list[Effect]:
    """Forward a SYN to a backend and add its flow to the table.

    `waited_s` is how long the SYN has waited for the backend, None if it has
    not. The acknowledgement number of a SYN counts its retransmissions.
    """
    backend = entry.backend
    if backend is None:
        return []
    flow = Flow(
        packet.key,
        backend.tag,
        route,
        now,
        now,
        syn=packet,
        tried_tags=(backend.tag,),
        initial_sequence=packet.sequence,
        is_resent=packet.acknowledged > 0,
    )
    state.flows.insert(flow)
    hedgedsyns.track_opening(state, flow, backend.service, now)
    state.counters.add('chosen', route.name)
    log = refusals.build_selection_log(state, 'chosen', packet, entry, now)
    if waited_s is not None:
        waited = {'waited_ms': int(waited_s * 1000)}
        log = WriteLog(log.event, {**log.fields, **waited})
    return [Forward(backend, packet.raw, backend.tag), log]

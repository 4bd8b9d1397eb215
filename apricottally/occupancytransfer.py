"""Transfer of connection counts and slot flows to a shard's next owner."""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally import ownership, packet
from apricottally.flows import Flow, OwnedShard, Phase
from apricottally.model import Holding
from apricottally.occupancymessage import BackendCount, Occupancy, SlotFlow
from apricottally.routes import Route

if TYPE_CHECKING:
    from apricottally.state import NodeState


def import_occupancy(
    state: NodeState,
    now: float,
    occupancy: Occupancy,
) -> bool:
    """Import a former owner's counts; tell whether they were used.

    They replace the reports as the source of counts, and so end the takeover,
    in which a new owner admits flows by reports only.
    """
    service = state.routes.services.get(occupancy.service)
    shards = () if service is None else service.shards
    for shard in shards:
        if service is not None and shard.name == occupancy.shard:
            owned = ownership.ensure_shard(state, now, service, shard)
            if occupancy.part or not owned.counts_imported:
                _import_shard(state, now, owned, occupancy)
                return True
    state.counters.add('occupancy', 'unused')
    return False


def export_shard(
    state: NodeState,
    now: float,
    owned: OwnedShard,
) -> Occupancy:
    """Return the counts and slot flows that this node has for a shard.

    Flows whose SYN has not been answered are included, since the next owner
    will receive the SYN-ACK.
    """
    flows = []
    for flow in state.admissions.flows.values():
        is_held = flow.phase in {Phase.sent, Phase.established}
        if flow.owned is owned and is_held and flow.holds is Holding.slot:
            run_ms = flow.route.template.max_run_ms
            left_ms = run_ms - round((now - flow.sent_at) * 1000)
            flows.append(SlotFlow(flow.syn, flow.number, max(left_ms, 0)))
    counts = tuple(
        BackendCount(load.backend.number, load.open) for load in owned.active
    )
    name = owned.shard.name
    return Occupancy(owned.service.name, name, counts, tuple(flows))


def drop_shard(state: NodeState, owned: OwnedShard) -> None:
    """Drop the flows and connection counts of a shard after its export."""
    ownership.drop_flows(state, owned)
    for load in owned.active:
        load.open = 0


def _import_shard(
    state: NodeState,
    now: float,
    owned: OwnedShard,
    occupancy: Occupancy,
) -> None:
    state.counters.add('occupancy', 'imported')
    if not occupancy.part:
        _import_counts(state, owned, occupancy)
    for slot_flow in occupancy.flows:
        _import_flow(state, now, owned, slot_flow)


def _import_counts(
    state: NodeState,
    owned: OwnedShard,
    occupancy: Occupancy,
) -> None:
    # Counts adopted from reports already include the former owner's flows.
    counts = () if owned.takeover_done else occupancy.counts
    owned.counts_imported = True
    owned.takeover_done = True
    for count in counts:
        name = occupancy.service, count.number
        load = state.admissions.loads.get(name)
        if load is not None:
            load.open += count.open


def _import_flow(
    state: NodeState,
    now: float,
    owned: OwnedShard,
    slot_flow: SlotFlow,
) -> None:
    """Create the flow and hold its slot until it closes or times out.

    The former owner may have forwarded the SYN-ACK, so the flow is never
    refused.
    """
    admissions = state.admissions
    segment = packet.parse(slot_flow.syn, 0)
    key = packet.read_caller_key(slot_flow.syn, 0)
    load = admissions.loads.get((owned.service.name, slot_flow.number))
    route = state.routes.find(segment.dst_ip, segment.dst_port)
    if load is None or route is None or key in admissions.flows:
        return
    if not admissions.recent_closes.add(key, now):
        # The flow has ended: its end reached this node before this import.
        return
    admissions.recent_closes.discard(key)
    flow = _build_flow(now, owned, route, slot_flow)
    flow.acquire_capacity(load)
    admissions.flows[key] = flow
    admissions.timers.set(flow, now + slot_flow.left_ms / 1000)


def _build_flow(
    now: float,
    owned: OwnedShard,
    route: Route,
    slot_flow: SlotFlow,
) -> Flow:
    run_s = (route.template.max_run_ms - slot_flow.left_ms) / 1000
    return Flow(
        key=packet.read_caller_key(slot_flow.syn, 0),
        route=route,
        owned=owned,
        syn=slot_flow.syn,
        segment=packet.parse(slot_flow.syn, 0),
        deadline=now,
        phase=Phase.established,
        sent_at=now - run_s,
        syn_ack_forwarded=True,
    )

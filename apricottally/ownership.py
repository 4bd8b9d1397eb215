"""Shards of backends for which this node admits flows.

A takeover is the time after this node has become the owner of a shard, while it
still lacks exact counts of the slots and connections in use.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally import backendselection, outliers, slowstart
from apricottally.backendselection import BackendLoad
from apricottally.effects import Effect, PollLoad
from apricottally.fairqueue import FairQueue
from apricottally.flows import Flow, OwnedShard, Phase
from apricottally.model import Backend, Holding
from apricottally.routes import Service
from apricottally.shards import Shard

if TYPE_CHECKING:
    from apricottally.state import NodeState

# Maximum length of each queue of SYNs of a shard; a shard has one queue for
# flows that use a slot and one for flows that use a connection.
MAX_QUEUED_SYNS = 512
# A full-size system has nine backends per node; a poll takes about 700 bytes in
# both directions together.
POLL_INTERVAL_S = 3.0
# Limited because each check hashes all nodes of a zone.
OWNERSHIP_CHECKS_PER_TICK = 50
# During a takeover load reports are the only data to admit by, so the owner
# polls more often.
TAKEOVER_POLL_INTERVAL_S = 0.5
# Time since the last SYN after which the state of a shard that another node
# owns is removed.
IDLE_SHARD_RETENTION_S = 10.0
# A longer gap between ticks means that this process was paused. The threshold
# is shorter than the time after which other nodes suspect a node.
PAUSE_THRESHOLD_S = 1.0
_PHASES_WITH_CAPACITY = frozenset((Phase.sent, Phase.established))


def ensure_shard(
    state: NodeState,
    now: float,
    service: Service,
    shard: Shard,
) -> OwnedShard:
    """Return the shard's current state, creating it if necessary.

    A node that receives a SYN acts as owner, even if another node owns the
    shard.
    """
    owned = state.admissions.shards.get(shard.name)
    if owned is None:
        owned = _create_shard(state, now, service, shard)
    _update_shard(state, now, owned, service, shard)
    owned.last_used_at = now
    return owned


def refresh_shards(state: NodeState, now: float, wall_s: float) -> None:
    """Update the owned shards and their weights."""
    admissions = state.admissions
    admissions.wall_offset = wall_s - now
    services = state.routes.services
    if (
        services is not admissions.services
        or state.members.version != admissions.members_version
    ):
        admissions.services = services
        admissions.members_version = state.members.version
        admissions.slow_start_services = slowstart.list_slow_starting(
            services.values(), int(wall_s)
        )
        admissions.last_reweigh_s = 0
        _update_owned_shards(state, now)
    _check_ownership(state, now)
    second = int(wall_s)
    if admissions.slow_start_services and second != admissions.last_reweigh_s:
        admissions.last_reweigh_s = second
        slowstart.update_weights(admissions.slow_start_services, second)
        admissions.slow_start_services = slowstart.list_slow_starting(
            admissions.slow_start_services, second
        )


def reset_after_pause(state: NodeState, now: float) -> None:
    """Discard flows and restart takeovers if this process was paused.

    During the pause other nodes owned this node's shards. They may have opened
    flows that are still queued here, and they received the ends of flows.
    """
    admissions = state.admissions
    last_tick_at = admissions.last_tick_at
    if last_tick_at is None or now - last_tick_at <= PAUSE_THRESHOLD_S:
        return
    admissions.last_tick_at = now
    state.counters.add('fenced', 'paused')
    for owned in admissions.shards.values():
        drop_flows(state, owned)
        _restart_takeover(state, now, owned)


def drop_flows(state: NodeState, owned: OwnedShard) -> None:
    """Drop the flows of a shard and release their slots and connections."""
    owned.retrying.clear()
    for holds in Holding:
        owned.queues[holds] = FairQueue(MAX_QUEUED_SYNS)
    for flow in _list_flows(state, owned):
        if flow.phase in _PHASES_WITH_CAPACITY and flow.load is not None:
            flow.release_capacity()
        if flow.phase is not Phase.over:
            _drop_flow(state, flow)


def poll_loads(state: NodeState, now: float) -> list[Effect]:
    """Poll the load of the backends in owned shards when it is due."""
    admissions = state.admissions
    if now < admissions.next_poll:
        return []
    shards = list(admissions.shards.values())
    takeover = any(owned.is_takeover(now) for owned in shards)
    interval = TAKEOVER_POLL_INTERVAL_S if takeover else POLL_INTERVAL_S
    admissions.next_poll = now + interval
    loads = [load for owned in shards for load in owned.loads]
    if not loads:
        return []
    for load in loads:
        load.reset_poll_counts()
    return [PollLoad(tuple(load.backend.ip for load in loads))]


def maintain_shards(state: NodeState, now: float) -> None:
    """End takeovers, and remove idle shards that other nodes own."""
    for owned in list(state.admissions.shards.values()):
        outliers.update_active(state, owned, now)
        if not owned.takeover_done and not owned.is_takeover(now):
            owned.takeover_done = True
            if not owned.counts_imported:
                backendselection.adopt_reported_connections(owned.active, now)
        waiting = [*owned.retrying, *filter(len, owned.queues.values())]
        is_idle = (
            now - owned.last_used_at > IDLE_SHARD_RETENTION_S and not waiting
        )
        if is_idle and not owned.is_owner:
            _remove_shard(state, owned)


def _update_owned_shards(state: NodeState, now: float) -> None:
    """Update known shards, and queue all shards for an ownership check."""
    admissions = state.admissions
    current = {
        shard.name: (service, shard)
        for service in state.routes.services.values()
        for shard in service.shards
    }
    for name, owned in admissions.shards.items():
        found = current.get(name)
        if found is None:
            owned.loads = []
            owned.active = []
            owned.is_owner = False
        else:
            _update_shard(state, now, owned, *found)
    admissions.unchecked_shards = list(current.values())


def _check_ownership(state: NodeState, now: float) -> None:
    """Check some shards per tick; all at once would delay packets."""
    admissions = state.admissions
    for _ in range(
        min(len(admissions.unchecked_shards), OWNERSHIP_CHECKS_PER_TICK)
    ):
        service, shard = admissions.unchecked_shards.pop()
        owned = admissions.shards.get(shard.name)
        is_owner = state.owners.owns_shard(shard.name, shard.zone)
        if owned is not None and is_owner and not owned.is_owner:
            _restart_takeover(state, now, owned)
        if owned is None and is_owner:
            owned = _create_shard(state, now, service, shard)
        if owned is not None:
            owned.is_owner = is_owner
            owned.was_owner |= is_owner


def _create_shard(
    state: NodeState,
    now: float,
    service: Service,
    shard: Shard,
) -> OwnedShard:
    owned = OwnedShard(shard, service, now)
    owned.is_owner = state.owners.owns_shard(shard.name, shard.zone)
    owned.was_owner = owned.is_owner
    for holds in Holding:
        owned.queues[holds] = FairQueue(MAX_QUEUED_SYNS)
    state.admissions.shards[shard.name] = owned
    # A new owner needs the first load report before it can admit flows.
    state.admissions.next_poll = now
    _update_backends(state, now, owned, is_new=True)
    return owned


def _update_shard(
    state: NodeState,
    now: float,
    owned: OwnedShard,
    service: Service,
    shard: Shard,
) -> None:
    if owned.shard is shard:
        return
    owned.shard = shard
    owned.service = service
    _update_backends(state, now, owned, is_new=False)


def _restart_takeover(
    state: NodeState,
    now: float,
    owned: OwnedShard,
) -> None:
    """Restart the takeover after another node has owned the shard.

    The ends of flows went to that node, so established flows known here may
    be over.
    """
    owned.owned_since = now
    owned.counts_imported = False
    owned.takeover_done = False
    state.admissions.next_poll = now
    for flow in _list_flows(state, owned):
        if flow.phase is Phase.established:
            flow.release_capacity()
            _drop_flow(state, flow)


def _update_backends(
    state: NodeState,
    now: float,
    owned: OwnedShard,
    *,
    is_new: bool,
) -> None:
    """Update the backends of a shard from the records."""
    owned.loads = [
        _find_or_create_load(
            state,
            now,
            owned,
            owned.service.backends[number],
            is_new=is_new,
        )
        for number in owned.shard.numbers
    ]
    outliers.update_active(state, owned, now)


def _find_or_create_load(
    state: NodeState,
    now: float,
    owned: OwnedShard,
    backend: Backend,
    *,
    is_new: bool,
) -> BackendLoad:
    admissions = state.admissions
    name = owned.service.name, backend.number
    known = admissions.loads.get(name)
    if known is not None and known.backend.ip == backend.ip:
        known.update(backend)
        return known
    known_since = now
    if is_new:
        # This node may have been unaware of the backend when it started, so
        # its age is taken from the record.
        known_since -= _compute_age(state, now, backend)
    load = BackendLoad(backend, known_since)
    admissions.loads[name] = load
    admissions.by_ip[backend.ip] = name
    return load


def _compute_age(state: NodeState, now: float, backend: Backend) -> float:
    offset = state.admissions.wall_offset
    if offset is None:
        return slowstart.FULL_AGE_S
    return slowstart.compute_age(backend, now + offset)


def _remove_shard(state: NodeState, owned: OwnedShard) -> None:
    """Remove a shard and its counts; its owner has newer counts."""
    admissions = state.admissions
    admissions.shards.pop(owned.shard.name)
    for load in owned.loads:
        admissions.loads.pop((owned.service.name, load.backend.number), None)
        admissions.by_ip.pop(load.backend.ip, None)
    for flow in _list_flows(state, owned):
        _drop_flow(state, flow)


def _list_flows(state: NodeState, owned: OwnedShard) -> list[Flow]:
    flows = state.admissions.flows.values()
    return [flow for flow in flows if flow.owned is owned]


def _drop_flow(state: NodeState, flow: Flow) -> None:
    flow.phase = Phase.over
    flow.timer_seq = 0
    if state.admissions.flows.get(flow.key) is flow:
        state.admissions.flows.pop(flow.key)

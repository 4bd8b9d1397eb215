"""Which shards this node admits for, and the backends in them."""

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

# SYNs that wait at one owner for one shard, at most.
QUEUE_LIMIT = 512
# Nine backends a node at full size; a poll takes about 700 bytes both ways.
POLL_INTERVAL_S = 3.0
# Shards checked for ownership at one tick. A check hashes all nodes of a zone.
CHECKED_PER_TICK = 50
# A new owner admits by reports alone, so it asks more often.
TAKEOVER_POLL_S = 0.5
# Time after the last SYN for which a shard that another node owns is kept.
KEPT_S = 10.0
# A gap between ticks that shows that this process did not run. It is shorter
# than the time after which other nodes suspect a node.
PAUSE_S = 1.0
_HELD = frozenset((Phase.sent, Phase.established))


def find(
    state: NodeState,
    now: float,
    service: Service,
    shard: Shard,
) -> OwnedShard:
    """Return the shard's state, made up to date; there is always one.

    Whoever gets a SYN acts as owner, even if another node owns the shard.
    """
    owned = state.admissions.shards.get(shard.name)
    if owned is None:
        owned = _build(state, now, service, shard)
    _update(state, now, owned, service, shard)
    owned.last_used_at = now
    return owned


def refresh(state: NodeState, now: float, wall_s: float) -> None:
    """Bring the owned shards and their weights up to date."""
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
        _update_held(state, now)
    _check_shards(state, now)
    second = int(wall_s)
    if admissions.slow_start_services and second != admissions.last_reweigh_s:
        admissions.last_reweigh_s = second
        slowstart.update_weights(admissions.slow_start_services, second)
        admissions.slow_start_services = slowstart.list_slow_starting(
            admissions.slow_start_services, second
        )


def fence(state: NodeState, now: float) -> None:
    """Start anew after a time in which this process did not run.

    Other nodes have owned its shards meanwhile: they may have opened the
    flows that wait here, and ends of flows went to them.
    """
    admissions = state.admissions
    last_tick_at = admissions.last_tick_at
    if last_tick_at is None or now - last_tick_at <= PAUSE_S:
        return
    admissions.last_tick_at = now
    state.counters.add('fenced', 'paused')
    for owned in admissions.shards.values():
        drop_flows(state, owned)
        _take_over_again(state, now, owned)


def drop_flows(state: NodeState, owned: OwnedShard) -> None:
    """Forget the flows of a shard and free what they hold."""
    owned.retrying.clear()
    for holds in Holding:
        owned.queues[holds] = FairQueue(QUEUE_LIMIT)
    for flow in _list_flows(state, owned):
        if flow.phase in _HELD and flow.load is not None:
            flow.release_capacity()
        if flow.phase is not Phase.over:
            _drop(state, flow)


def poll(state: NodeState, now: float) -> list[Effect]:
    """Ask the owned backends for their load when it is time."""
    admissions = state.admissions
    if now < admissions.next_poll:
        return []
    shards = list(admissions.shards.values())
    takeover = any(owned.is_takeover(now) for owned in shards)
    interval = TAKEOVER_POLL_S if takeover else POLL_INTERVAL_S
    admissions.next_poll = now + interval
    loads = [load for owned in shards for load in owned.loads]
    if not loads:
        return []
    for load in loads:
        load.reset_poll_counts()
    return [PollLoad(tuple(load.backend.ip for load in loads))]


def settle(state: NodeState, now: float) -> None:
    """End takeovers, and forget shards that this node does not own."""
    for owned in list(state.admissions.shards.values()):
        outliers.update_active(state, owned, now)
        if not owned.takeover_done and not owned.is_takeover(now):
            owned.takeover_done = True
            if not owned.counts_imported:
                backendselection.adopt_reported_connections(owned.active, now)
        waiting = [*owned.retrying, *filter(len, owned.queues.values())]
        is_idle = now - owned.last_used_at > KEPT_S and not waiting
        if is_idle and not owned.is_owner:
            _forget(state, owned)


def _update_held(state: NodeState, now: float) -> None:
    """Bring held shards up to date, and list those to check for ownership."""
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
            _update(state, now, owned, *found)
    admissions.unchecked_shards = list(current.values())


def _check_shards(state: NodeState, now: float) -> None:
    """Check some shards; all of a region at once would hold packets up."""
    admissions = state.admissions
    for _ in range(min(len(admissions.unchecked_shards), CHECKED_PER_TICK)):
        service, shard = admissions.unchecked_shards.pop()
        owned = admissions.shards.get(shard.name)
        is_owner = state.owners.owns(shard.name, shard.zone)
        if owned is not None and is_owner and not owned.is_owner:
            _take_over_again(state, now, owned)
        if owned is None and is_owner:
            owned = _build(state, now, service, shard)
        if owned is not None:
            owned.is_owner = is_owner
            owned.was_owner |= is_owner


def _build(
    state: NodeState,
    now: float,
    service: Service,
    shard: Shard,
) -> OwnedShard:
    owned = OwnedShard(shard, service, now)
    owned.is_owner = state.owners.owns(shard.name, shard.zone)
    owned.was_owner = owned.is_owner
    for holds in Holding:
        owned.queues[holds] = FairQueue(QUEUE_LIMIT)
    state.admissions.shards[shard.name] = owned
    # The first report decides what a new owner may admit.
    state.admissions.next_poll = now
    _take_backends(state, now, owned, is_new=True)
    return owned


def _update(
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
    _take_backends(state, now, owned, is_new=False)


def _take_over_again(
    state: NodeState,
    now: float,
    owned: OwnedShard,
) -> None:
    """Start anew after another node owned the shard for a time.

    Ends of flows went to that node, so the flows known here may be over.
    """
    owned.owned_since = now
    owned.counts_imported = False
    owned.takeover_done = False
    state.admissions.next_poll = now
    for flow in _list_flows(state, owned):
        if flow.phase is Phase.established:
            flow.release_capacity()
            _drop(state, flow)


def _take_backends(
    state: NodeState,
    now: float,
    owned: OwnedShard,
    *,
    is_new: bool,
) -> None:
    """Bring the backends of a shard up to date with the records."""
    owned.loads = [
        _find_load(
            state,
            now,
            owned,
            owned.service.backends[number],
            is_new=is_new,
        )
        for number in owned.shard.numbers
    ]
    outliers.update_active(state, owned, now)


def _find_load(
    state: NodeState,
    now: float,
    owned: OwnedShard,
    backend: Backend,
    *,
    is_new: bool,
) -> BackendLoad:
    admissions = state.admissions
    name = owned.service.name, backend.number
    held = admissions.loads.get(name)
    if held is not None and held.backend.ip == backend.ip:
        held.update(backend)
        return held
    known_since = now
    if is_new:
        # This node may not have seen when the number came up, so the age
        # comes from the record.
        known_since -= _find_age(state, now, backend)
    load = BackendLoad(backend, known_since)
    admissions.loads[name] = load
    admissions.by_ip[backend.ip] = name
    return load


def _find_age(state: NodeState, now: float, backend: Backend) -> float:
    offset = state.admissions.wall_offset
    if offset is None:
        return slowstart.FULL_AGE_S
    return slowstart.compute_age(backend, now + offset)


def _forget(state: NodeState, owned: OwnedShard) -> None:
    """Drop a shard with its counts: another owner has newer ones."""
    admissions = state.admissions
    admissions.shards.pop(owned.shard.name)
    for load in owned.loads:
        admissions.loads.pop((owned.service.name, load.backend.number), None)
        admissions.by_ip.pop(load.backend.ip, None)
    for flow in _list_flows(state, owned):
        _drop(state, flow)


def _list_flows(state: NodeState, owned: OwnedShard) -> list[Flow]:
    flows = state.admissions.flows.values()
    return [flow for flow in flows if flow.owned is owned]


def _drop(state: NodeState, flow: Flow) -> None:
    flow.phase = Phase.over
    flow.timer_seq = 0
    if state.admissions.flows.get(flow.key) is flow:
        state.admissions.flows.pop(flow.key)

"""Dissemination of the platform's records to every node.

Some nodes watch the platform and receive records from it. Each node relays
a record once, when it first receives it; records lost on the way are
recovered by comparing digests (see `repair`).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from apricottally import messages, model, numbering, peers, watcherrole
from apricottally.addresses import Endpoint
from apricottally.effects import Effect, SendPeer, WriteLog
from apricottally.errors import ModelError
from apricottally.events import Record, RecordsReceived, Ticked
from apricottally.messages import Entry, Item, Message, Offer, Push
from apricottally.tokenbucket import TokenBucket

if TYPE_CHECKING:
    from apricottally.state import NodeState

SAME_ZONE_PEERS = 3
OTHER_ZONE_PEERS = 1
RELAY_BYTES_PER_S = 1200
# Enough to relay the backends of a lost rack. Records of larger changes that
# exceed the budget are obtained by comparing digests.
RELAY_BURST_BYTES = 64_000
# The platform's revisions are signed 64-bit integers.
MAX_VERSION = (1 << 63) - 1


@dataclass(slots=True)
class DisseminationState:
    """Budget for relaying records, and whether to rebuild the routes.

    `balancer_ips` are the IPs of live balancers on the VM list, by record key.
    """

    routes_are_stale: bool = False
    balancer_ips: dict[str, str] = field(default_factory=dict)
    budget: TokenBucket = field(
        default_factory=lambda: TokenBucket(
            RELAY_BYTES_PER_S, RELAY_BURST_BYTES
        ),
    )


def is_ready(state: NodeState) -> bool:
    """Tell whether the node has ever had a complete configuration.

    The source is the platform, or a peer that had a complete configuration.
    """
    return state.protocols.repair.ready


def tick(state: NodeState, event: Ticked) -> list[Effect]:
    """Rebuild outdated routes once per tick, and run the platform watch."""
    _rebuild_routes(state)
    return watcherrole.tick(state, event.now)


def receive_records(
    state: NodeState,
    event: RecordsReceived,
) -> list[Effect]:
    """Apply records from the platform."""
    if watcherrole.is_older_list(state, event):
        return watcherrole.refuse_older_list(state, event)
    watcherrole.update_progress(state, event)
    numbering.record_stored_versions(state, event)
    records = _add_deletions(state, event)
    effects = merge_records(state, event.now, records)
    if event.complete:
        state.protocols.repair.ready = True
        numbering.handle_complete_list(state)
    _rebuild_routes(state)
    return effects


def receive_push(
    state: NodeState,
    now: float,
    source: Endpoint,
    message: Push,
) -> list[Effect]:
    """Apply records from a peer."""
    records = tuple(
        Record(part.key, part.version, part.value) for part in message.items
    )
    return merge_records(state, now, records)


def merge_records(
    state: NodeState,
    now: float,
    records: tuple[Record, ...],
) -> list[Effect]:
    """Apply records from any source and relay those that are new."""
    effects: list[Effect] = []
    applied = []
    for record in records:
        try:
            is_new = _apply(state, record)
        except ModelError as error:
            effects.append(_reject(state, record, error))
            continue
        if is_new:
            applied.append(record)
            _store_balancer_ip(state, record)
            numbering.handle_record(state, record)
    if any(_affects_routes(record) for record in applied):
        state.protocols.dissemination.routes_are_stale = True
    return effects + _relay(state, now, applied)


def pack_records(records: list[Record]) -> list[Message]:
    """Return messages: pushes of small records, offers of large ones."""
    packed: list[Message] = []
    items: list[Item] = []
    free_bytes = messages.MAX_CONTENT_BYTES
    for record in records:
        size = len(record.value or b'')
        if size > messages.MAX_INLINE_BYTES:
            packed.append(Offer(Entry(record.key, record.version, size)))
            continue
        part = Item(record.key, record.version, record.value)
        needed = messages.compute_size(part)
        if needed > free_bytes:
            packed.append(Push(tuple(items)))
            items = []
            free_bytes = messages.MAX_CONTENT_BYTES
        items.append(part)
        free_bytes -= needed
    if items:
        packed.append(Push(tuple(items)))
    return packed


def _apply(state: NodeState, record: Record) -> bool:
    """Apply one record and check that its version never decreases."""
    _validate_bounds(record)
    before = state.records.version_of(record.key)
    applied = state.records.apply(record)
    after = state.records.version_of(record.key)
    state.invariants.check(
        'record_version_monotone',
        holds=after > before if applied else after == before,
        detail=(record.key, before, after),
    )
    return applied


def _validate_bounds(record: Record) -> None:
    """Raise `ModelError` if the value, key or version is out of bounds.

    The store does not check these bounds.
    """
    if len(record.value or b'') > model.MAX_VALUE_BYTES:
        raise ModelError('value', f'more than {model.MAX_VALUE_BYTES} bytes')
    if len(record.key.encode()) > messages.MAX_KEY_BYTES:
        raise ModelError('key', f'more than {messages.MAX_KEY_BYTES} bytes')
    if not 0 < record.version <= MAX_VERSION:
        raise ModelError('version', f'must be 1 to {MAX_VERSION}')


def _reject(state: NodeState, record: Record, error: ModelError) -> WriteLog:
    kinds = [
        prefix for prefix in model.KEY_PREFIXES if record.key.startswith(prefix)
    ]
    # Labelling the counter with the key would create unboundedly many labels.
    kind = kinds[0].strip('/').rpartition('/')[2] if kinds else 'other'
    state.counters.add('record_refused', kind)
    return WriteLog(
        'record_refused',
        {'key': record.key, 'version': record.version, 'problem': str(error)},
    )


def _store_balancer_ip(state: NodeState, record: Record) -> None:
    """Store the IP of a live balancer: membership uses it as a seed."""
    if _affects_routes(record):
        return
    balancer_ips = state.protocols.dissemination.balancer_ips
    balancer_ips.pop(record.key, None)
    if record.value is None:
        return
    machine = model.decode_json(record.value, model.Machine)
    if not machine.service and machine.state is model.MachineState.live:
        balancer_ips[record.key] = machine.ip


def _affects_routes(record: Record) -> bool:
    return not record.key.startswith(model.MACHINE_PREFIX)


def _rebuild_routes(state: NodeState) -> None:
    if state.protocols.dissemination.routes_are_stale:
        state.protocols.dissemination.routes_are_stale = False
        state.routes.rebuild(state.records)


def _relay(
    state: NodeState,
    now: float,
    applied: list[Record],
) -> list[Effect]:
    """Send new records to random peers, within the byte budget."""
    lists = state.protocols.swim.peers
    lists.refresh(state.members)
    effects: list[Effect] = []
    for message in pack_records(applied):
        payload = messages.encode(message)
        chosen = peers.choose_random(
            state.rng, lists.same_zone, SAME_ZONE_PEERS
        )
        chosen += peers.choose_random(
            state.rng, lists.other_zones, OTHER_ZONE_PEERS
        )
        cost = len(payload) * len(chosen)
        if not state.protocols.dissemination.budget.take(now, cost):
            state.counters.add('relay', 'over_budget')
            break
        effects += [SendPeer(member.peer, payload) for member in chosen]
    return effects


def _add_deletions(
    state: NodeState,
    event: RecordsReceived,
) -> tuple[Record, ...]:
    """Return the records, and a deletion for each key not in a complete list.

    The store ignores a deletion that is older than the stored record, so a
    list from a lagging platform does not delete newer records.
    """
    if not event.complete:
        return event.records
    missing = state.records.list_missing(record.key for record in event.records)
    deletions = tuple(Record(key, event.revision, None) for key in missing)
    return event.records + deletions

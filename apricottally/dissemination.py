"""Spread of records from the platform to every node.

Watchers get records from the platform. Each node passes a record that is
new to it on once; what gets lost on the way is repaired by digests.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from apricottally import messages, model, numbering, peers, watch
from apricottally.addresses import Endpoint
from apricottally.effects import Effect, SendPeer, WriteLog
from apricottally.errors import ModelError
from apricottally.events import Record, RecordsReceived, Ticked
from apricottally.messages import Entry, Item, Message, Offer, Push
from apricottally.tokenbucket import TokenBucket

if TYPE_CHECKING:
    from apricottally.state import NodeState

ZONE_PEERS = 3
OTHER_ZONE_PEERS = 1
RELAY_BYTES_PER_S = 1200
# Room for the backends of a lost rack; a longer list spreads by digests.
RELAY_BURST_BYTES = 64_000
# The platform's revisions are signed 64-bit numbers.
MAX_VERSION = (1 << 63) - 1


@dataclass(slots=True)
class Spread:
    """What this node may pass on, and whether routes have to be rebuilt.

    `balancers` are the addresses of balancers on the VM list, by VM name.
    """

    stale_routes: bool = False
    balancers: dict[str, str] = field(default_factory=dict)
    budget: TokenBucket = field(
        default_factory=lambda: TokenBucket(
            RELAY_BYTES_PER_S, RELAY_BURST_BYTES
        ),
    )


def is_ready(state: NodeState) -> bool:
    """Tell whether the node once had a complete configuration.

    It came from the platform, or from a neighbour that had one.
    """
    return state.control.repair.ready


def tick(state: NodeState, event: Ticked) -> list[Effect]:
    """Rebuild the routes at most once a tick, and watch the platform."""
    _rebuild_routes(state)
    return watch.tick(state, event.now)


def receive_records(
    state: NodeState,
    event: RecordsReceived,
) -> list[Effect]:
    """Apply records from the platform."""
    watch.note_records(state, event)
    records = _complete_list(state, event)
    effects = take_records(state, event.now, records)
    if event.complete:
        state.control.repair.ready = True
        numbering.note_list(state)
    _rebuild_routes(state)
    return effects


def receive_push(
    state: NodeState,
    now: float,
    source: Endpoint,
    message: Push,
) -> list[Effect]:
    """Apply records from a neighbour."""
    records = tuple(
        Record(part.key, part.version, part.value) for part in message.items
    )
    return take_records(state, now, records)


def take_records(
    state: NodeState,
    now: float,
    records: tuple[Record, ...],
) -> list[Effect]:
    """Apply records from any source and pass the new ones on."""
    effects: list[Effect] = []
    taken = []
    for record in records:
        try:
            is_new = _apply(state, record)
        except ModelError as error:
            effects.append(_refuse(state, record, error))
            continue
        if is_new:
            taken.append(record)
            _note_balancer(state, record)
            numbering.note_record(state, record)
    if any(_is_routed(record) for record in taken):
        state.control.spread.stale_routes = True
    return effects + _relay(state, now, taken)


def pack(records: list[Record]) -> list[Message]:
    """Return messages with the small records and offers of large ones."""
    packed: list[Message] = []
    items: list[Item] = []
    room = messages.ROOM_BYTES
    for record in records:
        size = len(record.value or b'')
        if size > messages.INLINE_BYTES:
            packed.append(Offer(Entry(record.key, record.version, size)))
            continue
        part = Item(record.key, record.version, record.value)
        needed = messages.measure(part)
        if needed > room:
            packed.append(Push(tuple(items)))
            items = []
            room = messages.ROOM_BYTES
        items.append(part)
        room -= needed
    if items:
        packed.append(Push(tuple(items)))
    return packed


def _apply(state: NodeState, record: Record) -> bool:
    """Apply one record and assert that no version ever goes back."""
    _check_bounds(record)
    before = state.records.version_of(record.key)
    taken = state.records.apply(record)
    after = state.records.version_of(record.key)
    state.invariants.check(
        'record_version_monotone',
        holds=after > before if taken else after == before,
        detail=(record.key, before, after),
    )
    return taken


def _check_bounds(record: Record) -> None:
    """Raise `ModelError` for what no value check of the store covers."""
    if len(record.value or b'') > model.MAX_VALUE_BYTES:
        raise ModelError('value', f'more than {model.MAX_VALUE_BYTES} bytes')
    if len(record.key.encode()) > messages.MAX_KEY_BYTES:
        raise ModelError('key', f'more than {messages.MAX_KEY_BYTES} bytes')
    if not 0 < record.version <= MAX_VERSION:
        raise ModelError('version', f'must be 1 to {MAX_VERSION}')


def _refuse(state: NodeState, record: Record, error: ModelError) -> WriteLog:
    kinds = [
        prefix for prefix in model.PREFIXES if record.key.startswith(prefix)
    ]
    # A label of the key's own text would let it grow without bound.
    kind = kinds[0].strip('/').rpartition('/')[2] if kinds else 'other'
    state.counters.add('record_refused', kind)
    return WriteLog(
        'record_refused',
        {'key': record.key, 'version': record.version, 'problem': str(error)},
    )


def _note_balancer(state: NodeState, record: Record) -> None:
    """Keep the address of a balancer; others may be joined through it."""
    if _is_routed(record):
        return
    balancers = state.control.spread.balancers
    balancers.pop(record.key, None)
    if record.value is None:
        return
    machine = model.decode_json(record.value, model.Machine)
    if not machine.service and machine.state is model.MachineState.live:
        balancers[record.key] = machine.ip


def _is_routed(record: Record) -> bool:
    return not record.key.startswith(model.MACHINE_PREFIX)


def _rebuild_routes(state: NodeState) -> None:
    if state.control.spread.stale_routes:
        state.control.spread.stale_routes = False
        state.routes.rebuild(state.records)


def _relay(
    state: NodeState,
    now: float,
    taken: list[Record],
) -> list[Effect]:
    """Send new records to random peers, as far as the budget goes."""
    known = state.control.swim.peers
    known.refresh(state.members)
    effects: list[Effect] = []
    for message in pack(taken):
        payload = messages.encode(message)
        chosen = peers.choose(state.rng, known.same_zone, ZONE_PEERS)
        chosen += peers.choose(state.rng, known.other_zones, OTHER_ZONE_PEERS)
        cost = len(payload) * len(chosen)
        if not state.control.spread.budget.take(now, cost):
            state.counters.add('relay', 'over_budget')
            break
        effects += [SendPeer(member.peer, payload) for member in chosen]
    return effects


def _complete_list(
    state: NodeState,
    event: RecordsReceived,
) -> tuple[Record, ...]:
    """Add deletions for keys that a complete list no longer has.

    A record that is newer than the list, which then comes from a platform
    that lags behind, is not deleted: the store compares the versions.
    """
    if not event.complete:
        return event.records
    missing = state.records.list_missing(record.key for record in event.records)
    deletions = tuple(Record(key, event.revision, None) for key in missing)
    return event.records + deletions

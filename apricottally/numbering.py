"""Backend numbers, written by the watchers when the VM list changes.

A write is a compare-and-swap on the version that the plan was made from, so
a watcher that was paused, or is second, loses. After any outcome the watch,
or a new complete list, shows what is stored before the next write.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from apricottally import model, numberplan, shards, watch
from apricottally.effects import Effect, SwapRecord, WriteLog
from apricottally.events import Record, SwapCompleted, Ticked
from apricottally.model import BackendSet, Document, Machine

if TYPE_CHECKING:
    from apricottally.state import NodeState

# How long the next watcher in rendezvous order leaves a change to the first.
RANK_DELAY_S = 2.0
# A swap without an answer for so long has an unknown outcome.
SWAP_TIMEOUT_S = 10.0
# How long the watch may take to show the outcome before a new list is asked.
SHOW_TIMEOUT_S = 5.0
# How often a service without a free number is looked at again.
FULL_PERIOD_S = 60.0


@dataclass(slots=True)
class Swap:
    """A write whose outcome the watch has not shown yet.

    `version` is what it was based on. `ended` is when an answer came;
    `outcome` is empty until then. `shown` says that a newer version came,
    `relisted` that a complete list was asked for.
    """

    op_id: str
    version: int
    sent: float
    outcome: str = ''
    ended: float = 0
    shown: bool = False
    relisted: bool = False


@dataclass(slots=True)
class Numbering:
    """Services to look at, with the time at which this node may write.

    The time is None until it is chosen. `machines` are the backend servers
    by service and name, kept by watchers only; `services` maps a VM's name
    to its service; `full` holds services without a free number and when to
    look again.
    """

    machines: dict[str, dict[str, Machine]] | None = None
    services: dict[str, str] = field(default_factory=dict)
    dirty: dict[str, float | None] = field(default_factory=dict)
    swaps: dict[str, Swap] = field(default_factory=dict)
    full: dict[str, float] = field(default_factory=dict)


def note_record(state: NodeState, record: Record) -> None:
    """Mark the services that a new record concerns."""
    numbering = state.control.numbering
    if record.key.startswith(model.BACKEND_PREFIX):
        service = record.key.removeprefix(model.BACKEND_PREFIX)
        swap = numbering.swaps.get(service)
        if swap is not None:
            swap.shown = True
            _settle(numbering, service, swap)
        # The wait of lower ranks starts again: somebody wrote.
        numbering.dirty[service] = None
    elif record.key.startswith(model.MACHINE_PREFIX):
        _note_machine(numbering, record)


def note_list(state: NodeState) -> None:
    """Settle swaps whose outcome a complete list has shown."""
    numbering = state.control.numbering
    for service, swap in list(numbering.swaps.items()):
        if swap.outcome:
            swap.shown = True
            _settle(numbering, service, swap)


def complete_swap(state: NodeState, event: SwapCompleted) -> list[Effect]:
    """Note the answer to a swap; what is stored shows in the watch."""
    numbering = state.control.numbering
    state.counters.add('swap', event.outcome)
    service = event.key.removeprefix(model.BACKEND_PREFIX)
    swap = numbering.swaps.get(service)
    if swap is not None and swap.op_id == event.op_id:
        swap.outcome = event.outcome
        swap.ended = event.now
        _settle(numbering, service, swap)
    return []


def tick(state: NodeState, event: Ticked) -> list[Effect]:
    """Write the numbers of services that this watcher is in charge of."""
    numbering = state.control.numbering
    if not state.control.watch.active:
        if numbering.machines is not None or numbering.dirty:
            state.control.numbering = Numbering()
        return []
    if numbering.machines is None:
        _index(state)
    _check_swaps(state, event.now)
    if not state.control.watch.listed:
        return []
    return [
        effect
        for service in _list_due(state, event.now)
        for effect in _renumber(state, event, service)
    ]


def _list_due(state: NodeState, now: float) -> list[str]:
    """Return the services that this node may write now."""
    numbering = state.control.numbering
    for service, again in list(numbering.full.items()):
        if now >= again:
            numbering.full.pop(service)
            numbering.dirty.setdefault(service, None)
    fresh = [name for name, due in numbering.dirty.items() if due is None]
    for service in fresh:
        delay = RANK_DELAY_S * _rank_own(state, service)
        numbering.dirty[service] = now + delay
    return [
        service
        for service, due in numbering.dirty.items()
        if due is not None and now >= due and service not in numbering.swaps
    ]


def _settle(numbering: Numbering, service: str, swap: Swap) -> None:
    """Allow the next write once this one has ended and its effect shows."""
    if swap.shown and swap.outcome:
        numbering.swaps.pop(service)
        numbering.dirty[service] = None


def _index(state: NodeState) -> None:
    """Index the VM list on becoming a watcher."""
    numbering = state.control.numbering
    numbering.machines = {}
    for record in state.records.list_prefix(model.MACHINE_PREFIX):
        _note_machine(numbering, record)
    for record in state.records.list_prefix(model.BACKEND_PREFIX):
        service = record.key.removeprefix(model.BACKEND_PREFIX)
        numbering.dirty.setdefault(service, None)


def _note_machine(numbering: Numbering, record: Record) -> None:
    """Move a VM to the service it now belongs to."""
    if numbering.machines is None:
        return
    name = record.key.removeprefix(model.MACHINE_PREFIX)
    former = numbering.services.pop(name, None)
    if former is not None:
        numbering.machines[former].pop(name)
        numbering.dirty.setdefault(former, None)
    if record.value is None:
        return
    machine = model.decode_json(record.value, Machine)
    if machine.service:
        numbering.services[name] = machine.service
        numbering.machines.setdefault(machine.service, {})[name] = machine
        numbering.dirty.setdefault(machine.service, None)


def _check_swaps(state: NodeState, now: float) -> None:
    """Ask for a complete list where the watch does not show an outcome."""
    for swap in state.control.numbering.swaps.values():
        if not swap.outcome and now - swap.sent >= SWAP_TIMEOUT_S:
            swap.outcome = 'unknown'
            swap.ended = now
            state.counters.add('swap', 'timeout')
        if _is_hidden(swap, now) and not swap.relisted:
            swap.relisted = True
            watch.schedule(state, now)


def _is_hidden(swap: Swap, now: float) -> bool:
    """Tell whether only a new list can show the outcome."""
    if swap.outcome == 'unknown':
        return True
    return bool(swap.outcome) and now - swap.ended >= SHOW_TIMEOUT_S


def _renumber(
    state: NodeState,
    event: Ticked,
    service: str,
) -> list[Effect]:
    """Plan a service's numbers and write them if it is this node's turn."""
    numbering = state.control.numbering
    key = f'{model.BACKEND_PREFIX}{service}'
    held = state.records.records.get(key)
    # Older knowledge of the VM list than the author of the numbers had
    # would retire backends that are alive.
    if held is not None and held.version > state.control.watch.revision:
        return []
    document, body = _read(held)
    machines = (numbering.machines or {}).get(service, {})
    planned = numberplan.plan(body, machines, event.wall_s)
    if numberplan.count_unnumbered(planned, machines):
        state.counters.add('numbering', 'no_free_number')
        numbering.full[service] = event.now + FULL_PERIOD_S
    if planned is body:
        numbering.dirty.pop(service)
        return []
    return _write(state, event.now, service, held, document, planned)


def _write(
    state: NodeState,
    now: float,
    service: str,
    held: Record | None,
    document: Document | None,
    planned: BackendSet,
) -> list[Effect]:
    numbering = state.control.numbering
    key = f'{model.BACKEND_PREFIX}{service}'
    exists = held is not None and held.value is not None
    version = held.version if held is not None and exists else 0
    recent = () if document is None else (document.op, *document.recent)
    op_id = f'{state.config.name}-{state.rng.getrandbits(64):016x}'
    value = model.encode_document(op_id, state.config.name, planned, recent)
    numbering.swaps[service] = Swap(op_id, version, now)
    state.counters.add('swap', 'sent')
    return [
        SwapRecord(op_id, key, version, value),
        WriteLog('numbers_written', {'service': service, 'version': version}),
    ]


def _read(held: Record | None) -> tuple[Document | None, BackendSet]:
    """Return the numbers held, which the store has already checked."""
    if held is None or held.value is None:
        return None, BackendSet(())
    document = model.decode_document(held.value)
    return document, model.decode_json(document.body, BackendSet)


def _rank_own(state: NodeState, service: str) -> int:
    """Return this node's place among the watchers for a service."""
    watchers = watch.list_watchers(state)
    subject = f'number/{service}'.encode()
    ranked = shards.rank_members(watchers, subject, len(watchers))
    names = [member.name for member in ranked]
    own = state.config.name
    return names.index(own) if own in names else len(names)

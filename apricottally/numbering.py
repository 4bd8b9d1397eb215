"""Assignment of backend numbers by the watchers when the VM list changes.

The watchers are the nodes that watch the platform's records. They write with
compare-and-swap on the version that the assignment was computed from, so the
write of a watcher with an outdated version fails. Before its next write for
that service, a watcher waits until its watch or a new complete list has shown
the stored value, whatever the outcome.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from apricottally import model, numberassignment, shards, watcherrole
from apricottally.effects import Effect, SwapRecord, WriteLog
from apricottally.events import (
    Record,
    RecordsReceived,
    SwapCompleted,
    Ticked,
)
from apricottally.model import BackendSet, Document, Machine

if TYPE_CHECKING:
    from apricottally.state import NodeState

# Each watcher waits this long per rank in rendezvous order before it writes,
# so that normally only the first one does.
RANK_DELAY_S = 2.0
# The outcome of a swap without an answer after this time counts as unknown.
SWAP_TIMEOUT_S = 10.0
# If the watch has not shown the outcome of an answered swap after this time, a
# new complete list is requested.
WATCH_CONFIRMATION_TIMEOUT_S = 5.0
# Interval between attempts for a service that has no free number.
FULL_SERVICE_RETRY_S = 60.0


@dataclass(slots=True)
class PendingSwap:
    """A write that is unanswered or whose result is not visible yet.

    `version` is the version that the write expects. `outcome` is empty until
    `ended_at`, the time of the answer or timeout. `is_visible` is set once a
    newer record or a complete list has arrived, `list_requested` once a
    complete list has been requested because of this write.
    """

    op_id: str
    version: int
    sent_at: float
    outcome: str = ''
    ended_at: float = 0
    is_visible: bool = False
    list_requested: bool = False


@dataclass(slots=True)
class NumberingState:
    """State of the assignment of backend numbers at one node.

    `machines` are the backend servers by service and name, or None if this
    node is no watcher; `service_by_vm` maps a VM's name to its service.
    `write_times` maps each service to check to the earliest time at which
    this node may write, or None until that time is set. `full_until` maps
    each service without a free number to the time of the next attempt.
    `stored_versions` are the versions of the numbers that the platform has,
    by service. They are lower than those of the records here if the platform
    was restored from an older copy.
    """

    machines: dict[str, dict[str, Machine]] | None = None
    service_by_vm: dict[str, str] = field(default_factory=dict)
    write_times: dict[str, float | None] = field(default_factory=dict)
    swaps: dict[str, PendingSwap] = field(default_factory=dict)
    full_until: dict[str, float] = field(default_factory=dict)
    stored_versions: dict[str, int] = field(default_factory=dict)


def record_stored_versions(state: NodeState, event: RecordsReceived) -> None:
    """Record which numbers the platform has; check those that it has lost."""
    numbering = state.protocols.numbering
    if event.complete:
        numbering.stored_versions.clear()
    for record in event.records:
        if not record.key.startswith(model.BACKEND_PREFIX):
            continue
        service = record.key.removeprefix(model.BACKEND_PREFIX)
        exists = record.value is not None
        numbering.stored_versions[service] = record.version if exists else 0
        if record.version < state.records.version_of(record.key):
            numbering.write_times.setdefault(service, None)


def handle_record(state: NodeState, record: Record) -> None:
    """Mark the services that a new record affects for a check."""
    numbering = state.protocols.numbering
    if record.key.startswith(model.BACKEND_PREFIX):
        service = record.key.removeprefix(model.BACKEND_PREFIX)
        swap = numbering.swaps.get(service)
        if swap is not None:
            swap.is_visible = True
            _finish_if_visible(numbering, service, swap)
        # Another watcher may have written, so lower ranks restart their wait.
        numbering.write_times[service] = None
    elif record.key.startswith(model.MACHINE_PREFIX):
        _move_machine(numbering, record)


def handle_complete_list(state: NodeState) -> None:
    """Finish answered swaps, since a complete list shows their results."""
    numbering = state.protocols.numbering
    for service, swap in list(numbering.swaps.items()):
        if swap.outcome:
            swap.is_visible = True
            _finish_if_visible(numbering, service, swap)


def complete_swap(state: NodeState, event: SwapCompleted) -> list[Effect]:
    """Store the outcome of a swap; the watch shows the stored value."""
    numbering = state.protocols.numbering
    state.counters.add('swap', event.outcome)
    service = event.key.removeprefix(model.BACKEND_PREFIX)
    swap = numbering.swaps.get(service)
    if swap is not None and swap.op_id == event.op_id:
        swap.outcome = event.outcome
        swap.ended_at = event.now
        _finish_if_visible(numbering, service, swap)
    return []


def tick(state: NodeState, event: Ticked) -> list[Effect]:
    """Write the numbers of due services if this node is a watcher."""
    numbering = state.protocols.numbering
    if not state.protocols.watch.active:
        if numbering.machines is not None or numbering.write_times:
            state.protocols.numbering = NumberingState()
        return []
    if numbering.machines is None:
        _index_vms(state)
    _check_swaps(state, event.now)
    if not state.protocols.watch.list_received:
        return []
    return [
        effect
        for service in _list_due_services(state, event.now)
        for effect in _renumber(state, event, service)
    ]


def _list_due_services(state: NodeState, now: float) -> list[str]:
    """Return the services whose numbers this node may write now."""
    numbering = state.protocols.numbering
    for service, retry_at in list(numbering.full_until.items()):
        if now >= retry_at:
            numbering.full_until.pop(service)
            numbering.write_times.setdefault(service, None)
    unscheduled = [
        name for name, due in numbering.write_times.items() if due is None
    ]
    for service in unscheduled:
        delay = RANK_DELAY_S * _get_own_rank(state, service)
        numbering.write_times[service] = now + delay
    return [
        service
        for service, due in numbering.write_times.items()
        if due is not None and now >= due and service not in numbering.swaps
    ]


def _finish_if_visible(
    numbering: NumberingState, service: str, swap: PendingSwap
) -> None:
    """Allow the next write once this one has an outcome and is visible."""
    if swap.is_visible and swap.outcome:
        numbering.swaps.pop(service)
        numbering.write_times[service] = None


def _index_vms(state: NodeState) -> None:
    """Index the VM list on becoming a watcher."""
    numbering = state.protocols.numbering
    numbering.machines = {}
    for record in state.records.list_prefix(model.MACHINE_PREFIX):
        _move_machine(numbering, record)
    for record in state.records.list_prefix(model.BACKEND_PREFIX):
        service = record.key.removeprefix(model.BACKEND_PREFIX)
        numbering.write_times.setdefault(service, None)


def _move_machine(numbering: NumberingState, record: Record) -> None:
    """Update the service that a VM belongs to."""
    if numbering.machines is None:
        return
    name = record.key.removeprefix(model.MACHINE_PREFIX)
    old_service = numbering.service_by_vm.pop(name, None)
    if old_service is not None:
        numbering.machines[old_service].pop(name)
        numbering.write_times.setdefault(old_service, None)
    if record.value is None:
        return
    machine = model.decode_json(record.value, Machine)
    if machine.service:
        numbering.service_by_vm[name] = machine.service
        numbering.machines.setdefault(machine.service, {})[name] = machine
        numbering.write_times.setdefault(machine.service, None)


def _check_swaps(state: NodeState, now: float) -> None:
    """Time out swaps, and request a complete list for those that need one."""
    for swap in state.protocols.numbering.swaps.values():
        if not swap.outcome and now - swap.sent_at >= SWAP_TIMEOUT_S:
            swap.outcome = 'unknown'
            swap.ended_at = now
            state.counters.add('swap', 'timeout')
        if _needs_list(swap, now) and not swap.list_requested:
            swap.list_requested = True
            watcherrole.schedule_retry(state, now)


def _needs_list(swap: PendingSwap, now: float) -> bool:
    """Return whether a complete list is needed to learn the result."""
    if swap.outcome == 'unknown':
        return True
    return (
        bool(swap.outcome)
        and now - swap.ended_at >= WATCH_CONFIRMATION_TIMEOUT_S
    )


def _renumber(
    state: NodeState,
    event: Ticked,
    service: str,
) -> list[Effect]:
    """Assign a service's numbers and write them if they have changed."""
    numbering = state.protocols.numbering
    key = f'{model.BACKEND_PREFIX}{service}'
    stored = state.records.records.get(key)
    # If this node's VM list is older than the one that the stored numbers
    # come from, backends that are alive would be retired.
    if stored is not None and stored.version > state.protocols.watch.revision:
        return []
    document, body = _decode_numbers(stored)
    machines = (numbering.machines or {}).get(service, {})
    planned = numberassignment.assign_numbers(body, machines, event.wall_s)
    if numberassignment.count_unnumbered(planned, machines):
        state.counters.add('numbering', 'no_free_number')
        numbering.full_until[service] = event.now + FULL_SERVICE_RETRY_S
    if planned is body and not _is_lost(numbering, service, stored):
        numbering.write_times.pop(service)
        return []
    return _write(state, event.now, service, document, planned)


def _is_lost(
    numbering: NumberingState, service: str, stored: Record | None
) -> bool:
    """Tell whether the platform has lost the numbers that are known here."""
    if stored is None or stored.value is None:
        return False
    return numbering.stored_versions.get(service, 0) < stored.version


def _write(
    state: NodeState,
    now: float,
    service: str,
    document: Document | None,
    planned: BackendSet,
) -> list[Effect]:
    numbering = state.protocols.numbering
    key = f'{model.BACKEND_PREFIX}{service}'
    version = numbering.stored_versions.get(service, 0)
    recent = () if document is None else (document.op, *document.recent)
    op_id = f'{state.config.name}-{state.rng.getrandbits(64):016x}'
    value = model.encode_document(op_id, state.config.name, planned, recent)
    numbering.swaps[service] = PendingSwap(op_id, version, now)
    state.counters.add('swap', 'sent')
    return [
        SwapRecord(op_id, key, version, value),
        WriteLog('numbers_written', {'service': service, 'version': version}),
    ]


def _decode_numbers(
    stored: Record | None,
) -> tuple[Document | None, BackendSet]:
    """Decode the stored numbers, which the record table has validated."""
    if stored is None or stored.value is None:
        return None, BackendSet(())
    document = model.decode_document(stored.value)
    return document, model.decode_json(document.body, BackendSet)


def _get_own_rank(state: NodeState, service: str) -> int:
    """Return this node's rank among all watchers for a service."""
    watchers = watcherrole.list_watchers(state)
    subject = f'number/{service}'.encode()
    ranked = shards.rank_members(watchers, subject, len(watchers))
    names = [member.name for member in ranked]
    own = state.config.name
    return names.index(own) if own in names else len(names)

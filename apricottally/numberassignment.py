"""Computes the backend numbers of a service from the VM list."""

from __future__ import annotations

import msgspec

from apricottally.model import (
    Backend,
    BackendSet,
    BackendState,
    Machine,
    MachineState,
)
from apricottally.packet import MAX_BACKENDS

# A retired backend's number stays reserved for a day, since its flows may still
# carry it.
NUMBER_REUSE_DELAY_S = 86_400

_STATES = {
    MachineState.live: BackendState.active,
    MachineState.leaving: BackendState.draining,
}


def assign_numbers(
    current: BackendSet,
    machines: dict[str, Machine],
    wall_s: float,
) -> BackendSet:
    """Return the numbers for a service's VMs; `current` itself if unchanged.

    VMs for which no number is free are left out.
    """
    now_s = int(wall_s)
    backends = tuple(
        _update_backend(backend, machines.get(backend.name), now_s)
        for backend in current.backends
    )
    numbered = {
        backend.name
        for backend in backends
        if backend.state is not BackendState.retired
    }
    new_machines = [
        (name, machines[name])
        for name in sorted(machines)
        if name not in numbered and machines[name].state is MachineState.live
    ]
    if backends == current.backends and not new_machines:
        return current
    kept = [backend for backend in backends if not _is_reusable(backend, now_s)]
    free = _list_free_numbers(kept, current.next_number)
    added = [
        _create_backend(number, name, machine, now_s)
        for number, (name, machine) in zip(free, new_machines, strict=False)
    ]
    if backends == current.backends and not added:
        return current
    next_number = current.next_number
    if added:
        next_number = (added[-1].number + 1) % MAX_BACKENDS
    ordered = sorted([*kept, *added], key=_get_number)
    return BackendSet(tuple(ordered), next_number)


def count_unnumbered(
    planned: BackendSet,
    machines: dict[str, Machine],
) -> int:
    """Return how many live VMs have no number."""
    numbered = {
        backend.name
        for backend in planned.backends
        if backend.state is not BackendState.retired
    }
    return sum(
        name not in numbered and machine.state is MachineState.live
        for name, machine in machines.items()
    )


def _update_backend(
    backend: Backend,
    machine: Machine | None,
    now_s: int,
) -> Backend:
    """Return the backend updated from the VM list.

    A retired backend stays retired. If its VM comes back, the VM gets a new
    number, since packets with the old number may belong to flows that the VM
    has lost.
    """
    if backend.state is BackendState.retired:
        return backend
    replaced = machine is None or (
        (machine.ip, machine.zone) != (backend.ip, backend.zone)
    )
    if machine is None or replaced:
        return msgspec.structs.replace(
            backend,
            state=BackendState.retired,
            changed_s=now_s,
        )
    state = _STATES[machine.state]
    changed_s = backend.changed_s if state is backend.state else now_s
    return msgspec.structs.replace(
        backend,
        state=state,
        changed_s=changed_s,
        slots=machine.slots,
        connections=machine.connections,
    )


def _create_backend(
    number: int, name: str, machine: Machine, now_s: int
) -> Backend:
    return Backend(
        number=number,
        name=name,
        ip=machine.ip,
        zone=machine.zone,
        slots=machine.slots,
        connections=machine.connections,
        state=BackendState.active,
        changed_s=now_s,
    )


def _is_reusable(backend: Backend, now_s: int) -> bool:
    """Return whether the entry may be dropped and its number reused."""
    retired = backend.state is BackendState.retired
    return retired and now_s - backend.changed_s >= NUMBER_REUSE_DELAY_S


def _list_free_numbers(kept: list[Backend], start: int) -> list[int]:
    """Return the free numbers in cyclic order, starting at `start`."""
    used = {backend.number for backend in kept}
    return [
        number % MAX_BACKENDS
        for number in range(start, start + MAX_BACKENDS)
        if number % MAX_BACKENDS not in used
    ]


def _get_number(backend: Backend) -> int:
    return backend.number

"""The backend numbers that a service should have, from the VM list."""

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

# Flows of a retired backend may still carry its number.
RETIRED_HOLD_S = 86_400

_STATES = {
    MachineState.live: BackendState.active,
    MachineState.leaving: BackendState.draining,
}


def plan(
    held: BackendSet,
    machines: dict[str, Machine],
    wall_s: float,
) -> BackendSet:
    """Return the numbers for the machines of a service; `held` if unchanged.

    Machines that find no free number are left out.
    """
    now_s = int(wall_s)
    backends = tuple(
        _update(backend, machines.get(backend.name), now_s)
        for backend in held.backends
    )
    numbered = {
        backend.name
        for backend in backends
        if backend.state is not BackendState.retired
    }
    fresh = [
        (name, machines[name])
        for name in sorted(machines)
        if name not in numbered and machines[name].state is MachineState.live
    ]
    if backends == held.backends and not fresh:
        return held
    kept = [backend for backend in backends if not _is_free(backend, now_s)]
    free = _list_free(kept, held.next_number)
    added = [
        _create(number, name, machine, now_s)
        for number, (name, machine) in zip(free, fresh, strict=False)
    ]
    if backends == held.backends and not added:
        return held
    next_number = held.next_number
    if added:
        next_number = (added[-1].number + 1) % MAX_BACKENDS
    ordered = sorted([*kept, *added], key=_number)
    return BackendSet(tuple(ordered), next_number)


def count_unnumbered(
    planned: BackendSet,
    machines: dict[str, Machine],
) -> int:
    """Return how many live machines found no free number."""
    numbered = {
        backend.name
        for backend in planned.backends
        if backend.state is not BackendState.retired
    }
    return sum(
        name not in numbered and machine.state is MachineState.live
        for name, machine in machines.items()
    )


def _update(
    backend: Backend,
    machine: Machine | None,
    now_s: int,
) -> Backend:
    """Return the backend as the VM list has it.

    A retired one stays so: a VM that comes back gets a new number, since the
    old one may be in the packets of flows that it no longer knows.
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


def _create(number: int, name: str, machine: Machine, now_s: int) -> Backend:
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


def _is_free(backend: Backend, now_s: int) -> bool:
    """Tell whether the number may be used again, and the entry dropped."""
    retired = backend.state is BackendState.retired
    return retired and now_s - backend.changed_s >= RETIRED_HOLD_S


def _list_free(kept: list[Backend], start: int) -> list[int]:
    """Return the free numbers in cyclic order from `start` on."""
    used = {backend.number for backend in kept}
    return [
        number % MAX_BACKENDS
        for number in range(start, start + MAX_BACKENDS)
        if number % MAX_BACKENDS not in used
    ]


def _number(backend: Backend) -> int:
    return backend.number

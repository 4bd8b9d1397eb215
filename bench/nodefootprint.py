"""Memory and CPU of one node that stores the records of a region."""

import gc
import random
import time
import tracemalloc
from collections.abc import Callable

from apricottally import model, swim
from apricottally.events import Record, RecordsReceived, Ticked
from apricottally.members import Member
from apricottally.reducer import reduce
from apricottally.state import NodeState
from bench.controlfixtures import build_backends, build_machine, build_workspace
from bench.rows import Row
from standins.mesh import build_configs

# Backends and workspaces of the platform are divided evenly among its regions.
REGIONS = 8
BACKENDS = 110_000 // REGIONS
WORKSPACES = 31_000 // REGIONS
BACKENDS_PER_SERVICE = 50
CHANGES = 20
CHANGES_PER_S = 0.2
MEGABYTE = 1_000_000


def measure_footprint(seed: int, nodes: int, command: str) -> list[Row]:
    """Return the rows for a node in a region of `nodes` nodes."""
    config = build_configs({'a': 1})['node-a-0000']
    state = NodeState(config, random.Random(seed))
    reduce(state, Ticked(0, 0))
    members_mb = _measure_allocation(
        lambda: swim.apply_updates(
            state, 0, build_members(nodes), disseminate=False
        ),
    )
    count = len(build_records())
    records_mb = _measure_allocation(
        lambda: reduce(state, _build_snapshot_event(count))
    )
    text = (
        f'{members_mb:.1f} for {nodes} members '
        f'({members_mb * 1e6 / nodes:.0f} bytes each), {records_mb:.1f} for '
        f'{count} records and their routes '
        f'({records_mb * 1e6 / count:.0f} bytes each)'
    )
    cpu_ms = _time_changes(state, count)
    share = cpu_ms / 1000 * CHANGES_PER_S * 100
    return [
        Row('memory a node at region size, MB', command, seed, text, '32'),
        Row(
            'reducer CPU a change at region size',
            command,
            seed,
            f'{cpu_ms:.1f} ms, {share:.2f}% of a core at {CHANGES_PER_S}/s',
            '1%',
        ),
    ]


def _build_snapshot_event(revision: int) -> RecordsReceived:
    return RecordsReceived(0, build_records(), revision, complete=True)


def build_members(nodes: int) -> tuple[Member, ...]:
    """Return the members of a region with two zones."""
    return tuple(
        Member(
            f'balancer-{number:05d}.sv-a',
            'sv-a' if number % 2 else 'sv-b',
            f'10.3.{number // 250}.{number % 250}',
            6080,
            6081,
        )
        for number in range(nodes)
    )


def build_records() -> tuple[Record, ...]:
    """Return all templates, workspaces, VMs and backend sets of a region."""
    values: dict[str, bytes] = {}
    for name, port in (('feed', 443), ('batch', 444)):
        template = model.Template(
            'desk-0',
            model.Urgency.urgent,
            port,
            model.Holding.slot,
        )
        key = model.TEMPLATE_PREFIX + name
        values[key] = model.encode_document('operator-1', 'op', template)
    for number in range(WORKSPACES):
        key = f'{model.WORKSPACE_PREFIX}workspace-{number:05d}'
        values[key] = build_workspace(number)
    for number in range(BACKENDS):
        values[f'/vms/vm-{number:06d}'] = build_machine(number)
    for number in range(BACKENDS // BACKENDS_PER_SERVICE):
        service = f'desk-{number}'
        key = model.BACKEND_PREFIX + service
        values[key] = build_backends(service, BACKENDS_PER_SERVICE)
    return tuple(
        Record(key, version, value)
        for version, (key, value) in enumerate(values.items(), start=1)
    )


def _measure_allocation(action: Callable[[], object]) -> float:
    """Return the MB that are still allocated after an action."""
    gc.collect()
    tracemalloc.start()
    action()
    gc.collect()
    kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return kept / MEGABYTE


def _time_changes(state: NodeState, revision: int) -> float:
    """Return the mean reducer time in ms to apply a workspace change."""
    started = time.perf_counter()
    for number in range(CHANGES):
        key = f'{model.WORKSPACE_PREFIX}workspace-{number:05d}'
        version = revision + 1 + number
        record = Record(key, version, build_workspace(number))
        event = RecordsReceived(number, (record,), version, complete=False)
        reduce(state, event)
    return (time.perf_counter() - started) / CHANGES * 1000

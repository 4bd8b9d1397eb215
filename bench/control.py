"""Cost of the control protocols as a function of the nodes in a region.

The reducers of all nodes run in one process and two zones, over a simulated
transport without loss. Bytes include IP and UDP headers. CPU is the time spent
in reducers, without sockets. Costs are fitted by least squares to the number
of nodes, times until a change is in force to its logarithm to base 2.
"""

import math
import statistics
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from bench.controlfixtures import (
    build_machine,
    build_workspace,
    introduce_nodes,
)
from bench.nodefootprint import measure_footprint
from bench.rows import Row
from standins.mesh import Mesh

SIZES = (25, 50, 100, 200, 400)
REGION_NODES = 1500
ZONES = 17
SETTLE_S = 10.0
IDLE_S = 10.0
CHANGE_PERIOD_S = 5.0
CHANGES = 10
OUTAGE_S = 30.0
RECOVERY_S = 30.0
CHANGE_TIMEOUT_S = 30.0
BACKENDS = 50
COMMAND = 'python -m bench control'


@dataclass(frozen=True, slots=True)
class SizeFigures:
    """Results for one number of nodes.

    Bytes and CPU are per second and node, CPU as a share of a core: `idle`
    without changes, `busy` with one every `CHANGE_PERIOD_S`. Times are those
    until the last node has applied a change of a workspace (`in_force_s`) or
    of a VM (`draining_s`). Watches, swaps (conditional writes) and platform
    calls per second are of all nodes.
    """

    nodes: int
    idle_bytes: float
    idle_cpu: float
    busy_bytes: float
    busy_cpu: float
    in_force_s: list[float]
    draining_s: list[float]
    watches: int
    swaps_per_change: float
    outage_calls: float
    recovery_calls: float


def measure(seed: int) -> list[Row]:
    """Return the rows of the control protocols."""
    figures = [_measure_size(seed, nodes) for nodes in SIZES]
    build = partial(_build_row, seed, figures)
    idle = [each.idle_bytes for each in figures]
    busy = [each.busy_bytes for each in figures]
    idle_cpu = [each.idle_cpu * 100 for each in figures]
    busy_cpu = [each.busy_cpu * 100 for each in figures]
    return [
        build('control bytes/s a node, idle', idle, '3000'),
        build('control bytes/s a node, 0.2 changes/s', busy, '3000'),
        build('reducer CPU a node, idle, % of a core', idle_cpu, '1'),
        build('reducer CPU a node, 0.2 changes/s, %', busy_cpu, '1'),
        *_build_time_rows(seed, figures),
        *_build_platform_rows(seed, figures),
        *measure_footprint(seed, REGION_NODES, COMMAND),
    ]


def _measure_size(seed: int, nodes: int) -> SizeFigures:
    mesh = Mesh(seed, {'a': nodes // 2, 'b': nodes - nodes // 2})
    introduce_nodes(mesh)
    for number in range(BACKENDS):
        mesh.platform.write(f'/vms/vm{number}', build_machine(number))
    mesh.run(SETTLE_S)
    idle = _run_costs(mesh, partial(mesh.run, IDLE_S))
    calls = mesh.platform.calls
    in_force: list[float] = []
    draining: list[float] = []
    busy = _run_costs(mesh, partial(_run_changes, mesh, in_force, draining))
    swaps = (mesh.platform.calls - calls) / len(draining)
    watches = len(mesh.platform.watchers)
    outage = _run_outage(mesh)
    return SizeFigures(
        nodes,
        *idle,
        *busy,
        in_force,
        draining,
        watches,
        swaps,
        *outage,
    )


def _run_costs(
    mesh: Mesh,
    action: Callable[[], None],
) -> tuple[float, float]:
    """Run an action; return bytes/s and the share of a core per node."""
    mesh.sent_bytes.clear()
    cpu_s = mesh.cpu_s
    start = mesh.timeline.now
    action()
    node_s = (mesh.timeline.now - start) * len(mesh.nodes)
    return mesh.sent_bytes.total() / node_s, (mesh.cpu_s - cpu_s) / node_s


def _run_changes(
    mesh: Mesh,
    in_force: list[float],
    draining: list[float],
) -> None:
    """Change workspaces and VMs in turn; record seconds until in force."""
    for number in range(CHANGES):
        start = mesh.timeline.now
        if number % 2:
            draining.append(_change_machine(mesh, number % 4 == 1))
        else:
            in_force.append(_change_workspace(mesh, number))
        mesh.run(start + CHANGE_PERIOD_S - mesh.timeline.now)


def _change_workspace(mesh: Mesh, number: int) -> float:
    key = f'/apricottally/workspaces/w{number}'
    record = mesh.platform.write(key, build_workspace(number))
    return mesh.run_until(
        partial(_is_in_force, mesh, key, record.version), CHANGE_TIMEOUT_S
    )


def _change_machine(mesh: Mesh, leaving: bool) -> float:
    """Change a VM's state; return the seconds until it is in force.

    The nodes then write the service's backend set, at the next revision.
    """
    state = 'leaving' if leaving else 'live'
    record = mesh.platform.write('/vms/vm7', build_machine(7, state))
    key = '/apricottally/backends/desk'
    check = partial(_is_in_force, mesh, key, record.version + 1)
    return mesh.run_until(check, CHANGE_TIMEOUT_S)


def _is_in_force(mesh: Mesh, key: str, version: int) -> bool:
    return all(
        state.records.version_of(key) == version
        and not state.protocols.dissemination.routes_are_stale
        for state in mesh.list_states()
    )


def _run_outage(mesh: Mesh) -> tuple[float, float]:
    """Return the platform calls per second during and after an outage."""
    mesh.platform.begin_outage()
    before = mesh.platform.calls
    mesh.run(OUTAGE_S)
    outage = mesh.platform.calls - before
    mesh.platform.down = False
    mesh.run(RECOVERY_S)
    recovery = mesh.platform.calls - before - outage
    return outage / OUTAGE_S, recovery / RECOVERY_S


def _build_row(
    seed: int,
    figures: list[SizeFigures],
    name: str,
    values: list[float],
    target: str,
) -> Row:
    """Return a row with the values, their slope and its extrapolation."""
    fit = statistics.linear_regression([each.nodes for each in figures], values)
    # Noise may give a negative slope, but the cost does not fall with nodes.
    extrapolated = max(fit.intercept + fit.slope * REGION_NODES, *values)
    listed = ', '.join(f'{value:.3g}' for value in values)
    sizes = '/'.join(str(size) for size in SIZES)
    text = (
        f'{listed} at {sizes} nodes; slope {fit.slope * 100:.2g} per 100 '
        f'nodes, {extrapolated:.3g} at {REGION_NODES} nodes'
    )
    return Row(name, COMMAND, seed, text, target)


def _build_time_rows(seed: int, figures: list[SizeFigures]) -> list[Row]:
    in_force = [each.in_force_s for each in figures]
    draining = [each.draining_s for each in figures]
    return [
        _build_time_row(
            seed,
            'change in force at every node, s',
            in_force,
            '7',
        ),
        _build_time_row(
            seed,
            'leaving VM draining at every node, s',
            draining,
            '3',
        ),
    ]


def _build_time_row(
    seed: int,
    name: str,
    times: list[list[float]],
    target: str,
) -> Row:
    worst = [max(each) for each in times]
    sizes = [math.log2(size) for size in SIZES]
    fit = statistics.linear_regression(sizes, worst)
    extrapolated = fit.intercept + fit.slope * math.log2(REGION_NODES)
    listed = ', '.join(
        f'{statistics.median(each):.1f} (worst {max(each):.1f})'
        for each in times
    )
    text = (
        f'{listed}; slope of the worst {fit.slope:.2g} per doubling, '
        f'{extrapolated:.2g} at {REGION_NODES} nodes'
    )
    return Row(name, COMMAND, seed, text, target)


def _build_platform_rows(seed: int, figures: list[SizeFigures]) -> list[Row]:
    """Return rows for the platform's load, scaled from 2 to all zones."""
    watches = [each.watches for each in figures]
    swaps = [each.swaps_per_change for each in figures]
    text = (
        f'{_join_values(watches)} waiting watches of 2 zones, {ZONES * 3} of '
        f'{ZONES} zones; no other call while nothing changes; '
        f'{_join_values(swaps)} swaps a VM change'
    )
    rows = [Row('platform calls, steady', COMMAND, seed, text, '2000 reads/s')]
    for name, values in (
        ('platform calls/s in an outage', [e.outage_calls for e in figures]),
        (
            'platform calls/s in the 30 s after',
            [each.recovery_calls for each in figures],
        ),
    ):
        scaled = max(values) * ZONES / 2
        text = (
            f'{_join_values(values)} from 2 zones; does not grow with nodes; '
            f'{scaled:.2g} from {ZONES} zones at the largest'
        )
        rows.append(Row(name, COMMAND, seed, text, '2000 reads/s'))
    return rows


def _join_values(values: list[float] | list[int]) -> str:
    return ', '.join(f'{value:.2g}' for value in values)

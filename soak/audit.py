"""Checks the results of callers and backends against the guarantees."""

from collections import Counter
from dataclasses import dataclass

from soak.deployment import BACKEND_SPECS
from soak.simulation import Simulation
from standins.server import Entry
from standins.workload import BrokenFlow

UNEXPLAINED = 'unknown cause'


@dataclass(frozen=True, slots=True)
class Findings:
    """The results of a run.

    `tally` sums the callers' counts of flows by outcome and has the broken
    flows by cause. `reasons` sums the nodes' counters by name and reason.
    `violations` describes the guarantees that did not hold, and
    `caller_errors` the first broken, crossed and misrouted flows of each
    caller.
    """

    tally: Counter[str]
    reasons: Counter[str]
    violations: tuple[str, ...]
    caller_errors: tuple[str, ...]


def audit(simulation: Simulation, *, may_break: bool) -> Findings:
    """Check a run that has ended.

    A broken flow is a violation unless `may_break` is set and a fault of the
    run explains why it broke.
    """
    entries = [
        entry
        for host in simulation.backend_hosts.values()
        for entry in host.server.journal
    ]
    tally = sum_tallies(simulation)
    violations = [
        f'{name}: {tally[name]}'
        for name in ('crossed', 'misrouted', 'doubled')
        if tally[name]
    ]
    if tally['broken'] and not may_break:
        violations.append(f'broken: {tally["broken"]}')
    causes = count_causes(simulation, entries)
    tally.update({f'broken by {cause}': causes[cause] for cause in causes})
    if causes[UNEXPLAINED]:
        violations.append(f'broken without a cause: {causes[UNEXPLAINED]}')
    if tally['running']:
        violations.append(f'still running: {tally["running"]}')
    violations += find_journal_mismatches(simulation, entries)
    caller_errors = tuple(
        fault
        for client in simulation.clients.values()
        for fault in client.report().faults
    )
    return Findings(
        tally, sum_reasons(simulation), tuple(violations), caller_errors
    )


def count_causes(simulation: Simulation, entries: list[Entry]) -> Counter[str]:
    """Count broken flows by the fault that explains them."""
    ips_by_name = {spec.config.name: spec.config.ip for spec in BACKEND_SPECS}
    backend_ips = {entry.id: ips_by_name[entry.backend] for entry in entries}
    return Counter(
        find_cause(simulation, flow, backend_ips.get(flow.id))
        for client in simulation.clients.values()
        for flow in client.report().broken
    )


def find_cause(simulation: Simulation, flow: BrokenFlow, ip: str | None) -> str:
    """Return the fault that occurred while a broken flow was open.

    `ip` is the backend that ran the flow's request. Without it, any backend's
    crash may be the cause, since the request never began at a backend.
    """
    ips = [ip] if ip else list(simulation.crashes)
    times = [at for each in ips for at in simulation.crashes.get(each, ())]
    if any(flow.started_s <= at <= flow.ended_s for at in times):
        return 'crash'
    if any(
        partition.started_s <= flow.ended_s
        and partition.ended_s >= flow.started_s
        for partition in simulation.partitions
    ):
        return 'cut'
    return UNEXPLAINED


def sum_tallies(simulation: Simulation) -> Counter[str]:
    """Sum the callers' counts of flows over all streams."""
    summed: Counter[str] = Counter()
    for client in simulation.clients.values():
        for work in client.report().works.values():
            summed['running'] += work.running
            tally = work.tally
            summed.update(
                {name: getattr(tally, name) for name in tally.__struct_fields__}
            )
    return summed


def sum_reasons(simulation: Simulation) -> Counter[str]:
    """Sum the counters of all running nodes by name and reason."""
    summed: Counter[str] = Counter()
    for state in simulation.mesh.list_states():
        for (name, reason), count in state.counters.counts.items():
            summed[f'{name} {reason}'] += count
    return summed


def find_journal_mismatches(
    simulation: Simulation, entries: list[Entry]
) -> list[str]:
    """Compare the backends' journals with the answers that callers got."""
    found = []
    runs = Counter(entry.id for entry in entries)
    doubled = [name for name, count in runs.items() if count > 1]
    if doubled:
        found.append(f'ran twice: {doubled[:3]}')
    for client in simulation.clients.values():
        report = client.report()
        not_run = {*report.refused_ids, *report.unanswered_ids}
        wrong = sorted(not_run.intersection(runs))
        if wrong:
            found.append(f'ran although refused or unanswered: {wrong[:3]}')
        lost = sorted(set(report.completed_ids).difference(runs))
        if lost:
            found.append(f'completed but in no journal: {lost[:3]}')
    return found

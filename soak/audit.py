"""Compares what callers and backends saw with the promises."""

from collections import Counter
from dataclasses import dataclass

from soak.deployment import BACKENDS
from soak.world import World
from standins.server import Entry
from standins.workload import BrokenFlow

UNEXPLAINED = 'nothing known'


@dataclass(frozen=True, slots=True)
class Findings:
    """What a run showed; `broken` names the promises that did not hold.

    `tally` sums the callers' counts by what became of their flows.
    """

    tally: Counter[str]
    reasons: Counter[str]
    broken: tuple[str, ...]
    faults: tuple[str, ...]


def audit(world: World, *, may_break: bool) -> Findings:
    """Return the findings on a run that has ended."""
    entries = [
        entry for host in world.hosts.values() for entry in host.server.journal
    ]
    tally = sum_tallies(world)
    broken = [
        f'{name}: {tally[name]}'
        for name in ('crossed', 'misrouted', 'doubled')
        if tally[name]
    ]
    if tally['broken'] and not may_break:
        broken.append(f'broken: {tally["broken"]}')
    causes = count_causes(world, entries)
    tally.update({f'broken by {cause}': causes[cause] for cause in causes})
    if causes[UNEXPLAINED]:
        broken.append(f'broken without a cause: {causes[UNEXPLAINED]}')
    if tally['running']:
        broken.append(f'without end: {tally["running"]}')
    broken += find_wrong_runs(world, entries)
    faults = tuple(
        fault
        for client in world.clients.values()
        for fault in client.report().faults
    )
    return Findings(tally, sum_reasons(world), tuple(broken), faults)


def count_causes(world: World, entries: list[Entry]) -> Counter[str]:
    """Count broken flows by the fault that explains each of them."""
    places = {plan.config.name: plan.config.ip for plan in BACKENDS}
    ran_at = {entry.id: places[entry.backend] for entry in entries}
    return Counter(
        find_cause(world, flow, ran_at.get(flow.id))
        for client in world.clients.values()
        for flow in client.report().broken
    )


def find_cause(world: World, flow: BrokenFlow, ip: str | None) -> str:
    """Return the fault that a broken flow met while it was open.

    A flow whose request never began at a backend may have been at any.
    """
    crashed = [ip] if ip else list(world.crashes)
    times = [at for each in crashed for at in world.crashes.get(each, ())]
    if any(flow.started_s <= at <= flow.ended_s for at in times):
        return 'crash'
    if any(
        cut.started_s <= flow.ended_s and cut.ended_s >= flow.started_s
        for cut in world.cuts
    ):
        return 'cut'
    return UNEXPLAINED


def sum_tallies(world: World) -> Counter[str]:
    """Return the callers' counts over all work."""
    summed: Counter[str] = Counter()
    for client in world.clients.values():
        for work in client.report().works.values():
            summed['running'] += work.running
            tally = work.tally
            summed.update(
                {name: getattr(tally, name) for name in tally.__struct_fields__}
            )
    return summed


def sum_reasons(world: World) -> Counter[str]:
    """Return the running nodes' counters of refusals, retries and drops."""
    summed: Counter[str] = Counter()
    for state in world.mesh.list_states():
        for (name, reason), count in state.counters.counts.items():
            summed[f'{name} {reason}'] += count
    return summed


def find_wrong_runs(world: World, entries: list[Entry]) -> list[str]:
    """Compare journals with what callers were told."""
    found = []
    runs = Counter(entry.id for entry in entries)
    doubled = [name for name, count in runs.items() if count > 1]
    if doubled:
        found.append(f'ran twice: {doubled[:3]}')
    for client in world.clients.values():
        report = client.report()
        not_run = {*report.refused_ids, *report.unanswered_ids}
        wrong = sorted(not_run.intersection(runs))
        if wrong:
            found.append(f'ran though refused: {wrong[:3]}')
        lost = sorted(set(report.completed_ids).difference(runs))
        if lost:
            found.append(f'completed without a run: {lost[:3]}')
    return found

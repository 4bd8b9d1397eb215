"""Compares what callers, backends and balancers saw with the promises."""

from collections import Counter
from dataclasses import dataclass

from demo import metrics
from demo.deployments import Deployment
from demo.scenario import IN_FORCE_LIMIT_S, LATE_S, Observations
from standins.protocol import Kind
from standins.server import Entry, JournalReport
from standins.workload import ClientReport


@dataclass(frozen=True, slots=True)
class Findings:
    """The figures of a run and the promises that it broke.

    `faults` names the first flows that went wrong.
    """

    figures: dict[str, str]
    broken: tuple[str, ...]
    faults: tuple[str, ...] = ()


def audit(deployment: Deployment, seen: Observations) -> Findings:
    """Return the findings on a run."""
    if seen.callers is None:
        return Findings({}, ('the callers did not report',))
    entries = [entry for journal in seen.journals for entry in journal.entries]
    tally = sum_tallies(seen.callers)
    tally['doubled'] += len(find_doubled(entries))
    tally['misrouted'] += len(find_misrouted(deployment, entries))
    tally['ran though refused'] = len(find_run_refused(seen.callers, entries))
    tally['completed without a run'] = len(find_lost(seen.callers, entries))
    tally['damaged packets'] = seen.callers.damaged + sum(
        journal.damaged for journal in seen.journals
    )
    tally['new work after the drain'] = sum(
        journal.counts.get('shed_draining', 0) for journal in seen.journals
    )
    invariants = seen.scraper.total(metrics.INVARIANT_METRIC)
    tally['broken invariants'] = invariants.total()
    failed = seen.scraper.total(metrics.FAILURE_METRIC)
    tally['failed handlers'] = failed.total()
    figures = {name: str(tally[name]) for name in _SHOWN}
    figures['refused by reason'] = format_reasons(
        seen.scraper.total(metrics.REFUSED_METRIC),
    )
    figures['retried by reason'] = format_reasons(
        seen.scraper.total(metrics.RETRIED_METRIC),
    )
    figures[f'refused in the last {LATE_S:.0f} s'] = str(seen.refused_late)
    figures |= format_imbalance(seen)
    figures['in force after publishing (s)'] = format_in_force(seen)
    figures['planned stop'] = f'status {seen.stop_status}, {seen.stop_s:.1f} s'
    broken = [f'{name}: {tally[name]}' for name in _FORBIDDEN if tally[name]]
    broken += list_late_changes(seen)
    broken += list_unserved(seen.callers)
    if seen.stop_status != 0:
        broken.append(f'planned stop: exit status {seen.stop_status}')
    faults = seen.callers.faults[:_SHOWN_FAULTS]
    return Findings(figures, tuple(broken), tuple(faults))


_SHOWN_FAULTS = 10
_FORBIDDEN = (
    'broken',
    'doubled',
    'crossed',
    'misrouted',
    'ran though refused',
    'completed without a run',
    'damaged packets',
    'new work after the drain',
    'broken invariants',
    'failed handlers',
)
_SHOWN = (
    'opened',
    'completed',
    'refused',
    'unanswered',
    'expired',
    *_FORBIDDEN,
)


def sum_tallies(callers: ClientReport) -> Counter[str]:
    """Return the callers' counts over all work."""
    summed: Counter[str] = Counter()
    for work in callers.works.values():
        tally = work.tally
        summed.update(
            {name: getattr(tally, name) for name in tally.__struct_fields__}
        )
    return summed


def find_doubled(entries: list[Entry]) -> list[str]:
    """Return ids of requests that ran more than once."""
    runs = Counter(entry.id for entry in entries)
    return [request_id for request_id, count in runs.items() if count > 1]


def find_misrouted(deployment: Deployment, entries: list[Entry]) -> list[str]:
    """Return ids of requests that ran at another service's backend."""
    services = {
        str(offer.template.port): offer.template.service
        for offer in deployment.offers.values()
    }
    return [
        entry.id
        for entry in entries
        if services.get(entry.target.rpartition(':')[2]) != entry.service
    ]


def find_run_refused(
    callers: ClientReport,
    entries: list[Entry],
) -> set[str]:
    """Return ids of requests that ran although their SYN was refused."""
    refused = {*callers.refused_ids, *callers.unanswered_ids}
    return refused.intersection(entry.id for entry in entries)


def find_lost(callers: ClientReport, entries: list[Entry]) -> set[str]:
    """Return ids of completed requests that no backend ran."""
    return set(callers.completed_ids).difference(entry.id for entry in entries)


def list_unserved(callers: ClientReport) -> list[str]:
    """Return the work of which nothing was completed."""
    return [
        f'{name}: nothing completed'
        for name, work in callers.works.items()
        if not work.tally.completed
    ]


def measure_imbalance(
    service: str,
    journals: list[JournalReport],
    start: float,
    end: float,
) -> float:
    """Return the busiest backend's requests over the mean, without feeds."""
    counts = [
        sum(
            start <= entry.started_s < end and entry.kind is not Kind.feed
            for entry in journal.entries
        )
        for journal in journals
        if journal.service == service
    ]
    total = sum(counts)
    return max(counts) * len(counts) / total if total else 0


def format_imbalance(seen: Observations) -> dict[str, str]:
    """Return the imbalance of each service while its backends stayed."""
    services = dict.fromkeys(journal.service for journal in seen.journals)
    shown = [
        (
            service,
            measure_imbalance(
                service,
                seen.journals,
                seen.steady_from,
                seen.steady_to,
            ),
        )
        for service in services
    ]
    text = ', '.join(f'{service} {ratio:.2f}' for service, ratio in shown)
    return {'imbalance (max/mean)': text}


def format_reasons(counts: Counter[str]) -> str:
    """Return counts by reason, the most frequent first."""
    pairs = [f'{reason} {count}' for reason, count in counts.most_common()]
    return ', '.join(pairs) or 'none'


def format_in_force(seen: Observations) -> str:
    """Return how long each change took to be in force everywhere."""
    pairs = [
        f'{what} ' + ('late' if taken is None else f'{taken:.2f}')
        for what, taken in seen.in_force_s.items()
    ]
    return ', '.join(pairs)


def list_late_changes(seen: Observations) -> list[str]:
    """Return the changes that were not in force in time."""
    return [
        f'{what}: not in force within {IN_FORCE_LIMIT_S:.0f} s'
        for what, taken in seen.in_force_s.items()
        if taken is None or taken > IN_FORCE_LIMIT_S
    ]

"""Checks a run's results against the guarantees of the load balancer."""

from collections import Counter
from dataclasses import dataclass

from demo import metrics
from demo.deployments import Deployment
from demo.scenario import FINAL_WINDOW_S, PROPAGATION_LIMIT_S, RunResults
from standins.protocol import Kind
from standins.server import Entry, JournalReport
from standins.workload import ClientReport


@dataclass(frozen=True, slots=True)
class Findings:
    """The figures of a run and the guarantees that it violated.

    `faults` describes the first flows that failed.
    """

    figures: dict[str, str]
    violations: tuple[str, ...]
    faults: tuple[str, ...] = ()


def audit(deployment: Deployment, results: RunResults) -> Findings:
    """Return the figures and violations of a run."""
    if results.callers is None:
        return Findings({}, ('no report from the callers',))
    entries = [
        entry for journal in results.journals for entry in journal.entries
    ]
    tally = sum_tallies(results.callers)
    tally['doubled'] += len(find_duplicate_runs(entries))
    tally['misrouted'] += len(find_misrouted(deployment, entries))
    tally['ran though refused'] = len(
        find_refused_runs(results.callers, entries)
    )
    tally['completed without a run'] = len(
        find_completions_without_run(results.callers, entries)
    )
    tally['damaged packets'] = results.callers.damaged + sum(
        journal.damaged for journal in results.journals
    )
    tally['new work after the drain'] = sum(
        journal.counts.get('shed_draining', 0) for journal in results.journals
    )
    invariants = results.scraper.sum_by_reason(metrics.BROKEN_INVARIANT_METRIC)
    tally['broken invariants'] = invariants.total()
    failed = results.scraper.sum_by_reason(metrics.HANDLER_FAILURE_METRIC)
    tally['failed handlers'] = failed.total()
    figures = {name: str(tally[name]) for name in _SHOWN_COUNTS}
    figures['refused by reason'] = format_reasons(
        results.scraper.sum_by_reason(metrics.REFUSED_METRIC),
    )
    figures['retried by reason'] = format_reasons(
        results.scraper.sum_by_reason(metrics.RETRIED_METRIC),
    )
    figures[f'refused in the last {FINAL_WINDOW_S:.0f} s'] = str(
        results.refused_in_final_window
    )
    figures |= format_imbalance(results)
    figures['in force after publishing (s)'] = format_propagation(results)
    figures['planned stop'] = (
        f'status {results.stop_status}, {results.stop_duration_s:.1f} s'
    )
    violations = [
        f'{name}: {tally[name]}' for name in _VIOLATION_COUNTS if tally[name]
    ]
    violations += list_late_changes(results)
    violations += list_work_without_completions(results.callers)
    if results.stop_status != 0:
        violations.append(f'planned stop: exit status {results.stop_status}')
    faults = results.callers.faults[:_MAX_SHOWN_FAULTS]
    return Findings(figures, tuple(violations), tuple(faults))


_MAX_SHOWN_FAULTS = 10
_VIOLATION_COUNTS = (
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
_SHOWN_COUNTS = (
    'opened',
    'completed',
    'refused',
    'unanswered',
    'expired',
    *_VIOLATION_COUNTS,
)


def sum_tallies(callers: ClientReport) -> Counter[str]:
    """Return the callers' flow counts, summed over all streams of work."""
    summed: Counter[str] = Counter()
    for work in callers.works.values():
        tally = work.tally
        summed.update(
            {name: getattr(tally, name) for name in tally.__struct_fields__}
        )
    return summed


def find_duplicate_runs(entries: list[Entry]) -> list[str]:
    """Return the ids of requests that ran more than once."""
    runs = Counter(entry.id for entry in entries)
    return [request_id for request_id, count in runs.items() if count > 1]


def find_misrouted(deployment: Deployment, entries: list[Entry]) -> list[str]:
    """Return the ids of requests that ran at another service's backend."""
    services = {
        str(planned.template.port): planned.template.service
        for planned in deployment.template_traffic.values()
    }
    return [
        entry.id
        for entry in entries
        if services.get(entry.target.rpartition(':')[2]) != entry.service
    ]


def find_refused_runs(
    callers: ClientReport,
    entries: list[Entry],
) -> set[str]:
    """Return the ids of requests that ran although their SYN was refused.

    A SYN that got no answer counts as refused.
    """
    refused = {*callers.refused_ids, *callers.unanswered_ids}
    return refused.intersection(entry.id for entry in entries)


def find_completions_without_run(
    callers: ClientReport, entries: list[Entry]
) -> set[str]:
    """Return the ids of requests that completed but that no backend ran."""
    return set(callers.completed_ids).difference(entry.id for entry in entries)


def list_work_without_completions(callers: ClientReport) -> list[str]:
    """Return a violation for each stream of work without completed flows."""
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
    """Return the requests of a service's busiest backend divided by the mean.

    Feeds are left out. `start` and `end` bound the requests' start times, in
    monotonic seconds.
    """
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


def format_imbalance(results: RunResults) -> dict[str, str]:
    """Return each service's imbalance while its set of backends was stable."""
    services = dict.fromkeys(journal.service for journal in results.journals)
    shown = [
        (
            service,
            measure_imbalance(
                service,
                results.journals,
                results.steady_start_s,
                results.steady_end_s,
            ),
        )
        for service in services
    ]
    text = ', '.join(f'{service} {ratio:.2f}' for service, ratio in shown)
    return {'imbalance (max/mean)': text}


def format_reasons(counts: Counter[str]) -> str:
    """Format counts by reason, the most frequent first."""
    pairs = [f'{reason} {count}' for reason, count in counts.most_common()]
    return ', '.join(pairs) or 'none'


def format_propagation(results: RunResults) -> str:
    """Format the seconds until all serving balancers had each change."""
    pairs = [
        f'{change} ' + ('late' if taken is None else f'{taken:.2f}')
        for change, taken in results.propagation_s.items()
    ]
    return ', '.join(pairs)


def list_late_changes(results: RunResults) -> list[str]:
    """Return a violation for each change that reached the balancers late."""
    return [
        f'{change}: not in force within {PROPAGATION_LIMIT_S:.0f} s'
        for change, taken in results.propagation_s.items()
        if taken is None or taken > PROPAGATION_LIMIT_S
    ]

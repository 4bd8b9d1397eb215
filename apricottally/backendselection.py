"""Selection of the least loaded backend, and use of the backends' reports.

The owner of a shard counts the flows that it has admitted. A load report may
only lower the capacity that the owner considers free, by at most half and for a
short time, so that a backend that misreports its load cannot attract flows.

Foreign work is load that a report shows beyond the owner's own count.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

import xxhash

from apricottally import slowstart
from apricottally.events import LoadReport
from apricottally.model import Backend, Holding

# Age from which a report is ignored.
REPORT_FRESH_S = 5.0
# Time for which a new owner admits no more flows than reports show as free.
TAKEOVER_S = 2.0
# Time for which reports show foreign slots before a test flow is admitted.
FOREIGN_TEST_AFTER_S = 5.0
# After this many disproved reports of foreign slots, foreign slots in reports
# are ignored for DISTRUST_S. The count restarts when the backend sheds a flow,
# or after a gap of more than DISTRUST_S between disproved reports.
MAX_DISPROVED_REPORTS = 3
DISTRUST_S = 60.0
# Correction of the connection count by one report: largest step, and largest
# relative distance from the mean of the shard.
MAX_DRIFT_STEP = 20
DRIFT_MARGIN = 0.05
# Difference between count and report that opening and closing connections
# explain.
DRIFT_TOLERANCE = 10
# Time for which a backend that shed a flow gets no flow that holds a slot.
SHED_PAUSE_S = 0.1
# Flows that a backend in slow start may save up as credit.
MAX_CREDIT = 2.0
# Below 1, since sums of fractions are inexact in floating point.
_WHOLE_CREDIT = 1 - 1e-9
_NEVER = float('-inf')
# Reported state of a backend that takes no new work.
DRAINING = 'draining'


@dataclass(slots=True, eq=False)
class BackendLoad:
    """Load of a backend server as its owner counts it, and its last report.

    `busy` counts slots and `open` connections that flows admitted here hold;
    `foreign_busy` and `foreign_open` are what the last report shows beyond
    them. `foreign_since` is when reports began to show foreign slots.
    `started_since_poll` and `ended_since_poll` count slot flows. `credit` is
    the number of flows that a backend in slow start may get now.

    `unconfirmed_reports` counts consecutive reports with fewer busy slots than
    `busy`; `unanswered_syns` and `failed_polls` are consecutive counts too.
    `disproved_reports` counts reports of foreign slots that the backend
    disproved by accepting a flow, the last one at `disproved_at`.

    The backend gets no flow until `ejected_until`, and none that holds a slot
    until `full_until`. Foreign slots in reports are ignored until
    `distrusted_until`. Until `constrained_until` further limits apply, such as
    slow start or foreign work; after it only `busy` and `open` matter.
    """

    backend: Backend
    known_since: float
    busy: int = 0
    open: int = 0
    started_since_poll: int = 0
    ended_since_poll: int = 0
    credit: float = 1.0
    report: LoadReport | None = None
    reported_at: float = _NEVER
    foreign_busy: int = 0
    unconfirmed_reports: int = 0
    unanswered_syns: int = 0
    failed_polls: int = 0
    ejected_until: float = 0
    full_until: float = 0
    foreign_open: int = 0
    foreign_since: float = _NEVER
    disproved_reports: int = 0
    disproved_at: float = _NEVER
    distrusted_until: float = _NEVER
    constrained_until: float = field(init=False)

    def __post_init__(self) -> None:
        self.constrained_until = self.known_since + slowstart.FULL_AGE_S
        self.update(self.backend)

    def update(self, backend: Backend) -> None:
        """Replace the backend by its latest record."""
        self.backend = backend
        if not backend.slots or not backend.connections:
            # choose() would divide by zero on its fast path.
            self.constrained_until = float('inf')

    def take(self, holds: Holding) -> None:
        """Count a flow sent to the backend."""
        if holds is Holding.slot:
            self.busy += 1
            self.started_since_poll += 1
        else:
            self.open += 1

    def free(self, holds: Holding) -> None:
        """Count a flow that ended."""
        if holds is Holding.slot:
            self.busy -= 1
            self.ended_since_poll += 1
        elif self.open:
            self.open -= 1

    def reset_poll_counts(self) -> None:
        """Reset the counts of flows started and ended since the last poll."""
        self.started_since_poll = 0
        self.ended_since_poll = 0

    def is_fresh(self, now: float) -> bool:
        """Tell whether the last report is recent enough to be used."""
        return now - self.reported_at < REPORT_FRESH_S


def record_report(load: BackendLoad, report: LoadReport, now: float) -> None:
    """Store a report and compute the foreign work in it.

    A flow that ended since the poll may still be in the report, so it is not
    counted as foreign.
    """
    load.report = report
    load.reported_at = now
    foreign_open = report.open - load.open - load.busy
    load.foreign_open = foreign_open if foreign_open > DRIFT_TOLERANCE else 0
    _update_foreign_busy(
        load, report.busy - load.busy - load.ended_since_poll, now
    )
    if load.foreign_busy or load.foreign_open or report.state == DRAINING:
        load.constrained_until = max(
            load.constrained_until, now + REPORT_FRESH_S
        )


def _update_foreign_busy(
    load: BackendLoad, foreign_busy: int, now: float
) -> None:
    if foreign_busy <= 0 or now < load.distrusted_until:
        load.foreign_busy = 0
        load.foreign_since = _NEVER
        return
    if load.foreign_since == _NEVER:
        load.foreign_since = now
    load.foreign_busy = foreign_busy


def record_accepted(load: BackendLoad, now: float) -> None:
    """Discard foreign slots that a SYN-ACK for a slot flow disproves.

    A backend that accepts the flow had a free slot, while the foreign slots
    would have left none.
    """
    if (
        not load.foreign_busy
        or load.busy + load.foreign_busy <= load.backend.slots
    ):
        return
    load.foreign_busy = 0
    if now - load.disproved_at > DISTRUST_S:
        load.disproved_reports = 0
    load.disproved_at = now
    load.disproved_reports += 1
    if load.disproved_reports >= MAX_DISPROVED_REPORTS:
        load.disproved_reports = 0
        load.distrusted_until = now + DISTRUST_S


def record_shed(load: BackendLoad, now: float) -> None:
    """Treat the backend as full for SHED_PAUSE_S after it reset a SYN."""
    load.full_until = now + SHED_PAUSE_S
    load.constrained_until = max(load.constrained_until, load.full_until)
    load.disproved_reports = 0
    if load.foreign_busy:
        load.foreign_since = now


def correct_drift(
    load: BackendLoad,
    peers: Sequence[BackendLoad],
    now: float,
) -> None:
    """Move the connection count towards the reported one, within bounds.

    The count drifts when another owner sees the ends of flows. The mean of the
    shard bounds the correction, so that a false report cannot make a backend
    look empty.
    """
    report = load.report
    if report is None or not load.is_fresh(now):
        return
    drift = report.open - load.busy - load.open
    if abs(drift) <= DRIFT_TOLERANCE:
        return
    mean = sum(peer.open for peer in peers) / len(peers)
    if drift < 0:
        lowest = min(load.open, int(mean * (1 - DRIFT_MARGIN)))
        load.open = max(load.open + drift, load.open - MAX_DRIFT_STEP, lowest)
        return
    highest = max(load.open, int(mean * (1 + DRIFT_MARGIN)))
    load.open = min(load.open + drift, load.open + MAX_DRIFT_STEP, highest)


def adopt_reported_connections(
    loads: Sequence[BackendLoad], now: float
) -> None:
    """Raise connection counts to the reported ones, at the end of a takeover.

    Reported counts are limited to a range around the median of the shard, which
    also stands for missing reports.
    """
    reported = sorted(
        load.report.open
        for load in loads
        if load.report is not None and load.is_fresh(now)
    )
    if not reported:
        return
    median = reported[len(reported) // 2]
    for load in loads:
        reported_open = median
        if load.report is not None and load.is_fresh(now):
            reported_open = load.report.open
        lowest = int(median * (1 - DRIFT_MARGIN))
        highest = int(median * (1 + DRIFT_MARGIN)) + DRIFT_TOLERANCE
        bounded = min(max(reported_open, lowest), highest)
        load.open = max(load.open, bounded)


def count_free(
    load: BackendLoad,
    holds: Holding,
    now: float,
    *,
    takeover: bool,
) -> int:
    """Return how many more flows the backend may get; 0 or less if none."""
    if now - load.known_since < slowstart.PROPAGATION_S:
        return 0
    if holds is Holding.slot:
        if now < load.full_until:
            return 0
        free = _count_usable_slots(load, now) - load.busy
        if takeover:
            free = min(
                free, _count_reported_free(load, now, load.backend.slots)
            )
        return free
    free = _count_usable_connections(load, now) - load.open
    if takeover:
        report = load.report
        if report is None or not load.is_fresh(now):
            return 0
        free = min(free, load.backend.connections - report.open - load.open)
    return free


def choose(
    loads: Sequence[BackendLoad],
    holds: Holding,
    key: bytes,
    now: float,
    *,
    takeover: bool = False,
    excluded: tuple[int, ...] = (),
) -> BackendLoad | None:
    """Return the least loaded backend with room for the flow, if any.

    Rendezvous hashing on the flow key decides between equally loaded ones.
    """
    is_constrained = takeover or any(
        now < load.constrained_until for load in loads
    )
    if is_constrained or excluded:
        return _choose_constrained(
            loads, holds, key, now, takeover=takeover, excluded=excluded
        )
    if holds is Holding.slot:
        scores = [load.busy / load.backend.slots for load in loads]
    else:
        scores = [load.open / load.backend.connections for load in loads]
    least = min(scores, default=1)
    if least >= 1:
        return None
    ties = [
        load
        for load, score in zip(loads, scores, strict=True)
        if score == least
    ]
    return min(
        ties,
        key=lambda load: xxhash.xxh3_64_intdigest(key, load.backend.number),
    )


def _choose_constrained(
    loads: Sequence[BackendLoad],
    holds: Holding,
    key: bytes,
    now: float,
    *,
    takeover: bool,
    excluded: tuple[int, ...],
) -> BackendLoad | None:
    """Choose if some backends are new, draining, excluded or in doubt."""
    avoided = _list_draining(loads, now).union(excluded)
    limited = not all(_is_ramping(load, now) for load in loads)
    usable = [
        load
        for load in loads
        if load.backend.number not in avoided
        and count_free(load, holds, now, takeover=takeover) > 0
        and not (limited and _lacks_credit(load, now))
    ]
    if len(usable) < 2:
        return usable[0] if usable else None
    return min(
        usable,
        key=lambda load: (
            _compute_utilization(load, holds, now),
            # A backend with credit has had less than its slow-start share.
            not _is_ramping(load, now),
            xxhash.xxh3_64_intdigest(key, load.backend.number),
        ),
    )


def update_credits(
    loads: Sequence[BackendLoad],
    chosen: BackendLoad,
    now: float,
) -> None:
    """Credit each backend in slow start with its share of an admitted flow."""
    if not any(now < load.constrained_until for load in loads):
        return
    ramping = [load for load in loads if _is_ramping(load, now)]
    weights = {
        load.backend.number: _find_share(load, now) * load.backend.slots
        for load in loads
    }
    total = sum(weights.values()) or 1
    for load in ramping:
        earned = weights[load.backend.number] / total
        load.credit = min(load.credit + earned, MAX_CREDIT)
    if _is_ramping(chosen, now):
        chosen.credit = max(chosen.credit - 1, 0)


def _find_share(load: BackendLoad, now: float) -> float:
    return slowstart.compute_share(now - load.known_since)


def _is_ramping(load: BackendLoad, now: float) -> bool:
    return now - load.known_since < slowstart.FULL_AGE_S


def _lacks_credit(load: BackendLoad, now: float) -> bool:
    return _is_ramping(load, now) and load.credit < _WHOLE_CREDIT


def _count_usable_slots(load: BackendLoad, now: float) -> int:
    """Return the slots that flows of this owner may use.

    Reported foreign slots lower them by at most half.
    """
    slots = load.backend.slots
    if not load.is_fresh(now):
        return slots
    withdrawn = min(load.foreign_busy, slots // 2)
    if load.foreign_busy and _may_test_foreign(load, now):
        withdrawn -= 1
    return slots - max(withdrawn, 0)


def _may_test_foreign(load: BackendLoad, now: float) -> bool:
    return (
        bool(load.disproved_reports)
        or now - load.foreign_since >= FOREIGN_TEST_AFTER_S
    )


def _count_usable_connections(load: BackendLoad, now: float) -> int:
    limit = load.backend.connections
    if load.report is None or not load.is_fresh(now):
        return limit
    return limit - min(load.foreign_open, limit // 2)


def _count_reported_free(load: BackendLoad, now: float, limit: int) -> int:
    """Return how many of `limit` slots the report shows as free."""
    if load.report is None or not load.is_fresh(now):
        return 0
    return (
        limit
        - load.report.busy
        - load.started_since_poll
        + load.ended_since_poll
    )


def _list_draining(
    loads: Sequence[BackendLoad],
    now: float,
) -> frozenset[int]:
    """Return the backends whose reports say draining, unless most do.

    If more than half do, the reports are ignored, since false reports must not
    empty a shard. Records of a real drain follow within seconds.
    """
    draining = frozenset(
        load.backend.number
        for load in loads
        if load.report is not None
        and load.report.state == DRAINING
        and load.is_fresh(now)
    )
    if 2 * len(draining) > len(loads):
        return frozenset()
    return draining


def _compute_utilization(
    load: BackendLoad, holds: Holding, now: float
) -> float:
    """Return the load as a fraction of the slots or connections."""
    if holds is Holding.connection:
        return load.open / max(load.backend.connections, 1)
    withdrawn = load.backend.slots - _count_usable_slots(load, now)
    return (load.busy + withdrawn) / max(load.backend.slots, 1)

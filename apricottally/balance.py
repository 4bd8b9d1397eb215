"""Choice of a backend server, and the weight of what backends report.

The owner of a shard knows what it has admitted itself. Reports may only
lower what it believes to be free, at most by half and for a short time, so
that a backend that misreports its load cannot draw load to itself.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

import xxhash

from apricottally import slowstart
from apricottally.events import LoadReport
from apricottally.model import Backend, Holding

# Time after which a report has no weight.
REPORT_FRESH_S = 5.0
# Time for which a new owner admits only what reports leave free.
TAKEOVER_S = 2.0
# Age of a claim of foreign work from which one flow is admitted against it.
PROBE_AFTER_S = 5.0
# Claims disproved, without one that held and with gaps of at most the time of
# distrust, after which reports are left out for that time.
MAX_STRIKES = 3
DISTRUST_S = 60.0
# Corrections of the connection count by one report: largest step, and how far
# it may leave the mean of the shard.
DRIFT_STEP = 20
DRIFT_MARGIN = 0.05
# Difference between count and report that connections in flight explain.
DRIFT_TOLERANCE = 10
# Time for which a backend that shed a flow gets no other one.
SHED_PAUSE_S = 0.1
# Credit of a new backend for flows: it may save up this many.
MAX_CREDIT = 2.0
_WHOLE_CREDIT = 1 - 1e-9
_LONG_AGO = float('-inf')
# State in a report of a backend that takes no new work.
DRAINING = 'draining'


@dataclass(slots=True, eq=False)
class BackendLoad:
    """What one owner knows about the load of a backend server.

    `busy` counts slots and `open` connections that flows admitted here hold.
    `foreign` is what the last report claims beyond that. `started` and
    `ended` count slot flows since the last poll; `credit` is the number of
    flows that a backend in slow start may get now. Before `special_until`
    more than the two counts decides whether the backend has room.
    `unconfirmed` counts the reports in a row that show fewer busy slots than
    `busy`. `missed` counts SYNs and `failed_polls` polls without an answer in
    a row. The backend gets no flow until `ejected_until`, and none that holds a
    slot until `full_until`.
    """

    backend: Backend
    known_since: float
    busy: int = 0
    open: int = 0
    started: int = 0
    ended: int = 0
    credit: float = 1.0
    report: LoadReport | None = None
    reported_at: float = _LONG_AGO
    foreign: int = 0
    unconfirmed: int = 0
    missed: int = 0
    failed_polls: int = 0
    ejected_until: float = 0
    full_until: float = 0
    foreign_open: int = 0
    claimed_since: float = _LONG_AGO
    strikes: int = 0
    struck_at: float = _LONG_AGO
    distrusted_until: float = _LONG_AGO
    special_until: float = field(init=False)

    def __post_init__(self) -> None:
        self.special_until = self.known_since + slowstart.FULL_AGE_S
        self.update(self.backend)

    def update(self, backend: Backend) -> None:
        """Take the backend's newest record."""
        self.backend = backend
        if not backend.slots or not backend.connections:
            # Nothing to divide by.
            self.special_until = float('inf')

    def take(self, holds: Holding) -> None:
        """Count a flow that starts."""
        if holds is Holding.slot:
            self.busy += 1
            self.started += 1
        else:
            self.open += 1

    def free(self, holds: Holding) -> None:
        """Count a flow that ended."""
        if holds is Holding.slot:
            self.busy -= 1
            self.ended += 1
        elif self.open:
            self.open -= 1

    def mark_poll(self) -> None:
        """Start counting what the coming report cannot tell apart."""
        self.started = 0
        self.ended = 0

    def is_fresh(self, now: float) -> bool:
        """Tell whether the last report still has weight."""
        return now - self.reported_at < REPORT_FRESH_S


def take_report(load: BackendLoad, report: LoadReport, now: float) -> None:
    """Keep a report and what it claims beyond this owner's own flows.

    A flow that ended since the poll may be in the report, so it is not
    counted as foreign.
    """
    load.report = report
    load.reported_at = now
    foreign_open = report.open - load.open - load.busy
    load.foreign_open = foreign_open if foreign_open > DRIFT_TOLERANCE else 0
    _take_claim(load, report.busy - load.busy - load.ended, now)
    if load.foreign or load.foreign_open or report.state == DRAINING:
        load.special_until = max(load.special_until, now + REPORT_FRESH_S)


def _take_claim(load: BackendLoad, foreign: int, now: float) -> None:
    if foreign <= 0 or now < load.distrusted_until:
        load.foreign = 0
        load.claimed_since = _LONG_AGO
        return
    if load.claimed_since == _LONG_AGO:
        load.claimed_since = now
    load.foreign = foreign


def note_accepted(load: BackendLoad, now: float) -> None:
    """Drop a claim that a SYN-ACK for a slot flow disproves."""
    if not load.foreign or load.busy + load.foreign <= load.backend.slots:
        return
    load.foreign = 0
    if now - load.struck_at > DISTRUST_S:
        load.strikes = 0
    load.struck_at = now
    load.strikes += 1
    if load.strikes >= MAX_STRIKES:
        load.strikes = 0
        load.distrusted_until = now + DISTRUST_S


def note_shed(load: BackendLoad, now: float) -> None:
    """Take a reset of a SYN as proof that the backend is full."""
    load.full_until = now + SHED_PAUSE_S
    load.special_until = max(load.special_until, load.full_until)
    load.strikes = 0
    if load.foreign:
        load.claimed_since = now


def correct_drift(
    load: BackendLoad,
    peers: Sequence[BackendLoad],
    now: float,
) -> None:
    """Move the connection count towards the report, in bounds.

    A count drifts when ends of flows are seen by another owner. The mean of
    the shard bounds the correction, so that a false report cannot make a
    backend look empty.
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
        load.open = max(load.open + drift, load.open - DRIFT_STEP, lowest)
        return
    highest = max(load.open, int(mean * (1 + DRIFT_MARGIN)))
    load.open = min(load.open + drift, load.open + DRIFT_STEP, highest)


def adopt_connections(loads: Sequence[BackendLoad], now: float) -> None:
    """Take reported connections as counts, at the end of a takeover.

    Reports far from the median of the shard are cut to it.
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
        claimed = median
        if load.report is not None and load.is_fresh(now):
            claimed = load.report.open
        lowest = int(median * (1 - DRIFT_MARGIN))
        highest = int(median * (1 + DRIFT_MARGIN)) + DRIFT_TOLERANCE
        bounded = min(max(claimed, lowest), highest)
        load.open = max(load.open, bounded)


def count_free(
    load: BackendLoad,
    holds: Holding,
    now: float,
    *,
    takeover: bool,
) -> int:
    """Return how many more flows the backend may get."""
    if now - load.known_since < slowstart.SETTLE_S:
        return 0
    if holds is Holding.slot:
        if now < load.full_until:
            return 0
        free = _limit_slots(load, now) - load.busy
        if takeover:
            free = min(free, _count_reported(load, now, load.backend.slots))
        return free
    free = _limit_connections(load, now) - load.open
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
    """Return the least loaded backend with room for the flow."""
    is_special = takeover or any(now < load.special_until for load in loads)
    if is_special or excluded:
        return _choose_special(
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


def _choose_special(
    loads: Sequence[BackendLoad],
    holds: Holding,
    key: bytes,
    now: float,
    *,
    takeover: bool,
    excluded: tuple[int, ...],
) -> BackendLoad | None:
    """Choose among backends of which some are new, draining or in doubt."""
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
            _score(load, holds, now),
            # A new backend with credit has fewer flows than its part so far.
            not _is_ramping(load, now),
            xxhash.xxh3_64_intdigest(key, load.backend.number),
        ),
    )


def spend_credit(
    loads: Sequence[BackendLoad],
    chosen: BackendLoad,
    now: float,
) -> None:
    """Give each backend in slow start its part of an admitted flow."""
    if not any(now < load.special_until for load in loads):
        return
    ramping = [load for load in loads if _is_ramping(load, now)]
    weights = {
        load.backend.number: _weigh(load, now) * load.backend.slots
        for load in loads
    }
    total = sum(weights.values()) or 1
    for load in ramping:
        earned = weights[load.backend.number] / total
        load.credit = min(load.credit + earned, MAX_CREDIT)
    if _is_ramping(chosen, now):
        chosen.credit = max(chosen.credit - 1, 0)


def _weigh(load: BackendLoad, now: float) -> float:
    return slowstart.ramp(now - load.known_since)


def _is_ramping(load: BackendLoad, now: float) -> bool:
    return now - load.known_since < slowstart.FULL_AGE_S


def _lacks_credit(load: BackendLoad, now: float) -> bool:
    return _is_ramping(load, now) and load.credit < _WHOLE_CREDIT


def _limit_slots(load: BackendLoad, now: float) -> int:
    """Return the slots that may be in use; reports withdraw up to half."""
    slots = load.backend.slots
    if not load.is_fresh(now):
        return slots
    withdrawn = min(load.foreign, slots // 2)
    if load.foreign and _may_probe(load, now):
        withdrawn -= 1
    return slots - max(withdrawn, 0)


def _may_probe(load: BackendLoad, now: float) -> bool:
    return bool(load.strikes) or now - load.claimed_since >= PROBE_AFTER_S


def _limit_connections(load: BackendLoad, now: float) -> int:
    limit = load.backend.connections
    if load.report is None or not load.is_fresh(now):
        return limit
    return limit - min(load.foreign_open, limit // 2)


def _count_reported(load: BackendLoad, now: float, limit: int) -> int:
    """Return what the report leaves of the slots for a new owner."""
    if load.report is None or not load.is_fresh(now):
        return 0
    return limit - load.report.busy - load.started + load.ended


def _list_draining(
    loads: Sequence[BackendLoad],
    now: float,
) -> frozenset[int]:
    """Return the backends that say they drain, unless most of them do.

    Their records follow within seconds; a false report must not empty a
    shard.
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


def _score(load: BackendLoad, holds: Holding, now: float) -> float:
    """Return the outstanding work per slot or connection."""
    if holds is Holding.connection:
        return load.open / max(load.backend.connections, 1)
    withdrawn = load.backend.slots - _limit_slots(load, now)
    return (load.busy + withdrawn) / max(load.backend.slots, 1)

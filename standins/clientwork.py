"""What callers do and what they saw of it."""

from dataclasses import dataclass, field

import msgspec
from hdrh.histogram import HdrHistogram

from standins.protocol import Kind

# Histogram bounds in milliseconds, with two significant figures.
_MIN_MS = 1
_MAX_MS = 60_000
_FIGURES = 2
_MEDIAN = 50
_NEARLY_ALL = 99


class Work(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One stream of flows from a caller to a service endpoint.

    `target` is `IP:PORT` and `service` the service expected there. New flows
    come at random, `rate_per_s` on average. Of feeds, `feeds` are kept open.
    A flow without progress for `stall_s` counts as broken.
    """

    name: str
    target: str
    service: str
    kind: Kind
    rate_per_s: float
    feeds: int = 0
    size: int = 0
    work_ms: int = 0
    deadline_ms: int = 0
    interval_ms: int = 300
    stall_s: float = 8


class Tally(msgspec.Struct):
    """Counts of flows by what became of them.

    Every flow is `started`, and `opened` once its handshake is over. It ends
    as one of `completed`, `expired` (answered past its deadline), `broken`
    (reset, cut short or stalled after the handshake), `refused` (reset that
    answers the SYN), `unanswered` (no answer to the SYN), `crossed` (answer
    of another request or in the wrong order) or `misrouted` (answer of
    another service). `doubled` counts bytes after a whole answer.
    """

    started: int = 0
    opened: int = 0
    completed: int = 0
    expired: int = 0
    broken: int = 0
    refused: int = 0
    unanswered: int = 0
    crossed: int = 0
    misrouted: int = 0
    doubled: int = 0
    events: int = 0


class WorkReport(msgspec.Struct):
    """What a caller saw of one stream; waits are for the handshake, in ms."""

    kind: Kind
    tally: Tally
    running: int
    wait_p50_ms: int
    wait_p99_ms: int


class BrokenFlow(msgspec.Struct, frozen=True):
    """A flow that broke after its handshake; times are the caller's clock."""

    id: str
    started_s: float
    ended_s: float


class ClientReport(msgspec.Struct):
    """What a caller saw of all its work, with ids for the journals.

    `faults` tells the first broken, crossed and misrouted flows.
    """

    works: dict[str, WorkReport]
    damaged: int
    completed_ids: list[str]
    refused_ids: list[str]
    unanswered_ids: list[str]
    faults: list[str]
    broken: list[BrokenFlow] = msgspec.field(default_factory=list)


@dataclass(slots=True)
class Stream:
    """The state of one stream of flows."""

    work: Work
    next_start: float
    running: int = 0
    tally: Tally = field(default_factory=Tally)
    waits: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(_MIN_MS, _MAX_MS, _FIGURES),
    )

    def record_wait(self, wait_s: float) -> None:
        """Take the duration of a handshake."""
        self.waits.record_value(max(_MIN_MS, round(wait_s * 1000)))

    def report(self) -> WorkReport:
        """Return what was seen so far."""
        return WorkReport(
            self.work.kind,
            self.tally,
            self.running,
            int(self.waits.get_value_at_percentile(_MEDIAN)),
            int(self.waits.get_value_at_percentile(_NEARLY_ALL)),
        )

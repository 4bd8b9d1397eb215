"""The workload of a caller and the report on its flows."""

from dataclasses import dataclass, field

import msgspec
from hdrh.histogram import HdrHistogram

from standins.protocol import Kind

# Bounds of the histogram in milliseconds, and its precision.
_MIN_MS = 1
_MAX_MS = 60_000
_SIGNIFICANT_DIGITS = 2
_P50 = 50
_P99 = 99


class Work(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One stream of flows from a caller to a service endpoint.

    `target` is `IP:PORT` and `service` the service expected there. New flows
    start at random intervals, `rate_per_s` on average; at most `feeds` feeds
    are open at a time. A flow without progress for `stall_s` counts as broken.
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
    """Counts of flows by outcome.

    Every flow counts as `started`, and as `opened` once its handshake is
    complete. It ends as one of `completed`, `expired` (stopped at its
    deadline), `broken` (reset, cut short or stalled after the handshake),
    `refused` (a reset answered the SYN), `unanswered` (nothing answered the
    SYN), `crossed` (malformed, out of order or for another request),
    `misrouted` (answered by another service) or `doubled` (more bytes after a
    complete answer). `events` counts feed events.
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
    """Results of one stream of flows; `wait_*` are handshake times."""

    kind: Kind
    tally: Tally
    running: int
    wait_p50_ms: int
    wait_p99_ms: int


class BrokenFlow(msgspec.Struct, frozen=True):
    """A flow that broke after its handshake, timed by the caller's clock."""

    id: str
    started_s: float
    ended_s: float


class ClientReport(msgspec.Struct):
    """Results of all streams of a caller.

    The ids of requests are there to compare with the journals of the backend
    servers. `faults` describes the first flows with any other outcome.
    `damaged` counts packets with wrong checksums or headers.
    """

    works: dict[str, WorkReport]
    damaged: int
    completed_ids: list[str]
    refused_ids: list[str]
    unanswered_ids: list[str]
    faults: list[str]
    broken: list[BrokenFlow] = msgspec.field(default_factory=list)


@dataclass(slots=True)
class FlowStream:
    """Schedule, counts and handshake times of one stream of flows."""

    work: Work
    next_start: float
    running: int = 0
    tally: Tally = field(default_factory=Tally)
    handshake_times: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(
            _MIN_MS, _MAX_MS, _SIGNIFICANT_DIGITS
        ),
    )

    def record_handshake(self, wait_s: float) -> None:
        """Record the duration of a handshake."""
        self.handshake_times.record_value(max(_MIN_MS, round(wait_s * 1000)))

    def report(self) -> WorkReport:
        """Return the results so far."""
        return WorkReport(
            self.work.kind,
            self.tally,
            self.running,
            int(self.handshake_times.get_value_at_percentile(_P50)),
            int(self.handshake_times.get_value_at_percentile(_P99)),
        )

"""Virtual time, fake backend servers and callers for policy measurements."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from apricottally.model import Backend, BackendState, Template

# Connections that a backend server without limits in front queues.
BACKLOG = 128
# Time from a SYN within which a request has to start to count, beyond the
# time that its template allows for waiting.
GRACE_S = 0.05


class Clock:
    """Virtual time: calls in order of their time."""

    def __init__(self) -> None:
        self.now = float(0)
        self._heap: list[tuple[float, int, Callable[..., Any], Any]] = []
        self._seq = itertools.count()

    def after(self, delay: float, call: Callable[..., Any], *args: Any) -> None:
        """Call after `delay` seconds."""
        due = self.now + delay
        heapq.heappush(self._heap, (due, next(self._seq), call, args))

    def run(self, until: float) -> None:
        """Run all calls that are due before `until`."""
        while self._heap and self._heap[0][0] < until:
            due, _, call, args = heapq.heappop(self._heap)
            self.now = due
            call(*args)
        self.now = until


@dataclass(slots=True, eq=False)
class Request:
    """One request of a caller, over one connection."""

    template: str
    workspace: int
    number: int
    arrived: float
    run_s: float
    limit_s: float
    started: float | None = None

    @property
    def is_good(self) -> bool:
        """Tell whether it started in time."""
        if self.started is None:
            return False
        return self.started - self.arrived <= self.limit_s + GRACE_S


@dataclass(slots=True, eq=False)
class FakeBackend:
    """A backend server: runs requests in its slots.

    It resets what exceeds its slots if `sheds`, and queues it otherwise. A
    request arrives `handshake_s` after its SYN and takes the slot meanwhile.
    `starts` are the times of accepted requests, `run_s` what was run.
    """

    clock: Clock
    spec: Backend
    handshake_s: float
    sheds: bool
    refuses_all: bool = False
    busy: int = 0
    asked: int = 0
    starts: list[float] = field(default_factory=list)
    run_s: float = 0
    waiting: deque[tuple[float, Callable[[str], None]]] = field(
        default_factory=deque,
    )

    def offer(self, run_s: float, tell: Callable[[str], None]) -> None:
        """Take a request; `tell` hears `accepted`, `shed` and `done`."""
        self.asked += 1
        is_full = self.busy >= self.spec.slots
        if self.refuses_all or (is_full and self.sheds):
            tell('shed')
        elif not is_full:
            self._start(run_s, tell)
        elif len(self.waiting) < BACKLOG:
            self.waiting.append((run_s, tell))
        else:
            tell('shed')

    def _start(self, run_s: float, tell: Callable[[str], None]) -> None:
        self.busy += 1
        self.starts.append(self.clock.now)
        self.run_s += run_s
        tell('accepted')
        self.clock.after(self.handshake_s + run_s, self._finish, tell)

    def _finish(self, tell: Callable[[str], None]) -> None:
        self.busy -= 1
        tell('done')
        if self.waiting:
            self._start(*self.waiting.popleft())


class FakeNode:
    """The CPU of a node: one packet after the other."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._queue: deque[tuple[Callable[..., float], Any]] = deque()
        self._is_running = False

    def submit(self, work: Callable[..., float], *args: Any) -> None:
        """Run `work` in turn; it returns the seconds that it takes."""
        self._queue.append((work, args))
        if not self._is_running:
            self._run_next()

    def _run_next(self) -> None:
        self._is_running = bool(self._queue)
        if self._queue:
            work, args = self._queue.popleft()
            self._clock.after(work(*args), self._run_next)


@dataclass(frozen=True, slots=True)
class World:
    """What a measurement runs in.

    `backends` are by service, `service_of` by template. `report` turns a
    backend's number and its busy slots into what it reports.
    """

    clock: Clock
    deployment: Deployment
    templates: dict[str, Template]
    workspaces: int
    backends: dict[str, list[FakeBackend]]
    rng: random.Random
    report: Callable[[int, int], int]
    costs: Costs


@dataclass(frozen=True, slots=True)
class Costs:
    """CPU seconds of a node a packet, and its budget of SYNs a second."""

    syn_s: float = 50e-6
    shed_s: float = 20e-6
    other_s: float = 15e-6
    syns_per_s: float = 5000


@dataclass(frozen=True, slots=True)
class Deployment:
    """A user's services: backends by zone, and one-way latencies."""

    name: str
    zones: tuple[str, ...]
    latency_s: float
    caller_latency_s: float
    services: dict[str, int]

    @property
    def handshake_s(self) -> float:
        """The time from a SYN-ACK to the request at the backend."""
        return 2 * (self.latency_s + self.caller_latency_s)


DEPLOYMENTS = (
    Deployment(
        'etikett',
        ('sv-a', 'sv-b', 'sv-c'),
        0.0005,
        0.001,
        {'etikett-core': 7, 'proof-store': 3},
    ),
    Deployment(
        'lens hire',
        ('taipei-a', 'taipei-b', 'taichung-a', 'taichung-b'),
        0.001,
        0.003,
        {'booking-desk': 7, 'catalogue': 4},
    ),
)


def build_backends(deployment: Deployment, service: str) -> list[Backend]:
    """Return the backends of a service, spread over the zones in turn."""
    order = list(deployment.services).index(service)
    return [
        build_backend(deployment, order, number)
        for number in range(deployment.services[service])
    ]


def build_backend(
    deployment: Deployment,
    order: int,
    number: int,
    changed_s: int = 0,
) -> Backend:
    """Return one backend of the service that is `order` in its deployment."""
    return Backend(
        number,
        f'{order}-{number}',
        f'127.2.{order}.{number + 1}',
        deployment.zones[number % len(deployment.zones)],
        2,
        2000,
        BackendState.active,
        changed_s,
    )


class Balancer(Protocol):
    """What requests are offered to."""

    def offer(self, request: Request) -> None:
        """Place a request on a backend, or refuse it."""


@dataclass(frozen=True, slots=True)
class Source:
    """Requests of one template and workspace, at a mean rate a second."""

    template: str
    workspace: int
    rate: float
    run_s: float


class Arrivals:
    """Requests offered by a Poisson process a source."""

    def __init__(
        self,
        clock: Clock,
        balancer: Balancer,
        templates: dict[str, Template],
        rng: random.Random,
    ) -> None:
        self.requests: list[Request] = []
        self._clock = clock
        self._balancer = balancer
        self._templates = templates
        self._rng = rng

    def start(self, source: Source, begin: float, end: float) -> None:
        """Offer requests of a source from `begin` to `end`."""
        self._clock.after(begin, self._schedule, source, end)

    def _schedule(self, source: Source, end: float) -> None:
        delay = self._rng.expovariate(source.rate)
        if self._clock.now + delay < end:
            self._clock.after(delay, self._arrive, source, end)

    def _arrive(self, source: Source, end: float) -> None:
        template = self._templates[source.template]
        request = Request(
            source.template,
            source.workspace,
            len(self.requests),
            self._clock.now,
            self._rng.expovariate(1 / source.run_s),
            template.max_wait_ms / 1000,
        )
        self.requests.append(request)
        self._balancer.offer(request)
        self._schedule(source, end)

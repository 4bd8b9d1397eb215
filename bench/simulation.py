"""Virtual time with simulated backend servers, node CPUs and callers."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from apricottally.model import Backend, BackendState, Template

# Connections that a backend server queues when the balancer does not limit
# them.
LISTEN_BACKLOG = 128
# A request is in time if it starts within its template's maximum wait and this
# margin, counted from its SYN.
START_GRACE_S = 0.05


class Clock:
    """Virtual time: runs scheduled calls in the order of their due times."""

    def __init__(self) -> None:
        self.now = float(0)
        self._heap: list[tuple[float, int, Callable[..., Any], Any]] = []
        self._seq = itertools.count()

    def after(self, delay: float, call: Callable[..., Any], *args: Any) -> None:
        """Schedule a call in `delay` seconds."""
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
    max_wait_s: float
    started: float | None = None

    @property
    def started_in_time(self) -> bool:
        """Tell whether the request started within its maximum wait."""
        if self.started is None:
            return False
        return self.started - self.arrived <= self.max_wait_s + START_GRACE_S


@dataclass(slots=True, eq=False)
class FakeBackend:
    """A backend server that runs requests in its slots.

    While all slots are busy, it resets further requests if `resets_excess`,
    and queues them otherwise. A request takes its slot from the SYN on and
    runs after `handshake_s`. `start_times` are those of accepted requests,
    `total_run_s` the sum of their run times.
    """

    clock: Clock
    spec: Backend
    handshake_s: float
    resets_excess: bool
    resets_all: bool = False
    busy: int = 0
    received: int = 0
    start_times: list[float] = field(default_factory=list)
    total_run_s: float = 0
    waiting: deque[tuple[float, Callable[[str], None]]] = field(
        default_factory=deque,
    )

    def offer(self, run_s: float, notify: Callable[[str], None]) -> None:
        """Accept, queue or reset a request that runs for `run_s` seconds.

        `notify` is called with `accepted` and later `done`, or with `shed`
        for a reset.
        """
        self.received += 1
        is_full = self.busy >= self.spec.slots
        if self.resets_all or (is_full and self.resets_excess):
            notify('shed')
        elif not is_full:
            self._start(run_s, notify)
        elif len(self.waiting) < LISTEN_BACKLOG:
            self.waiting.append((run_s, notify))
        else:
            notify('shed')

    def _start(self, run_s: float, notify: Callable[[str], None]) -> None:
        self.busy += 1
        self.start_times.append(self.clock.now)
        self.total_run_s += run_s
        notify('accepted')
        self.clock.after(self.handshake_s + run_s, self._finish, notify)

    def _finish(self, notify: Callable[[str], None]) -> None:
        self.busy -= 1
        notify('done')
        if self.waiting:
            self._start(*self.waiting.popleft())


class NodeCpu:
    """The CPU of a node: processes one packet at a time."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._queue: deque[tuple[Callable[..., float], Any]] = deque()
        self._is_running = False

    def submit(self, work: Callable[..., float], *args: Any) -> None:
        """Queue `work`; its return value is the CPU seconds it takes."""
        self._queue.append((work, args))
        if not self._is_running:
            self._run_next()

    def _run_next(self) -> None:
        self._is_running = bool(self._queue)
        if self._queue:
            work, args = self._queue.popleft()
            self._clock.after(work(*args), self._run_next)


@dataclass(frozen=True, slots=True)
class Environment:
    """The simulated deployment and traffic settings of a run.

    `backends` are by service. `report_busy` returns the busy slots that a
    backend reports, given its number and its busy slots.
    """

    clock: Clock
    deployment: Deployment
    templates: dict[str, Template]
    workspaces: int
    backends: dict[str, list[FakeBackend]]
    rng: random.Random
    report_busy: Callable[[int, int], int]
    costs: CpuCosts


@dataclass(frozen=True, slots=True)
class CpuCosts:
    """CPU seconds per packet of a node, and its limit of SYNs per second.

    A packet is an admitted SYN, one shed by an overloaded node, or any other.
    """

    syn_s: float = 50e-6
    shed_s: float = 20e-6
    other_s: float = 15e-6
    syns_per_s: float = 5000


@dataclass(frozen=True, slots=True)
class Deployment:
    """A deployment: zones, backends per service and one-way latencies."""

    name: str
    zones: tuple[str, ...]
    latency_s: float
    caller_latency_s: float
    services: dict[str, int]

    @property
    def handshake_s(self) -> float:
        """Time from the backend's SYN-ACK until the request reaches it."""
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
    """Return the backends of a service, spread evenly over the zones."""
    service_index = list(deployment.services).index(service)
    return [
        build_backend(deployment, service_index, number)
        for number in range(deployment.services[service])
    ]


def build_backend(
    deployment: Deployment,
    service_index: int,
    number: int,
    changed_s: int = 0,
) -> Backend:
    """Return a backend of the service at an index of the deployment."""
    return Backend(
        number,
        f'{service_index}-{number}',
        f'127.2.{service_index}.{number + 1}',
        deployment.zones[number % len(deployment.zones)],
        2,
        2000,
        BackendState.active,
        changed_s,
    )


class Balancer(Protocol):
    """A balancer under test."""

    def offer(self, request: Request) -> None:
        """Forward a request to a backend, or refuse it."""


@dataclass(frozen=True, slots=True)
class Source:
    """Requests of one template and workspace, `rate` per second on average.

    `run_s` is the mean run time of a request.
    """

    template: str
    workspace: int
    rate: float
    run_s: float


class Arrivals:
    """Offers requests to a balancer, one Poisson process per source."""

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
        """Offer requests of a source from `begin` to `end`, in seconds."""
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

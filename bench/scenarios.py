"""Simulated runs of a deployment under one policy, and their results."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from apricottally.model import Holding, Template, Urgency
from bench import simulation
from bench.policybaselines import BASELINES, DirectBalancer, LeastReported
from bench.reducernodes import UNIX_START_S, ReducerBalancer
from bench.simulation import (
    Arrivals,
    Clock,
    CpuCosts,
    Deployment,
    Environment,
    FakeBackend,
    Request,
    Source,
)

# Time before the measured part, in which new owners learn the backends' load.
WARMUP_S = 4.0
# Time after the measured part in which requests may still start.
COOLDOWN_S = 2.0
# Mean run time of a request.
MEAN_RUN_S = 0.1
DEFAULT_COSTS = CpuCosts()
APRICOTTALLY = 'apricottally'


def report_true_slots(number: int, busy: int) -> int:
    """Return the busy slots unchanged, as a correct report."""
    return busy


@dataclass(frozen=True, slots=True)
class Plan:
    """A run: `sources` send all the time, `floods` in the measured part only.

    With `backends_reset`, every backend resets all requests. `adds_backend`
    adds one to the first service at the start of the measured part.
    """

    deployment: Deployment
    sources: tuple[Source, ...]
    floods: tuple[Source, ...] = ()
    measured_s: float = 20.0
    workspaces: int = 4
    backends_reset: bool = False
    adds_backend: bool = False
    report_busy: Callable[[int, int], int] = report_true_slots
    costs: CpuCosts = DEFAULT_COSTS


@dataclass(frozen=True, slots=True)
class Outcome:
    """Requests that arrived in the measured part, and the backends.

    `offered` counts the requests of the whole run.
    """

    plan: Plan
    requests: tuple[Request, ...]
    backends: dict[str, list[FakeBackend]]
    offered: int

    def goodput(self, template: str, workspace: int | None = None) -> float:
        """Return the share of these requests that started in time."""
        chosen = self.select_requests(template, workspace)
        return sum(request.started_in_time for request in chosen) / len(chosen)

    def select_requests(
        self,
        template: str,
        workspace: int | None = None,
    ) -> list[Request]:
        """Return the requests of a template, of one or of all workspaces."""
        return [
            request
            for request in self.requests
            if request.template == template
            and workspace in {None, request.workspace}
        ]

    def wait_p99(self, template: str) -> float:
        """Return the 99th percentile of the wait in seconds.

        The wait of a request that did not start is infinite.
        """
        waits = sorted(
            float('inf')
            if request.started is None
            else request.started - request.arrived
            for request in self.select_requests(template)
        )
        return waits[int(0.99 * len(waits))]

    def count_received(self) -> int:
        """Return how many requests the backends received, resets included."""
        return sum(
            backend.received
            for group in self.backends.values()
            for backend in group
        )


def build_templates(deployment: Deployment) -> dict[str, Template]:
    """Return the templates that the measurements use.

    `job` (urgent) and `sheet` (background) use the first service, `rush`
    (background) the second one.
    """
    first, second = deployment.services
    slot = Holding.slot
    return {
        'job': Template(first, Urgency.urgent, 443, slot),
        'sheet': Template(first, Urgency.background, 444, slot),
        'rush': Template(second, Urgency.background, 445, slot),
    }


def compute_rate(deployment: Deployment, service: int, share: float) -> float:
    """Return the requests/s that keep a share of a service's slots busy.

    The slots' time in handshakes is not counted.
    """
    backends = tuple(deployment.services.values())[service]
    return share * backends * 2 / MEAN_RUN_S


def run(plan: Plan, policy: str, seed: int) -> Outcome:
    """Run a plan under apricottally or under a baseline's name.

    The baselines are those in `BASELINES` and `by report`.
    """
    clock = Clock()
    env = _build_environment(plan, clock, policy, seed)
    balancer = _build_balancer(env, policy, plan)
    arrivals = Arrivals(clock, balancer, env.templates, env.rng)
    end = WARMUP_S + plan.measured_s
    for source in plan.sources:
        arrivals.start(source, 0, end)
    for flood in plan.floods:
        arrivals.start(flood, WARMUP_S, end)
    clock.run(WARMUP_S)
    if plan.adds_backend:
        _add_backend(env, balancer)
    clock.run(end + COOLDOWN_S)
    measured = [
        request for request in arrivals.requests if request.arrived >= WARMUP_S
    ]
    offered = len(arrivals.requests)
    return Outcome(plan, tuple(measured), env.backends, offered)


def count_starts(
    outcome: Outcome,
    begin: float,
    end: float,
) -> dict[int, int]:
    """Count the starts from `begin` to `end` by backend, first service."""
    first = next(iter(outcome.backends.values()))
    return {
        backend.spec.number: sum(
            begin <= at < end for at in backend.start_times
        )
        for backend in first
    }


def _build_environment(
    plan: Plan, clock: Clock, policy: str, seed: int
) -> Environment:
    deployment = plan.deployment
    resets_excess = policy == APRICOTTALLY or plan.backends_reset
    backends = {
        service: [
            FakeBackend(
                clock,
                spec,
                deployment.handshake_s,
                resets_excess,
                plan.backends_reset,
            )
            for spec in simulation.build_backends(deployment, service)
        ]
        for service in deployment.services
    }
    return Environment(
        clock,
        deployment,
        build_templates(deployment),
        plan.workspaces,
        backends,
        random.Random(seed),
        plan.report_busy,
        plan.costs,
    )


def _build_balancer(
    env: Environment,
    policy: str,
    plan: Plan,
) -> ReducerBalancer | DirectBalancer:
    if policy == APRICOTTALLY:
        return ReducerBalancer(env)
    max_attempts = 3 if plan.backends_reset else 1
    if policy == 'by report':
        return DirectBalancer(
            env, LeastReported(env, env.rng).choose, max_attempts
        )
    return DirectBalancer(env, BASELINES[policy], max_attempts)


def _add_backend(
    env: Environment, balancer: ReducerBalancer | DirectBalancer
) -> None:
    service, group = next(iter(env.backends.items()))
    changed_s = int(UNIX_START_S + env.clock.now)
    spec = simulation.build_backend(env.deployment, 0, len(group), changed_s)
    handshake_s = env.deployment.handshake_s
    resets_excess = group[0].resets_excess
    group.append(FakeBackend(env.clock, spec, handshake_s, resets_excess))
    if isinstance(balancer, ReducerBalancer):
        balancer.publish_backends(service)

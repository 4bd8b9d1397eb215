"""One run of a deployment under a policy, and what it measures."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from apricottally.model import Holding, Template, Urgency
from bench import fakes
from bench.baselines import BASELINES, Baseline, ByReport
from bench.fakes import (
    Arrivals,
    Clock,
    Costs,
    Deployment,
    FakeBackend,
    Request,
    Source,
    World,
)
from bench.owners import WALL_S, CoreBalancer

# Time before the measured part: new owners know their load by then.
WARM_S = 4.0
# Time after the measured part in which requests may still start.
AFTER_S = 2.0
# Mean run of a request.
RUN_S = 0.1
DEFAULT_COSTS = Costs()
CORE = 'apricottally'


def report_truth(number: int, busy: int) -> int:
    """Report the slots in use."""
    return busy


@dataclass(frozen=True, slots=True)
class Plan:
    """A run: `sources` for the whole of it, `floods` for its measured part.

    `refuses` makes every backend shed all. `joins` adds a backend to the
    first service at the start of the measured part.
    """

    deployment: Deployment
    sources: tuple[Source, ...]
    floods: tuple[Source, ...] = ()
    measured_s: float = 20.0
    workspaces: int = 4
    refuses: bool = False
    joins: bool = False
    report: Callable[[int, int], int] = report_truth
    costs: Costs = DEFAULT_COSTS


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
        """Return the part of the requests that started in time."""
        chosen = self.choose(template, workspace)
        return sum(request.is_good for request in chosen) / len(chosen)

    def choose(
        self,
        template: str,
        workspace: int | None = None,
    ) -> list[Request]:
        """Return the requests of a template, of all workspaces if None."""
        return [
            request
            for request in self.requests
            if request.template == template
            and workspace in {None, request.workspace}
        ]

    def wait_p99(self, template: str) -> float:
        """Return the 99th percentile of the wait; infinite if not started."""
        waits = sorted(
            float('inf')
            if request.started is None
            else request.started - request.arrived
            for request in self.choose(template)
        )
        return waits[int(0.99 * len(waits))]

    def asked(self) -> int:
        """Return how often backends were asked."""
        return sum(
            backend.asked
            for group in self.backends.values()
            for backend in group
        )


def build_templates(deployment: Deployment) -> dict[str, Template]:
    """Return the templates that the measurements use.

    `job` and `sheet` share the first service; `rush` has the second one.
    """
    first, second = deployment.services
    slot = Holding.slot
    return {
        'job': Template(first, Urgency.urgent, 443, slot),
        'sheet': Template(first, Urgency.background, 444, slot),
        'rush': Template(second, Urgency.background, 445, slot),
    }


def rate_of(deployment: Deployment, service: int, part: float) -> float:
    """Return the requests a second that fill a part of a service's slots."""
    backends = tuple(deployment.services.values())[service]
    return part * backends * 2 / RUN_S


def run(plan: Plan, policy: str, seed: int) -> Outcome:
    """Run a plan under a policy named in `BASELINES`, or the core."""
    clock = Clock()
    world = _build_world(plan, clock, policy, seed)
    balancer = _build_balancer(world, policy, plan)
    arrivals = Arrivals(clock, balancer, world.templates, world.rng)
    end = WARM_S + plan.measured_s
    for source in plan.sources:
        arrivals.start(source, 0, end)
    for flood in plan.floods:
        arrivals.start(flood, WARM_S, end)
    clock.run(WARM_S)
    if plan.joins:
        _join(world, balancer)
    clock.run(end + AFTER_S)
    measured = [
        request for request in arrivals.requests if request.arrived >= WARM_S
    ]
    offered = len(arrivals.requests)
    return Outcome(plan, tuple(measured), world.backends, offered)


def count_starts(
    outcome: Outcome,
    begin: float,
    end: float,
) -> dict[int, int]:
    """Return the starts in a part of a run by backend of the first service."""
    first = next(iter(outcome.backends.values()))
    return {
        backend.spec.number: sum(begin <= at < end for at in backend.starts)
        for backend in first
    }


def _build_world(plan: Plan, clock: Clock, policy: str, seed: int) -> World:
    deployment = plan.deployment
    sheds = policy == CORE or plan.refuses
    backends = {
        service: [
            FakeBackend(
                clock, spec, deployment.handshake_s, sheds, plan.refuses
            )
            for spec in fakes.build_backends(deployment, service)
        ]
        for service in deployment.services
    }
    return World(
        clock,
        deployment,
        build_templates(deployment),
        plan.workspaces,
        backends,
        random.Random(seed),
        plan.report,
        plan.costs,
    )


def _build_balancer(
    world: World,
    policy: str,
    plan: Plan,
) -> CoreBalancer | Baseline:
    if policy == CORE:
        return CoreBalancer(world)
    tries = 3 if plan.refuses else 1
    if policy == 'by report':
        return Baseline(world, ByReport(world, world.rng).choose, tries)
    return Baseline(world, BASELINES[policy], tries)


def _join(world: World, balancer: CoreBalancer | Baseline) -> None:
    service, group = next(iter(world.backends.items()))
    changed_s = int(WALL_S + world.clock.now)
    spec = fakes.build_backend(world.deployment, 0, len(group), changed_s)
    handshake_s = world.deployment.handshake_s
    sheds = group[0].sheds
    group.append(FakeBackend(world.clock, spec, handshake_s, sheds))
    if isinstance(balancer, CoreBalancer):
        balancer.publish_backends(service)

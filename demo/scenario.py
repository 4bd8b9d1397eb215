"""What happens to a deployment while it serves."""

import asyncio
from dataclasses import dataclass, field

from apricottally import model
from apricottally.model import MachineState
from demo import metrics, plans, processes
from demo.cluster import Cluster
from demo.errors import DemoError
from demo.metrics import Scraper
from demo.publisher import record_key
from standins.server import JournalReport
from standins.workload import ClientReport

# Balancers by their part in the run; the rest serves throughout.
FIRST_BALANCERS = 4
STOPPED = 2
KILLED = 3
JOINING = 4
ALL_BALANCERS = 5
# The first backend of the first service leaves.
DRAINED = 0

# A published change is in force everywhere within this time.
IN_FORCE_LIMIT_S = 7.0
# How much longer is waited, so that the table shows by how much it was late.
IN_FORCE_WAIT_S = 10.0
# A balancer stops within 30 s of SIGTERM.
STOP_LIMIT_S = 31.0

# A new backend gets flows once its number has been known for 2 s.
NEW_BACKEND_S = 2.5

# Seconds after the work began.
CHANGE_AT_S = 4.0
JOIN_AT_S = 6.0
STOP_AT_S = 9.0
DRAIN_AT_S = 12.0
KILL_AT_S = 14.0
END_AT_S = 28.0
# Owners have changed and slots are known again 9 s after the kill.
LATE_S = 5.0
FINISH_LIMIT_S = 9.0
REPORT_S = 0.5
_SLOWER_WAIT_MS = 600
_RAISED_SHARE = 2.0


@dataclass(slots=True)
class Observations:
    """What a run showed.

    `in_force_s` holds, for each published change, the seconds until every
    balancer had it, None if it took longer than was waited. `stop_status` is
    the planned stop's exit status, None if it did not end. `steady_from` and
    `steady_to` bound the time without changes of backends, in monotonic
    seconds. `refused_late` counts refusals in the last seconds of the work.
    """

    scraper: Scraper = field(default_factory=Scraper)
    in_force_s: dict[str, float | None] = field(default_factory=dict)
    stop_status: int | None = None
    stop_s: float = 0
    steady_from: float = 0
    steady_to: float = 0
    refused_late: int = 0
    callers: ClientReport | None = None
    journals: list[JournalReport] = field(default_factory=list)


class Scenario:
    """Runs one deployment through its changes."""

    def __init__(self, cluster: Cluster) -> None:
        self.seen = Observations()
        self._cluster = cluster
        self._serving: set[int] = set()
        self._started: float = 0

    async def run(self) -> Observations:
        """Start everything, change things, and return what was seen."""
        await self._start()
        self._started = self._now()
        layout = self._cluster.layout
        ips = [layout.balancer_ip(index) for index in range(ALL_BALANCERS)]
        async with self.seen.scraper.keep_scraping(ips):
            await asyncio.gather(self._stop_one(), self._change_things())
            await self._finish()
        return self.seen

    async def _start(self) -> None:
        cluster = self._cluster
        await cluster.start_platform()
        await cluster.start_fabric(ALL_BALANCERS)
        await cluster.start_backends()
        indexes = range(FIRST_BALANCERS)
        await asyncio.gather(*map(cluster.start_balancer, indexes))
        await asyncio.gather(*map(cluster.wait_ready, indexes))
        self._serving.update(indexes)
        await self._publish_all()
        await cluster.start_callers()

    async def _publish_all(self) -> None:
        """Publish everything and wait until all balancers know it."""
        deployment = self._cluster.deployment
        publish = self._cluster.publisher.publish
        await asyncio.gather(
            *(
                publish('template', name, offer.template)
                for name, offer in deployment.offers.items()
            ),
        )
        workspaces = plans.plan_workspaces(deployment)
        versions = await asyncio.gather(
            *(
                publish('workspace', name, workspace)
                for name, workspace in workspaces.items()
            ),
        )
        keys = [record_key('workspace', name) for name in workspaces]
        newest = max(zip(versions, keys, strict=True))
        await self._wait_in_force('first workspaces', newest[1], newest[0])
        for service in deployment.services:
            await self._wait_for_backends(service)  # noqa: WPS476
        await asyncio.sleep(NEW_BACKEND_S)

    async def _wait_for_backends(self, service: str) -> None:
        """Wait until the backends of a service are numbered everywhere."""
        taken = await self.seen.scraper.wait_for(
            f'{model.BACKEND_PREFIX}{service}',
            1,
            self._list_serving(),
            IN_FORCE_WAIT_S,
        )
        if taken is None:
            raise DemoError(f'backends of {service} got no numbers')

    async def _change_things(self) -> None:
        """Make every change at its time but the planned stop."""
        await self._until(CHANGE_AT_S)
        self.seen.steady_from = self._started + 1
        self.seen.steady_to = self._started + DRAIN_AT_S
        await self._change_template()
        await self._join_one()
        await self._until(DRAIN_AT_S)
        await self._cluster.drain_backend(DRAINED)
        await self._until(KILL_AT_S)
        self._serving.discard(KILLED)
        self._cluster.balancers[KILLED].kill()
        await self._change_workspace()
        await self._watch_recovery()

    async def _watch_recovery(self) -> None:
        """Count what is still refused when the changes are long over."""
        await self._until(END_AT_S - LATE_S)
        before = self.seen.scraper.total(metrics.REFUSED_METRIC)
        await self._until(END_AT_S)
        after = self.seen.scraper.total(metrics.REFUSED_METRIC)
        self.seen.refused_late = after.total() - before.total()

    async def _join_one(self) -> None:
        await self._until(JOIN_AT_S)
        await self._cluster.start_balancer(JOINING)
        await self._cluster.wait_ready(JOINING)
        self._serving.add(JOINING)

    async def _change_template(self) -> None:
        deployment = self._cluster.deployment
        name = deployment.changed
        template = deployment.offers[name].template
        changed = model.Template(
            template.service,
            template.urgency,
            template.port,
            template.holds,
            max_wait_ms=_SLOWER_WAIT_MS,
        )
        version = await self._cluster.publisher.publish(
            'template',
            name,
            changed,
        )
        key = record_key('template', name)
        await self._wait_in_force('changed template', key, version)

    async def _change_workspace(self) -> None:
        workspaces = plans.plan_workspaces(self._cluster.deployment)
        name, workspace = next(iter(workspaces.items()))
        shares = dict.fromkeys(workspace.templates, _RAISED_SHARE)
        changed = model.Workspace(workspace.address, shares)
        version = await self._cluster.publisher.publish(
            'workspace',
            name,
            changed,
        )
        key = record_key('workspace', name)
        await self._wait_in_force('changed workspace', key, version)

    async def _wait_in_force(self, what: str, key: str, version: int) -> None:
        """Note how long a change takes to reach the serving balancers."""
        self.seen.in_force_s[what] = await self.seen.scraper.wait_for(
            key,
            version,
            self._list_serving(),
            IN_FORCE_WAIT_S,
        )

    def _list_serving(self) -> list[str]:
        layout = self._cluster.layout
        return [layout.balancer_ip(index) for index in sorted(self._serving)]

    async def _stop_one(self) -> None:
        """Stop a balancer as planned and note how it ended."""
        await self._until(STOP_AT_S)
        self._serving.discard(STOPPED)
        await self._cluster.list_balancer(STOPPED, MachineState.leaving)
        process = self._cluster.balancers[STOPPED]
        process.terminate()
        self.seen.stop_status = await processes.wait(process, STOP_LIMIT_S)
        self.seen.stop_s = self._now() - self._started - STOP_AT_S

    async def _finish(self) -> None:
        """End the work and collect what both ends saw."""
        cluster = self._cluster
        await cluster.stop_callers()
        limit = self._now() + FINISH_LIMIT_S
        report = await cluster.read_callers()
        while self._now() < limit and _count_running(report):
            await asyncio.sleep(REPORT_S)
            report = await cluster.read_callers()
        if _count_running(report):
            raise DemoError(f'{_count_running(report)} flows do not end')
        self.seen.callers = report
        self.seen.journals = await cluster.read_journals()

    async def _until(self, after_s: float) -> None:
        await asyncio.sleep(max(0, self._started + after_s - self._now()))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _count_running(report: ClientReport) -> int:
    return sum(work.running for work in report.works.values())

"""Runs a deployment through changes and failures while callers send flows."""

import asyncio
from dataclasses import dataclass, field

from apricottally import model
from apricottally.model import MachineState
from demo import metrics, plans, processes
from demo.cluster import Cluster
from demo.errors import DemoError
from demo.metrics import Scraper
from demo.publisher import format_record_key
from standins.server import JournalReport
from standins.workload import ClientReport

# Balancers that run from the start, and the indexes of those that are stopped,
# killed or added during the run. The others serve throughout.
INITIAL_BALANCER_COUNT = 4
STOPPED_BALANCER = 2
KILLED_BALANCER = 3
JOINING_BALANCER = 4
TOTAL_BALANCER_COUNT = 5
# Index of the backend server that leaves: the first of the first service.
DRAINED_BACKEND = 0

# Every serving balancer has a published change within this time.
PROPAGATION_LIMIT_S = 7.0
# Longer than the limit, so that the table shows by how much a change was late.
PROPAGATION_TIMEOUT_S = 10.0
# A balancer exits within 30 s of SIGTERM.
STOP_TIMEOUT_S = 31.0

# Balancers send flows to a new backend once they have known its number for 2 s.
NEW_BACKEND_DELAY_S = 2.5

# Times of the changes, in seconds after the callers started.
CHANGE_AT_S = 4.0
JOIN_AT_S = 6.0
STOP_AT_S = 9.0
DRAIN_AT_S = 12.0
KILL_AT_S = 14.0
END_AT_S = 28.0
# Refusals are counted over these last seconds. The count starts 9 s after the
# kill, when other balancers have taken over the shards of the killed one and
# know again which slots are in use.
FINAL_WINDOW_S = 5.0
FINISH_TIMEOUT_S = 9.0
REPORT_INTERVAL_S = 0.5
_CHANGED_MAX_WAIT_MS = 600
_RAISED_SHARE = 2.0


@dataclass(slots=True)
class RunResults:
    """Measurements and reports of a run.

    `propagation_s` maps each published change to the seconds until every
    serving balancer had it, None after `PROPAGATION_TIMEOUT_S`. `stop_status`
    is the exit status of the balancer that was stopped as planned, None if it
    did not exit in time. The backends do not change between `steady_start_s`
    and `steady_end_s`, in monotonic seconds. `refused_in_final_window` counts
    the flows refused in the last `FINAL_WINDOW_S` before the callers stop.
    """

    scraper: Scraper = field(default_factory=Scraper)
    propagation_s: dict[str, float | None] = field(default_factory=dict)
    stop_status: int | None = None
    stop_duration_s: float = 0
    steady_start_s: float = 0
    steady_end_s: float = 0
    refused_in_final_window: int = 0
    callers: ClientReport | None = None
    journals: list[JournalReport] = field(default_factory=list)


class Scenario:
    """Runs one deployment through all changes and failures."""

    def __init__(self, cluster: Cluster) -> None:
        self.results = RunResults()
        self._cluster = cluster
        self._serving: set[int] = set()
        self._started_at: float = 0

    async def run(self) -> RunResults:
        """Start all processes, apply the changes and return the results."""
        await self._start()
        self._started_at = self._now()
        layout = self._cluster.layout
        ips = [
            layout.balancer_ip(index) for index in range(TOTAL_BALANCER_COUNT)
        ]
        async with self.results.scraper.scrape_periodically(ips):
            await asyncio.gather(self._stop_balancer(), self._apply_changes())
            await self._finish()
        return self.results

    async def _start(self) -> None:
        cluster = self._cluster
        await cluster.start_platform()
        await cluster.start_fabric(TOTAL_BALANCER_COUNT)
        await cluster.start_backends()
        indexes = range(INITIAL_BALANCER_COUNT)
        await asyncio.gather(*map(cluster.start_balancer, indexes))
        await asyncio.gather(*map(cluster.wait_until_serving, indexes))
        self._serving.update(indexes)
        await self._publish_all()
        await cluster.start_callers()

    async def _publish_all(self) -> None:
        """Publish all templates and workspaces and wait for the balancers."""
        deployment = self._cluster.deployment
        publish = self._cluster.publisher.publish
        await asyncio.gather(
            *(
                publish('template', name, planned.template)
                for name, planned in deployment.template_traffic.items()
            ),
        )
        workspaces = plans.plan_workspaces(deployment)
        versions = await asyncio.gather(
            *(
                publish('workspace', name, workspace)
                for name, workspace in workspaces.items()
            ),
        )
        keys = [format_record_key('workspace', name) for name in workspaces]
        newest = max(zip(versions, keys, strict=True))
        await self._record_propagation('first workspaces', newest[1], newest[0])
        for service in deployment.services:
            await self._wait_for_backends(service)  # noqa: WPS476
        await asyncio.sleep(NEW_BACKEND_DELAY_S)

    async def _wait_for_backends(self, service: str) -> None:
        """Wait until all balancers have the backend numbers of a service."""
        taken = await self.results.scraper.wait_for(
            f'{model.BACKEND_PREFIX}{service}',
            1,
            self._list_serving_ips(),
            PROPAGATION_TIMEOUT_S,
        )
        if taken is None:
            raise DemoError(
                f'not all balancers have the backend numbers of {service}'
            )

    async def _apply_changes(self) -> None:
        """Apply each change at its time, except the planned stop."""
        await self._sleep_until(CHANGE_AT_S)
        self.results.steady_start_s = self._started_at + 1
        self.results.steady_end_s = self._started_at + DRAIN_AT_S
        await self._change_template()
        await self._join_balancer()
        await self._sleep_until(DRAIN_AT_S)
        await self._cluster.drain_backend(DRAINED_BACKEND)
        await self._sleep_until(KILL_AT_S)
        self._serving.discard(KILLED_BALANCER)
        self._cluster.balancers[KILLED_BALANCER].kill()
        await self._change_workspace()
        await self._count_final_refusals()

    async def _count_final_refusals(self) -> None:
        """Count the refusals in the final window, after recovery."""
        await self._sleep_until(END_AT_S - FINAL_WINDOW_S)
        before = self.results.scraper.sum_by_reason(metrics.REFUSED_METRIC)
        await self._sleep_until(END_AT_S)
        after = self.results.scraper.sum_by_reason(metrics.REFUSED_METRIC)
        self.results.refused_in_final_window = after.total() - before.total()

    async def _join_balancer(self) -> None:
        await self._sleep_until(JOIN_AT_S)
        await self._cluster.start_balancer(JOINING_BALANCER)
        await self._cluster.wait_until_serving(JOINING_BALANCER)
        self._serving.add(JOINING_BALANCER)

    async def _change_template(self) -> None:
        deployment = self._cluster.deployment
        name = deployment.changed_template
        template = deployment.template_traffic[name].template
        changed = model.Template(
            template.service,
            template.urgency,
            template.port,
            template.holds,
            max_wait_ms=_CHANGED_MAX_WAIT_MS,
        )
        version = await self._cluster.publisher.publish(
            'template',
            name,
            changed,
        )
        key = format_record_key('template', name)
        await self._record_propagation('changed template', key, version)

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
        key = format_record_key('workspace', name)
        await self._record_propagation('changed workspace', key, version)

    async def _record_propagation(
        self, name: str, key: str, version: int
    ) -> None:
        """Record how long a change takes to reach all serving balancers."""
        self.results.propagation_s[name] = await self.results.scraper.wait_for(
            key,
            version,
            self._list_serving_ips(),
            PROPAGATION_TIMEOUT_S,
        )

    def _list_serving_ips(self) -> list[str]:
        layout = self._cluster.layout
        return [layout.balancer_ip(index) for index in sorted(self._serving)]

    async def _stop_balancer(self) -> None:
        """Stop a balancer as planned; record its exit status and the time."""
        await self._sleep_until(STOP_AT_S)
        self._serving.discard(STOPPED_BALANCER)
        await self._cluster.write_balancer_entry(
            STOPPED_BALANCER, MachineState.leaving
        )
        process = self._cluster.balancers[STOPPED_BALANCER]
        process.terminate()
        self.results.stop_status = await processes.wait_for_exit(
            process, STOP_TIMEOUT_S
        )
        self.results.stop_duration_s = (
            self._now() - self._started_at - STOP_AT_S
        )

    async def _finish(self) -> None:
        """Stop the callers; collect their report and the backends' journals."""
        cluster = self._cluster
        await cluster.stop_callers()
        limit = self._now() + FINISH_TIMEOUT_S
        report = await cluster.read_caller_report()
        while self._now() < limit and _count_running(report):
            await asyncio.sleep(REPORT_INTERVAL_S)
            report = await cluster.read_caller_report()
        if _count_running(report):
            raise DemoError(f'{_count_running(report)} flows still running')
        self.results.callers = report
        self.results.journals = await cluster.read_journals()

    async def _sleep_until(self, after_s: float) -> None:
        await asyncio.sleep(max(0, self._started_at + after_s - self._now()))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _count_running(report: ClientReport) -> int:
    return sum(work.running for work in report.works.values())

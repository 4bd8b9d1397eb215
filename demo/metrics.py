"""Scrapes the balancers' metrics and keeps the last values of each."""

import asyncio
import contextlib
import re
from collections import Counter
from collections.abc import AsyncIterator
from typing import TypeAlias

from apricottally import addresses
from standins import web

# Values by metric name and the value of its only label, empty without one.
MetricValues: TypeAlias = dict[tuple[str, str], float]

RECORD_VERSION_METRIC = 'apricottally_record_version'
REFUSED_METRIC = 'apricottally_refused_total'
RETRIED_METRIC = 'apricottally_retried_total'
BROKEN_INVARIANT_METRIC = 'apricottally_invariant_broken_total'
HANDLER_FAILURE_METRIC = 'apricottally_handler_failed_total'

POLL_INTERVAL_S = 0.1
SCRAPE_INTERVAL_S = 0.5
_LINE = re.compile(r'^(\w+)(?:\{\w+="([^"]*)"\})?\s+([-+.\w]+)$', re.M)


def parse(text: str) -> MetricValues:
    """Parse Prometheus text whose metrics have at most one label each."""
    return {
        (name, label): float(number)
        for name, label, number in _LINE.findall(text)
    }


class Scraper:
    """Last values scraped from each balancer, kept after the balancer ends."""

    def __init__(self) -> None:
        self._last_values: dict[str, MetricValues] = {}

    async def scrape(self, ip: str) -> None:
        """Scrape one balancer; if it does not answer, keep its last values."""
        endpoint = (ip, addresses.MONITORING_PORT)
        try:
            _, body = await web.fetch(endpoint, '/metrics')
        except web.FetchError:
            return
        self._last_values[ip] = parse(body.decode())

    async def scrape_all(self, ips: list[str]) -> None:
        """Scrape several balancers concurrently."""
        await asyncio.gather(*(self.scrape(ip) for ip in ips))

    @contextlib.asynccontextmanager
    async def scrape_periodically(self, ips: list[str]) -> AsyncIterator[None]:
        """Scrape balancers periodically while the context is open."""
        task = asyncio.create_task(self._scrape_forever(ips))
        try:
            yield
        finally:
            task.cancel()

    def record_version(self, ip: str, key: str) -> int:
        """Return the version of a record at a balancer, 0 if it has none."""
        metric_values = self._last_values.get(ip, {})
        return int(metric_values.get((RECORD_VERSION_METRIC, key), 0))

    def sum_by_reason(self, metric: str) -> Counter[str]:
        """Return a counter by its reason label, summed over all balancers."""
        summed: Counter[str] = Counter()
        for metric_values in self._last_values.values():
            for (name, reason), number in metric_values.items():
                if name == metric and number:
                    summed[reason] += int(number)
        return summed

    async def wait_for(
        self,
        key: str,
        version: int,
        ips: list[str],
        timeout_s: float,
    ) -> float | None:
        """Return the seconds until all balancers have a version of a record.

        None if that takes longer than `timeout_s`. A later version counts too.
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        while loop.time() - started < timeout_s:
            await self.scrape_all(ips)
            if all(self.record_version(ip, key) >= version for ip in ips):
                return loop.time() - started
            await asyncio.sleep(POLL_INTERVAL_S)
        return None

    async def _scrape_forever(self, ips: list[str]) -> None:
        while True:
            await self.scrape_all(ips)
            await asyncio.sleep(SCRAPE_INTERVAL_S)

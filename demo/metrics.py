"""Reads the balancers' metrics and keeps the last values of each."""

import asyncio
import contextlib
import re
from collections import Counter
from collections.abc import AsyncIterator
from typing import TypeAlias

from apricottally import addresses
from standins import web

# Values by metric name and its only label's value.
Sample: TypeAlias = dict[tuple[str, str], float]

VERSION_METRIC = 'apricottally_record_version'
REFUSED_METRIC = 'apricottally_refused_total'
RETRIED_METRIC = 'apricottally_retried_total'
INVARIANT_METRIC = 'apricottally_invariant_broken_total'
FAILURE_METRIC = 'apricottally_handler_failed_total'

POLL_S = 0.1
SCRAPE_S = 0.5
_LINE = re.compile(r'^(\w+)(?:\{\w+="([^"]*)"\})?\s+([-+.\w]+)$', re.M)


def parse(text: str) -> Sample:
    """Return the values of a text exposition with at most one label each."""
    return {
        (name, label): float(number)
        for name, label, number in _LINE.findall(text)
    }


class Scraper:
    """The last sample of each balancer, kept after its end."""

    def __init__(self) -> None:
        self._samples: dict[str, Sample] = {}

    async def scrape(self, ip: str) -> None:
        """Read one balancer; one that does not answer keeps its sample."""
        endpoint = (ip, addresses.MONITORING_PORT)
        try:
            _, body = await web.fetch(endpoint, '/metrics')
        except web.FetchError:
            return
        self._samples[ip] = parse(body.decode())

    async def scrape_all(self, ips: list[str]) -> None:
        """Read several balancers at once."""
        await asyncio.gather(*(self.scrape(ip) for ip in ips))

    @contextlib.asynccontextmanager
    async def keep_scraping(self, ips: list[str]) -> AsyncIterator[None]:
        """Read balancers again and again while the context lasts."""
        task = asyncio.create_task(self._scrape_on(ips))
        try:
            yield
        finally:
            task.cancel()

    def version(self, ip: str, key: str) -> int:
        """Return the version of a record that a balancer holds."""
        sample = self._samples.get(ip, {})
        return int(sample.get((VERSION_METRIC, key), 0))

    def total(self, metric: str) -> Counter[str]:
        """Return a counter by reason, summed over all balancers."""
        summed: Counter[str] = Counter()
        for sample in self._samples.values():
            for (name, reason), number in sample.items():
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
        """Return the seconds until all hold the version, None if too late."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        while loop.time() - started < timeout_s:
            await self.scrape_all(ips)
            if all(self.version(ip, key) >= version for ip in ips):
                return loop.time() - started
            await asyncio.sleep(POLL_S)
        return None

    async def _scrape_on(self, ips: list[str]) -> None:
        while True:
            await self.scrape_all(ips)
            await asyncio.sleep(SCRAPE_S)

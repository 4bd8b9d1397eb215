"""Serve both deployments through planned and unplanned changes.

`python -m demo` starts every process of both deployments, prints one table
and exits with status 1 if a promise broke.
"""

import argparse
import asyncio
import contextlib
import os
import signal
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

from demo import layout as places
from demo.audit import Findings, audit
from demo.cluster import Cluster
from demo.deployments import DEPLOYMENTS, Deployment
from demo.errors import DemoError
from demo.layout import Layout
from demo.scenario import Observations, Scenario
from demo.table import format_table

# The whole takes under a minute.
LIMIT_S = 57.0


def main() -> None:
    """Run the demonstration."""
    parser = argparse.ArgumentParser(prog='demo', description=__doc__)
    parser.add_argument(
        '--logs', type=Path, help='directory that keeps the logs'
    )
    options = parser.parse_args()
    started = time.monotonic()
    with choose_folder(options.logs) as folder:
        findings = run_or_exit(folder)
    print(format_table(findings))
    print(f'took {time.monotonic() - started:.1f} s')
    for name, found in findings.items():
        for promise in found.broken:
            print(f'BROKEN {name}: {promise}')
        for fault in found.faults:
            print(f'FLOW {name}: {fault}')
    sys.exit(any(found.broken for found in findings.values()))


def run_or_exit(folder: Path) -> dict[str, Findings]:
    """Run all deployments; a signal ends them and the launcher."""
    try:
        return asyncio.run(run_all(folder))
    except (asyncio.CancelledError, KeyboardInterrupt):
        sys.exit('stopped by a signal')


@contextlib.contextmanager
def choose_folder(logs: Path | None) -> Iterator[Path]:
    """Return the directory for logs and settings, by default for this run."""
    if logs is None:
        with tempfile.TemporaryDirectory(prefix='demo-') as name:
            yield Path(name)
    else:
        logs.mkdir(parents=True, exist_ok=True)
        yield logs


async def run_all(folder: Path) -> dict[str, Findings]:
    """Run all deployments side by side."""
    task = asyncio.current_task()
    if task is not None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
    layouts = places.make_layouts(os.getpid(), len(DEPLOYMENTS))
    found = await asyncio.gather(
        *map(run_one, DEPLOYMENTS, layouts, [folder] * len(DEPLOYMENTS)),
    )
    names = [deployment.name for deployment in DEPLOYMENTS]
    return dict(zip(names, found, strict=True))


async def run_one(
    deployment: Deployment,
    layout: Layout,
    folder: Path,
) -> Findings:
    """Run one deployment; what stops it counts as a broken promise."""
    own = folder / f'{layout.offset}'
    own.mkdir(exist_ok=True)
    try:
        async with asyncio.timeout(LIMIT_S):
            seen = await serve(deployment, layout, own)
    except DemoError as error:
        return Findings({}, (str(error),))
    except TimeoutError:
        return Findings({}, (f'not done within {LIMIT_S:.0f} s',))
    return audit(deployment, seen)


async def serve(
    deployment: Deployment,
    layout: Layout,
    folder: Path,
) -> Observations:
    """Run the scenario; every process ends with it."""
    async with contextlib.AsyncExitStack() as context:
        cluster = Cluster(deployment, layout, folder, context)
        return await Scenario(cluster).run()


if __name__ == '__main__':
    main()

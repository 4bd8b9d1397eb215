"""Run both example deployments through planned changes and failures.

`python -m demo` starts every process of both deployments, prints one table
of results and exits with status 1 if a guarantee was violated.
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

from demo import network
from demo.audit import Findings, audit
from demo.cluster import Cluster
from demo.deployments import DEPLOYMENTS, Deployment
from demo.errors import DemoError
from demo.network import AddressLayout
from demo.scenario import RunResults, Scenario
from demo.table import format_table

# Keeps the whole demonstration under a minute.
RUN_TIMEOUT_S = 57.0


def main() -> None:
    """Run the demonstration, print its results and set the exit status."""
    parser = argparse.ArgumentParser(prog='demo', description=__doc__)
    parser.add_argument(
        '--logs',
        type=Path,
        help='directory for logs and settings; kept after the run',
    )
    options = parser.parse_args()
    started = time.monotonic()
    with choose_folder(options.logs) as folder:
        findings = run_or_exit(folder)
    print(format_table(findings))
    print(f'took {time.monotonic() - started:.1f} s')
    for name, found in findings.items():
        for violation in found.violations:
            print(f'BROKEN {name}: {violation}')
        for fault in found.faults:
            print(f'FLOW {name}: {fault}')
    sys.exit(any(found.violations for found in findings.values()))


def run_or_exit(folder: Path) -> dict[str, Findings]:
    """Run all deployments; exit if a signal interrupts the run."""
    try:
        return asyncio.run(run_deployments(folder))
    except (asyncio.CancelledError, KeyboardInterrupt):
        sys.exit('stopped by a signal')


@contextlib.contextmanager
def choose_folder(logs: Path | None) -> Iterator[Path]:
    """Provide the directory for logs and settings, temporary by default."""
    if logs is None:
        with tempfile.TemporaryDirectory(prefix='demo-') as name:
            yield Path(name)
    else:
        logs.mkdir(parents=True, exist_ok=True)
        yield logs


async def run_deployments(folder: Path) -> dict[str, Findings]:
    """Run all deployments concurrently and return their findings by name."""
    task = asyncio.current_task()
    if task is not None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
    layouts = network.make_layouts(os.getpid(), len(DEPLOYMENTS))
    found = await asyncio.gather(
        *map(run_deployment, DEPLOYMENTS, layouts, [folder] * len(DEPLOYMENTS)),
    )
    names = [deployment.name for deployment in DEPLOYMENTS]
    return dict(zip(names, found, strict=True))


async def run_deployment(
    deployment: Deployment,
    layout: AddressLayout,
    folder: Path,
) -> Findings:
    """Run one deployment; a failed run counts as a violated guarantee."""
    deployment_folder = folder / f'{layout.host_offset}'
    deployment_folder.mkdir(exist_ok=True)
    try:
        async with asyncio.timeout(RUN_TIMEOUT_S):
            results = await serve(deployment, layout, deployment_folder)
    except DemoError as error:
        return Findings({}, (str(error),))
    except TimeoutError:
        return Findings({}, (f'not finished within {RUN_TIMEOUT_S:.0f} s',))
    return audit(deployment, results)


async def serve(
    deployment: Deployment,
    layout: AddressLayout,
    folder: Path,
) -> RunResults:
    """Run the scenario and then end every process of the deployment."""
    async with contextlib.AsyncExitStack() as context:
        cluster = Cluster(deployment, layout, folder, context)
        return await Scenario(cluster).run()


if __name__ == '__main__':
    main()

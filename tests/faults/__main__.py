"""Runs the soak: `python -m tests.faults --seed 1 --runs 5 --seconds 20`."""

import argparse
import asyncio
import signal
import sys
import tempfile
from contextlib import suppress
from pathlib import Path

from soak.arguments import parse_count
from tests.fakestore import open_fake_store
from tests.faults.checks import MOVED_PORT
from tests.faults.deployment import RECOVERY_S, SERVICES, Deployment
from tests.faults.hosts import RunResults
from tests.faults.mixes import FAULTS, MIXES

# Fraction of the final requests that must be served after all faults ended.
MIN_SERVED_FRACTION = 0.95
FINAL_REQUESTS = 40
# Requests of a flow, and the pause between them in seconds.
SHORT_FLOWS = ((1, 0),)
STEADY_FLOWS = ((5, 0.3), (30, 0.3))
SLOW_FLOWS = ((5, 3), (12, 1.5))
# What each of a client's tasks opens.
TASKS = (SHORT_FLOWS, SHORT_FLOWS, SHORT_FLOWS, STEADY_FLOWS, SLOW_FLOWS)


def main() -> None:
    parser = argparse.ArgumentParser(prog='faults', description=__doc__)
    parser.add_argument('--seed', type=parse_count, default=1)
    parser.add_argument('--runs', type=parse_count, default=1)
    parser.add_argument('--seconds', type=parse_count, default=20)
    parser.add_argument('--nodes', type=parse_count, default=4)
    parser.add_argument('--zones', default='ab')
    parser.add_argument(
        '--fault',
        action='append',
        choices=[fault.__name__ for fault in FAULTS],
        help='inject only these faults',
    )
    options = parser.parse_args()
    failed = []
    for seed in range(options.seed, options.seed + options.runs):
        results, fault_names = asyncio.run(
            run_seed(
                seed,
                options.seconds,
                options.nodes,
                options.fault,
                options.zones,
            )
        )
        print(
            f'seed {seed}: {dict(results.outcomes)}; {", ".join(fault_names)}'
        )
        for violation in results.violations:
            print(f'seed {seed} violation: {violation}')
        failed += [seed] if results.violations else []
    print(f'{options.runs - len(failed)} passed, {len(failed)} failed')
    sys.exit(1 if failed else 0)


async def run_seed(
    seed: int,
    seconds: int,
    nodes: int,
    names: list[str] | None = None,
    zones: str = 'ab',
) -> tuple[RunResults, list[str]]:
    """Run one seed; return the results and the names of the faults.

    `names` are the faults to choose from, None for those of the seed; `zones`
    are those of the nodes.
    """
    faults = list(MIXES[seed % len(MIXES)])
    if names is not None:
        faults = [fault for fault in FAULTS if fault.__name__ in names]
    async with open_fake_store() as store:
        with tempfile.TemporaryDirectory() as folder:
            deployment = Deployment(seed, nodes, Path(folder), store, zones)
            task = asyncio.current_task()
            asyncio.get_running_loop().add_signal_handler(
                signal.SIGTERM, task.cancel
            )
            try:
                fault_names = await run_scenario(deployment, seconds, faults)
            finally:
                deployment.kill()
            if deployment.results.violations:
                save_logs(seed, Path(folder))
    return deployment.results, fault_names


async def run_scenario(
    deployment: Deployment, seconds: int, faults: list
) -> list[str]:
    await deployment.open()
    polling = [
        asyncio.create_task(deployment.poll_readiness()),
        asyncio.create_task(deployment.check_versions()),
    ]
    await asyncio.sleep(3)
    traffic = [
        asyncio.create_task(generate_traffic(deployment, client, shapes))
        for client in deployment.clients
        for shapes in TASKS
    ]
    fault_names = await inject_faults(deployment, seconds, faults)
    await asyncio.sleep(RECOVERY_S + 2)
    await deployment.check_recovered()
    await check_requests_served(deployment)
    for task in traffic:
        task.cancel()
    with suppress(asyncio.CancelledError):
        await asyncio.gather(*traffic)
    for task in polling:
        task.cancel()
    ended = await asyncio.gather(*polling, return_exceptions=True)
    deployment.results.violations += [
        f'a check failed: {error!r}'
        for error in ended
        if isinstance(error, Exception)
    ]
    await deployment.close()
    repeated = [
        request_id
        for request_id, count in deployment.results.executions.items()
        if count > 1
    ]
    deployment.results.violations += [
        f'{request_id} ran twice' for request_id in repeated
    ]
    return fault_names


async def inject_faults(
    deployment: Deployment, seconds: int, faults: list
) -> list[str]:
    """Start random faults, which may overlap; return their names."""
    fault_names = []
    running = set()
    ends_at = deployment.loop.time() + seconds
    while deployment.loop.time() < ends_at:
        fault = deployment.rng.choice(faults)
        fault_names.append(fault.__name__)
        running.add(asyncio.create_task(fault(deployment)))
        await asyncio.sleep(deployment.rng.uniform(0.2, 2.5))
    await asyncio.gather(*running)
    return fault_names


async def generate_traffic(deployment: Deployment, client, shapes) -> None:
    """Run flows one after the other, with unique request ids."""
    step = 0
    while True:
        step += 1
        port = deployment.rng.choice([*SERVICES.values(), MOVED_PORT])
        request_id = f'{client.ip}-{id(asyncio.current_task())}-{step}'
        requests, pause_s = deployment.rng.choice(shapes)
        await client.run_flow(port, request_id, requests, pause_s)
        await asyncio.sleep(0.05)


async def check_requests_served(deployment: Deployment) -> None:
    flows = [
        deployment.clients[step % len(deployment.clients)].run_flow(
            SERVICES['core'], f'calm-{step}', 1
        )
        for step in range(FINAL_REQUESTS)
    ]
    outcomes = await asyncio.gather(*flows)
    if outcomes.count('ok') < MIN_SERVED_FRACTION * FINAL_REQUESTS:
        deployment.results.violations.append(f'final requests ended {outcomes}')


def save_logs(seed: int, folder: Path) -> None:
    target_folder = Path(tempfile.gettempdir()) / f'faults-{seed}'
    target_folder.mkdir(exist_ok=True)
    for path in folder.glob('*.log'):
        (target_folder / path.name).write_bytes(path.read_bytes())
    print(f'seed {seed}: logs of the nodes are in {target_folder}')


if __name__ == '__main__':
    main()

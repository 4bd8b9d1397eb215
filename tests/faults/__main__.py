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
from tests.faults.deployment import RECOVERY_S, SERVICES, Deployment
from tests.faults.faults import FAULTS
from tests.faults.hosts import RunResults

# Fraction of the final requests that must be served after all faults ended.
MIN_SERVED_FRACTION = 0.95
FINAL_REQUESTS = 40


def main() -> None:
    parser = argparse.ArgumentParser(prog='faults', description=__doc__)
    parser.add_argument('--seed', type=parse_count, default=1)
    parser.add_argument('--runs', type=parse_count, default=1)
    parser.add_argument('--seconds', type=parse_count, default=20)
    parser.add_argument('--nodes', type=parse_count, default=4)
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
            run_seed(seed, options.seconds, options.nodes, options.fault)
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
    seed: int, seconds: int, nodes: int, names: list[str] | None = None
) -> tuple[RunResults, list[str]]:
    """Run one seed; return the results and the names of the faults.

    `names` are the faults to choose from, None for all.
    """
    faults = [
        fault for fault in FAULTS if names is None or fault.__name__ in names
    ]
    async with open_fake_store() as store:
        with tempfile.TemporaryDirectory() as folder:
            deployment = Deployment(seed, nodes, Path(folder), store)
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
        asyncio.create_task(generate_traffic(deployment, client))
        for client in deployment.clients
        for _ in range(4)
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
        running.add(asyncio.create_task(run_fault(deployment, fault)))
        await asyncio.sleep(deployment.rng.uniform(0.2, 2.5))
    await asyncio.gather(*running)
    return fault_names


async def run_fault(deployment: Deployment, fault) -> None:
    deployment.record_disturbance()
    await fault(deployment)
    deployment.record_disturbance()


async def generate_traffic(deployment: Deployment, client) -> None:
    """Run flows one after the other, with unique request ids."""
    step = 0
    while True:
        step += 1
        service = deployment.rng.choice(list(SERVICES))
        request_id = f'{client.ip}-{id(asyncio.current_task())}-{step}'
        requests = deployment.rng.choice([1, 1, 5])
        await client.run_flow(SERVICES[service], service, request_id, requests)
        await asyncio.sleep(0.05)


async def check_requests_served(deployment: Deployment) -> None:
    flows = [
        deployment.clients[step % len(deployment.clients)].run_flow(
            SERVICES['core'], 'core', f'calm-{step}', 1
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

"""Runs the soak: `python -m tests.faults --seed 1 --runs 5 --seconds 20`."""

import argparse
import asyncio
import signal
import sys
import tempfile
from contextlib import suppress
from pathlib import Path

from soak.arguments import parse_count
from tests.faults.ends import Ledger
from tests.faults.faults import FAULTS
from tests.faults.world import CALM_S, SERVICES, World
from tests.fleetstore import open_fleet_store

# Share of the requests that must be served once all is calm.
SERVED_SHARE = 0.95
CALM_REQUESTS = 40


def main() -> None:
    parser = argparse.ArgumentParser(prog='faults', description=__doc__)
    parser.add_argument('--seed', type=parse_count, default=1)
    parser.add_argument('--runs', type=parse_count, default=1)
    parser.add_argument('--seconds', type=parse_count, default=20)
    parser.add_argument('--nodes', type=parse_count, default=4)
    options = parser.parse_args()
    failed = []
    for seed in range(options.seed, options.seed + options.runs):
        ledger, names = asyncio.run(run(seed, options.seconds, options.nodes))
        print(f'seed {seed}: {dict(ledger.outcomes)}; {", ".join(names)}')
        for broken in ledger.broken:
            print(f'seed {seed} broke: {broken}')
        failed += [seed] if ledger.broken else []
    print(f'{options.runs - len(failed)} passed, {len(failed)} failed')
    sys.exit(1 if failed else 0)


async def run(seed: int, seconds: int, nodes: int) -> tuple[Ledger, list[str]]:
    """Play one seed; return what was seen and which faults came."""
    async with open_fleet_store() as store:
        with tempfile.TemporaryDirectory() as folder:
            world = World(seed, nodes, Path(folder), store)
            task = asyncio.current_task()
            asyncio.get_running_loop().add_signal_handler(
                signal.SIGTERM, task.cancel
            )
            try:
                names = await play(world, seconds)
            finally:
                world.kill()
            if world.ledger.broken:
                keep_logs(seed, Path(folder))
    return world.ledger, names


async def play(world: World, seconds: int) -> list[str]:
    await world.open()
    polling = asyncio.create_task(world.poll_ready())
    await asyncio.sleep(3)
    traffic = [
        asyncio.create_task(talk_on(world, client))
        for client in world.clients
        for _ in range(4)
    ]
    names = await inject(world, seconds)
    await asyncio.sleep(CALM_S + 2)
    await world.check_calm()
    await check_served(world)
    for task in traffic:
        task.cancel()
    with suppress(asyncio.CancelledError):
        await asyncio.gather(*traffic)
    polling.cancel()
    await world.close()
    doubled = [ident for ident, count in world.ledger.runs.items() if count > 1]
    world.ledger.broken += [f'{ident} ran twice' for ident in doubled]
    return names


async def inject(world: World, seconds: int) -> list[str]:
    """Start faults in an overlapping series; return their names."""
    names = []
    running = set()
    ends_at = world.loop.time() + seconds
    while world.loop.time() < ends_at:
        fault = world.rng.choice(FAULTS)
        names.append(fault.__name__)
        running.add(asyncio.create_task(endure(world, fault)))
        await asyncio.sleep(world.rng.uniform(0.2, 2.5))
    await asyncio.gather(*running)
    return names


async def endure(world: World, fault) -> None:
    world.disturb()
    await fault(world)
    world.disturb()


async def talk_on(world: World, client) -> None:
    """Make requests one after the other, each under an id of its own."""
    step = 0
    while True:
        step += 1
        service = world.rng.choice(list(SERVICES))
        ident = f'{client.ip}-{id(asyncio.current_task())}-{step}'
        requests = world.rng.choice([1, 1, 5])
        await client.talk(SERVICES[service], service, ident, requests)
        await asyncio.sleep(0.05)


async def check_served(world: World) -> None:
    talks = [
        world.clients[step % len(world.clients)].talk(
            SERVICES['core'], 'core', f'calm-{step}', 1
        )
        for step in range(CALM_REQUESTS)
    ]
    outcomes = await asyncio.gather(*talks)
    if outcomes.count('ok') < SERVED_SHARE * CALM_REQUESTS:
        world.ledger.broken.append(f'calm requests ended {outcomes}')


def keep_logs(seed: int, folder: Path) -> None:
    kept = Path(tempfile.gettempdir()) / f'faults-{seed}'
    kept.mkdir(exist_ok=True)
    for path in folder.glob('*.log'):
        (kept / path.name).write_bytes(path.read_bytes())
    print(f'seed {seed}: logs of the nodes are in {kept}')


if __name__ == '__main__':
    main()

"""Two backends whose ids have the same 32-bit tag; all nodes are killed once.

Six nodes in three zones and five backends with ids of 40 bits. A sixth backend
starts later; its id and that of an earlier one hash to the same tag. Running
nodes keep the tag for the earlier backend; nodes that start from the store's
list give it to the backend that the list names first. DISTINCT=1 gives the sixth backend another
id, which leaves only the kill. Flows pause for 11 s between requests.
"""

import asyncio
import hashlib
import os
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins.backend import Backend  # noqa: E402
from standins.fleet import World, build_route, run_case  # noqa: E402
from standins.longflows import LongFlows  # noqa: E402

ZONES = ['sv-a', 'sv-b', 'sv-c']
SERVICE = 'core'
PORT = 443
FLOWS = 240
OPEN_S = 3
CALM_S = 6
PAUSE_S = 11
END_S = 12
ID_BITS = 40


async def play(trouble: bool) -> bool:
    world = World(HERE / 'record.txt', ZONES, 2)
    try:
        return await run(world, trouble)
    finally:
        await world.close()


async def run(world: World, trouble: bool) -> bool:
    later, earlier = sorted(find_pair())
    if os.environ.get('DISTINCT') == '1':
        later = earlier - 1
    await world.open()
    world.put_config(1, [build_route('r1', PORT, SERVICE, 'safe')])
    numbers = [earlier, *(random.getrandbits(ID_BITS) for _ in range(4))]
    for number in numbers:
        await add_backend(world, number)
    await world.start_nodes()
    world.record('all nodes are ready; flows open')
    flows = LongFlows(world, PORT, PAUSE_S)
    await flows.open(FLOWS, OPEN_S)
    await add_backend(world, later)
    await asyncio.sleep(CALM_S)
    if trouble:
        await flows.kill_all_nodes()
    await asyncio.sleep(END_S)
    flows.stop()
    return flows.judge()


async def add_backend(world: World, number: int) -> None:
    index = len(world.backends)
    backend = Backend(
        world.store,
        SERVICE,
        world.make_ip(150 + index),
        world.backend_port,
        ZONES[index % 3],
        world,
    )
    backend.number = number
    backend.name = f'i-{number:010x}'
    backend.slots = 16
    await backend.open()
    world.backends.append(backend)
    world.record(f'{backend.name} starts at {backend.ip}')


def find_pair() -> tuple[int, int]:
    """Return two ids of 40 bits with the same tag, by the birthday paradox."""
    numbers: dict[bytes, int] = {}
    while True:
        number = random.getrandbits(ID_BITS)
        digest = hashlib.blake2b(number.to_bytes(8, 'big'), digest_size=4)
        other = numbers.setdefault(digest.digest(), number)
        if other != number and min(other, number) >> 32:
            return other, number


if __name__ == '__main__':
    run_case(play)

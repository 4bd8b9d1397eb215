"""Links lose packets while flows open; later the nodes are restarted in turn.

Six nodes in three zones, eight backends, and flows that stay open with a request
every second. A SYN whose SYN+ACK was lost also goes to a second backend, and the
first one sends its SYN+ACK again. From then on the flow carries the echo of the
wrong backend; it works only while it stays at the node that opened it.
"""

import asyncio
import os
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
BACKENDS = 8
FLOWS = 360
# As in the site file: 2.5% for 5.5 s. LOSS=0 leaves only the restarts.
LOSS = float(os.environ.get('LOSS', '0.025'))
LOSS_S = 5.5
# contact-ms is 4 s; nothing is disturbed for longer than that before the
# planned restarts.
CALM_S = 6


async def play(trouble: bool) -> bool:
    world = World(HERE / 'record.txt', ZONES, 2)
    try:
        return await run(world, trouble)
    finally:
        await world.close()


async def run(world: World, trouble: bool) -> bool:
    await world.open()
    world.put_config(1, [build_route('r1', PORT, SERVICE, 'safe')])
    for index in range(BACKENDS):
        ip = world.make_ip(150 + index)
        zone = ZONES[index % 3]
        backend = Backend(
            world.store, SERVICE, ip, world.backend_port, zone, world
        )
        backend.slots = 16
        await backend.open()
        world.backends.append(backend)
    await world.start_nodes()
    world.record('all nodes are ready; flows open')
    flows = LongFlows(world, PORT)
    if trouble:
        world.loss = LOSS
        world.record(f'links lose {LOSS:.1%} of the packets')
    await flows.open(FLOWS, LOSS_S)
    world.loss = 0
    world.record(f'no more loss; {world.lost} packets were lost')
    await asyncio.sleep(CALM_S)
    if trouble:
        await flows.restart_nodes()
    await asyncio.sleep(3)
    flows.stop()
    return flows.judge()


if __name__ == '__main__':
    run_case(play)

"""The node that reads the store is cut off from it while others freeze and wake.

Six nodes in three zones. The store answers all nodes but the reader. Two of
the five others are frozen for 1 s by turns (SIGSTOP, SIGCONT). A backend reports
`draining` 0.2 s after the cut began. The check counts the requests that nodes
in touch, neither cut off nor frozen, send there later than the bound.
"""

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins.backend import Backend  # noqa: E402
from standins.fleet import (  # noqa: E402
    DRAIN_S,
    CannotRun,
    World,
    build_route,
    run_case,
)

ZONES = ['sv-a', 'sv-b', 'sv-c']
SERVICE = 'core'
PORT = 443
REQUEST_PERIOD_S = 0.03
CALM_S = 8
CUT_S = 5.5
FREEZE_S = 1.0
WAKES_S = (0.4, 1.0, 1.6, 2.2, 2.8, 3.4)
DRAIN_AFTER_S = 0.2
LEAVE_AFTER_S = 5


async def play(trouble: bool) -> bool:
    world = World(HERE / 'record.txt', ZONES, 2)
    try:
        return await Case(world, trouble).run()
    finally:
        await world.close()


class Case:
    def __init__(self, world: World, trouble: bool) -> None:
        self.world = world
        self.trouble = trouble
        self.flows: dict[str, object] = {}
        self.frozen: list = []

    async def run(self) -> bool:
        world = self.world
        await world.open()
        world.put_config(1, [build_route('r1', PORT, SERVICE, 'safe')])
        for index in range(6):
            ip = world.make_ip(150 + index)
            zone = ZONES[index % 3]
            backend = Backend(
                world.store, SERVICE, ip, world.backend_port, zone, world
            )
            await backend.open()
            world.backends.append(backend)
        await world.start_nodes()
        traffic = [
            asyncio.create_task(self._send(client)) for client in world.clients
        ]
        await asyncio.sleep(CALM_S - 2)
        reader = await self._find_reader()
        cut_at = world.now() + FREEZE_S
        self.frozen = [
            max((n for n in world.nodes if n.zone == zone), key=id)
            for zone in ZONES
            if zone != reader.zone
        ]
        steps = [asyncio.create_task(self._cut(reader, cut_at))]
        for number, wake in enumerate(WAKES_S):
            node = self.frozen[number % 2]
            steps.append(asyncio.create_task(self._freeze(node, cut_at + wake)))
        leaving = next(b for b in world.backends if b.zone != reader.zone)
        await self._wait(cut_at + DRAIN_AFTER_S)
        leaving.drain()
        world.record(f'draining of {leaving.name} acknowledged')
        await self._wait(cut_at + DRAIN_AFTER_S + LEAVE_AFTER_S)
        leaving.leave()
        await asyncio.gather(*steps)
        await asyncio.sleep(2)
        for task in traffic:
            task.cancel()
        return self._judge(reader, leaving)

    async def _find_reader(self):
        """Return the node that calls the store; only one should."""
        calls = self.world.store.calls
        before = dict(calls)
        await asyncio.sleep(2)
        counts = {
            node: calls.get(node.store_port, 0)
            - before.get(node.store_port, 0)
            for node in self.world.nodes
        }
        reader = max(counts, key=counts.get)
        if not counts[reader]:
            raise CannotRun('no node reads the store')
        self.world.record(f'{reader.name} reads the store')
        return reader

    async def _wait(self, until: float) -> None:
        await asyncio.sleep(max(0, until - self.world.now()))

    async def _cut(self, reader, at: float) -> None:
        await self._wait(at)
        if not self.trouble:
            return
        self.world.store.silent_ports.add(reader.store_port)
        self.world.record(f'{reader.name} is cut off from the store')
        await self._wait(at + CUT_S)
        self.world.store.silent_ports.clear()
        self.world.record('the cut has ended')

    async def _freeze(self, node, wakes_at: float) -> None:
        await self._wait(wakes_at - FREEZE_S)
        if not self.trouble:
            return
        node.signal(signal.SIGSTOP)
        self.world.record(f'{node.name} freezes')
        await self._wait(wakes_at)
        node.signal(signal.SIGCONT)
        self.world.record(f'{node.name} wakes')

    async def _send(self, client) -> None:
        count = 0
        running = set()
        while True:
            count += 1
            task = asyncio.create_task(
                self._fetch(client, f'{client.zone}-{count}')
            )
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(REQUEST_PERIOD_S)

    async def _fetch(self, client, request_id: str) -> None:
        outcome, flow = await client.fetch(PORT, request_id)
        self.world.record(f'ended {request_id} {outcome} via {flow.via}')
        self.flows[request_id] = flow

    def _judge(self, reader, leaving) -> bool:
        """Count late requests that only nodes in touch have handled."""
        bound = leaving.draining_acked_at + DRAIN_S
        out_of_touch = {reader.name} | {node.name for node in self.frozen}
        late = []
        for run in self.world.runs:
            flow = self.flows.get(run.request_id)
            if flow is None or run.backend != leaving.name:
                continue
            is_late = min(flow.syn_at, run.syn_at) > bound
            if is_late and not flow.via & out_of_touch:
                late.append(run)
        line = (
            f'DRAIN: {len(late)} requests, sent on by nodes in touch, began a '
            f'flow at {leaving.name} later than {1000 * DRAIN_S:.0f} ms after '
            'its draining was acknowledged'
        )
        self.world.record(line)
        print(line)
        return bool(late)


if __name__ == '__main__':
    run_case(play)

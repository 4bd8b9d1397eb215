"""An unreadable entry of another writer lies in the store while a backend drains.

Six nodes in three zones serve six backends. An entry that names no backend is
written under `servers/`: its `version` is not text but nested lists. Then one
backend reports `draining`, a route is dropped and one is added. No process,
link or store is disturbed.

With KILL_ALL=1 all nodes are killed at the end and start again, which shows what
the entry does to a restart; it does not decide the exit status.
"""

import asyncio
import os
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins.backend import Backend  # noqa: E402
from standins.fleet import (  # noqa: E402
    CONFIG_APPLY_S,
    DRAIN_S,
    World,
    build_route,
    run_case,
)

ZONES = ['sv-a', 'sv-b', 'sv-c']
SERVICE = 'core'
PORT = 443
DROPPED_PORT = 444
NEW_PORT = 445
REQUEST_PERIOD_S = 0.05
ENTRY_AT_S = 4
DRAIN_AT_S = 8
LEAVE_AT_S = 20
END_S = 22
RECOVERY_S = 12
FINAL_REQUESTS = 60
NESTING = 1500


def build_entry(address: str) -> bytes:
    """Return an entry with a field of another type, 3 KB long."""
    lists = '[' * NESTING + ']' * NESTING
    return (
        f'{{"service":"{SERVICE}","address":"{address}","zone":"sv-a",'
        f'"version":{lists},"slots":2,"state":"ready","cold-left-ms":0,'
        '"seq-no":1}'
    ).encode()


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
        self.outcomes: dict[int, list[tuple[float, str]]] = {}
        self.config_acked_at = float('inf')

    async def run(self) -> bool:
        world = self.world
        await world.open()
        world.put_config(
            1,
            [
                build_route('r1', PORT, SERVICE, 'safe'),
                build_route('r2', DROPPED_PORT, SERVICE, 'safe'),
            ],
        )
        for index in range(6):
            ip = world.make_ip(150 + index)
            backend = Backend(
                world.store,
                SERVICE,
                ip,
                world.backend_port,
                ZONES[index % 3],
                world,
            )
            await backend.open()
            world.backends.append(backend)
        await world.start_nodes()
        world.record('all nodes are ready; traffic starts')
        start = world.now()
        traffic = [
            asyncio.create_task(self._send(client, port, name))
            for client in world.clients
            for port, name in ((PORT, 'r1'), (DROPPED_PORT, 'r2'))
        ]
        await self._wait(start + ENTRY_AT_S)
        if self.trouble:
            address = f'{world.make_ip(199)}:{world.backend_port}'
            world.store.put('servers/other-writer', build_entry(address))
            world.record('entry of another writer written')
        await self._wait(start + DRAIN_AT_S)
        leaving = world.backends[0]
        leaving.drain()
        world.record(f'draining of {leaving.name} acknowledged')
        world.put_config(
            5,
            [
                build_route('r1', PORT, SERVICE, 'safe'),
                build_route('r3', NEW_PORT, SERVICE, 'safe'),
            ],
        )
        self.config_acked_at = world.now()
        world.record('configuration 5 acknowledged: r2 dropped, r3 added')
        traffic += [
            asyncio.create_task(self._send(client, NEW_PORT, 'r3'))
            for client in world.clients
        ]
        await self._wait(start + LEAVE_AT_S)
        leaving.leave()
        world.record(f'{leaving.name} left')
        await self._wait(start + END_S)
        for task in traffic:
            task.cancel()
        await asyncio.sleep(2.5)
        broken = self._judge(leaving)
        if os.environ.get('KILL_ALL') == '1':
            await self._restart_all()
        return broken

    async def _restart_all(self) -> None:
        """Kill and start all nodes; report how many requests are served."""
        for node in self.world.nodes:
            node.signal(signal.SIGKILL)
        for node in self.world.nodes:
            await node.process.wait()
        await asyncio.sleep(0.5)
        for node in self.world.nodes:
            await node.start()
        await asyncio.sleep(RECOVERY_S)
        clients = self.world.clients
        served = 0
        for number in range(FINAL_REQUESTS):
            client = clients[number % len(clients)]
            outcome, _ = await client.fetch(PORT, f'final-{number}', 0.5)
            served += outcome == 'ok'
            if number >= 10 and not served:
                break
        ready = sum(node.in_rotation for node in self.world.nodes)
        line = (
            f'all nodes killed and started: {served} of {number + 1} requests '
            f'served later than {RECOVERY_S} s; {ready} nodes ready'
        )
        self.world.record(line)
        print(line)

    async def _wait(self, until: float) -> None:
        await asyncio.sleep(max(0, until - self.world.now()))

    async def _send(self, client, port: int, route: str) -> None:
        """Start a request on a flow of its own every 50 ms."""
        count = 0
        running = set()
        while True:
            count += 1
            request_id = f'{client.zone}-{route}-{count}'
            task = asyncio.create_task(self._fetch(client, port, request_id))
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(REQUEST_PERIOD_S)

    async def _fetch(self, client, port: int, request_id: str) -> None:
        self.world.record(f'sent {request_id}')
        outcome, flow = await client.fetch(port, request_id)
        self.world.record(f'ended {request_id} {outcome}')
        self.flows[request_id] = flow
        self.outcomes.setdefault(port, []).append((flow.syn_at, outcome))

    def _judge(self, leaving) -> bool:
        """Count late requests at the backend that drains, and old answers."""
        bound = leaving.draining_acked_at + DRAIN_S
        late = [
            run
            for run in self.world.runs
            if run.backend == leaving.name
            and run.syn_at > bound
            and self._sent_at(run) > bound
        ]
        dropped = self._list_outcomes(DROPPED_PORT)
        added = self._list_outcomes(NEW_PORT)
        old = dropped.count('ok')
        lines = [
            f'DRAIN: {len(late)} requests began a flow at {leaving.name} later '
            f'than {1000 * DRAIN_S:.0f} ms after its draining was acknowledged',
            f'CONFIG: {old} of {len(dropped)} requests on the dropped route r2 '
            f'ran, sent later than {1000 * CONFIG_APPLY_S:.0f} ms after the '
            'acknowledgement',
            f'not judged: {len(added) - added.count("ok")} of {len(added)} '
            'requests on the added route r3 were not served after that time',
        ]
        for line in lines:
            self.world.record(line)
            print(line)
        return bool(late or old)

    def _list_outcomes(self, port: int) -> list[str]:
        """Return how the requests ended that the new version decides."""
        bound = self.config_acked_at + CONFIG_APPLY_S
        return [how for at, how in self.outcomes.get(port, ()) if at > bound]

    def _sent_at(self, run) -> float:
        """Return when the client sent the flow's first SYN, 0 if unknown."""
        flow = self.flows.get(run.request_id)
        return flow.syn_at if flow else 0


if __name__ == '__main__':
    run_case(play)

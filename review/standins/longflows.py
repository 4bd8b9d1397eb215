"""Flows that stay open, with pauses between requests, and a check of FLOW."""

import asyncio
import random
import signal

from standins.fleet import CannotRun, World

REQUEST_PERIOD_S = 1.0
DEADLINE_S = 4
ROLL_GAP_S = 3
RESTART_S = 0.5
# contact-ms: machines are in touch this long after their start.
CONTACT_S = 4


class LongFlows:
    """Uses flows until they end, and notes resets that break the rule.

    A reset breaks it if it comes from the fleet or from another backend than the
    one whose SYN+ACK the client acknowledged, and if planned work is going on or
    all machines are in touch: `counts_from` is when that begins.
    """

    def __init__(
        self, world: World, port: int, period_s: float = REQUEST_PERIOD_S
    ) -> None:
        self.world = world
        self.port = port
        self.period_s = period_s
        self.counts_from = float('inf')
        self.outcomes: dict[str, int] = {}
        self.broken: list[str] = []
        self._tasks: list[asyncio.Task] = []

    async def open(self, count: int, within_s: float) -> None:
        """Open flows one after the other, by all clients in turn."""
        clients = self.world.clients
        for number in range(count):
            client = clients[number % len(clients)]
            task = asyncio.create_task(self._use(client, number))
            self._tasks.append(task)
            await asyncio.sleep(within_s / count)

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()

    async def restart_nodes(self) -> None:
        """Restart the nodes as planned work, one at a time."""
        self.counts_from = self.world.now()
        for node in self.world.nodes:
            self.world.record(f'SIGTERM to {node.name}')
            await node.restart_gracefully()
            await self.world.wait_ready(12)
            await asyncio.sleep(ROLL_GAP_S)

    async def kill_all_nodes(self) -> None:
        """Kill all nodes at once and start them; wait until they are in touch."""
        for node in self.world.nodes:
            node.signal(signal.SIGKILL)
        for node in self.world.nodes:
            await node.process.wait()
        self.world.record('all nodes are killed')
        await asyncio.sleep(RESTART_S)
        for node in self.world.nodes:
            await node.start()
        self.counts_from = self.world.now() + CONTACT_S
        self.world.record('all nodes started')
        await asyncio.sleep(CONTACT_S)

    def judge(self) -> bool:
        """Print the result; return whether the rule was broken."""
        if not self.outcomes.get('ok'):
            raise CannotRun('nothing was served')
        lines = [
            f'requests by outcome: {self.outcomes}',
            f'FLOW: {len(self.broken)} open flows got a reset that their '
            'backend did not send',
        ]
        for line in lines:
            self.world.record(line)
            print(line)
        return bool(self.broken)

    async def _use(self, client, number: int) -> None:
        flow = await client.connect(self.port)
        count = 0
        while not flow.ended:
            count += 1
            request_id = f'{client.zone}-{number}-{count}'
            self.world.record(f'sent {request_id} echo {flow.echo:08x}')
            how = await client.request(flow, request_id, DEADLINE_S)
            self.world.record(f'ended {request_id} {how}')
            self.outcomes[how] = self.outcomes.get(how, 0) + 1
            if how != 'ok':
                break
            await asyncio.sleep(self.period_s * random.uniform(0.8, 1.2))
        self._check(client, flow, number)
        client.finish(flow)

    def _check(self, client, flow, number: int) -> None:
        for source, is_own, at in flow.resets:
            if flow.backend is None or source == flow.backend:
                continue
            kind = 'the fleet' if is_own else 'another backend'
            line = (
                f'flow {client.zone}-{number} of backend {flow.backend[0]} got '
                f'a reset from {kind} ({source[0]})'
            )
            self.world.record(line)
            if at >= self.counts_from:
                self.broken.append(line)

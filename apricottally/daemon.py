"""The daemon `apricottallyd`: the composition root of a node.

Exit statuses: 0 after a graceful shutdown, 1 after a second SIGTERM, 2 for
faulty settings, 3 if a port cannot be opened.
"""

import argparse
import asyncio
import random
import signal
import sys
import time
from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

from apricottally import dissemination, effects, logs
from apricottally.addresses import Endpoint
from apricottally.controlservice import open_control_service
from apricottally.driver import Driver
from apricottally.errors import ApricottallyError, SettingsError
from apricottally.events import (
    Event,
    LoadReport,
    LoadReported,
    PacketReceived,
    PeerReceived,
    ShutdownRequested,
    Ticked,
)
from apricottally.healthchecks import HealthChecks
from apricottally.monitoring import open_monitoring
from apricottally.platformclient import open_platform
from apricottally.settings import SETTINGS_STATUS, Settings, load_settings
from apricottally.sockets import open_datagram_socket
from apricottally.state import NodeConfig, NodeState
from apricottally.watching import Watching

TICK_S = 0.1
START_FAILED_STATUS = 3


class Node:
    """A running node: its state, its driver and how it ended."""

    def __init__(self, state: NodeState) -> None:
        self.state = state
        self.loop = asyncio.get_running_loop()
        self.exited: asyncio.Future[int] = self.loop.create_future()
        self.driver = Driver(state, {})

    def submit(self, event: Event) -> None:
        """Apply one event."""
        self.driver.submit(event)

    def receive_packet(self, payload: bytes, source: Endpoint) -> None:
        """Take a datagram of the packet socket."""
        self.driver.submit(PacketReceived(self.loop.time(), source, payload))

    def receive_peer(self, payload: bytes, source: Endpoint) -> None:
        """Take a datagram of the peer socket."""
        self.driver.submit(PeerReceived(self.loop.time(), source, payload))

    def receive_load(self, ip: str, report: LoadReport | None) -> None:
        """Take the end of a poll."""
        self.driver.submit(LoadReported(self.loop.time(), ip, report))

    def shut_down(self) -> None:
        """Ask for a graceful shutdown; a second time, end at once."""
        self.driver.submit(ShutdownRequested(self.loop.time()))

    def finish(self, status: int) -> None:
        """Note the status that the process ends with."""
        if not self.exited.done():
            self.exited.set_result(status)

    def is_ready(self) -> bool:
        """Tell whether the node should get packets from the fabric."""
        if self.state.shutdown.since is not None:
            return False
        return dissemination.is_ready(self.state)


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the daemon; the entry point of `apricottallyd`."""
    parser = argparse.ArgumentParser(prog='apricottallyd', description=__doc__)
    parser.add_argument('--settings', type=Path, required=True)
    options = parser.parse_args(arguments)
    try:
        settings = load_settings(options.settings)
    except* SettingsError as group:
        for error in group.exceptions:
            print(f'{options.settings}: {error}', file=sys.stderr)
        sys.exit(SETTINGS_STATUS)
    logs.start(settings.log.level)
    sys.exit(asyncio.run(run(settings, options.settings)))


async def run(settings: Settings, path: Path) -> int:
    """Run a node until it has shut down; return the exit status."""
    try:
        async with open_node(settings) as node:
            _add_signals(node, path)
            logs.write('started', {'node': settings.node.name})
            return await node.exited
    except ApricottallyError as error:
        print(f'apricottallyd: {error}', file=sys.stderr)
        return START_FAILED_STATUS


@asynccontextmanager
async def open_node(settings: Settings) -> AsyncIterator[Node]:
    """Wire the parts of a node and run them until the block ends.

    Raises an error of the layer concerned if a port cannot be opened.
    """
    own = settings.node
    node = Node(NodeState(_build_config(settings), random.Random()))
    async with AsyncExitStack() as stack:
        platform = await stack.enter_async_context(
            open_platform(settings.platform.endpoint),
        )
        watching = Watching(platform, node.submit, node.loop.time, logs.write)
        stack.callback(watching.close)
        checks = HealthChecks(node.receive_load)
        stack.callback(checks.close)
        counters = node.state.counters
        packets = stack.enter_context(
            open_datagram_socket(
                (own.ip, own.packet_port),
                node.receive_packet,
                counters,
            ),
        )
        peers = stack.enter_context(
            open_datagram_socket(
                (own.ip, own.peer_port),
                node.receive_peer,
                counters,
            ),
        )
        node.driver.actions = {
            effects.SendPacket: lambda each: packets.send(
                each.payload,
                each.dest,
            ),
            effects.SendPeer: lambda each: peers.send(each.payload, each.dest),
            effects.StartWatch: lambda _: watching.start(),
            effects.StopWatch: lambda _: watching.stop(),
            effects.SwapRecord: watching.swap,
            effects.PollLoad: lambda each: checks.poll(each.ips),
            effects.WriteLog: lambda each: logs.write(each.event, each.fields),
            effects.Exit: lambda each: node.finish(each.status),
        }
        await stack.enter_async_context(
            open_monitoring(
                (own.ip, own.monitoring_port),
                node.state,
                node.is_ready,
            ),
        )
        await stack.enter_async_context(
            open_control_service(
                (own.ip, own.control_port),
                node.state,
                node.shut_down,
            ),
        )
        ticker = asyncio.create_task(_tick(node))
        stack.callback(ticker.cancel)
        yield node


async def _tick(node: Node) -> None:
    """Submit a tick ten times a second."""
    while True:
        node.submit(Ticked(node.loop.time(), time.time()))
        await asyncio.sleep(TICK_S)


def _build_config(settings: Settings) -> NodeConfig:
    own = settings.node
    return NodeConfig(
        own.name,
        own.zone,
        own.ip,
        own.packet_port,
        own.peer_port,
        own.gateway,
        own.seeds,
    )


def _add_signals(node: Node, path: Path) -> None:
    add = node.loop.add_signal_handler
    add(signal.SIGTERM, node.shut_down)
    add(signal.SIGINT, node.shut_down)
    add(signal.SIGHUP, _check_settings, path)


def _check_settings(path: Path) -> None:
    """Check the settings file again; changes need a restart."""
    problem = ''
    try:
        load_settings(path)
    except* SettingsError as group:
        problem = '; '.join(str(error) for error in group.exceptions)
    logs.write('settings_checked', {'problem': problem})


if __name__ == '__main__':
    main()

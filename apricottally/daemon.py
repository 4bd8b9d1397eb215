"""The daemon `apricottallyd`: the composition root of a node.

Exit statuses: 0 after a graceful shutdown, 1 after a second SIGTERM, 2 for
invalid settings, 3 if a port cannot be opened.
"""

import argparse
import asyncio
import random
import signal
import sys
from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

from apricottally import effects, eventloop
from apricottally.controlservice import ControlCallbacks, open_control_service
from apricottally.errors import ApricottallyError, SettingsError
from apricottally.loadpoller import LoadPoller
from apricottally.logs import start_logging
from apricottally.monitoring import open_monitoring
from apricottally.node import Node
from apricottally.platformclient import open_platform
from apricottally.platformtasks import PlatformTasks
from apricottally.settings import (
    INVALID_SETTINGS_STATUS,
    Settings,
    load_settings,
)
from apricottally.sockets import open_datagram_socket
from apricottally.state import NodeConfig, NodeState

TICK_INTERVAL_S = 0.1
START_FAILED_STATUS = 3


def main(arguments: Sequence[str] | None = None) -> None:
    """Entry point of `apricottallyd`."""
    parser = argparse.ArgumentParser(prog='apricottallyd', description=__doc__)
    parser.add_argument('--settings', type=Path, required=True)
    options = parser.parse_args(arguments)
    try:
        settings = load_settings(options.settings)
    except* SettingsError as group:
        for error in group.exceptions:
            print(f'{options.settings}: {error}', file=sys.stderr)
        sys.exit(INVALID_SETTINGS_STATUS)
    start_logging(settings.log.level)
    sys.exit(eventloop.run(run(settings, options.settings)))


async def run(settings: Settings, path: Path) -> int:
    """Run a node until it shuts down and return the exit status."""
    try:
        async with open_node(settings) as node:
            _add_signal_handlers(node, path)
            node.log('started', {'node': settings.node.name})
            return await node.exited
    except ApricottallyError as error:
        print(f'apricottallyd: {error}', file=sys.stderr)
        return START_FAILED_STATUS


@asynccontextmanager
async def open_node(settings: Settings) -> AsyncIterator[Node]:
    """Connect the components of a node and run them until the block ends.

    If a port cannot be opened, raises `SocketError` or `MonitoringError`.
    """
    own = settings.node
    node = Node(NodeState(_build_config(settings), random.Random()))
    async with AsyncExitStack() as stack:
        platform = await stack.enter_async_context(
            open_platform(settings.platform.endpoint),
        )
        watching = PlatformTasks(
            platform, node.submit, node.loop.time, node.log
        )
        stack.callback(watching.close)
        load_poller = LoadPoller(node.receive_load)
        stack.callback(load_poller.close)
        counters = node.state.counters
        packet_socket = stack.enter_context(
            open_datagram_socket(
                (own.ip, own.packet_port),
                node.receive_packet,
                counters,
            ),
        )
        peer_socket = stack.enter_context(
            open_datagram_socket(
                (own.ip, own.peer_port),
                node.receive_peer,
                counters,
            ),
        )
        node.driver.effect_handlers = {
            effects.SendPacket: lambda each: packet_socket.send(
                each.payload,
                each.dest,
            ),
            effects.SendPeer: lambda each: peer_socket.send(
                each.payload, each.dest
            ),
            effects.StartWatch: lambda _: watching.start(),
            effects.StopWatch: lambda _: watching.stop(),
            effects.SwapRecord: watching.swap,
            effects.PollLoad: lambda each: load_poller.poll(each.ips),
            effects.WriteLog: lambda each: node.log(each.event, each.fields),
            effects.Exit: lambda each: node.finish(each.status),
        }
        await stack.enter_async_context(
            open_monitoring(
                (own.ip, own.monitoring_port),
                node.state,
                node.is_ready,
            ),
        )
        callbacks = ControlCallbacks(
            submit=node.submit,
            read_clock=node.loop.time,
            is_ready=node.is_ready,
            is_watching=lambda: node.state.protocols.watch.active,
        )
        await stack.enter_async_context(
            open_control_service(
                node.state, callbacks, (own.ip, own.control_port)
            ),
        )
        ticker = asyncio.create_task(_tick(node))
        stack.callback(ticker.cancel)
        yield node


async def _tick(node: Node) -> None:
    """Submit a tick every `TICK_INTERVAL_S`."""
    while True:
        node.tick()
        await asyncio.sleep(TICK_INTERVAL_S)


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


def _add_signal_handlers(node: Node, path: Path) -> None:
    add = node.loop.add_signal_handler
    add(signal.SIGTERM, node.shut_down)
    add(signal.SIGINT, node.shut_down)
    add(signal.SIGHUP, _validate_settings, node, path)


def _validate_settings(node: Node, path: Path) -> None:
    """Validate the settings file; changes take effect after a restart."""
    problem = ''
    try:
        load_settings(path)
    except* SettingsError as group:
        problem = '; '.join(str(error) for error in group.exceptions)
    node.log('settings_checked', {'problem': problem})


if __name__ == '__main__':
    main()

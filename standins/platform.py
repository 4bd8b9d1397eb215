"""Stand-in for the platform's key-value service: etcd v3 API over gRPC.

`python -m standins.platform --listen IP:PORT --admin IP:PORT` runs it as a
process. In tests `open_platform` runs it in the caller's event loop.
"""

import argparse
import asyncio
import signal
import socket
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

import msgspec
from grpclib.server import Server

from apricottally import addresses
from apricottally.addresses import Endpoint
from standins.platformfaults import Change, Faults
from standins.platformleases import Leases
from standins.platformservice import KeyService, LeaseService
from standins.platformstore import Store
from standins.platformwatch import WatchService

EXPIRY_CHECK_INTERVAL_S = 0.1
_BACKLOG = 100


class Status(msgspec.Struct, frozen=True):
    """Answer to a line on the admin port; `problem` is empty if applied."""

    revision: int
    calls: dict[str, int]
    watching: int
    outage: str
    problem: str = ''


class Platform:
    """The running stand-in: its endpoint, store, leases and faults."""

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.store = Store()
        self.leases = Leases(self.store)
        self.faults = Faults()

    def change_faults(self, change: Change) -> None:
        """Apply a change of the faults; compact the store if requested."""
        self.faults.apply(change)
        if change.compact is not None:
            self.store.compact(change.compact)

    def report_status(self, problem: str = '') -> Status:
        """Return the answer to a line on the admin port."""
        return Status(
            revision=self.store.revision,
            calls=dict(self.faults.calls),
            watching=self.faults.open_watches,
            outage=self.faults.outage,
            problem=problem,
        )

    async def expire_leases(self) -> None:
        """End overdue leases at regular intervals until cancelled."""
        while True:
            self.leases.expire(time.monotonic())
            await asyncio.sleep(EXPIRY_CHECK_INTERVAL_S)

    async def serve_admin(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Apply and answer the lines of one admin connection."""
        async for line in reader:
            writer.write(msgspec.json.encode(self._apply_line(line)) + b'\n')
            await writer.drain()
        writer.close()

    def _apply_line(self, line: bytes) -> Status:
        try:
            change = msgspec.json.decode(line, type=Change)
        except msgspec.DecodeError as error:
            return self.report_status(str(error))
        self.change_faults(change)
        return self.report_status()


@asynccontextmanager
async def open_platform(
    listen: Endpoint,
    admin: Endpoint | None = None,
) -> AsyncIterator[Platform]:
    """Run the stand-in; the system chooses a port in place of port 0."""
    listener = _bind(listen)
    platform = Platform(listener.getsockname())
    async with AsyncExitStack() as stack:
        server = Server(
            [
                KeyService(platform.store, platform.leases, platform.faults),
                WatchService(platform.store, platform.faults),
                LeaseService(platform.store, platform.leases, platform.faults),
            ],
        )
        await server.start(sock=listener)
        stack.push_async_callback(server.wait_closed)
        stack.callback(server.close)
        expiry = asyncio.create_task(platform.expire_leases())
        stack.callback(expiry.cancel)
        if admin is not None:
            admin_server = await asyncio.start_server(
                platform.serve_admin, *admin
            )
            stack.callback(admin_server.close)
        yield platform


def _bind(listen: Endpoint) -> socket.socket:
    # asyncio sets TCP_NODELAY only on sockets created with IPPROTO_TCP; without
    # it each answer waits 40 ms for the client's delayed acknowledgement.
    listener = socket.socket(
        socket.AF_INET,
        socket.SOCK_STREAM,
        socket.IPPROTO_TCP,
    )
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(listen)
    listener.listen(_BACKLOG)
    listener.setblocking(False)
    return listener


async def run(listen: Endpoint, admin: Endpoint | None) -> None:
    """Run until SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stopped.set)
    async with open_platform(listen, admin) as platform:
        address = addresses.format_endpoint(platform.endpoint)
        print(f'listening on {address}', flush=True)
        await stopped.wait()


def main() -> None:
    """Run the stand-in as a process."""
    parser = argparse.ArgumentParser(
        prog='python -m standins.platform',
        description=__doc__,
    )
    parser.add_argument(
        '--listen', type=addresses.parse_endpoint, required=True
    )
    parser.add_argument('--admin', type=addresses.parse_endpoint)
    options = parser.parse_args()
    asyncio.run(run(options.listen, options.admin))


if __name__ == '__main__':
    main()

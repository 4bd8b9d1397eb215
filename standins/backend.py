"""Process that hosts backend servers, each on its own address.

`python -m standins.backend --settings FILE.json`. Each server receives
GUE on port 6080 and sends its replies to the fabric (`standins.fabric`).
Port 6084 answers `GET /load`, `GET /journal` and `POST /drain`.
"""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator

import msgspec

from apricottally import addresses
from standins import datagrams, entrypoint, web
from standins.capacity import ServerConfig
from standins.server import Server


class BackendSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the process; replies go to `fabric`, an `IP:PORT`."""

    fabric: str
    servers: tuple[ServerConfig, ...]
    seed: int = 1


@contextlib.asynccontextmanager
async def serve(settings: BackendSettings) -> AsyncIterator[None]:
    """Host the backend servers while the context lasts."""
    rng = random.Random(settings.seed)
    async with contextlib.AsyncExitStack() as servers:
        for config in settings.servers:
            own_rng = random.Random(rng.getrandbits(64))
            hosted = host_backend(config, settings.fabric, own_rng)
            await servers.enter_async_context(hosted)  # noqa: WPS476
        yield


@contextlib.asynccontextmanager
async def host_backend(
    config: ServerConfig,
    fabric: str,
    rng: random.Random,
) -> AsyncIterator[Server]:
    """Host one backend server while the context lasts."""
    loop = asyncio.get_running_loop()
    server = Server(config, rng, loop.time())
    udp_socket = datagrams.open_socket(config.ip, addresses.PACKET_PORT)
    fabric_endpoint = entrypoint.parse_endpoint(fabric)
    routes = {
        'GET /load': lambda: server.capacity.report(loop.time()),
        'GET /journal': server.report_journal,
        'POST /drain': lambda: server.capacity.drain(loop.time()),
    }
    with (
        udp_socket,
        datagrams.MachineDriver(server, udp_socket, fabric_endpoint).run(),
    ):
        async with web.serve((config.ip, addresses.LOAD_PORT), routes):
            yield server


if __name__ == '__main__':
    entrypoint.run(serve(entrypoint.read_settings(BackendSettings, __doc__)))

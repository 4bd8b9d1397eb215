"""Process that hosts a caller and its workload.

`python -m standins.caller --settings FILE.json`. The caller sends GUE to the
fabric (`standins.fabric`). On port 6084 `GET /report` returns its results
and `POST /stop` ends the workload.
"""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator

import msgspec

from apricottally import addresses
from standins import datagrams, entrypoint, web
from standins.client import Client, ClientConfig


class CallerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the process; `ip` is its outer address."""

    ip: str
    fabric: str
    client: ClientConfig
    seed: int = 1


@contextlib.asynccontextmanager
async def serve(settings: CallerSettings) -> AsyncIterator[Client]:
    """Run the workload while the context lasts."""
    loop = asyncio.get_running_loop()
    rng = random.Random(settings.seed)
    client = Client(settings.client, rng, loop.time())
    udp_socket = datagrams.open_socket(settings.ip, addresses.PACKET_PORT)
    fabric_endpoint = entrypoint.parse_endpoint(settings.fabric)
    routes = {
        'GET /report': client.report,
        'POST /stop': lambda: client.stop(loop.time()),
    }
    with (
        udp_socket,
        datagrams.MachineDriver(client, udp_socket, fabric_endpoint).run(),
    ):
        async with web.serve((settings.ip, addresses.LOAD_PORT), routes):
            yield client


if __name__ == '__main__':
    entrypoint.run(serve(entrypoint.read_settings(CallerSettings, __doc__)))

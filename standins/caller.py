"""Process that hosts callers with their work.

`python -m standins.caller --settings FILE.json`. The callers send GUE to the
fabric. Port 6084 answers `GET /report`, and `POST /stop` ends the work.
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
    """Settings of the process: its outer address and its caller."""

    ip: str
    fabric: str
    client: ClientConfig
    seed: int = 1


@contextlib.asynccontextmanager
async def serve(settings: CallerSettings) -> AsyncIterator[Client]:
    """Do the work while the context lasts."""
    loop = asyncio.get_running_loop()
    rng = random.Random(settings.seed)
    client = Client(settings.client, rng, loop.time())
    opened = datagrams.open_socket(settings.ip, addresses.PACKET_PORT)
    fabric = entrypoint.parse_endpoint(settings.fabric)
    routes = {
        'GET /report': client.report,
        'POST /stop': lambda: client.stop(loop.time()),
    }
    with opened, datagrams.MachineDriver(client, opened, fabric).run():
        async with web.serve((settings.ip, addresses.LOAD_PORT), routes):
            yield client


if __name__ == '__main__':
    entrypoint.run(serve(entrypoint.read_settings(CallerSettings, __doc__)))

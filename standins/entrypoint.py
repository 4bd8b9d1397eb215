"""Start-up of the test-double processes: settings, signals, event loop."""

import argparse
import asyncio
import signal
from contextlib import AbstractAsyncContextManager
from pathlib import Path
from typing import TypeVar

import msgspec

from apricottally.addresses import Endpoint

Settings = TypeVar('Settings')


def parse_endpoint(text: str) -> Endpoint:
    """Parse an endpoint of the form `IP:PORT`; raises `ValueError`."""
    ip, _, port = text.rpartition(':')
    return ip, int(port)


def read_settings(
    settings: type[Settings], description: str | None
) -> Settings:
    """Decode the JSON file given on the command line by `--settings`."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument('--settings', type=Path, required=True)
    path: Path = parser.parse_args().settings
    return msgspec.json.decode(path.read_bytes(), type=settings)


def run(service: AbstractAsyncContextManager[object]) -> None:
    """Run a service until SIGTERM or SIGINT."""
    asyncio.run(_run_until_stopped(service))


async def _run_until_stopped(
    service: AbstractAsyncContextManager[object],
) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    async with service:
        await stopped.wait()

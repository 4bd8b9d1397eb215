"""Resident memory of an idle daemon, and of its libraries alone."""

import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from bench.rows import Row

COMMAND = 'python -m bench memory'
# Time for the daemon to start and to call the platform, which does not answer.
SETTLE_S = 6.0
MEGABYTE = 1024 * 1024
PAGE_BYTES = 4096
SETTINGS = """
[node]
name = "idle"
zone = "a"
ip = "127.91.0.1"
gateway = "127.91.0.9:6090"
[platform]
endpoint = "127.91.0.2:2379"
"""
# Imports the libraries that the daemon uses, then waits to be measured.
LIBRARIES = (
    'import argparse, asyncio, tomllib;'
    'import grpclib.client, grpclib.server, google.protobuf.descriptor_pool;'
    'from google.protobuf import descriptor_pb2, symbol_database;'
    'from google.protobuf.internal import builder;'
    'import absl.flags, absl.logging, msgspec, xxhash;'
    'import aioprometheus.collectors, aioprometheus.renderer;'
    'import time; time.sleep(60)'
)


def measure(seed: int) -> list[Row]:
    """Measure the daemon and its libraries in separate processes."""
    libraries = _measure_process('-c', LIBRARIES)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, 'node.toml')
        path.write_text(SETTINGS)
        daemon = _measure_process(
            '-m',
            'apricottally.daemon',
            '--settings',
            str(path),
        )
    return [
        Row(
            'resident memory of an idle daemon',
            COMMAND,
            seed,
            f'{daemon:.1f} MB',
            'at most 32 MB',
            f'interpreter and libraries {libraries:.1f} MB',
        ),
    ]


def _measure_process(*arguments: str) -> float:
    """Return the resident megabytes of a Python process once it is idle."""
    with _run_process(arguments) as process:
        time.sleep(SETTLE_S)
        pages = Path(f'/proc/{process.pid}/statm').read_text().split()[1]
    return int(pages) * PAGE_BYTES / MEGABYTE


@contextmanager
def _run_process(
    arguments: tuple[str, ...],
) -> Iterator[subprocess.Popen[bytes]]:
    command = (sys.executable, *arguments)
    process = subprocess.Popen(command, stderr=subprocess.DEVNULL)
    try:
        yield process
    finally:
        process.kill()
        process.wait()

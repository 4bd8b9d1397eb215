"""Polls `GET /load` of the backend servers, which returns a JSON object."""

import asyncio
from collections.abc import Callable
from contextlib import closing
from functools import partial

from apricottally.addresses import LOAD_PORT
from apricottally.decoding import decode_json
from apricottally.errors import DecodingError
from apricottally.events import LoadReport

POLL_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 4096
# Concurrent polls. A node owns about ten backends in a full-size deployment.
MAX_POLLS = 64

_REQUEST = 'GET /load HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\r\n'


class LoadPoller:
    """Polls backends; calls `on_report(ip, report)`, with None on failure."""

    def __init__(
        self,
        on_report: Callable[[str, LoadReport | None], None],
        port: int = LOAD_PORT,
    ) -> None:
        self._on_report = on_report
        self._port = port
        self._limit = asyncio.Semaphore(MAX_POLLS)
        self._busy: dict[str, asyncio.Task[None]] = {}

    def poll(self, ips: tuple[str, ...]) -> None:
        """Start a poll of each backend that is not being polled already."""
        for ip in ips:
            if ip not in self._busy:
                task = asyncio.create_task(self._poll_one(ip))
                self._busy[ip] = task
                task.add_done_callback(partial(self._finish, ip))

    def close(self) -> None:
        """Cancel the polls in progress."""
        for task in self._busy.values():
            task.cancel()

    def _finish(self, ip: str, task: asyncio.Task[None]) -> None:
        self._busy.pop(ip, None)

    async def _poll_one(self, ip: str) -> None:
        async with self._limit:
            report = await fetch_load(ip, self._port)
        self._on_report(ip, report)


async def fetch_load(ip: str, port: int) -> LoadReport | None:
    """Return a backend's report, None on error or after POLL_TIMEOUT_S."""
    try:
        async with asyncio.timeout(POLL_TIMEOUT_S):
            answer = await _exchange(ip, port)
    except (OSError, TimeoutError):
        return None
    return parse_answer(answer)


def parse_answer(answer: bytes) -> LoadReport | None:
    """Parse an HTTP response; return None unless it is a valid report."""
    head, separator, body = answer.partition(b'\r\n\r\n')
    if not separator or b' 200 ' not in head.split(b'\r\n', 1)[0]:
        return None
    try:
        return decode_json(body, LoadReport)
    except DecodingError:
        return None


async def _exchange(ip: str, port: int) -> bytes:
    reader, writer = await asyncio.open_connection(ip, port)
    with closing(writer):
        writer.write(_REQUEST.format(host=ip).encode())
        return await _read_all(reader)


async def _read_all(reader: asyncio.StreamReader) -> bytes:
    """Read until the end of the stream or the size limit."""
    chunks = b''
    while len(chunks) < MAX_ANSWER_BYTES:
        chunk = await reader.read(MAX_ANSWER_BYTES)
        if not chunk:
            break
        chunks += chunk
    return chunks

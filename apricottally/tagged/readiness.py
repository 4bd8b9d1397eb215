"""An HTTP responder for the fabric's readiness checks and for metrics."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass
from functools import partial

from apricottally.addresses import Endpoint
from apricottally.errors import SocketError

MAX_HEAD_BYTES = 8192
IDLE_TIMEOUT_S = 30.0
_FAULTS = (OSError, EOFError, asyncio.LimitOverrunError)


@dataclass(frozen=True, slots=True)
class Answer:
    """One HTTP answer."""

    status: str
    body: bytes
    content_type: str = 'text/plain; charset=utf-8'


Handle = Callable[[], Answer]
NOT_FOUND = Answer('404 Not Found', b'unknown path\n')


@asynccontextmanager
async def open_responder(
    endpoint: Endpoint,
    handlers: Mapping[str, Handle],
) -> AsyncIterator[None]:
    """Answer GET requests by path until the block ends.

    Raises `SocketError` if the port cannot be opened.
    """
    serve = partial(_serve, handlers)
    try:
        server = await asyncio.start_server(
            serve, *endpoint, limit=MAX_HEAD_BYTES
        )
    except OSError as error:
        raise SocketError(endpoint, str(error)) from error
    try:
        yield
    finally:
        server.close()


async def _serve(
    handlers: Mapping[str, Handle],
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    try:
        await _serve_requests(reader, writer, handlers)
    except _FAULTS:
        # A caller that is slow, gone or malformed gets no answer.
        return
    finally:
        writer.close()


async def _serve_requests(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    handlers: Mapping[str, Handle],
) -> None:
    while True:
        async with asyncio.timeout(IDLE_TIMEOUT_S):
            head = await reader.readuntil(b'\r\n\r\n')
        words = head.split(b'\r\n', 1)[0].split()
        path = words[1].decode('latin-1') if len(words) > 1 else ''
        handle = handlers.get(path.partition('?')[0])
        answer = handle() if handle else NOT_FOUND
        writer.write(_encode(answer))
        await writer.drain()


def _encode(answer: Answer) -> bytes:
    head = (
        f'HTTP/1.1 {answer.status}\r\n'
        f'Content-Type: {answer.content_type}\r\n'
        f'Content-Length: {len(answer.body)}\r\n\r\n'
    )
    return head.encode() + answer.body

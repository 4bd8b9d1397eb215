"""An HTTP responder for the fabric's readiness checks and for metrics."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from contextlib import AbstractAsyncContextManager
from functools import partial

import msgspec

from apricottally.addresses import Endpoint
from apricottally.tagged.servers import open_server

IDLE_TIMEOUT_S = 30.0


class Answer(msgspec.Struct, frozen=True):
    """One HTTP answer."""

    status: str
    body: bytes
    content_type: str = 'text/plain; charset=utf-8'


Handle = Callable[[], Answer]
NOT_FOUND = Answer('404 Not Found', b'unknown path\n')


def open_responder(
    endpoint: Endpoint,
    handlers: Mapping[str, Handle],
) -> AbstractAsyncContextManager[None]:
    """Answer GET requests by path until the block ends.

    Raises `SocketError` if the port cannot be opened.
    """
    return open_server(endpoint, partial(_serve_requests, handlers))


async def _serve_requests(
    handlers: Mapping[str, Handle],
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
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

"""HTTP server for readiness checks by the network fabric and for metrics."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from contextlib import AbstractAsyncContextManager
from functools import partial

import msgspec

from apricottally.addresses import Endpoint
from apricottally.tagged.tcpserver import open_server

IDLE_TIMEOUT_S = 30.0


class HttpResponse(msgspec.Struct, frozen=True):
    """An HTTP response: status line text, body and content type."""

    status: str
    body: bytes
    content_type: str = 'text/plain; charset=utf-8'


ResponseBuilder = Callable[[], HttpResponse]
NOT_FOUND = HttpResponse('404 Not Found', b'unknown path\n')


def open_http_responder(
    endpoint: Endpoint,
    handlers: Mapping[str, ResponseBuilder],
) -> AbstractAsyncContextManager[None]:
    """Answer GET requests by path until the block ends.

    Raises `SocketError` if the port cannot be opened.
    """
    return open_server(endpoint, partial(_serve_requests, handlers))


async def _serve_requests(
    handlers: Mapping[str, ResponseBuilder],
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    while True:
        async with asyncio.timeout(IDLE_TIMEOUT_S):
            head = await reader.readuntil(b'\r\n\r\n')
        request_words = head.split(b'\r\n', 1)[0].split()
        path = (
            request_words[1].decode('latin-1') if len(request_words) > 1 else ''
        )
        build_response = handlers.get(path.partition('?')[0])
        response = build_response() if build_response else NOT_FOUND
        writer.write(_encode(response))
        await writer.drain()


def _encode(response: HttpResponse) -> bytes:
    head = (
        f'HTTP/1.1 {response.status}\r\n'
        f'Content-Type: {response.content_type}\r\n'
        f'Content-Length: {len(response.body)}\r\n\r\n'
    )
    return head.encode() + response.body

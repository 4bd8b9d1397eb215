"""Minimal HTTP/1.0 server and client; response bodies are JSON."""

import asyncio
import contextlib
import functools
from collections.abc import AsyncIterator, Callable, Mapping
from typing import TypeAlias

import msgspec

from apricottally.addresses import Endpoint

# Functions that return the response body, keyed by method and path, such as
# `GET /load`.
Routes: TypeAlias = Mapping[str, Callable[[], object]]

FETCH_TIMEOUT_S = 1.0
_MAX_HEADER_BYTES = 16384
_OK = 200
_NOT_FOUND = 404


class FetchError(Exception):
    """The request failed or got no valid HTTP response."""


@contextlib.asynccontextmanager
async def serve(endpoint: Endpoint, routes: Routes) -> AsyncIterator[None]:
    """Serve requests at `endpoint` while the context is open."""
    ip, port = endpoint
    server = await asyncio.start_server(
        functools.partial(_respond, routes),
        ip,
        port,
        limit=_MAX_HEADER_BYTES,
    )
    async with server:
        yield


async def fetch(
    endpoint: Endpoint,
    path: str,
    method: str = 'GET',
    timeout_s: float = FETCH_TIMEOUT_S,
) -> tuple[int, bytes]:
    """Return the status and body of a response; raises `FetchError`."""
    try:
        async with asyncio.timeout(timeout_s):
            content = await _exchange(endpoint, path, method)
    except (OSError, TimeoutError) as error:
        raise FetchError(f'{endpoint}{path}: {error!r}') from error
    header, separator, body = content.partition(b'\r\n\r\n')
    words = header.split(maxsplit=2)
    if not separator or len(words) < 2 or not words[1].isdigit():
        raise FetchError(f'{endpoint}{path}: invalid HTTP response')
    return int(words[1]), body


async def _exchange(endpoint: Endpoint, path: str, method: str) -> bytes:
    ip, port = endpoint
    reader, writer = await asyncio.open_connection(ip, port)
    with contextlib.closing(writer):
        request = f'{method} {path} HTTP/1.0\r\nHost: {ip}:{port}\r\n\r\n'
        writer.write(request.encode())
        return await reader.read(-1)


async def _respond(
    routes: Routes,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    with contextlib.closing(writer), contextlib.suppress(OSError, EOFError):
        header = await reader.readuntil(b'\r\n\r\n')
        writer.write(_make_response(header, routes))
        await writer.drain()


def _make_response(header: bytes, routes: Routes) -> bytes:
    method, _, rest = header.decode('latin-1').partition(' ')
    path = rest.partition(' ')[0]
    handler = routes.get(f'{method} {path}')
    status = _NOT_FOUND if handler is None else _OK
    body = b'{}' if handler is None else msgspec.json.encode(handler())
    head = (
        f'HTTP/1.0 {status} -\r\n'
        'Content-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body

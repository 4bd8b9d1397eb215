"""TCP servers that tolerate slow, disconnected or malformed clients."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from functools import partial
from typing import TypeAlias

from apricottally.addresses import Endpoint
from apricottally.errors import SocketError

# Maximum length of a line or of an HTTP request head.
MAX_READ_BYTES = 8192
# TimeoutError is an OSError; LimitOverrunError is raised for a line or request
# head that is too long. The event loop cancels the task of a connection only
# when it ends; asyncio would print a traceback for a cancelled task.
_CONNECTION_ERRORS = (
    OSError,
    EOFError,
    asyncio.LimitOverrunError,
    asyncio.CancelledError,
)

ConnectionHandler: TypeAlias = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


@asynccontextmanager
async def open_server(
    endpoint: Endpoint, handler: ConnectionHandler
) -> AsyncIterator[None]:
    """Accept connections until the `async with` block ends.

    Raises `SocketError` if the port cannot be opened.
    """
    serve_connection = partial(_serve_connection, handler)
    try:
        server = await asyncio.start_server(
            serve_connection, *endpoint, limit=MAX_READ_BYTES
        )
    except OSError as error:
        raise SocketError(endpoint, str(error)) from error
    try:
        yield
    finally:
        server.close()


async def _serve_connection(
    handler: ConnectionHandler,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Handle one connection; after a connection error, just close it."""
    try:
        await handler(reader, writer)
    except _CONNECTION_ERRORS:
        return
    finally:
        writer.close()

"""TCP servers whose callers may be slow, gone or malformed."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from functools import partial
from typing import TypeAlias

from apricottally.addresses import Endpoint
from apricottally.errors import SocketError

# Bytes of a line or head that a server reads at most.
MAX_READ_BYTES = 8192
# TimeoutError is an OSError; LimitOverrunError stands for a head that is too
# long.
_FAULTS = (OSError, EOFError, asyncio.LimitOverrunError)

Serve: TypeAlias = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


@asynccontextmanager
async def open_server(endpoint: Endpoint, serve: Serve) -> AsyncIterator[None]:
    """Serve connections until the block ends.

    Raises `SocketError` if the port cannot be opened.
    """
    guarded = partial(_guard, serve)
    try:
        server = await asyncio.start_server(
            guarded, *endpoint, limit=MAX_READ_BYTES
        )
    except OSError as error:
        raise SocketError(endpoint, str(error)) from error
    try:
        yield
    finally:
        server.close()


async def _guard(
    serve: Serve,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Serve one connection; a faulty caller gets no answer."""
    try:
        await serve(reader, writer)
    except _FAULTS:
        return
    finally:
        writer.close()

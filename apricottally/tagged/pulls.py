"""Reading the records of another node over TCP.

The asker sends the revision that it holds, as 8 bytes. The answer is a
length of 4 bytes and a snapshot, compressed by zlib.
"""

from __future__ import annotations

import asyncio
import struct
import zlib
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager, closing
from functools import partial

from apricottally.addresses import Endpoint
from apricottally.errors import PullError, WireError
from apricottally.tagged.messages import Snapshot, decode_snapshot, encode
from apricottally.tagged.servers import open_server

_REVISION = struct.Struct('>Q')
_LENGTH = struct.Struct('>I')
TIMEOUT_S = 0.6
MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024
# Errors of a connection; the end of the stream is an EOFError.
_FAULTS = (OSError, EOFError, zlib.error, WireError)

BuildSnapshot = Callable[[int], Snapshot]


async def pull(endpoint: Endpoint, after: int) -> Snapshot:
    """Return what a node holds beyond a revision; raises `PullError`."""
    try:
        async with asyncio.timeout(TIMEOUT_S):
            return await _exchange(endpoint, after)
    except _FAULTS as error:
        raise PullError(repr(error)) from error


def open_pull_server(
    endpoint: Endpoint,
    build: BuildSnapshot,
) -> AbstractAsyncContextManager[None]:
    """Answer pulls until the block ends.

    Raises `SocketError` if the port cannot be opened.
    """
    return open_server(endpoint, partial(_answer_in_time, build))


async def _exchange(endpoint: Endpoint, after: int) -> Snapshot:
    reader, writer = await asyncio.open_connection(*endpoint)
    with closing(writer):
        writer.write(_REVISION.pack(after))
        packed = await _read_packed(reader)
    return decode_snapshot(zlib.decompress(packed))


async def _read_packed(reader: asyncio.StreamReader) -> bytes:
    head = await reader.readexactly(_LENGTH.size)
    length = _LENGTH.unpack(head)[0]
    if length > MAX_SNAPSHOT_BYTES:
        raise WireError('oversized_snapshot')
    return await reader.readexactly(length)


async def _answer_in_time(
    build: BuildSnapshot,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        await _answer(reader, writer, build)


async def _answer(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    build: BuildSnapshot,
) -> None:
    head = await reader.readexactly(_REVISION.size)
    after = _REVISION.unpack(head)[0]
    packed = zlib.compress(encode(build(after)), 1)
    writer.write(_LENGTH.pack(len(packed)) + packed)
    await writer.drain()

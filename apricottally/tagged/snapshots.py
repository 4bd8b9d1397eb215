"""Transfer of record snapshots between nodes over TCP.

The requesting node sends the epoch and the number of its revision as 8 bytes
each, big-endian. The response is a 4-byte big-endian length, followed by the
snapshot compressed with zlib.
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
from apricottally.tagged.revisions import Revision
from apricottally.tagged.tcpserver import open_server

_REVISION = struct.Struct('>QQ')
_LENGTH = struct.Struct('>I')
TIMEOUT_S = 0.6
MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024
# Errors that make a transfer fail; an early end of stream is an EOFError.
_TRANSFER_ERRORS = (OSError, EOFError, zlib.error, WireError)

BuildSnapshot = Callable[[Revision], Snapshot]


async def fetch_snapshot(endpoint: Endpoint, after: Revision) -> Snapshot:
    """Fetch a node's records newer than the revision `after`.

    Raises `PullError`.
    """
    try:
        async with asyncio.timeout(TIMEOUT_S):
            return await _transfer(endpoint, after)
    except _TRANSFER_ERRORS as error:
        raise PullError(repr(error)) from error


def open_snapshot_server(
    endpoint: Endpoint,
    build: BuildSnapshot,
) -> AbstractAsyncContextManager[None]:
    """Serve snapshots within the context.

    Raises `SocketError` if the port cannot be opened.
    """
    return open_server(endpoint, partial(_serve, build))


async def _transfer(endpoint: Endpoint, after: Revision) -> Snapshot:
    reader, writer = await asyncio.open_connection(*endpoint)
    with closing(writer):
        writer.write(_REVISION.pack(after.epoch, after.number))
        compressed = await _read_response(reader)
    return decode_snapshot(zlib.decompress(compressed))


async def _read_response(reader: asyncio.StreamReader) -> bytes:
    header = await reader.readexactly(_LENGTH.size)
    length = _LENGTH.unpack(header)[0]
    if length > MAX_SNAPSHOT_BYTES:
        raise WireError('oversized_snapshot')
    return await reader.readexactly(length)


async def _serve(
    build: BuildSnapshot,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        await _send_snapshot(reader, writer, build)


async def _send_snapshot(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    build: BuildSnapshot,
) -> None:
    header = await reader.readexactly(_REVISION.size)
    after = Revision(*_REVISION.unpack(header))
    compressed = zlib.compress(encode(build(after)), 1)
    writer.write(_LENGTH.pack(len(compressed)) + compressed)
    await writer.drain()

"""Transfer of record snapshots between nodes over TCP.

The requesting node sends the epoch and the number of its revision, and the
version of its configuration, as 8 bytes each, big-endian. The response is a
4-byte big-endian length, followed by the snapshot compressed with zlib.
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
from apricottally.tagged.messages import (
    Snapshot,
    SnapshotRequest,
    decode_snapshot,
    encode,
)
from apricottally.tagged.revisions import Revision
from apricottally.tagged.tcpserver import open_server

_REQUEST = struct.Struct('>QQQ')
_LENGTH = struct.Struct('>I')
TIMEOUT_S = 0.6
MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024
# Errors that make a transfer fail; an early end of stream is an EOFError.
_TRANSFER_ERRORS = (OSError, EOFError, zlib.error, WireError)

BuildSnapshot = Callable[[SnapshotRequest], Snapshot]


async def fetch_snapshot(
    endpoint: Endpoint, request: SnapshotRequest
) -> Snapshot:
    """Fetch the records of a node that are newer than the requesting node's.

    Raises `PullError`.
    """
    try:
        async with asyncio.timeout(TIMEOUT_S):
            return await _transfer(endpoint, request)
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


async def _transfer(endpoint: Endpoint, request: SnapshotRequest) -> Snapshot:
    reader, writer = await asyncio.open_connection(*endpoint)
    with closing(writer):
        after = request.after
        writer.write(_REQUEST.pack(after.epoch, after.number, request.version))
        compressed = await _read_response(reader)
    return decode_snapshot(decompress(compressed))


def decompress(compressed: bytes) -> bytes:
    """Return the data, of `MAX_SNAPSHOT_BYTES` at most.

    A few compressed bytes could otherwise fill the memory.
    """
    stream = zlib.decompressobj()
    found = stream.decompress(compressed, MAX_SNAPSHOT_BYTES)
    if not stream.eof:
        raise WireError('oversized_snapshot')
    return found


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
    header = await reader.readexactly(_REQUEST.size)
    epoch, number, version = _REQUEST.unpack(header)
    request = SnapshotRequest(Revision(epoch, number), version)
    compressed = zlib.compress(encode(build(request)), 1)
    writer.write(_LENGTH.pack(len(compressed)) + compressed)
    await writer.drain()

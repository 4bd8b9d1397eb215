"""Watch of the platform's keys over one or more streams."""

import asyncio
from contextlib import AsyncExitStack
from typing import Any, cast

from grpclib.client import Channel

from apricottally import etcd_pb2 as pb
from apricottally import model
from apricottally.addresses import Endpoint
from apricottally.errors import CompactedError, PlatformError
from apricottally.etcd_grpc import WatchStub
from apricottally.events import Record
from apricottally.platformcalls import (
    Limits,
    decode_entry,
    prefix_end,
    translated,
)

_OWN_WATCH = 1
_MACHINE_WATCH = 2
_WATCHES = 2


class Watch:
    """Watches of both prefixes, each at its own revision.

    The two watches of a stream advance independently, so a resumed watch
    starts at the lower revision of the two.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        limits: Limits,
        revision: int,
    ) -> None:
        self._endpoint = endpoint
        self._limits = limits
        self._positions = {_OWN_WATCH: revision, _MACHINE_WATCH: revision}
        self._stack = AsyncExitStack()
        self._stream: Any = None
        self._created = 0
        self._opened_s = float(0)

    @property
    def revision(self) -> int:
        """The revision up to which all changes were received."""
        return min(self._positions.values())

    async def receive(self) -> tuple[Record, ...]:
        """Wait for the next message and return its records, if any.

        A lost stream is opened again from where it was. Raises
        `CompactedError` and `PlatformError`.
        """
        try:
            return self._take(await self._receive())
        except CompactedError:
            raise
        except PlatformError:
            await self.close()
            if not self._has_lived():
                raise
        return ()

    async def close(self) -> None:
        """Close the stream and its connection."""
        self._stream = None
        await self._stack.aclose()

    def _has_lived(self) -> bool:
        """Tell whether the last stream worked before it was lost."""
        age_s = asyncio.get_running_loop().time() - self._opened_s
        return self._created == _WATCHES and age_s >= self._limits.min_life_s

    async def _receive(self) -> pb.WatchResponse:
        """Return the next message; a stream silent for too long is lost."""
        with translated():
            if self._stream is None:
                await self._open()
            limit_s = self._limits.call_s
            if self._created == _WATCHES:
                limit_s = self._limits.silence_s
            async with asyncio.timeout(limit_s):
                response = await self._stream.recv_message()
                if response is None:
                    # Raises the status that the stream ended with.
                    await self._stream.recv_trailing_metadata()
        if response is None:
            raise PlatformError('the platform ended the watch')
        return cast(pb.WatchResponse, response)

    async def _open(self) -> None:
        self._created = 0
        self._opened_s = asyncio.get_running_loop().time()
        channel = Channel(*self._endpoint)
        opening = WatchStub(channel).Watch.open()
        self._stream = await self._stack.enter_async_context(opening)
        # Closed before the stream, which would wait for its end otherwise.
        self._stack.callback(channel.close)
        async with asyncio.timeout(self._limits.call_s):
            await self._create(_OWN_WATCH, model.PREFIX)
            await self._create(_MACHINE_WATCH, model.MACHINE_PREFIX)

    async def _create(self, watch_id: int, prefix: str) -> None:
        create = pb.WatchCreateRequest(
            key=prefix.encode(),
            range_end=prefix_end(prefix),
            start_revision=self._positions[watch_id] + 1,
            progress_notify=True,
            watch_id=watch_id,
        )
        request = pb.WatchRequest(create_request=create)
        await self._stream.send_message(request)

    def _take(self, response: pb.WatchResponse) -> tuple[Record, ...]:
        """Return the records of a message and move its position on."""
        if response.compact_revision:
            raise CompactedError('the revision is compacted')
        if response.canceled:
            raise PlatformError(f'watch cancelled: {response.cancel_reason}')
        if response.created:
            self._created += 1
        elif response.events:
            self._move(response.watch_id, response.events[-1].kv.mod_revision)
        else:
            # Progress: everything up to the revision has been sent.
            self._move(response.watch_id, response.header.revision)
        return tuple(map(_decode_event, response.events))

    def _move(self, watch_id: int, revision: int) -> None:
        position = max(self._positions[watch_id], revision)
        self._positions[watch_id] = position


def _decode_event(event: pb.Event) -> Record:
    if event.type == pb.Event.DELETE:
        return Record(event.kv.key.decode(), event.kv.mod_revision, None)
    return decode_entry(event.kv)

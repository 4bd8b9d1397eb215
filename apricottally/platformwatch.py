"""Watch of the platform's keys over successive gRPC streams."""

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
    ClientLimits,
    compute_range_end,
    decode_entry,
    decode_key,
    translate_errors,
)

_ROOT_WATCH_ID = 1
_VM_WATCH_ID = 2
_WATCH_COUNT = 2


class PlatformWatch:
    """Watches of this system's keys and the VM list on one stream.

    The two watches advance independently, each with its own revision. A
    caller that resumes from `revision` starts at the lower of the two.
    `cluster_id` identifies the store that the revision comes from, 0 if that is
    not known.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        limits: ClientLimits,
        revision: int,
        cluster_id: int = 0,
    ) -> None:
        self._endpoint = endpoint
        self._limits = limits
        self._revisions = {_ROOT_WATCH_ID: revision, _VM_WATCH_ID: revision}
        self._cluster_id = cluster_id
        self._stack = AsyncExitStack()
        self._stream: Any = None
        self._created_count = 0
        self._opened_at = float(0)

    @property
    def revision(self) -> int:
        """The revision up to which all changes have been received."""
        return min(self._revisions.values())

    async def receive(self) -> tuple[Record, ...]:
        """Wait for the next message and return its records, if any.

        A lost stream is reopened by the next call and resumes at the last
        revisions received. Raises `CompactedError`, and `PlatformError` if
        the stream was not established or was lost too soon.
        """
        try:
            return self._process(await self._receive())
        except CompactedError:
            raise
        except PlatformError:
            await self.close()
            if not self._was_established():
                raise
        return ()

    async def close(self) -> None:
        """Close the stream and its connection."""
        self._stream = None
        await self._stack.aclose()

    def _was_established(self) -> bool:
        """Return whether the last stream worked for the minimum lifetime."""
        age_s = asyncio.get_running_loop().time() - self._opened_at
        return (
            self._created_count == _WATCH_COUNT
            and age_s >= self._limits.watch_min_lifetime_s
        )

    async def _receive(self) -> pb.WatchResponse:
        """Return the next message; a silent stream times out."""
        with translate_errors():
            if self._stream is None:
                await self._open()
            limit_s = self._limits.call_timeout_s
            if self._created_count == _WATCH_COUNT:
                limit_s = self._limits.watch_silence_s
            async with asyncio.timeout(limit_s):
                response = await self._stream.recv_message()
                if response is None:
                    # Raises an error if the stream ended with an error status.
                    await self._stream.recv_trailing_metadata()
        if response is None:
            raise PlatformError('the platform ended the watch')
        return cast(pb.WatchResponse, response)

    async def _open(self) -> None:
        self._created_count = 0
        self._opened_at = asyncio.get_running_loop().time()
        channel = Channel(*self._endpoint)
        opening = WatchStub(channel).Watch.open()
        self._stream = await self._stack.enter_async_context(opening)
        # The exit stack closes the channel before the stream, since the stream
        # would otherwise wait for its end.
        self._stack.callback(channel.close)
        async with asyncio.timeout(self._limits.call_timeout_s):
            await self._create(_ROOT_WATCH_ID, model.ROOT_PREFIX)
            await self._create(_VM_WATCH_ID, model.MACHINE_PREFIX)

    async def _create(self, watch_id: int, prefix: str) -> None:
        create = pb.WatchCreateRequest(
            key=prefix.encode(),
            range_end=compute_range_end(prefix),
            start_revision=self._revisions[watch_id] + 1,
            progress_notify=True,
            watch_id=watch_id,
        )
        request = pb.WatchRequest(create_request=create)
        await self._stream.send_message(request)

    def _process(self, response: pb.WatchResponse) -> tuple[Record, ...]:
        """Return the records of a message and advance its watch."""
        self._check_cluster(response.header.cluster_id)
        if response.compact_revision:
            raise CompactedError('the revision is compacted')
        if response.canceled:
            raise PlatformError(f'watch cancelled: {response.cancel_reason}')
        if response.created:
            self._created_count += 1
        elif response.events:
            self._advance(
                response.watch_id, response.events[-1].kv.mod_revision
            )
        else:
            # A progress notification: all changes up to the revision were sent.
            self._advance(response.watch_id, response.header.revision)
        return tuple(map(_decode_event, response.events))

    def _check_cluster(self, cluster_id: int) -> None:
        """Raise `CompactedError` if the store was restored from a copy.

        It accepts a watch from a revision that it does not have yet, and gives
        out the revisions before it a second time.
        """
        self._cluster_id = self._cluster_id or cluster_id
        if cluster_id != self._cluster_id:
            raise CompactedError('the platform was restored')

    def _advance(self, watch_id: int, revision: int) -> None:
        latest = max(self._revisions[watch_id], revision)
        self._revisions[watch_id] = latest


def _decode_event(event: pb.Event) -> Record:
    if event.type == pb.Event.DELETE:
        key = decode_key(event.kv.key)
        return Record(key, event.kv.mod_revision, None)
    return decode_entry(event.kv)

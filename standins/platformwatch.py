"""Watch service of the platform stand-in, by the etcd v3 API."""

import asyncio
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from apricottally import etcd_pb2 as pb
from apricottally.etcd_grpc import WatchBase
from standins.platformfaults import Faults
from standins.platformservice import build_header, find_peer_ip
from standins.platformstore import CompactedError, Store

# Silence after which a watch that asked for it is told the revision; etcd's
# own default is ten minutes.
PROGRESS_S = float(1)


class WatchService(WatchBase):
    """The Watch service."""

    def __init__(self, store: Store, faults: Faults) -> None:
        self._store = store
        self._faults = faults

    async def Watch(self, stream: Any) -> None:
        """Serve the watches of one stream until the caller ends it."""
        watches: dict[int, asyncio.Task[None]] = {}
        lock = asyncio.Lock()
        try:
            async with asyncio.TaskGroup() as group:
                async for request in stream:
                    await self._receive(request, stream, lock, watches, group)
                for task in watches.values():
                    task.cancel()
        except BaseExceptionGroup as failed:
            raise failed.exceptions[0] from None

    async def _receive(
        self,
        request: pb.WatchRequest,
        stream: Any,
        lock: asyncio.Lock,
        watches: dict[int, asyncio.Task[None]],
        group: asyncio.TaskGroup,
    ) -> None:
        if request.WhichOneof('request_union') == 'cancel_request':
            watch_id = request.cancel_request.watch_id
            task = watches.pop(watch_id, None)
            if task is not None:
                task.cancel()
            answer = pb.WatchResponse(watch_id=watch_id, canceled=True)
            await self._send(stream, lock, answer)
            return
        await self._faults.enter('Watch', find_peer_ip(stream))
        created = request.create_request
        watch_id = created.watch_id or len(watches) + 1
        watch = _Watch(self._store, self._faults, stream, lock)
        watches[watch_id] = group.create_task(watch.run(created, watch_id))

    async def _send(
        self,
        stream: Any,
        lock: asyncio.Lock,
        response: pb.WatchResponse,
    ) -> None:
        response.header.CopyFrom(build_header(self._store))
        async with lock:
            await stream.send_message(response)


class _Watch:
    """One watch of a stream."""

    def __init__(
        self,
        store: Store,
        faults: Faults,
        stream: Any,
        lock: asyncio.Lock,
    ) -> None:
        self._store = store
        self._faults = faults
        self._stream = stream
        self._lock = lock
        self._written = asyncio.Event()
        self._drops = faults.drops

    async def run(self, created: pb.WatchCreateRequest, watch_id: int) -> None:
        """Send events from the start revision on."""
        with self._counted():
            await self._follow(created, watch_id)

    @contextmanager
    def _counted(self) -> Iterator[None]:
        """Listen to writes, and count as an open watch until the end."""
        self._faults.watching += 1
        self._store.listeners.add(self._written.set)
        with ExitStack() as stack:
            stack.callback(self._store.listeners.discard, self._written.set)
            stack.callback(self._faults.end_watch)
            yield

    async def _follow(
        self,
        created: pb.WatchCreateRequest,
        watch_id: int,
    ) -> None:
        position = created.start_revision or self._store.revision + 1
        await self._send(pb.WatchResponse(watch_id=watch_id, created=True))
        while True:
            try:
                events = self._store.list_events(
                    created.key,
                    created.range_end,
                    position,
                )
            except CompactedError:
                await self._cancel(watch_id)
                return
            position = max(position, self._store.revision + 1)
            if events:
                response = pb.WatchResponse(watch_id=watch_id, events=events)
                await self._send(response)
            await self._wait(created, watch_id, position)

    async def _cancel(self, watch_id: int) -> None:
        response = pb.WatchResponse(
            watch_id=watch_id,
            canceled=True,
            compact_revision=self._store.compacted + 1,
        )
        await self._send(response)

    async def _wait(
        self,
        created: pb.WatchCreateRequest,
        watch_id: int,
        position: int,
    ) -> None:
        """Return after a write; report progress and faults until then."""
        while self._store.revision < position:
            await self._wait_once()
            quiet = self._store.revision < position
            if created.progress_notify and quiet:
                await self._send(pb.WatchResponse(watch_id=watch_id))

    async def _wait_once(self) -> None:
        self._written.clear()
        with ExitStack() as stack:
            changed = asyncio.ensure_future(self._faults.wait_change())
            written = asyncio.ensure_future(self._written.wait())
            stack.callback(changed.cancel)
            stack.callback(written.cancel)
            await asyncio.wait(
                (changed, written),
                timeout=PROGRESS_S,
                return_when=asyncio.FIRST_COMPLETED,
            )

    async def _send(self, response: pb.WatchResponse) -> None:
        """Send unless a fault holds the stream up or ends it."""
        await self._faults.wait_reachable(find_peer_ip(self._stream))
        if self._faults.drops > self._drops:
            raise GRPCError(Status.UNAVAILABLE, 'etcdserver: stopped')
        response.header.CopyFrom(build_header(self._store))
        async with self._lock:
            await self._stream.send_message(response)

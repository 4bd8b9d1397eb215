"""Watch service of the platform stand-in: etcd v3 API."""

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

# A watch with `progress_notify` that has no events receives the current
# revision at this interval; etcd's default is ten minutes.
PROGRESS_INTERVAL_S = float(1)


class WatchIds:
    """Ids of the watches of one stream; none is given twice."""

    def __init__(self) -> None:
        self._taken: set[int] = set()

    def take(self, requested: int) -> int:
        """Return the requested id, or the lowest free one for 0."""
        watch_id = requested
        if not watch_id:
            watch_id = 1
            while watch_id in self._taken:
                watch_id += 1
        self._taken.add(watch_id)
        return watch_id


class WatchService(WatchBase):
    """etcd's Watch service, subject to the injected faults."""

    def __init__(self, store: Store, faults: Faults) -> None:
        self._store = store
        self._faults = faults

    async def Watch(self, stream: Any) -> None:
        """Serve the watches of one stream until the caller closes it."""
        watches: dict[int, asyncio.Task[None]] = {}
        ids = WatchIds()
        lock = asyncio.Lock()
        try:
            async with asyncio.TaskGroup() as group:
                async for request in stream:
                    await self._receive(
                        request, stream, lock, watches, ids, group
                    )
                for task in watches.values():
                    task.cancel()
        except BaseExceptionGroup as error_group:
            raise error_group.exceptions[0] from None

    async def _receive(
        self,
        request: pb.WatchRequest,
        stream: Any,
        lock: asyncio.Lock,
        watches: dict[int, asyncio.Task[None]],
        ids: WatchIds,
        group: asyncio.TaskGroup,
    ) -> None:
        if request.WhichOneof('request_union') == 'cancel_request':
            watch_id = request.cancel_request.watch_id
            task = watches.pop(watch_id, None)
            if task is not None:
                task.cancel()
            response = pb.WatchResponse(watch_id=watch_id, canceled=True)
            await self._send(stream, lock, response)
            return
        await self._faults.begin_call('Watch', find_peer_ip(stream))
        create_request = request.create_request
        watch_id = ids.take(create_request.watch_id)
        watch = _Watch(self._store, self._faults, stream, lock)
        watches[watch_id] = group.create_task(
            watch.run(create_request, watch_id)
        )

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
    """One watch of a stream; `lock` serializes the sends on the stream."""

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
        self._initial_drop_count = faults.drop_count

    async def run(
        self, create_request: pb.WatchCreateRequest, watch_id: int
    ) -> None:
        """Send the events from the start revision on."""
        with self._register():
            await self._send_events(create_request, watch_id)

    @contextmanager
    def _register(self) -> Iterator[None]:
        """Listen for commits and count the watch as open in the context."""
        self._faults.open_watches += 1
        self._store.listeners.add(self._written.set)
        with ExitStack() as stack:
            stack.callback(self._store.listeners.discard, self._written.set)
            stack.callback(self._faults.count_closed_watch)
            yield

    async def _send_events(
        self,
        create_request: pb.WatchCreateRequest,
        watch_id: int,
    ) -> None:
        next_revision = (
            create_request.start_revision or self._store.revision + 1
        )
        await self._send(pb.WatchResponse(watch_id=watch_id, created=True))
        while True:
            try:
                events = self._store.list_events(
                    create_request.key,
                    create_request.range_end,
                    next_revision,
                )
            except CompactedError:
                await self._cancel(watch_id)
                return
            next_revision = max(next_revision, self._store.revision + 1)
            if events:
                response = pb.WatchResponse(watch_id=watch_id, events=events)
                await self._send(response)
            await self._wait_for_write(create_request, watch_id, next_revision)

    async def _cancel(self, watch_id: int) -> None:
        response = pb.WatchResponse(
            watch_id=watch_id,
            canceled=True,
            compact_revision=self._store.compacted_revision + 1,
        )
        await self._send(response)

    async def _wait_for_write(
        self,
        create_request: pb.WatchCreateRequest,
        watch_id: int,
        next_revision: int,
    ) -> None:
        """Return after a write; send progress notifications until then."""
        while self._store.revision < next_revision:
            await self._wait_for_wakeup()
            is_unchanged = self._store.revision < next_revision
            if create_request.progress_notify and is_unchanged:
                await self._send(pb.WatchResponse(watch_id=watch_id))

    async def _wait_for_wakeup(self) -> None:
        """Wait for a write, a change of the faults or the interval."""
        self._written.clear()
        with ExitStack() as stack:
            changed = asyncio.ensure_future(self._faults.wait_change())
            written = asyncio.ensure_future(self._written.wait())
            stack.callback(changed.cancel)
            stack.callback(written.cancel)
            await asyncio.wait(
                (changed, written),
                timeout=PROGRESS_INTERVAL_S,
                return_when=asyncio.FIRST_COMPLETED,
            )

    async def _send(self, response: pb.WatchResponse) -> None:
        """Send once the caller is reachable; raise if the watch was dropped."""
        await self._faults.wait_reachable(find_peer_ip(self._stream))
        if self._faults.drop_count > self._initial_drop_count:
            raise GRPCError(Status.UNAVAILABLE, 'etcdserver: stopped')
        response.header.CopyFrom(build_header(self._store))
        async with self._lock:
            await self._stream.send_message(response)

"""Client of the platform's key-value service: etcd v3 API over grpclib.

Every call has a deadline. A failed call raises `PlatformError`, except that a
swap or removal without a conclusive answer returns the outcome `unknown`, since
the write may have taken effect.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from typing import Literal, TypeAlias, TypeVar

from grpclib.client import Channel

from apricottally import etcd_pb2 as pb
from apricottally import model
from apricottally.addresses import Endpoint
from apricottally.errors import CompactedError, PlatformError
from apricottally.etcd_grpc import KVStub
from apricottally.events import Record
from apricottally.platformcalls import (
    ClientLimits,
    UnansweredError,
    compute_range_end,
    decode_entry,
    translate_errors,
)
from apricottally.platformwatch import PlatformWatch

Outcome: TypeAlias = Literal['stored', 'conflict', 'unknown']
Answer = TypeVar('Answer')


@dataclass(frozen=True, slots=True)
class SwapOutcome:
    """Outcome of a compare-and-swap.

    `version` is the key's new version if the value was stored, its current
    version after a conflict (0: no such key), 0 otherwise. `reason` says why
    the outcome is unknown.
    """

    outcome: Outcome
    version: int = 0
    reason: str = ''


@dataclass(frozen=True, slots=True)
class RecordUpdate:
    """Records from a full list (`complete`) or a watch, up to `revision`."""

    records: tuple[Record, ...]
    revision: int
    complete: bool


class PlatformClient:
    """Calls to the platform; created by `open_platform`."""

    def __init__(self, endpoint: Endpoint, limits: ClientLimits) -> None:
        self._endpoint = endpoint
        self._limits = limits
        self._channel = Channel(*endpoint)
        # Identity of the store that answered last; a restored one has another.
        self._cluster_id = 0

    def close(self) -> None:
        """Close the connection."""
        self._channel.close()

    async def list_records(self) -> tuple[tuple[Record, ...], int]:
        """Return all records and VMs, and the revision they were read at."""
        own, revision = await self.list_prefix(model.ROOT_PREFIX)
        cluster_id = self._cluster_id
        machines, _ = await self.list_prefix(model.MACHINE_PREFIX, revision)
        self._check_cluster(cluster_id)
        return tuple(own + machines), revision

    async def list_prefix(
        self,
        prefix: str,
        revision: int = 0,
    ) -> tuple[list[Record], int]:
        """Return the records of a prefix, and the revision they were read at.

        `revision` is the one to read at, 0 for the latest. All pages are read
        at the same revision.
        """
        records: list[Record] = []
        start = prefix.encode()
        cluster_id = 0
        while True:
            request = pb.RangeRequest(
                key=start,
                range_end=compute_range_end(prefix),
                limit=self._limits.max_page_keys,
                revision=revision,
            )
            answer = await self._range(request)
            self._check_cluster(cluster_id)
            cluster_id = self._cluster_id
            revision = revision or answer.header.revision
            records.extend(map(decode_entry, answer.kvs))
            if not answer.more:
                return records, revision
            start = answer.kvs[-1].key + b'\0'

    async def read(self, key: str) -> Record | None:
        """Return the record of a key, None if it does not exist."""
        entry = await self.read_entry(key)
        return None if entry is None else decode_entry(entry)

    async def read_entry(self, key: str) -> pb.KeyValue | None:
        """Return the etcd entry of a key, or None if there is none.

        It has the creation revision, last revision and number of writes.
        """
        answer = await self._range(pb.RangeRequest(key=key.encode()))
        return answer.kvs[0] if answer.kvs else None

    async def swap(self, key: str, version: int, value: bytes) -> SwapOutcome:
        """Write a key if its version is still `version` (0: no such key).

        Raises `PlatformError` only if the write is known not to have taken
        effect. A value that the platform would refuse is not sent.
        """
        if len(value) > model.MAX_VALUE_BYTES:
            raise PlatformError(f'value too large: {len(value)} bytes')
        put = pb.PutRequest(key=key.encode(), value=value)
        operation = pb.RequestOp(request_put=put)
        return await self._execute_if_unchanged(key, version, operation)

    async def remove(self, key: str, version: int) -> SwapOutcome:
        """Delete a key if its version is still `version`; see `swap`."""
        delete = pb.DeleteRangeRequest(key=key.encode())
        operation = pb.RequestOp(request_delete_range=delete)
        return await self._execute_if_unchanged(key, version, operation)

    async def watch(
        self,
        revision: int,
    ) -> AsyncIterator[tuple[tuple[Record, ...], int]]:
        """Yield changes after a revision, and the revision to resume from.

        A lost watch is resumed at the last revision received. Raises
        `CompactedError` if the platform no longer has that revision or was
        restored, so that the records must be listed again, and
        `PlatformError` if the platform does not answer.
        """
        watch = PlatformWatch(
            self._endpoint, self._limits, revision, self._cluster_id
        )
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(watch.close)
            while True:
                records = await watch.receive()
                if records:
                    yield records, watch.revision

    async def list_and_watch(self) -> AsyncIterator[RecordUpdate]:
        """Yield all records, then changes; list again after compaction.

        Raises `PlatformError` if the platform does not answer, or if it has no
        history for a watch right after a list.
        """
        clock = asyncio.get_running_loop().time
        while True:
            records, revision = await self.list_records()
            yield RecordUpdate(records, revision, complete=True)
            listed_at = clock()
            try:
                async for changed, seen in self.watch(revision):
                    yield RecordUpdate(changed, seen, complete=False)
            except CompactedError:
                if clock() - listed_at < self._limits.watch_min_lifetime_s:
                    raise

    def _check_cluster(self, cluster_id: int) -> None:
        """Raise `PlatformError` if another store has answered since then.

        `cluster_id` is 0 before the first answer.
        """
        if cluster_id not in {0, self._cluster_id}:
            raise PlatformError('the platform was restored during the list')

    async def _range(self, request: pb.RangeRequest) -> pb.RangeResponse:
        answer = await self._call(lambda stub: stub.Range(request))
        self._cluster_id = answer.header.cluster_id
        return answer

    async def _execute_if_unchanged(
        self,
        key: str,
        version: int,
        operation: pb.RequestOp,
    ) -> SwapOutcome:
        compare = pb.Compare(
            result=pb.Compare.EQUAL,
            target=pb.Compare.MOD,
            key=key.encode(),
            mod_revision=version,
        )
        found = pb.RequestOp(request_range=pb.RangeRequest(key=key.encode()))
        request = pb.TxnRequest(
            compare=[compare],
            success=[operation],
            failure=[found],
        )
        try:
            answer = await self._call(lambda stub: stub.Txn(request))
        except UnansweredError as error:
            return SwapOutcome('unknown', reason=str(error))
        return _decode_swap_outcome(answer)

    async def _call(
        self,
        call: Callable[[KVStub], Awaitable[Answer]],
    ) -> Answer:
        """Make one call within its deadline."""
        channel = self._channel
        try:
            with translate_errors():
                async with asyncio.timeout(self._limits.call_timeout_s):
                    return await call(KVStub(channel))
        except UnansweredError:
            self._replace_channel(channel)
            raise

    def _replace_channel(self, channel: Channel) -> None:
        """Replace a connection, as it may have been lost without an error."""
        if self._channel is channel:
            channel.close()
            self._channel = Channel(*self._endpoint)


@contextlib.asynccontextmanager
async def open_platform(
    endpoint: Endpoint,
    limits: ClientLimits | None = None,
) -> AsyncIterator[PlatformClient]:
    """Provide a client, which connects at the first call."""
    client = PlatformClient(endpoint, limits or ClientLimits())
    with contextlib.closing(client):
        yield client


def _decode_swap_outcome(answer: pb.TxnResponse) -> SwapOutcome:
    if answer.succeeded:
        return SwapOutcome('stored', answer.header.revision)
    entries = answer.responses[0].response_range.kvs
    version = entries[0].mod_revision if entries else 0
    return SwapOutcome('conflict', version)

"""Key-value and lease services of the platform stand-in: etcd v3 API."""

import asyncio
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from apricottally import etcd_pb2 as pb
from apricottally.etcd_grpc import KVBase, LeaseBase
from standins.platformfaults import Faults
from standins.platformleases import LeaseError, Leases
from standins.platformstore import (
    CompactedError,
    FutureError,
    Store,
    StoreError,
    TooLargeError,
)

_STATUS_BY_ERROR: dict[type[StoreError], Status] = {
    TooLargeError: Status.INVALID_ARGUMENT,
    CompactedError: Status.OUT_OF_RANGE,
    FutureError: Status.OUT_OF_RANGE,
    LeaseError: Status.NOT_FOUND,
}

_COMPARISONS: dict[int, Callable[[Any, Any], bool]] = {
    pb.Compare.EQUAL: lambda current, expected: bool(current == expected),
    pb.Compare.NOT_EQUAL: lambda current, expected: bool(current != expected),
    pb.Compare.GREATER: lambda current, expected: bool(current > expected),
    pb.Compare.LESS: lambda current, expected: bool(current < expected),
}

_COMPARED_FIELDS: dict[int, str] = {
    pb.Compare.VERSION: 'version',
    pb.Compare.CREATE: 'create_revision',
    pb.Compare.MOD: 'mod_revision',
    pb.Compare.VALUE: 'value',
    pb.Compare.LEASE: 'lease',
}


@contextmanager
def translate_errors() -> Iterator[None]:
    """Raise errors of the store with the gRPC status that etcd returns."""
    try:
        yield
    except StoreError as error:
        raise GRPCError(_STATUS_BY_ERROR[type(error)], str(error)) from error


def find_peer_ip(stream: Any) -> str:
    """Return the IP address of the client of a call."""
    address = stream.peer.addr()
    return address[0] if address else ''


def build_header(store: Store) -> pb.ResponseHeader:
    """Return a response header with the current revision."""
    return pb.ResponseHeader(
        cluster_id=store.cluster_id, member_id=1, revision=store.revision
    )


class Operations:
    """Runs requests on the store, without transport and injected faults."""

    def __init__(self, store: Store, leases: Leases) -> None:
        self._store = store
        self._leases = leases

    def list_range(self, request: pb.RangeRequest) -> pb.RangeResponse:
        """Run a Range request."""
        entries = self._store.list_range(
            request.key,
            request.range_end,
            request.revision,
        )
        limit = request.limit or len(entries)
        shown = [] if request.count_only else entries[:limit]
        if request.keys_only:
            shown = [_strip_value(entry) for entry in shown]
        return pb.RangeResponse(
            header=build_header(self._store),
            kvs=shown,
            more=len(entries) > limit,
            count=len(entries),
        )

    def put(self, request: pb.PutRequest) -> pb.PutResponse:
        """Run a Put request."""
        self._leases.check(request.lease)
        previous = self._store.put(request.key, request.value, request.lease)
        return pb.PutResponse(prev_kv=previous if request.prev_kv else None)

    def delete_range(
        self,
        request: pb.DeleteRangeRequest,
    ) -> pb.DeleteRangeResponse:
        """Run a DeleteRange request."""
        previous = self._store.delete_range(request.key, request.range_end)
        return pb.DeleteRangeResponse(
            deleted=len(previous),
            prev_kvs=previous if request.prev_kv else [],
        )

    def run_transaction(self, request: pb.TxnRequest) -> pb.TxnResponse:
        """Run a Txn request; if an operation is refused, nothing is written."""
        succeeded = all(self._compare(each) for each in request.compare)
        operations = request.success if succeeded else request.failure
        self._check_all(operations)
        responses = [self._run(each) for each in operations]
        return pb.TxnResponse(succeeded=succeeded, responses=responses)

    def _compare(self, compare: pb.Compare) -> bool:
        target = _COMPARED_FIELDS[compare.target]
        entry = self._store.find(compare.key)
        current = getattr(entry or pb.KeyValue(), target)
        return _COMPARISONS[compare.result](current, getattr(compare, target))

    def _check_all(self, operations: Sequence[pb.RequestOp]) -> None:
        for operation in operations:
            if operation.WhichOneof('request') == 'request_put':
                self._leases.check(operation.request_put.lease)
                self._store.check_value(operation.request_put.value)

    def _run(self, operation: pb.RequestOp) -> pb.ResponseOp:
        kind = operation.WhichOneof('request')
        if kind == 'request_range':
            listed = self.list_range(operation.request_range)
            return pb.ResponseOp(response_range=listed)
        if kind == 'request_put':
            written = self.put(operation.request_put)
            return pb.ResponseOp(response_put=written)
        deleted = self.delete_range(operation.request_delete_range)
        return pb.ResponseOp(response_delete_range=deleted)


class KeyService(KVBase):
    """etcd's KV service, subject to the injected faults."""

    def __init__(self, store: Store, leases: Leases, faults: Faults) -> None:
        self._store = store
        self._operations = Operations(store, leases)
        self._faults = faults

    async def Range(self, stream: Any) -> None:
        """Read keys."""
        request = await self._receive('Range', stream)
        with translate_errors():
            response = self._operations.list_range(request)
        await stream.send_message(response)

    async def Put(self, stream: Any) -> None:
        """Write one key."""
        await self._write('Put', stream, self._operations.put)

    async def DeleteRange(self, stream: Any) -> None:
        """Delete keys."""
        await self._write('DeleteRange', stream, self._operations.delete_range)

    async def Txn(self, stream: Any) -> None:
        """Compare and write keys."""
        await self._write('Txn', stream, self._operations.run_transaction)

    async def _receive(self, method: str, stream: Any) -> Any:
        request = await stream.recv_message()
        await self._faults.begin_call(method, find_peer_ip(stream))
        return request

    async def _write(
        self,
        method: str,
        stream: Any,
        operation: Callable[[Any], Any],
    ) -> None:
        request = await self._receive(method, stream)
        applying = asyncio.ensure_future(self._apply(operation, request))
        response, wrote = await asyncio.shield(applying)
        if not wrote or await self._faults.allow_answer(stream):
            await stream.send_message(response)

    async def _apply(
        self,
        operation: Callable[[Any], Any],
        request: Any,
    ) -> tuple[Any, bool]:
        """Run a write; return the response and whether the store changed."""
        if self._faults.late_s:
            await asyncio.sleep(self._faults.late_s)
        earlier_revision = self._store.revision
        with translate_errors():
            response = operation(request)
        self._store.commit()
        response.header.CopyFrom(build_header(self._store))
        return response, self._store.revision > earlier_revision


class LeaseService(LeaseBase):
    """etcd's Lease service, subject to the injected faults."""

    def __init__(self, store: Store, leases: Leases, faults: Faults) -> None:
        self._store = store
        self._leases = leases
        self._faults = faults

    async def LeaseGrant(self, stream: Any) -> None:
        """Grant a lease."""
        request = await stream.recv_message()
        await self._faults.begin_call('LeaseGrant', find_peer_ip(stream))
        with translate_errors():
            granted = self._leases.grant(
                time.monotonic(),
                request.TTL,
                request.ID,
            )
        response = pb.LeaseGrantResponse(
            header=build_header(self._store),
            ID=granted,
            TTL=request.TTL,
        )
        await stream.send_message(response)

    async def LeaseRevoke(self, stream: Any) -> None:
        """End a lease and delete its keys."""
        request = await stream.recv_message()
        await self._faults.begin_call('LeaseRevoke', find_peer_ip(stream))
        with translate_errors():
            self._leases.revoke(request.ID)
        header = build_header(self._store)
        await stream.send_message(pb.LeaseRevokeResponse(header=header))

    async def LeaseKeepAlive(self, stream: Any) -> None:
        """Renew the lease named in each request of the stream."""
        async for request in stream:
            await self._faults.begin_call(
                'LeaseKeepAlive', find_peer_ip(stream)
            )
            ttl = self._leases.keep_alive(time.monotonic(), request.ID)
            response = pb.LeaseKeepAliveResponse(
                header=build_header(self._store),
                ID=request.ID,
                TTL=ttl,
            )
            await stream.send_message(response)


def _strip_value(entry: pb.KeyValue) -> pb.KeyValue:
    """Return an entry without its value."""
    stripped = pb.KeyValue()
    stripped.CopyFrom(entry)
    stripped.ClearField('value')
    return stripped

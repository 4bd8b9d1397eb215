"""Client for the platform's key-value store.

The demonstration uses it to write the VM list and to read record versions.
"""

import contextlib
from collections.abc import AsyncIterator

import msgspec
from grpclib.client import Channel

from apricottally import etcd_pb2, model
from apricottally.addresses import Endpoint
from apricottally.etcd_grpc import KVStub
from apricottally.model import Machine


class Store:
    """Writes the VM list as the platform would, and reads record versions."""

    def __init__(self, channel: Channel) -> None:
        self._kv = KVStub(channel)

    async def put_machine(self, name: str, machine: Machine) -> None:
        """Write the entry of a VM in the VM list."""
        key = f'{model.MACHINE_PREFIX}{name}'
        request = etcd_pb2.PutRequest(
            key=key.encode(),
            value=msgspec.json.encode(machine),
        )
        await self._kv.Put(request)

    async def read_version(self, key: str) -> int:
        """Return the mod_revision of a key, 0 if the key does not exist."""
        request = etcd_pb2.RangeRequest(key=key.encode())
        answer = await self._kv.Range(request)
        return max((int(found.mod_revision) for found in answer.kvs), default=0)


@contextlib.asynccontextmanager
async def connect(endpoint: Endpoint) -> AsyncIterator[Store]:
    """Open a channel to the platform for the duration of the context."""
    ip, port = endpoint
    channel = Channel(ip, port)
    try:
        yield Store(channel)
    finally:
        channel.close()

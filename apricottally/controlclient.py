"""Client of a node's control service."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Iterable, Iterator
from contextlib import asynccontextmanager, contextmanager
from typing import TypeVar

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from apricottally import addresses
from apricottally import control_pb2 as pb
from apricottally.addresses import Endpoint
from apricottally.control_grpc import NodeStub
from apricottally.errors import ControlError
from apricottally.events import Record

CALL_TIMEOUT_S = float(2)

Response = TypeVar('Response')


class NodeClient:
    """Calls one node; every failed call raises `ControlError`.

    Create it with `open_node_client`.
    """

    def __init__(self, stub: NodeStub, name: str, call_s: float) -> None:
        self._stub = stub
        self._name = name
        self._call_s = call_s

    async def fetch_status(self) -> pb.StatusResponse:
        """Fetch the identity, records, members, loads and counters."""
        return await self._call(self._stub.Status(pb.StatusRequest()))

    async def explain(
        self,
        caller: Endpoint,
        service: Endpoint,
        ts_ecr: int = 0,
    ) -> pb.WhyResponse:
        """Ask the node how it handles a flow."""
        request = pb.WhyRequest(
            caller_ip=caller[0],
            caller_port=caller[1],
            service_ip=service[0],
            service_port=service[1],
            ts_ecr=ts_ecr,
        )
        return await self._call(self._stub.Why(request))

    async def drain(self) -> None:
        """Request a graceful shutdown of the node."""
        await self._call(self._stub.Drain(pb.DrainRequest()))

    async def pull(self, buckets: Iterable[int]) -> tuple[Record, ...]:
        """Return all records of the buckets, including deleted ones."""
        request = pb.PullRequest(buckets=buckets)
        response = await self._call(self._stub.Pull(request))
        return tuple(
            Record(
                entry.key,
                entry.version,
                None if entry.deleted else entry.value,
            )
            for entry in response.records
        )

    async def _call(self, call: Awaitable[Response]) -> Response:
        with _translate_errors(self._name):
            async with asyncio.timeout(self._call_s):
                return await call


@asynccontextmanager
async def open_node_client(
    endpoint: Endpoint,
    call_s: float = CALL_TIMEOUT_S,
) -> AsyncIterator[NodeClient]:
    """Create a client that connects on its first call."""
    name = addresses.format_endpoint(endpoint)
    async with Channel(*endpoint) as channel:
        yield NodeClient(NodeStub(channel), name, call_s)


@contextmanager
def _translate_errors(name: str) -> Iterator[None]:
    try:
        yield
    except TimeoutError as error:
        raise ControlError(f'{name}: no answer in time') from error
    except GRPCError as error:
        raise ControlError(f'{name}: {error.message}') from error
    except (OSError, StreamTerminatedError) as error:
        refused = isinstance(error, ConnectionRefusedError)
        problem = 'connection refused' if refused else f'lost: {error}'
        raise ControlError(f'{name}: {problem}') from error

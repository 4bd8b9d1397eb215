"""gRPC service of a node for the command-line tool and other nodes."""

import socket
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server

from apricottally import addresses, packet
from apricottally import control_pb2 as pb
from apricottally.addresses import Endpoint
from apricottally.control_grpc import NodeBase
from apricottally.errors import SocketError
from apricottally.events import Event, Record, ShutdownRequested
from apricottally.explanation import Decision, Explanation, explain_flow
from apricottally.records import BUCKETS
from apricottally.sockets import describe_bind_error
from apricottally.state import NodeState


@dataclass(frozen=True, slots=True)
class ControlCallbacks:
    """Functions of the node that the service calls.

    `submit` applies an event, `read_clock` returns monotonic seconds.
    """

    submit: Callable[[Event], None]
    read_clock: Callable[[], float]
    is_ready: Callable[[], bool]
    is_watching: Callable[[], bool]


class ControlService(NodeBase):
    """The Node service; it only reads the state.

    Changes go through events that it submits.
    """

    def __init__(self, state: NodeState, callbacks: ControlCallbacks) -> None:
        self._state = state
        self._callbacks = callbacks

    async def Status(self, stream: Any) -> None:
        """Return the identity, records, members, loads and counters."""
        await stream.recv_message()
        state = self._state
        response = pb.StatusResponse(
            node=state.config.name,
            zone=state.config.zone,
            ready=self._callbacks.is_ready(),
            stopping=state.stopping,
            revision=state.records.revision,
            records=_list_versions(state),
            members=_list_members(state),
            counters=_list_counters(state),
            backends=_list_backend_loads(state),
            watching=self._callbacks.is_watching(),
        )
        await stream.send_message(response)

    async def Why(self, stream: Any) -> None:
        """Explain how the node handles a flow."""
        request = await stream.recv_message()
        try:
            caller_ip = addresses.parse_ip(request.caller_ip)
            service_ip = addresses.parse_ip(request.service_ip)
        except ValueError as error:
            raise GRPCError(Status.INVALID_ARGUMENT, str(error)) from error
        key = packet.build_flow_key(
            caller_ip,
            request.caller_port & addresses.MAX_PORT,
            service_ip,
            request.service_port & addresses.MAX_PORT,
        )
        explanation = explain_flow(
            self._state,
            key,
            service_ip,
            request.service_port,
            request.ts_ecr,
        )
        await stream.send_message(self._encode_explanation(explanation))

    async def Drain(self, stream: Any) -> None:
        """Start a graceful shutdown; repeated calls have no effect."""
        await stream.recv_message()
        if not self._state.stopping:
            self._callbacks.submit(
                ShutdownRequested(self._callbacks.read_clock())
            )
        await stream.send_message(pb.DrainResponse(accepted=True))

    async def Pull(self, stream: Any) -> None:
        """Return all records of the requested buckets."""
        request = await stream.recv_message()
        if any(bucket >= BUCKETS for bucket in request.buckets):
            problem = f'buckets must be below {BUCKETS}'
            raise GRPCError(Status.INVALID_ARGUMENT, problem)
        entries = [
            _encode_record(record)
            for bucket in request.buckets
            for record in self._state.records.list_bucket(bucket, '')
        ]
        await stream.send_message(pb.PullResponse(records=entries))

    def _encode_explanation(self, explanation: Explanation) -> pb.WhyResponse:
        now = self._callbacks.read_clock()
        return pb.WhyResponse(
            node=self._state.config.name,
            workspace=explanation.workspace,
            template=explanation.template,
            service=explanation.service,
            version=explanation.version,
            shard=explanation.shard,
            owner=explanation.owner,
            number=explanation.number,
            backend=explanation.backend,
            rule=explanation.rule,
            decisions=[
                _encode_decision(decision, now)
                for decision in explanation.decisions
            ],
        )


@asynccontextmanager
async def open_control_service(
    state: NodeState,
    callbacks: ControlCallbacks,
    endpoint: Endpoint,
) -> AsyncIterator[Endpoint]:
    """Serve on an endpoint and yield the bound one.

    Port 0 stands for any free port. Raises `SocketError` if the port cannot be
    opened.
    """
    # asyncio sets TCP_NODELAY only on sockets created with an explicit
    # protocol number.
    listener = socket.socket(
        socket.AF_INET,
        socket.SOCK_STREAM,
        socket.IPPROTO_TCP,
    )
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind(endpoint)
    except OSError as error:
        listener.close()
        raise SocketError(endpoint, describe_bind_error(error)) from error
    async with AsyncExitStack() as stack:
        server = Server([ControlService(state, callbacks)])
        await server.start(sock=listener)
        stack.push_async_callback(server.wait_closed)
        stack.callback(server.close)
        yield listener.getsockname()


def _encode_decision(decision: Decision, now: float) -> pb.DecisionEntry:
    return pb.DecisionEntry(
        age_s=now - decision.now,
        action=decision.action,
        rule=decision.rule,
        number=decision.number,
        version=decision.version,
    )


def _encode_record(record: Record) -> pb.RecordEntry:
    return pb.RecordEntry(
        key=record.key,
        version=record.version,
        value=record.value or b'',
        deleted=record.value is None,
    )


def _list_versions(state: NodeState) -> list[pb.RecordVersion]:
    return [
        pb.RecordVersion(key=record.key, version=record.version)
        for record in state.records.records.values()
    ]


def _list_members(state: NodeState) -> list[pb.MemberEntry]:
    return [
        pb.MemberEntry(
            name=member.name,
            zone=member.zone,
            ip=member.ip,
            state=member.state.name,
            incarnation=member.incarnation,
        )
        for member in state.members.members.values()
    ]


def _list_counters(state: NodeState) -> list[pb.Counter]:
    return [
        pb.Counter(name=name, reason=reason, count=count)
        for (name, reason), count in sorted(state.counters.counts.items())
    ]


def _list_backend_loads(state: NodeState) -> list[pb.BackendLoad]:
    """Return the loads of the backends in the shards that this node owns."""
    return [
        pb.BackendLoad(
            service=service,
            number=number,
            name=load.backend.name,
            zone=load.backend.zone,
            state=load.backend.state.value,
            busy_slots=load.busy,
            open_flows=load.busy + load.open,
        )
        for (service, number), load in sorted(state.admissions.loads.items())
    ]

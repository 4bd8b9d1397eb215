"""Commands that call nodes: status, drain and why."""

import argparse
import asyncio
import functools
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, TypeAlias

from google.protobuf.message import Message

from apricottally import addresses
from apricottally import control_pb2 as pb
from apricottally.addresses import Endpoint
from apricottally.controlclient import (
    CALL_TIMEOUT_S,
    NodeClient,
    open_node_client,
)
from apricottally.errors import ControlError
from apricottally.output import Answer, ExitStatus, format_table

# Interval between status calls while a command waits for nodes.
_POLL_INTERVAL_S = 0.5

NodeCall: TypeAlias = Callable[[NodeClient], Awaitable[Message]]


@dataclass(frozen=True, slots=True)
class Reply:
    """Response of one node; `problem` says why there is none."""

    node: str
    answer: Any = None
    problem: str = ''


@dataclass(frozen=True, slots=True)
class VersionInForce:
    """Whether the wanted version of a key is in force on a node.

    `held` is the version of the key on the node, 0 if it has none. The
    wanted version is in force if `held` is this version or a later one.
    """

    node: str
    held: int
    in_force: bool
    problem: str = ''


@dataclass(frozen=True, slots=True)
class NodeDocument:
    """Entry for one node in the JSON document of a command."""

    node: str
    problem: str
    answer: dict[str, Any] = field(default_factory=dict)


async def status(options: argparse.Namespace) -> Answer:
    """Show the status of nodes, or whether a version is in force on them."""
    if options.key is not None:
        return await _wait_until_in_force(options)
    replies = await _call_nodes(options, NodeClient.fetch_status)
    rows = [
        (reply.node, *_summarize_node(reply.answer, _strip_endpoint(reply)))
        for reply in replies
    ]
    headers = ('ENDPOINT', 'NODE', 'ZONE', 'STATE', 'REVISION', 'MEMBERS')
    sections = [format_table(headers, rows)]
    if len(replies) == 1 and not replies[0].problem:
        sections += _describe_node(replies[0].answer)
    return _build_answer(replies, '\n\n'.join(sections))


async def drain(options: argparse.Namespace) -> Answer:
    """Request a graceful shutdown of nodes and wait until they have stopped.

    A node counts as stopped once it no longer answers status calls.
    """
    replies = await _call_nodes(options, _drain_node)
    running = {reply.node for reply in replies if not reply.problem}
    deadline_s = _read_clock() + options.wait
    while running and _read_clock() < deadline_s:
        await asyncio.sleep(_POLL_INTERVAL_S)
        status_replies = await _call_nodes(options, NodeClient.fetch_status)
        running &= {reply.node for reply in status_replies if not reply.problem}
    lines = [_describe_drain(reply, running, options.wait) for reply in replies]
    answer = _build_answer(replies, '\n'.join(lines))
    if options.wait and running and answer.status is ExitStatus.done:
        return Answer(answer.document, answer.text, ExitStatus.not_in_time)
    return answer


async def why(options: argparse.Namespace) -> Answer:
    """Show how nodes handle a flow and why."""
    call = functools.partial(
        NodeClient.explain,
        caller=options.caller,
        service=options.service,
        ts_ecr=options.ts_ecr,
    )
    replies = await _call_nodes(options, call)
    sections = [_describe_why(reply) for reply in replies]
    return _build_answer(replies, '\n\n'.join(sections))


async def _drain_node(client: NodeClient) -> Message:
    await client.drain()
    return pb.DrainResponse(accepted=True)


async def _wait_until_in_force(options: argparse.Namespace) -> Answer:
    deadline_s = _read_clock() + options.wait
    versions = await _fetch_versions(options)
    while _is_pending(versions) and _read_clock() < deadline_s:
        await asyncio.sleep(_POLL_INTERVAL_S)
        versions = await _fetch_versions(options)
    rows = [
        (each.node, each.held, each.problem or ('no', 'yes')[each.in_force])
        for each in versions
    ]
    table = format_table(('ENDPOINT', 'VERSION', 'IN FORCE'), rows)
    exit_status = ExitStatus.done
    if any(each.problem for each in versions):
        exit_status = ExitStatus.node_unreachable
    elif _is_pending(versions):
        exit_status = ExitStatus.not_in_time
    document = {
        'key': options.key,
        'version': options.version,
        'nodes': versions,
    }
    return Answer(document, table, exit_status)


async def _fetch_versions(options: argparse.Namespace) -> list[VersionInForce]:
    replies = await _call_nodes(options, NodeClient.fetch_status)
    return [_check_version(options, reply) for reply in replies]


def _check_version(options: argparse.Namespace, reply: Reply) -> VersionInForce:
    if reply.problem:
        return VersionInForce(
            reply.node,
            0,
            in_force=False,
            problem=_strip_endpoint(reply),
        )
    held = max(
        (
            record.version
            for record in reply.answer.records
            if record.key == options.key
        ),
        default=0,
    )
    return VersionInForce(reply.node, held, in_force=held >= options.version)


def _is_pending(versions: Sequence[VersionInForce]) -> bool:
    return not all(each.in_force for each in versions)


async def _call_nodes(
    options: argparse.Namespace,
    call: NodeCall,
) -> list[Reply]:
    call_s = min(CALL_TIMEOUT_S, options.timeout)
    return await asyncio.gather(
        *(_call_node(endpoint, call, call_s) for endpoint in options.node),
    )


async def _call_node(
    endpoint: Endpoint,
    call: NodeCall,
    call_s: float,
) -> Reply:
    node = addresses.format_endpoint(endpoint)
    try:
        async with open_node_client(endpoint, call_s) as client:
            return Reply(node, await call(client))
    except ControlError as error:
        return Reply(node, problem=str(error))


def _build_answer(replies: Sequence[Reply], text: str) -> Answer:
    document = [
        NodeDocument(
            reply.node,
            reply.problem,
            {} if reply.answer is None else _to_builtins(reply.answer),
        )
        for reply in replies
    ]
    failed = any(reply.problem for reply in replies)
    exit_status = ExitStatus.node_unreachable if failed else ExitStatus.done
    return Answer(document, text, exit_status)


def _summarize_node(answer: Any, problem: str) -> tuple[object, ...]:
    if problem:
        return '-', '-', problem, '-', '-'
    states = ['ready' if answer.ready else 'not ready']
    states += ['stopping'] if answer.stopping else []
    states += ['watching'] if answer.watching else []
    return (
        answer.node,
        answer.zone,
        ', '.join(states),
        answer.revision,
        len(answer.members),
    )


def _strip_endpoint(reply: Reply) -> str:
    """Return the problem without the endpoint, which has its own column."""
    return reply.problem.removeprefix(f'{reply.node}: ')


def _describe_node(answer: pb.StatusResponse) -> list[str]:
    members = [
        (each.name, each.zone, each.ip, each.state) for each in answer.members
    ]
    backends = [
        (each.service, each.number, each.name, each.state, each.open_flows)
        for each in answer.backends
    ]
    counters = [
        (each.name, each.reason, each.count) for each in answer.counters
    ]
    return [
        format_table(('MEMBER', 'ZONE', 'IP', 'STATE'), members),
        format_table(
            ('SERVICE', 'NUMBER', 'BACKEND', 'STATE', 'FLOWS'),
            backends,
        ),
        format_table(('COUNTER', 'REASON', 'COUNT'), counters),
    ]


def _describe_drain(reply: Reply, running: set[str], wait_s: float) -> str:
    if reply.problem:
        return reply.problem
    if not wait_s:
        return f'{reply.node}: graceful shutdown accepted'
    if reply.node in running:
        return (
            f'{reply.node}: shutdown accepted, still running after {wait_s:g} s'
        )
    return f'{reply.node}: stopped'


def _describe_why(reply: Reply) -> str:
    if reply.problem:
        return reply.problem
    answer = reply.answer
    lines = [
        f'{reply.node} (node {answer.node})',
        f'  route     {answer.workspace or "none"} {answer.template}',
        f'  service   {answer.service} version {answer.version}',
        f'  shard     {answer.shard} owner {answer.owner}',
        f'  backend   {answer.number} {answer.backend}',
        f'  rule      {answer.rule}',
    ]
    rows = [
        (f'{each.age_s:.1f}', each.action, each.rule, each.number, each.version)
        for each in answer.decisions
    ]
    headers = ('AGE S', 'ACTION', 'RULE', 'NUMBER', 'VERSION')
    return '\n'.join([*lines, format_table(headers, rows)])


def _to_builtins(message: Message) -> dict[str, Any]:
    return {
        each.name: _to_builtin_value(getattr(message, each.name))
        for each in message.DESCRIPTOR.fields
    }


def _to_builtin_value(content: Any) -> Any:
    if isinstance(content, Message):
        return _to_builtins(content)
    if isinstance(content, str | int | float):
        return content
    return [_to_builtin_value(each) for each in content]


def _read_clock() -> float:
    return asyncio.get_running_loop().time()

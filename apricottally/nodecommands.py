"""Commands that ask nodes: status, drain and why."""

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

# Pause between questions while waiting for nodes.
_POLL_S = 0.5

Ask: TypeAlias = Callable[[NodeClient], Awaitable[Message]]


@dataclass(frozen=True, slots=True)
class Reply:
    """What one node answered; `problem` says why there is no answer."""

    node: str
    answer: Any = None
    problem: str = ''


@dataclass(frozen=True, slots=True)
class Force:
    """Whether a version of a key is in force on a node.

    `held` is the version that the node has, 0 for none.
    """

    node: str
    held: int
    in_force: bool
    problem: str = ''


@dataclass(frozen=True, slots=True)
class NodeDocument:
    """One node's part of the JSON document."""

    node: str
    problem: str
    answer: dict[str, Any] = field(default_factory=dict)


async def status(options: argparse.Namespace) -> Answer:
    """Ask nodes for their status, or whether a version is in force."""
    if options.key is not None:
        return await _wait_in_force(options)
    replies = await _ask_all(options, NodeClient.fetch_status)
    rows = [
        (reply.node, *_sum_up(reply.answer, _shorten(reply)))
        for reply in replies
    ]
    headers = ('ENDPOINT', 'NODE', 'ZONE', 'STATE', 'REVISION', 'MEMBERS')
    sections = [format_table(headers, rows)]
    if len(replies) == 1 and not replies[0].problem:
        sections += _describe_node(replies[0].answer)
    return _build_answer(replies, '\n\n'.join(sections))


async def drain(options: argparse.Namespace) -> Answer:
    """Ask nodes for a graceful shutdown and wait until they are gone."""
    replies = await _ask_all(options, _drain_one)
    running = {reply.node for reply in replies if not reply.problem}
    deadline_s = _read_clock() + options.wait
    while running and _read_clock() < deadline_s:
        await asyncio.sleep(_POLL_S)
        polled = await _ask_all(options, NodeClient.fetch_status)
        running &= {reply.node for reply in polled if not reply.problem}
    lines = [_describe_drain(reply, running, options.wait) for reply in replies]
    answer = _build_answer(replies, '\n'.join(lines))
    if options.wait and running and answer.status is ExitStatus.done:
        return Answer(answer.document, answer.text, ExitStatus.not_in_time)
    return answer


async def why(options: argparse.Namespace) -> Answer:
    """Ask nodes what they do with a flow."""
    ask = functools.partial(
        NodeClient.explain,
        caller=options.caller,
        service=options.service,
        ts_ecr=options.ts_ecr,
    )
    replies = await _ask_all(options, ask)
    sections = [_describe_why(reply) for reply in replies]
    return _build_answer(replies, '\n\n'.join(sections))


async def _drain_one(client: NodeClient) -> Message:
    await client.drain()
    return pb.DrainResponse(accepted=True)


async def _wait_in_force(options: argparse.Namespace) -> Answer:
    deadline_s = _read_clock() + options.wait
    forces = await _ask_in_force(options)
    while _is_missing(forces) and _read_clock() < deadline_s:
        await asyncio.sleep(_POLL_S)
        forces = await _ask_in_force(options)
    rows = [
        (each.node, each.held, each.problem or ('no', 'yes')[each.in_force])
        for each in forces
    ]
    table = format_table(('ENDPOINT', 'VERSION', 'IN FORCE'), rows)
    found = ExitStatus.done
    if any(each.problem for each in forces):
        found = ExitStatus.node_unreachable
    elif _is_missing(forces):
        found = ExitStatus.not_in_time
    document = {
        'key': options.key,
        'version': options.version,
        'nodes': forces,
    }
    return Answer(document, table, found)


async def _ask_in_force(options: argparse.Namespace) -> list[Force]:
    replies = await _ask_all(options, NodeClient.fetch_status)
    return [_check_force(options, reply) for reply in replies]


def _check_force(options: argparse.Namespace, reply: Reply) -> Force:
    if reply.problem:
        return Force(reply.node, 0, in_force=False, problem=_shorten(reply))
    held = max(
        (
            record.version
            for record in reply.answer.records
            if record.key == options.key
        ),
        default=0,
    )
    return Force(reply.node, held, in_force=held >= options.version)


def _is_missing(forces: Sequence[Force]) -> bool:
    return not all(each.in_force for each in forces)


async def _ask_all(options: argparse.Namespace, ask: Ask) -> list[Reply]:
    call_s = min(CALL_TIMEOUT_S, options.timeout)
    return await asyncio.gather(
        *(_ask_one(endpoint, ask, call_s) for endpoint in options.node),
    )


async def _ask_one(endpoint: Endpoint, ask: Ask, call_s: float) -> Reply:
    node = addresses.format_endpoint(endpoint)
    try:
        async with open_node_client(endpoint, call_s) as client:
            return Reply(node, await ask(client))
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
    found = ExitStatus.node_unreachable if failed else ExitStatus.done
    return Answer(document, text, found)


def _sum_up(answer: Any, problem: str) -> tuple[object, ...]:
    if problem:
        return '-', '-', problem, '-', '-'
    words = ['ready' if answer.ready else 'not ready']
    words += ['stopping'] if answer.stopping else []
    words += ['watching'] if answer.watching else []
    return (
        answer.node,
        answer.zone,
        ', '.join(words),
        answer.revision,
        len(answer.members),
    )


def _shorten(reply: Reply) -> str:
    """Return the problem without the node, which has its own column."""
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
        return f'{reply.node}: accepted, still running after {wait_s:g} s'
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
        each.name: _to_plain(getattr(message, each.name))
        for each in message.DESCRIPTOR.fields
    }


def _to_plain(content: Any) -> Any:
    if isinstance(content, Message):
        return _to_builtins(content)
    if isinstance(content, str | int | float):
        return content
    return [_to_plain(each) for each in content]


def _read_clock() -> float:
    return asyncio.get_running_loop().time()

"""Argument parser of the command-line tool and its subcommands."""

import argparse
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TypeAlias

from apricottally import (
    addresses,
    analyzecommand,
    configcommands,
    nodecommands,
    publishing,
    showcommand,
)
from apricottally.addresses import Endpoint
from apricottally.operatorfiles import KINDS
from apricottally.output import Answer, ExitStatus

Command: TypeAlias = Callable[[argparse.Namespace], Awaitable[Answer]]
# Return type of `add_subparsers`; argparse has no public name for it.
Subparsers: TypeAlias = 'argparse._SubParsersAction[argparse.ArgumentParser]'

_DESCRIPTION = """\
Publishes templates and workspaces for the balancers, and queries the state of
nodes. Files are TOML. Every published change has an operation id and a
version; a change is accepted once `publish` reports it as accepted.
"""

_EPILOG = """\
examples:
  apricottally --platform 127.0.0.1:2379 validate template feed feed.toml
  apricottally --platform 127.0.0.1:2379 publish template feed feed.toml
  apricottally --platform 127.0.0.1:2379 publish workspace shop shop.toml
  apricottally --platform 127.0.0.1:2379 show workspace shop
  apricottally status --node 127.0.1.1:6082 --node 127.0.1.2:6082
  apricottally why --node 127.0.1.1:6082 10.0.0.7:40000 10.9.0.1:443
  apricottally analyze --by zone node-1.log node-2.log

a template, feed.toml:
  service = "etikett-core"
  urgency = "urgent"         # urgent, normal or background
  port = 443                 # TCP port at each workspace's address
  holds = "connection"       # what an open flow holds: connection or slot
  max_wait_ms = 500          # longest wait of a flow's first packet
  max_run_ms = 30000         # after this time a flow's slot counts as free
  queue_limit = 64           # limit on waiting first packets per workspace

a workspace, shop.toml:
  address = "10.9.0.1"
  [templates]
  feed = 1.0                 # weight, above 0, at most 1000

exit status:
"""

_STATUS_DESCRIPTIONS: dict[ExitStatus, str] = {
    ExitStatus.done: 'done',
    ExitStatus.usage: 'invalid arguments',
    ExitStatus.file_refused: 'the file is invalid; nothing written',
    ExitStatus.reference_refused: 'inconsistent references; nothing written',
    ExitStatus.conflict: 'changed by another operator; nothing written',
    ExitStatus.platform_failed: 'platform did not answer; nothing written',
    ExitStatus.outcome_unknown: 'the change may or may not have been accepted',
    ExitStatus.node_unreachable: 'a node did not answer',
    ExitStatus.not_in_time: 'not in force, or not stopped, within --wait',
    ExitStatus.differs: 'diff: the file differs from the stored document',
    ExitStatus.not_found: 'the key does not exist',
}


def build_parser() -> argparse.ArgumentParser:
    """Return the argument parser with all subcommands."""
    status_lines = '\n'.join(
        f'  {status.value:<4}{description}'
        for status, description in _STATUS_DESCRIPTIONS.items()
    )
    parser = argparse.ArgumentParser(
        prog='apricottally',
        description=_DESCRIPTION,
        epilog=_EPILOG + status_lines,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        '--platform',
        type=_parse_endpoint,
        metavar='IP:PORT',
        help="endpoint of the platform's key-value service",
    )
    parser.add_argument(
        '--output',
        choices=('table', 'json'),
        default='table',
        help='output format (default: table)',
    )
    parser.add_argument(
        '--timeout',
        type=float,
        default=publishing.RESOLVE_TIMEOUT_S,
        metavar='SECONDS',
        help='time to resolve a write whose response was lost, and upper '
        'limit for each call (default: 20)',
    )
    commands = parser.add_subparsers(
        title='commands',
        required=True,
        metavar='COMMAND',
    )
    _add_file_commands(commands)
    _add_key_commands(commands)
    _add_node_commands(commands)
    _add_log_commands(commands)
    return parser


def _add_file_commands(commands: Subparsers) -> None:
    validate = _add_command(
        commands,
        'validate',
        configcommands.validate,
        'check a file; with --platform, also its references. '
        '`validate stored` checks the whole stored configuration',
    )
    validate.add_argument('kind', choices=(*KINDS, 'stored'))
    validate.add_argument('name', nargs='?', metavar='NAME')
    validate.add_argument('file', nargs='?', type=Path, metavar='FILE')
    publish = _add_command(
        commands,
        'publish',
        configcommands.publish,
        'write a template or workspace from a file',
    )
    _add_key_arguments(publish)
    publish.add_argument('file', type=Path, metavar='FILE')
    _add_write_options(publish)
    diff = _add_command(
        commands,
        'diff',
        configcommands.diff,
        'compare a file with the stored document',
    )
    _add_key_arguments(diff)
    diff.add_argument('file', type=Path, metavar='FILE')


def _add_key_commands(commands: Subparsers) -> None:
    delete = _add_command(
        commands,
        'delete',
        configcommands.delete,
        'delete a template or workspace',
    )
    _add_key_arguments(delete)
    _add_write_options(delete)
    history = _add_command(
        commands,
        'history',
        configcommands.history,
        'show the latest writes of a template or workspace',
    )
    _add_key_arguments(history)
    show = _add_command(
        commands,
        'show',
        showcommand.show,
        'list the stored records, or show one document as TOML',
    )
    show.add_argument(
        'kind',
        nargs='?',
        choices=tuple(showcommand.KEY_PREFIXES),
    )
    show.add_argument('name', nargs='?', metavar='NAME')


def _add_node_commands(commands: Subparsers) -> None:
    status = _add_command(
        commands,
        'status',
        nodecommands.status,
        'show the state of nodes; with --key and --version, show whether '
        'that version of the key is in force on each node',
    )
    _add_node_option(status)
    status.add_argument('--key', help='key, such as /apricottally/workspaces/a')
    status.add_argument(
        '--version',
        type=int,
        default=1,
        help='lowest version of the key that counts as in force',
    )
    _add_wait_option(status, 'until the version is in force')
    drain = _add_command(
        commands,
        'drain',
        nodecommands.drain,
        'shut nodes down gracefully, without breaking open flows',
    )
    _add_node_option(drain)
    _add_wait_option(drain, 'until the nodes have stopped')
    why = _add_command(
        commands,
        'why',
        nodecommands.why,
        'explain how nodes handle a flow, with their latest decisions',
    )
    _add_node_option(why)
    why.add_argument(
        'caller',
        type=_parse_endpoint,
        metavar='CALLER_IP:PORT',
    )
    why.add_argument(
        'service',
        type=_parse_endpoint,
        metavar='SERVICE_IP:PORT',
    )
    why.add_argument(
        '--ts-ecr',
        type=int,
        default=0,
        metavar='NUMBER',
        help='TSecr of a packet from the caller; it identifies the backend',
    )


def _add_log_commands(commands: Subparsers) -> None:
    analyze = _add_command(
        commands,
        'analyze',
        analyzecommand.analyze,
        "summarize logs of nodes on the users' platform: timeline, reasons, "
        'nodes that differ from the others',
    )
    analyze.add_argument(
        'file',
        nargs='*',
        metavar='FILE',
        help='log files of any number of nodes, - for standard input (default)',
    )
    analyze.add_argument(
        '--by',
        choices=('zone', 'node'),
        help='split the timeline by availability zone or by node',
    )
    analyze.add_argument(
        '--flow',
        metavar='CLIENT:PORT>ADDRESS:PORT',
        help="also print this flow's lines from all nodes",
    )
    analyze.add_argument(
        '--top',
        type=_parse_count,
        default=analyzecommand.DEFAULT_DEVIATIONS,
        metavar='N',
        help='number of deviating counts to list (default: 10)',
    )
    analyze.add_argument(
        '--plot',
        type=Path,
        metavar='FILE',
        help='draw the timeline into a PNG or SVG file; needs matplotlib',
    )


def _add_node_option(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--node',
        type=_parse_endpoint,
        action='append',
        required=True,
        metavar='IP:PORT',
        help="control endpoint from a node's settings; may be repeated",
    )


def _add_wait_option(parser: argparse.ArgumentParser, until: str) -> None:
    parser.add_argument(
        '--wait',
        type=float,
        default=0,
        metavar='SECONDS',
        help=f'how long to wait {until} (default: 0)',
    )


def _parse_endpoint(text: str) -> Endpoint:
    try:
        return addresses.parse_endpoint(text)
    except ValueError as error:
        problem = f'`{text}` is not an IPv4 address and port, IP:PORT'
        raise argparse.ArgumentTypeError(problem) from error


def _parse_count(text: str) -> int:
    if not text.isdecimal():
        raise argparse.ArgumentTypeError(f'`{text}` is not a whole number')
    return int(text)


def _add_command(
    commands: Subparsers,
    name: str,
    command: Command,
    summary: str,
) -> argparse.ArgumentParser:
    parser = commands.add_parser(name, help=summary, description=summary)
    parser.set_defaults(command=command)
    return parser


def _add_key_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('kind', choices=tuple(KINDS))
    parser.add_argument('name', metavar='NAME')


def _add_write_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--author',
        help='author of the change (default: the login name)',
    )
    parser.add_argument(
        '--expect',
        type=int,
        metavar='VERSION',
        help='write only if the key has this version (0: does not exist)',
    )
    parser.add_argument(
        '--operation',
        metavar='ID',
        help='operation id of an earlier run whose outcome is unknown',
    )

"""Arguments of the command-line tool, and the command of each."""

import argparse
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TypeAlias

from apricottally import (
    addresses,
    configcommands,
    nodecommands,
    publishing,
    showing,
)
from apricottally.addresses import Endpoint
from apricottally.operatorfiles import KINDS
from apricottally.output import Answer, ExitStatus

Command: TypeAlias = Callable[[argparse.Namespace], Awaitable[Answer]]
# What `add_subparsers` returns; argparse has no public name for it.
Parsers: TypeAlias = 'argparse._SubParsersAction[argparse.ArgumentParser]'

_DESCRIPTION = """\
Publishes templates and workspaces for the balancers, and asks nodes what they
do. Files are TOML. Every published change has an operation id and a version;
a change is accepted once `publish` says so.
"""

_EPILOG = """\
examples:
  apricottally --platform 127.0.0.1:2379 validate template feed feed.toml
  apricottally --platform 127.0.0.1:2379 publish template feed feed.toml
  apricottally --platform 127.0.0.1:2379 publish workspace shop shop.toml
  apricottally --platform 127.0.0.1:2379 show workspace shop
  apricottally status --node 127.0.1.1:6082 --node 127.0.1.2:6082
  apricottally why --node 127.0.1.1:6082 10.0.0.7:40000 10.9.0.1:443

a template, feed.toml:
  service = "etikett-core"
  urgency = "urgent"         # urgent, normal or background
  port = 443                 # TCP port at each workspace's address
  holds = "connection"       # what an open flow holds: connection or slot
  max_wait_ms = 500          # how long a first packet may wait
  max_run_ms = 30000         # after which a flow's slot is written off
  queue_limit = 64           # waiting first packets of one workspace

a workspace, shop.toml:
  address = "10.9.0.1"
  [templates]
  feed = 1.0                 # its share, above 0, at most 1000

exit status:
"""

_STATUS_WORDS: dict[ExitStatus, str] = {
    ExitStatus.done: 'done',
    ExitStatus.usage: 'wrong arguments',
    ExitStatus.file_refused: 'the file has faults; nothing written',
    ExitStatus.reference_refused: 'does not fit the rest; nothing written',
    ExitStatus.conflict: 'changed by someone else; nothing written',
    ExitStatus.platform_failed: 'platform did not answer; nothing written',
    ExitStatus.outcome_unknown: 'the change may or may not be accepted',
    ExitStatus.node_unreachable: 'a node did not answer',
    ExitStatus.not_in_time: 'not in force, or not stopped, within --wait',
    ExitStatus.differs: 'diff: the file differs from what is stored',
    ExitStatus.not_found: 'there is no such key',
}


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the whole command line."""
    statuses = '\n'.join(
        f'  {status.value:<4}{words}' for status, words in _STATUS_WORDS.items()
    )
    parser = argparse.ArgumentParser(
        prog='apricottally',
        description=_DESCRIPTION,
        epilog=_EPILOG + statuses,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        '--platform',
        type=_read_endpoint,
        metavar='IP:PORT',
        help="the platform's key-value service",
    )
    parser.add_argument(
        '--output',
        choices=('table', 'json'),
        default='table',
        help='form of the answer (default: table)',
    )
    parser.add_argument(
        '--timeout',
        type=float,
        default=publishing.RESOLVE_S,
        metavar='SECONDS',
        help='for resolving a lost answer and for each call (default: 20)',
    )
    commands = parser.add_subparsers(
        title='commands',
        required=True,
        metavar='COMMAND',
    )
    _add_file_commands(commands)
    _add_key_commands(commands)
    _add_node_commands(commands)
    return parser


def _add_file_commands(commands: Parsers) -> None:
    validate = _add(
        commands,
        'validate',
        configcommands.validate,
        'check a file; with --platform, its references too. '
        '`validate stored` checks everything in the platform',
    )
    validate.add_argument('kind', choices=(*KINDS, 'stored'))
    validate.add_argument('name', nargs='?', metavar='NAME')
    validate.add_argument('file', nargs='?', type=Path, metavar='FILE')
    publish = _add(
        commands,
        'publish',
        configcommands.publish,
        'write a template or workspace from a file',
    )
    _add_key(publish)
    publish.add_argument('file', type=Path, metavar='FILE')
    _add_write_options(publish)
    diff = _add(
        commands,
        'diff',
        configcommands.diff,
        'compare a file with what is stored',
    )
    _add_key(diff)
    diff.add_argument('file', type=Path, metavar='FILE')


def _add_key_commands(commands: Parsers) -> None:
    delete = _add(
        commands,
        'delete',
        configcommands.delete,
        'delete a template or workspace',
    )
    _add_key(delete)
    _add_write_options(delete)
    history = _add(
        commands,
        'history',
        configcommands.history,
        'show the last writes of a template or workspace',
    )
    _add_key(history)
    show = _add(
        commands,
        'show',
        showing.show,
        'list what is stored, or show one document as TOML',
    )
    show.add_argument('kind', nargs='?', choices=tuple(showing.PREFIXES))
    show.add_argument('name', nargs='?', metavar='NAME')


def _add_node_commands(commands: Parsers) -> None:
    status = _add(
        commands,
        'status',
        nodecommands.status,
        'ask nodes what they are and hold; with --key and --version, '
        'whether that version is in force on each',
    )
    _add_nodes(status)
    status.add_argument('--key', help='key, such as /apricottally/workspaces/a')
    status.add_argument(
        '--version',
        type=int,
        default=1,
        help='version that has to be in force, or a later one',
    )
    _add_wait(status, 'until it is in force')
    drain = _add(
        commands,
        'drain',
        nodecommands.drain,
        'ask nodes for a graceful shutdown, which cuts no flow',
    )
    _add_nodes(drain)
    _add_wait(drain, 'until they have stopped')
    why = _add(
        commands,
        'why',
        nodecommands.why,
        'ask nodes what they do with a flow, and what they did lately',
    )
    _add_nodes(why)
    why.add_argument(
        'caller',
        type=_read_endpoint,
        metavar='CALLER_IP:PORT',
    )
    why.add_argument(
        'service',
        type=_read_endpoint,
        metavar='SERVICE_IP:PORT',
    )
    why.add_argument(
        '--ts-ecr',
        type=int,
        default=0,
        metavar='NUMBER',
        help="TSecr of one of the caller's packets, which names the backend",
    )


def _add_nodes(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--node',
        type=_read_endpoint,
        action='append',
        required=True,
        metavar='IP:PORT',
        help="control endpoint of a node's settings; may be repeated",
    )


def _add_wait(parser: argparse.ArgumentParser, until: str) -> None:
    parser.add_argument(
        '--wait',
        type=float,
        default=0,
        metavar='SECONDS',
        help=f'how long to wait {until} (default: 0)',
    )


def _read_endpoint(text: str) -> Endpoint:
    try:
        return addresses.parse_endpoint(text)
    except ValueError as error:
        problem = f'`{text}` is not an IPv4 address and port, IP:PORT'
        raise argparse.ArgumentTypeError(problem) from error


def _add(
    commands: Parsers,
    name: str,
    command: Command,
    words: str,
) -> argparse.ArgumentParser:
    parser = commands.add_parser(name, help=words, description=words)
    parser.set_defaults(command=command)
    return parser


def _add_key(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('kind', choices=tuple(KINDS))
    parser.add_argument('name', metavar='NAME')


def _add_write_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--author',
        help='who makes the change (default: the name of the login)',
    )
    parser.add_argument(
        '--expect',
        type=int,
        metavar='VERSION',
        help='refuse unless the key is at this version (0: does not exist)',
    )
    parser.add_argument(
        '--operation',
        metavar='ID',
        help='id of an earlier run whose outcome is unknown',
    )

"""Entry point of the command-line tool `apricottally`."""

import asyncio
import sys
from collections.abc import Sequence

from apricottally.commandline import build_parser
from apricottally.output import CommandError, print_answer, print_failure

# Exit status that shells report for a process ended by SIGINT.
_SIGINT_STATUS = 130


def main() -> None:
    """Run the tool and exit with its status."""
    try:
        status = asyncio.run(run(sys.argv[1:]))
    except KeyboardInterrupt:
        status = _SIGINT_STATUS
    sys.exit(status)


async def run(arguments: Sequence[str]) -> int:
    """Run one command and return its exit status."""
    options = build_parser().parse_args(arguments)
    as_json = options.output == 'json'
    try:
        answer = await options.command(options)
    except CommandError as error:
        print_failure(error, as_json=as_json)
        return error.status
    print_answer(answer, as_json=as_json)
    return int(answer.status)


if __name__ == '__main__':
    main()

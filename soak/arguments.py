"""Arguments that the seeded tools share."""

import argparse


def parse_count(word: str) -> int:
    """Return a whole number of 1 or more; for `argparse`."""
    try:
        count = int(word)
    except ValueError as error:
        raise argparse.ArgumentTypeError(
            f'{word!r} is not a whole number'
        ) from error
    if count < 1:
        raise argparse.ArgumentTypeError('must be 1 or more')
    return count

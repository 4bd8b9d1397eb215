"""Command-line argument types of `soak` and `tests.faults`."""

import argparse


def parse_count(text: str) -> int:
    """Parse a whole number of 1 or more; an `argparse` type."""
    try:
        count = int(text)
    except ValueError as error:
        raise argparse.ArgumentTypeError(
            f'{text!r} is not a whole number'
        ) from error
    if count < 1:
        raise argparse.ArgumentTypeError('must be 1 or more')
    return count

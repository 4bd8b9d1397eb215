"""Structured logs through absl.logging."""

from collections.abc import Mapping

import msgspec
from absl import logging

from apricottally.effects import LogValue


def start(level: str) -> None:
    """Log from a level on."""
    logging.set_verbosity(level)
    logging.use_absl_handler()


def write(event: str, fields: Mapping[str, LogValue]) -> None:
    """Write one record as a line of JSON."""
    line = msgspec.json.encode({'event': event, **fields}).decode()
    logging.info('%s', line)

"""Parsing of the JSON log lines that nodes write."""

from __future__ import annotations

import msgspec

from apricottally.decoding import decode, decode_json
from apricottally.errors import DecodingError

# Event whose other fields count the lines that were not written.
_SUPPRESSED_EVENT = 'suppressed'


class LogLine(msgspec.Struct, frozen=True):
    """One log line; `time` is Unix seconds, `text` the line's JSON object.

    Fields that an event does not have are empty. `age_ms` is the age of the
    node's records.
    """

    time: float
    node: str
    event: str
    zone: str = ''
    reason: str = ''
    flow: str = ''
    age_ms: int | None = None
    text: str = ''


_decoder = msgspec.json.Decoder(LogLine)


def parse_line(line: bytes) -> LogLine | None:
    """Return a parsed line, or None if it is not a log line of a node.

    Text before the first brace, such as the prefix that a log collector adds,
    is ignored.
    """
    start = line.find(b'{')
    if start < 0:
        return None
    encoded = line[start:].strip()
    try:
        parsed = decode(_decoder.decode, encoded)
    except DecodingError:
        return None
    return msgspec.structs.replace(
        parsed, text=encoded.decode(errors='replace')
    )


def list_suppressed(line: LogLine) -> list[tuple[str, int]]:
    """Return what a node left out of its log: names and numbers of lines."""
    if line.event != _SUPPRESSED_EVENT:
        return []
    try:
        fields = decode_json(line.text.encode(), dict[str, object])
    except DecodingError:
        return []
    return [
        (name, count)
        for name, count in fields.items()
        if isinstance(count, int) and name != 'time'
    ]

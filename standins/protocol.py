"""The stand-ins' application protocol: one JSON request line per flow.

An answer is one JSON line followed by `size` bytes that are derived from the
request id, so that a caller detects an answer to another request. A feed's
answer is a stream of JSON event lines, numbered from 0.
"""

import enum

import msgspec

MAX_LINE_BYTES = 4096


class Kind(enum.Enum):
    """Kind of the request on a flow.

    Submissions and holds are not idempotent; a feed stays open until the
    caller closes it.
    """

    submission = 'submission'
    hold = 'hold'
    download = 'download'
    feed = 'feed'


class Status(enum.Enum):
    """Outcome of a request: completed, or stopped at its deadline."""

    ok = 'ok'
    deadline = 'deadline'


class Request(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A caller's request.

    The work takes `work_ms` and is stopped at `deadline_ms` (0: none). The
    body of the answer has `size` bytes. A feed sends an event every
    `interval_ms`.
    """

    id: str
    kind: Kind
    size: int = 0
    work_ms: int = 0
    deadline_ms: int = 0
    interval_ms: int = 0


class Answer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The first line of an answer; `size` bytes follow."""

    id: str
    service: str
    backend: str
    status: Status
    size: int


class FeedEvent(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One line of a feed."""

    id: str
    service: str
    backend: str
    index: int


class ProtocolError(Exception):
    """A line that does not conform to this protocol."""


def encode_line(message: Request | Answer | FeedEvent) -> bytes:
    """Return a message as one line."""
    return msgspec.json.encode(message) + b'\n'


def decode_request(line: bytes) -> Request:
    """Decode a request line; raises `ProtocolError`."""
    try:
        return msgspec.json.decode(line, type=Request)
    except msgspec.DecodeError as error:
        raise ProtocolError(str(error)) from error


def decode_answer(line: bytes) -> Answer:
    """Decode the first line of an answer; raises `ProtocolError`."""
    try:
        return msgspec.json.decode(line, type=Answer)
    except msgspec.DecodeError as error:
        raise ProtocolError(str(error)) from error


def decode_event(line: bytes) -> FeedEvent:
    """Decode a line of a feed; raises `ProtocolError`."""
    try:
        return msgspec.json.decode(line, type=FeedEvent)
    except msgspec.DecodeError as error:
        raise ProtocolError(str(error)) from error


def make_body(request_id: str, size: int) -> bytes:
    """Return the `size` bytes that follow an answer's first line."""
    pattern = f'{request_id};'.encode()
    return (pattern * (size // len(pattern) + 1))[:size]

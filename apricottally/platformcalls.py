"""What all calls to the platform share: deadlines, key ranges and errors."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError

from apricottally import etcd_pb2 as pb
from apricottally.errors import CompactedError, PlatformError
from apricottally.events import Record

CALL_TIMEOUT_S = float(3)
# Keys read by one call of a list: bounds the memory that its answer takes.
PAGE_KEYS = 500
# A watch without any message for this long is opened anew: a cut connection
# and a platform that hangs look the same as no change.
WATCH_SILENCE_S = float(30)
# A watch that was lost sooner is not opened again by the client itself, so
# that a platform that accepts and drops watches is not called in a loop.
WATCH_MIN_LIFE_S = float(1)

# Refusals that come before a write takes effect.
_REFUSALS = frozenset(
    (
        Status.INVALID_ARGUMENT,
        Status.NOT_FOUND,
        Status.PERMISSION_DENIED,
        Status.RESOURCE_EXHAUSTED,
        Status.FAILED_PRECONDITION,
        Status.OUT_OF_RANGE,
        Status.UNIMPLEMENTED,
        Status.UNAUTHENTICATED,
    ),
)


@dataclass(frozen=True, slots=True)
class Limits:
    """Deadlines of the client, in seconds, and the keys of one page."""

    call_s: float = CALL_TIMEOUT_S
    silence_s: float = WATCH_SILENCE_S
    min_life_s: float = WATCH_MIN_LIFE_S
    page_keys: int = PAGE_KEYS


class UnknownError(PlatformError):
    """The answer is missing; a write may have taken effect."""


@contextmanager
def translated() -> Iterator[None]:
    """Turn the errors of transport and status into this layer's."""
    try:
        yield
    except GRPCError as error:
        raise _translate_status(error) from error
    except (OSError, StreamTerminatedError) as error:
        raise _translate_loss(error) from error


def prefix_end(prefix: str) -> bytes:
    """Return the end of the range of keys that start with a prefix."""
    encoded = prefix.encode()
    return encoded[:-1] + bytes((encoded[-1] + 1,))


def decode_entry(entry: pb.KeyValue) -> Record:
    """Return the record of a platform entry."""
    return Record(entry.key.decode(), entry.mod_revision, entry.value)


def _translate_status(error: GRPCError) -> PlatformError:
    text = f'{error.status.name.lower()}: {error.message}'
    if error.status is Status.OUT_OF_RANGE:
        return CompactedError(text)
    if error.status in _REFUSALS:
        return PlatformError(text)
    return UnknownError(text)


def _translate_loss(error: Exception) -> PlatformError:
    if isinstance(error, ConnectionRefusedError):
        return PlatformError('connection refused')
    if isinstance(error, TimeoutError):
        return UnknownError('no answer in time')
    return UnknownError(f'connection lost: {error}')

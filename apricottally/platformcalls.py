"""Deadlines, key ranges and errors common to all calls to the platform."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError

from apricottally import etcd_pb2 as pb
from apricottally.errors import CompactedError, PlatformError
from apricottally.events import Record

CALL_TIMEOUT_S = float(3)
# Limits the keys that one call of a list reads, and so the memory for its
# answer.
MAX_PAGE_KEYS = 500
# A watch without any message for this long is reopened, since a broken
# connection or a platform that hangs cannot be told from a lack of changes.
WATCH_SILENCE_TIMEOUT_S = float(30)
# The client does not reopen a watch that was lost sooner than this, so that a
# platform that accepts and drops watches is not called in a loop.
WATCH_MIN_LIFETIME_S = float(1)

# Statuses that mean that a write has not taken effect.
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
class ClientLimits:
    """Time limits of the client in seconds, and the keys per page."""

    call_timeout_s: float = CALL_TIMEOUT_S
    watch_silence_s: float = WATCH_SILENCE_TIMEOUT_S
    watch_min_lifetime_s: float = WATCH_MIN_LIFETIME_S
    max_page_keys: int = MAX_PAGE_KEYS


class UnansweredError(PlatformError):
    """The call got no conclusive answer; a write may have taken effect."""


@contextmanager
def translate_errors() -> Iterator[None]:
    """Raise gRPC and connection errors as `PlatformError`."""
    try:
        yield
    except GRPCError as error:
        raise _translate_status(error) from error
    except (OSError, StreamTerminatedError) as error:
        raise _translate_connection_error(error) from error


def compute_range_end(prefix: str) -> bytes:
    """Return the exclusive end of the range of keys with a prefix."""
    encoded = prefix.encode()
    return encoded[:-1] + bytes((encoded[-1] + 1,))


def decode_entry(entry: pb.KeyValue) -> Record:
    """Return the record of a platform entry."""
    return Record(decode_key(entry.key), entry.mod_revision, entry.value)


def decode_key(key: bytes) -> str:
    """Return a key as text; other writers' keys may not be UTF-8."""
    return key.decode(errors='replace')


def _translate_status(error: GRPCError) -> PlatformError:
    text = f'{error.status.name.lower()}: {error.message}'
    if error.status is Status.OUT_OF_RANGE:
        return CompactedError(text)
    if error.status in _REFUSALS:
        return PlatformError(text)
    return UnansweredError(text)


def _translate_connection_error(error: Exception) -> PlatformError:
    if isinstance(error, ConnectionRefusedError):
        return PlatformError('connection refused')
    if isinstance(error, TimeoutError):
        return UnansweredError('no answer in time')
    return UnansweredError(f'connection lost: {error}')

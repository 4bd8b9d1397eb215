"""Decoding of bytes from outside the process into typed values.

What another program wrote may be malformed in any way. Each way becomes one
`DecodingError`, so that a caller cannot miss one.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TypeVar

import msgspec

from apricottally.errors import DecodingError

_Payload = TypeVar('_Payload')
_Decoded = TypeVar('_Decoded')


def decode(read: Callable[[_Payload], _Decoded], payload: _Payload) -> _Decoded:
    """Return what a decoder of msgspec reads; raises `DecodingError`.

    Its reason is `invalid` for a field that is missing, of another type or out
    of range, `nested` for too many levels, and else `malformed`.
    """
    try:
        return read(payload)
    except msgspec.ValidationError as error:
        raise DecodingError('invalid', str(error)) from error
    except RecursionError as error:
        raise DecodingError('nested', 'too many levels') from error
    except (msgspec.DecodeError, UnicodeError) as error:
        raise DecodingError('malformed', str(error)) from error


def decode_json(payload: bytes | msgspec.Raw, kind: type[_Decoded]) -> _Decoded:
    """Decode JSON text as a type; raises `DecodingError`."""
    read = partial(msgspec.json.decode, type=kind)
    decoded: _Decoded = decode(read, payload)
    return decoded

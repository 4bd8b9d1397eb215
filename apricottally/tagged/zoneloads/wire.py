"""Sums of a zone's requests in progress, as sent in heartbeats.

A backend takes six bytes, big-endian: 32 bits for its tag, 16 for its count.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from typing import Annotated

import msgspec

# Limits of one heartbeat: backends in all of its sums together, and zones.
MAX_BACKENDS = 60
MAX_ZONES = 2
# Bytes of a zone's sums beside its backends, with a name of 63 characters.
FRAME_BYTES = 75
_BACKEND_FORMAT = struct.Struct('>IH')
BACKEND_BYTES = _BACKEND_FORMAT.size
_MAX_COUNT = 0xFFFF

_PackedLoads = Annotated[
    bytes, msgspec.Meta(max_length=MAX_BACKENDS * BACKEND_BYTES)
]
_AgeMs = Annotated[int, msgspec.Meta(ge=0)]


class ZoneLoads(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Requests in progress that the nodes of one zone have placed.

    `loads` is read by `unpack`. `age_ms` is the time since the sums were made.
    The constructor raises ValueError if `loads` ends within a backend.
    """

    zone: str
    age_ms: _AgeMs
    loads: _PackedLoads

    def __post_init__(self) -> None:
        """Check the length of the loads."""
        if len(self.loads) % BACKEND_BYTES:
            raise ValueError('the loads end within a backend')


def pack(loads: Iterable[tuple[int, int]]) -> bytes:
    """Encode pairs of a tag and its requests; larger counts become 65,535."""
    return b''.join(
        _BACKEND_FORMAT.pack(tag, min(busy, _MAX_COUNT)) for tag, busy in loads
    )


def unpack(loads: bytes) -> dict[int, int]:
    """Return the requests in progress by tag."""
    return dict(_BACKEND_FORMAT.iter_unpack(loads))

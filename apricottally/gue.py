"""GUE headers (IP-in-UDP, variant 0) and the hand-over extension.

Source: draft-ietf-intarea-gue, variant 0. A node that hands a packet over to
another node adds eight bytes of private data to the header.
"""

import enum
import struct

import msgspec

from apricottally.errors import WireError

# Variant 0, no control message, no options, payload is IPv4 (protocol 4).
PLAIN_HEADER = b'\x00\x04\x00\x00'
PLAIN_LENGTH = len(PLAIN_HEADER)

_BASE = struct.Struct('!BBH')
_HANDOVER = struct.Struct('!BBHI')
_PROTOCOL_IPV4 = 4
_HANDOVER_WORDS = _HANDOVER.size // 4
_HANDOVER_BASE = _BASE.pack(_HANDOVER_WORDS, _PROTOCOL_IPV4, 0)
_CONTROL_BIT = 0x20
_VARIANT_SHIFT = 6

HANDOVER_LENGTH = _BASE.size + _HANDOVER.size
# The base header and 31 words of options.
MAX_HEADER_LENGTH = 128


# Hand-overs of one packet: one to the shard's owner, and a second one by a
# previous owner that has handed the shard over. The limit prevents loops while
# the member lists of nodes differ.
MAX_HOPS = 2


class Direction(enum.IntEnum):
    """Origin of a handed-over packet, and whether the packet is a notice."""

    caller = 1
    backend = 2
    # The node that hands the packet over has no matching record.
    unknown = 3
    # Notices: copies of the headers of a FIN or RST already forwarded.
    caller_notice = 4
    backend_notice = 5


_DIRECTIONS = frozenset(Direction)


class Handover(msgspec.Struct, frozen=True, gc=False):
    """Hand-over extension of a packet's GUE header.

    `direction` is a `Direction` value and `hops` the number of hand-overs so
    far. `ip` and `port` are the outer source from which the first node
    received the packet, as integers.
    """

    direction: int
    hops: int
    port: int
    ip: int


def encode(inner: bytes) -> bytes:
    """Wrap an IPv4 packet in a plain GUE header."""
    return PLAIN_HEADER + inner


def encode_handover(handover: Handover, inner: bytes) -> bytes:
    """Wrap an IPv4 packet in a GUE header with the hand-over extension."""
    extension = _HANDOVER.pack(
        handover.direction,
        handover.hops,
        handover.port,
        handover.ip,
    )
    return b''.join((_HANDOVER_BASE, extension, inner))


def decode(datagram: bytes) -> tuple[int, Handover | None]:
    """Return the offset of the inner packet and the hand-over, if any.

    Raises `WireError` for a datagram that is not GUE with an IPv4 payload.
    """
    if datagram[:PLAIN_LENGTH] == PLAIN_HEADER:
        return PLAIN_LENGTH, None
    if len(datagram) < HANDOVER_LENGTH:
        raise WireError('truncated_gue')
    first, protocol, flags = _BASE.unpack_from(datagram)
    if first >> _VARIANT_SHIFT or first & _CONTROL_BIT:
        raise WireError('foreign_gue')
    if protocol != _PROTOCOL_IPV4 or flags or first != _HANDOVER_WORDS:
        raise WireError('foreign_gue')
    direction, hops, port, ip = _HANDOVER.unpack_from(datagram, _BASE.size)
    if direction not in _DIRECTIONS:
        raise WireError('foreign_gue')
    return HANDOVER_LENGTH, Handover(direction, hops, port, ip)

"""Types of fields in records and messages, with the ranges that are checked.

A value out of range in a message of another node is rejected when the message
is decoded.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

MAX_TEXT_CHARACTERS = 200
_MAX_UINT32 = 0xFFFFFFFF
# Larger integers cannot be encoded in the messages between nodes.
MAX_NUMBER = (1 << 62) - 1
_MAX_SLOTS = 100_000
_MAX_LOAD = 1_000_000_000
_OCTET = '(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])'

Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
# Name of a service, zone, node or region.
Text = Annotated[
    str, msgspec.Meta(min_length=1, max_length=MAX_TEXT_CHARACTERS)
]
Slots = Annotated[int, msgspec.Meta(ge=1, le=_MAX_SLOTS)]
SequenceNumber = Annotated[int, msgspec.Meta(ge=0, le=_MAX_UINT32)]
Tag = Annotated[int, msgspec.Meta(ge=0, le=_MAX_UINT32)]
# Up to 64 bits; the encoding has no larger integers.
BackendNumber = Annotated[int, msgspec.Meta(ge=1)]
IpNumber = Annotated[int, msgspec.Meta(ge=0, le=_MAX_UINT32)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
# The socket API would look up any other text as a host name.
IpAddress = Annotated[
    str, msgspec.Meta(pattern=rf'^{_OCTET}(?:[.]{_OCTET}){{3}}\Z')
]
# Addresses and ports of a flow, as the packet codec has them.
FlowKey = Annotated[bytes, msgspec.Meta(min_length=1, max_length=64)]
# Requests or flows that one node has placed on a backend.
LoadNumber = Annotated[int, msgspec.Meta(ge=0, le=_MAX_LOAD)]
Rate = Annotated[float, msgspec.Meta(ge=0, le=1_000_000)]

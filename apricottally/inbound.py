"""A packet received by a node: its outer source and parsed headers."""

import msgspec

from apricottally.addresses import Endpoint
from apricottally.gue import Handover
from apricottally.packet import Segment


class InboundPacket(msgspec.Struct, frozen=True, gc=False):
    """A received datagram that has been parsed.

    `source` is the outer source endpoint. `handover` is the hand-over
    extension, None if no other node handed the packet over. `now` is the
    time of receipt, monotonic, in seconds.
    """

    now: float
    source: Endpoint
    payload: bytes
    segment: Segment
    handover: Handover | None

"""A packet on its way through a node: where it came from and what it says."""

import msgspec

from apricottally.addresses import Endpoint
from apricottally.gue import Handover
from apricottally.packet import Segment


class Arrival(msgspec.Struct, frozen=True, gc=False):
    """A received datagram that has been parsed.

    `source` is the outer source, `handover` the extension if another node
    handed the packet over. `now` is monotonic time in seconds.
    """

    now: float
    source: Endpoint
    payload: bytes
    segment: Segment
    handover: Handover | None

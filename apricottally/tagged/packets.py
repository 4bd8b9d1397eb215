"""A packet of a client, as the core sees it.

An adapter parses what travels on the wire into this type and writes a tag
into the raw bytes.
"""

from __future__ import annotations

import msgspec

SYN = 1
ACK = 2
FIN = 4
RST = 8


class FlowPacket(msgspec.Struct, frozen=True, gc=False):
    """One packet from a client.

    `key` names the flow: its addresses and ports in wire form. `client` and
    `address` are IPv4 addresses as numbers. `sequence` and `acknowledged`
    are 32-bit numbers, `length` counts bytes of data. `tag` is the last one
    that the client has received on the flow, 0 if none. `raw` is the packet.
    """

    key: bytes
    client: int
    client_port: int
    address: int
    port: int
    flags: int
    sequence: int
    acknowledged: int
    length: int
    tag: int
    raw: bytes

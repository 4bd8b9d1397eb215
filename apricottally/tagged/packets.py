"""Packets of clients in the form that the reducer uses.

A codec parses datagrams into this type, and writes the backend's tag into the
raw bytes of a SYN that is forwarded.
"""

from __future__ import annotations

import msgspec

SYN = 1
ACK = 2
FIN = 4
RST = 8


class FlowPacket(msgspec.Struct, frozen=True, gc=False):
    """One packet from a client to a service.

    `key` identifies the flow; it contains both addresses and ports as on the
    wire. `client` and `address` are the client's and the service's IPv4
    address as integers, `port` is the service's port. `flags` combines the
    flags above. `sequence` and `acknowledged` are 32-bit sequence and
    acknowledgement numbers, `length` is the number of data bytes. `tag` is
    the backend tag that the client received last on the flow, 0 if none.
    `raw` is the packet as received.
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

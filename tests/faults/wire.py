"""Packets of the two ends of a flow, written and read by the stand-ins."""

import struct
from dataclasses import dataclass
from ipaddress import IPv4Address

SYN = 2
RST = 4
FIN = 8
ACK = 16
_HEAD = struct.Struct('>BIIHHIHIII')
# Any checksum but 0, which marks a reset of the balancer's own.
END_SUM = 7


@dataclass(frozen=True)
class Packet:
    flags: int
    source: int
    dest: int
    source_port: int
    dest_port: int
    sequence: int = 0
    acknowledged: int = 0
    echo: int = 0
    data: bytes = b''
    checksum: int = END_SUM

    def encode(self) -> bytes:
        head = _HEAD.pack(
            self.flags,
            self.source,
            self.dest,
            self.dest_port,
            self.source_port,
            self.checksum,
            len(self.data),
            self.sequence,
            self.acknowledged,
            self.echo,
        )
        return head + self.data

    def answer(self, flags: int, **fields) -> 'Packet':
        return Packet(
            flags,
            self.dest,
            self.source,
            self.dest_port,
            self.source_port,
            **fields,
        )


def decode(payload: bytes) -> Packet:
    head = _HEAD.unpack_from(payload)
    return Packet(
        flags=head[0],
        source=head[1],
        dest=head[2],
        dest_port=head[3],
        source_port=head[4],
        checksum=head[5],
        sequence=head[7],
        acknowledged=head[8],
        echo=head[9],
        data=payload[_HEAD.size :],
    )


def number(ip: str) -> int:
    return int(IPv4Address(ip))


def text(ip: int) -> str:
    return str(IPv4Address(ip))

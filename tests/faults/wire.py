"""Encodes and decodes packets of the simulated clients and backends."""

import struct
from dataclasses import dataclass
from ipaddress import IPv4Address

SYN = 2
RST = 4
FIN = 8
ACK = 16
_HEADER = struct.Struct('>BIIHHIHIII')
# Checksum of clients and backends. It must not be 0, which marks a reset as
# sent by the balancer.
HOST_CHECKSUM = 7


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
    checksum: int = HOST_CHECKSUM

    def encode(self) -> bytes:
        header = _HEADER.pack(
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
        return header + self.data

    def build_reply(self, flags: int, **fields) -> 'Packet':
        """Return a packet of the same flow in the other direction."""
        return Packet(
            flags,
            self.dest,
            self.source,
            self.dest_port,
            self.source_port,
            **fields,
        )


def decode(payload: bytes) -> Packet:
    header = _HEADER.unpack_from(payload)
    return Packet(
        flags=header[0],
        source=header[1],
        dest=header[2],
        dest_port=header[3],
        source_port=header[4],
        checksum=header[5],
        sequence=header[7],
        acknowledged=header[8],
        echo=header[9],
        data=payload[_HEADER.size :],
    )


def parse_ip(ip: str) -> int:
    return int(IPv4Address(ip))


def format_ip(ip: int) -> str:
    return str(IPv4Address(ip))

"""The packet format of the users' platform (PROTOCOL.md, "Packets")."""

import struct
from dataclasses import dataclass
from ipaddress import IPv4Address

SYN = 2
RST = 4
FIN = 8
ACK = 16
HEADER = struct.Struct('>BIIHHIHIII')
NUMBER = struct.Struct('>Q')
MASK = 0xFFFFFFFF
# Stands for the keyed sum of clients and backends; 0 marks a reset of the
# balancer.
HOST_SUM = 7


@dataclass
class Packet:
    """One packet; `source` and `dest` are addresses as integers."""

    flags: int
    source: int
    dest: int
    dest_port: int
    source_port: int
    seq: int = 0
    ack: int = 0
    echo: int = 0
    data: bytes = b''
    sum: int = HOST_SUM

    def encode(self) -> bytes:
        head = HEADER.pack(
            self.flags,
            self.source,
            self.dest,
            self.dest_port,
            self.source_port,
            self.sum,
            len(self.data),
            self.seq & MASK,
            self.ack & MASK,
            self.echo,
        )
        return head + self.data


def decode(raw: bytes) -> Packet:
    fields = HEADER.unpack_from(raw)
    return Packet(
        fields[0],
        fields[1],
        fields[2],
        fields[3],
        fields[4],
        fields[7],
        fields[8],
        fields[9],
        raw[HEADER.size :],
        fields[5],
    )


def to_int(ip: str) -> int:
    return int(IPv4Address(ip))


def to_text(number: int) -> str:
    return str(IPv4Address(number))

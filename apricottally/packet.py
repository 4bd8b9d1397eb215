"""Inner IPv4/TCP packets: parsing, timestamp rewriting, checksums, resets.

Sources: RFC 791, RFC 9293, RFC 7323 (timestamps), RFC 1624 (incremental
checksum). Addresses and ports are integers in host order.
"""

import struct

import msgspec

from apricottally.errors import WireError

FIN = 1
SYN = 2
RST = 4
PSH = 8
ACK = 0x10

# Flags of the packets that concern the owner of a backend's shard.
SYN_FIN_RST = SYN | FIN | RST

# The low bits of a timestamp carry the backend number. With ten bits the rest
# of a millisecond clock ticks every 1.024 s, about the slowest rate that
# RFC 7323 recommends.
NUMBER_BITS = 10
NUMBER_MASK = (1 << NUMBER_BITS) - 1
MAX_BACKENDS = 1 << NUMBER_BITS

IP_LENGTH = 20
TCP_LENGTH = 20
HEADERS_LENGTH = IP_LENGTH + TCP_LENGTH
MAX_PACKET_LENGTH = 9000
FLOW_KEY_LENGTH = 12

_HEADERS = struct.Struct('!BxHxxHxBxxIIHHIIBBxxH')
_IP = struct.Struct('!BBHHHBBHII')
_TCP = struct.Struct('!HHIIBBHHH')
_TIMESTAMPS = struct.Struct('!II')
_UINT16 = struct.Struct('!H')
_IPV4_VERSION_AND_IHL = 0x45
# A complete IPv4/TCP reset without options, and the checksum contributions of
# its constant words: version, length, TTL and protocol for IPv4; protocol, TCP
# length, data offset and flags for TCP.
_REFUSAL = struct.Struct('!BxH4xBBHIIHH4xIH2xH2x')
_REFUSAL_IP_WORDS = 0x4500 + HEADERS_LENGTH + 0x4006
_REFUSAL_OFFSET_AND_FLAGS = 0x5000 | RST | ACK
_REFUSAL_TCP_WORDS = 6 + TCP_LENGTH + _REFUSAL_OFFSET_AND_FLAGS
_FRAGMENT_BITS = 0x3FFF
_PROTOCOL_TCP = 6
_TTL = 64
_ALIGNED_TIMESTAMPS = b'\x01\x01\x08\x0a'
_OPTION_END = 0
_OPTION_NOP = 1
_OPTION_TIMESTAMPS = 8
_TIMESTAMPS_LENGTH = 10
_ADDRESSES_OFFSET = 12
_CHECKSUM_OFFSET = IP_LENGTH + 16
_UINT16_MASK = 0xFFFF


class Segment(msgspec.Struct, frozen=True, gc=False):
    """The header fields of one inner TCP packet.

    `start`, `payload` and `end` are the offsets within the datagram of the
    inner packet, of its TCP payload and of its end. `timestamps` is the
    offset of TSval, 0 if the option is missing.
    """

    start: int
    src_ip: int
    dst_ip: int
    src_port: int
    dst_port: int
    seq: int
    ack: int
    flags: int
    timestamps: int
    ts_val: int
    ts_ecr: int
    payload: int
    end: int


# One function, since each extra call would cost more than the parsing.
def parse(  # noqa: WPS210, WPS231
    datagram: bytes,
    start: int,
) -> Segment:
    """Parse the inner packet at offset `start`.

    Raises `WireError` with the reason if the packet is not acceptable.
    """
    end = len(datagram)
    if end - start < HEADERS_LENGTH:
        raise WireError('truncated_packet')
    if end - start > MAX_PACKET_LENGTH:
        raise WireError('oversized')
    (
        version,
        total,
        fragment,
        protocol,
        src_ip,
        dst_ip,
        src_port,
        dst_port,
        seq,
        ack,
        offset,
        flags,
        _checksum,
    ) = _HEADERS.unpack_from(datagram, start)
    if version != _IPV4_VERSION_AND_IHL:
        raise WireError('foreign_ip_header')
    if total != end - start:
        raise WireError('wrong_length')
    if fragment & _FRAGMENT_BITS:
        raise WireError('fragment')
    if protocol != _PROTOCOL_TCP:
        raise WireError('not_tcp')
    payload = start + IP_LENGTH + (offset >> 4) * 4
    if payload > end or payload < start + HEADERS_LENGTH:
        raise WireError('truncated_options')
    options = start + HEADERS_LENGTH
    if datagram[options : options + 4] == _ALIGNED_TIMESTAMPS:
        timestamps = options + 4
        if timestamps + _TIMESTAMPS.size > payload:
            raise WireError('truncated_options')
    else:
        timestamps = _find_timestamps(datagram, options, payload)
    ts_val = 0
    ts_ecr = 0
    if timestamps:
        ts_val, ts_ecr = _TIMESTAMPS.unpack_from(datagram, timestamps)
    return Segment(
        start,
        src_ip,
        dst_ip,
        src_port,
        dst_port,
        seq,
        ack,
        flags,
        timestamps,
        ts_val,
        ts_ecr,
        payload,
        end,
    )


def _find_timestamps(  # noqa: WPS231
    datagram: bytes,
    offset: int,
    end: int,
) -> int:
    """Return the offset of TSval within the options, 0 if there is none."""
    while offset < end:
        kind = datagram[offset]
        if kind == _OPTION_END:
            return 0
        if kind == _OPTION_NOP:
            offset += 1
            continue
        if offset + 2 > end:
            raise WireError('truncated_options')
        length = datagram[offset + 1]
        if length < 2 or offset + length > end:
            raise WireError('truncated_options')
        if kind == _OPTION_TIMESTAMPS:
            if length != _TIMESTAMPS_LENGTH:
                raise WireError('truncated_options')
            return offset + 2
        offset += length
    return 0


def read_caller_key(datagram: bytes, start: int) -> bytes:
    """Return the 12-byte flow key from a caller's packet at `start`."""
    first = start + _ADDRESSES_OFFSET
    return datagram[first : first + FLOW_KEY_LENGTH]


def read_reply_key(datagram: bytes, start: int) -> bytes:
    """Return the 12-byte flow key from a backend's packet at `start`."""
    first = start + _ADDRESSES_OFFSET
    return b''.join(
        (
            datagram[first + 4 : first + 8],
            datagram[first : first + 4],
            datagram[first + 10 : first + 12],
            datagram[first + 8 : first + 10],
        )
    )


def build_flow_key(
    src_ip: int, src_port: int, dst_ip: int, dst_port: int
) -> bytes:
    """Return the 12-byte key of a flow from its caller to its service."""
    return struct.pack('!IIHH', src_ip, dst_ip, src_port, dst_port)


def clear_backend_number(datagram: bytes, segment: Segment) -> bytes:
    """Return the inner packet with the low bits of TSecr set to zero."""
    return _write_number_bits(datagram, segment, segment.timestamps + 4, 0)


def write_backend_number(
    datagram: bytes, segment: Segment, number: int
) -> bytes:
    """Return the inner packet with `number` in the low bits of TSval."""
    return _write_number_bits(datagram, segment, segment.timestamps, number)


def _write_number_bits(
    datagram: bytes,
    segment: Segment,
    timestamp_offset: int,
    number: int,
) -> bytes:
    """Set the number bits of the 32-bit timestamp at `timestamp_offset`."""
    start = segment.start
    field = timestamp_offset + 2
    old = _UINT16.unpack_from(datagram, field)[0]
    new = old & ~NUMBER_MASK | number
    if old == new:
        return datagram[start:]
    packet = bytearray(datagram[start:])
    _UINT16.pack_into(packet, field - start, new)
    _adjust_checksum(packet, old, new, odd=(field - start) & 1)
    return bytes(packet)


def _adjust_checksum(packet: bytearray, old: int, new: int, odd: int) -> None:
    """Update the TCP checksum for one changed 16-bit field (RFC 1624)."""
    if odd:
        # The field straddles two checksum words. One's complement sums do
        # not depend on byte order, so swapping its bytes is sufficient.
        old = (old >> 8) | (old & 0xFF) << 8
        new = (new >> 8) | (new & 0xFF) << 8
    checksum = _UINT16.unpack_from(packet, _CHECKSUM_OFFSET)[0]
    total = (~checksum & _UINT16_MASK) + (~old & _UINT16_MASK) + new
    total = (total & _UINT16_MASK) + (total >> 16)
    total = (total & _UINT16_MASK) + (total >> 16)
    _UINT16.pack_into(packet, _CHECKSUM_OFFSET, ~total & _UINT16_MASK)


def strip_payload(datagram: bytes, segment: Segment) -> bytes:
    """Return the inner packet without its TCP payload."""
    packet = bytearray(datagram[segment.start : segment.payload])
    struct.pack_into('!H', packet, 2, len(packet))
    _write_checksums(packet)
    return bytes(packet)


def build(  # noqa: WPS211
    src_ip: int,
    src_port: int,
    dst_ip: int,
    dst_port: int,
    seq: int,
    ack: int,
    flags: int,
    options: bytes = b'',
    payload: bytes = b'',
    window: int = _UINT16_MASK,
) -> bytes:
    """Return an IPv4/TCP packet with both checksums filled in.

    `options` is padded with NOPs to whole words.
    """
    options += bytes([_OPTION_NOP]) * (-len(options) % 4)
    words = (TCP_LENGTH + len(options)) // 4
    total = HEADERS_LENGTH + len(options) + len(payload)
    header = _IP.pack(
        _IPV4_VERSION_AND_IHL,
        0,
        total,
        0,
        0,
        _TTL,
        _PROTOCOL_TCP,
        0,
        src_ip,
        dst_ip,
    )
    tcp = _TCP.pack(
        src_port,
        dst_port,
        seq & 0xFFFFFFFF,
        ack & 0xFFFFFFFF,
        words << 4,
        flags,
        window,
        0,
        0,
    )
    packet = bytearray(b''.join((header, tcp, options, payload)))
    _write_checksums(packet)
    return bytes(packet)


def encode_timestamps(ts_val: int, ts_ecr: int) -> bytes:
    """Return the aligned timestamps option of RFC 7323."""
    return _ALIGNED_TIMESTAMPS + _TIMESTAMPS.pack(
        ts_val & 0xFFFFFFFF,
        ts_ecr & 0xFFFFFFFF,
    )


def build_syn_refusal(segment: Segment) -> bytes:
    """Return the reset that refuses a SYN: sequence 0, acknowledging it.

    A caller in SYN-SENT treats it as a refusal. A caller whose connection is
    established ignores it, since its sequence number is not the next one
    expected (RFC 5961). The packet is packed in one step, since a node sends
    many of them during a SYN flood.
    """
    src_ip = segment.dst_ip
    dst_ip = segment.src_ip
    ack = (segment.seq + 1) & 0xFFFFFFFF
    addresses = _sum_halves(src_ip) + _sum_halves(dst_ip)
    words = addresses + segment.dst_port + segment.src_port + _sum_halves(ack)
    return _REFUSAL.pack(
        _IPV4_VERSION_AND_IHL,
        HEADERS_LENGTH,
        _TTL,
        _PROTOCOL_TCP,
        _fold(_REFUSAL_IP_WORDS + addresses),
        src_ip,
        dst_ip,
        segment.dst_port,
        segment.src_port,
        ack,
        _REFUSAL_OFFSET_AND_FLAGS,
        _fold(_REFUSAL_TCP_WORDS + words),
    )


def _sum_halves(number: int) -> int:
    return (number >> 16) + (number & _UINT16_MASK)


def _fold(total: int) -> int:
    """Fold a sum of 16-bit words and return the checksum."""
    total = (total & _UINT16_MASK) + (total >> 16)
    total = (total & _UINT16_MASK) + (total >> 16)
    return ~total & _UINT16_MASK


def build_reset_to_sender(segment: Segment) -> bytes:
    """Return the reset that closes an established flow at its sender."""
    return build(
        segment.dst_ip,
        segment.dst_port,
        segment.src_ip,
        segment.src_port,
        segment.ack,
        0,
        RST,
    )


def is_valid(packet: bytes) -> bool:
    """Return whether both checksums of an inner packet are correct."""
    header_ok = _sum_words(packet[:IP_LENGTH]) == _UINT16_MASK
    return header_ok and _sum_words(_build_checksummed(packet)) == _UINT16_MASK


def _write_checksums(packet: bytearray) -> None:
    """Fill in the IPv4 and TCP checksums of a packet."""
    _UINT16.pack_into(packet, 10, 0)
    _UINT16.pack_into(
        packet, 10, ~_sum_words(packet[:IP_LENGTH]) & _UINT16_MASK
    )
    _UINT16.pack_into(packet, _CHECKSUM_OFFSET, 0)
    total = _sum_words(_build_checksummed(packet))
    _UINT16.pack_into(packet, _CHECKSUM_OFFSET, ~total & _UINT16_MASK)


def _build_checksummed(packet: bytes | bytearray) -> bytes:
    """Return the pseudo-header and segment that the TCP checksum covers."""
    length = len(packet) - IP_LENGTH
    tail = struct.pack('!BBH', 0, _PROTOCOL_TCP, length)
    return b''.join(
        (packet[_ADDRESSES_OFFSET:IP_LENGTH], tail, packet[IP_LENGTH:])
    )


def _sum_words(content: bytes | bytearray) -> int:
    """Return the folded one's complement sum of 16-bit words."""
    padded = bytes(content) + b'\x00' * (len(content) % 2)
    # An integer modulo 65535 is the one's complement sum of its words.
    total = int.from_bytes(padded, 'big')
    return total % _UINT16_MASK or (_UINT16_MASK if total else 0)

"""Parsing, rewriting and checksums of inner packets."""

import pytest

from apricottally import gue, packet
from apricottally.errors import WireError

CALLER = (0x0A010001, 40000)
SERVICE = (0x0A090001, 443)


def build_data(options: bytes, payload: bytes = b'hello') -> bytes:
    return packet.build(
        *CALLER,
        *SERVICE,
        seq=7,
        ack=9,
        flags=packet.ACK,
        options=options,
        payload=payload,
    )


@pytest.mark.parametrize('prefix', [b'', b'\x01', b'\x02\x04\x05\xb4\x01'])
@pytest.mark.parametrize('number', [0, 1, 1023])
def test_rewritten_number(prefix: bytes, number: int) -> None:
    """Rewriting must keep checksums valid, also at an odd option offset."""
    option = prefix + b'\x08\x0a' + bytes(range(1, 9))
    inner = build_data(option)
    segment = packet.parse(inner, 0)
    numbered = packet.write_backend_number(inner, segment, number)
    parsed = packet.parse(numbered, 0)
    assert packet.is_valid(numbered)
    assert parsed.ts_val & packet.NUMBER_MASK == number
    assert parsed.ts_val >> 10 == segment.ts_val >> 10
    cleared = packet.clear_backend_number(inner, segment)
    assert packet.is_valid(cleared)
    assert packet.parse(cleared, 0).ts_ecr == segment.ts_ecr & ~1023


@pytest.mark.parametrize(
    ('damage', 'reason'),
    [
        (lambda inner: inner[:30], 'truncated_packet'),
        (lambda inner: inner + b'x', 'wrong_length'),
        (lambda inner: b'\x46' + inner[1:], 'foreign_ip_header'),
        (lambda inner: inner[:6] + b'\x20' + inner[7:], 'fragment'),
        (lambda inner: inner[:9] + b'\x11' + inner[10:], 'not_tcp'),
        (lambda inner: inner[:32] + b'\xf0' + inner[33:], 'truncated_options'),
    ],
)
def test_damaged_packet_is_refused(damage, reason: str) -> None:
    """A malformed packet must be rejected with the matching reason."""
    inner = damage(build_data(packet.encode_timestamps(1, 2)))
    with pytest.raises(WireError) as caught:
        packet.parse(inner, 0)
    assert caught.value.reason == reason


def test_handover_round_trip() -> None:
    """The outer source of a packet must survive a hand-over."""
    handover = gue.Handover(gue.Direction.backend, 1, 6080, 0x7F000001)
    datagram = gue.encode_handover(handover, b'inner')
    start, decoded = gue.decode(datagram)
    assert decoded == handover
    assert datagram[start:] == b'inner'


@pytest.mark.parametrize('seq', [0, 7, 0xFFFF, 0xFFFFFFFE, 0xFFFFFFFF])
def test_refusal_equals_built_packet(seq: int) -> None:
    """A refusal packed in one step must equal one built field by field."""
    syn = packet.build(*CALLER, *SERVICE, seq, 0, packet.SYN)
    flags = packet.RST | packet.ACK
    expected = packet.build(*SERVICE, *CALLER, 0, seq + 1, flags, window=0)
    assert packet.build_syn_refusal(packet.parse(syn, 0)) == expected
    assert packet.is_valid(expected)

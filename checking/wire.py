"""The model's packets, made and routed by the product's own code.

Every result depends only on its arguments and is kept, so that exploring
costs one run of the code for each different packet.
"""

from functools import cache

from apricottally import gue, packet
from apricottally.model import BackendState
from apricottally.packet import ACK, RST, SYN, Segment
from apricottally.state import NodeState
from bench import fixtures

BACKENDS = 2
# The SYN carries a payload, as TCP Fast Open allows.
SYN_PACKET = fixtures.build_caller_packet(SYN, payload=b'early', seq=1000)
FIRST_SEQUENCE = 1001
PAYLOAD = b'submission'
_ISN_STEP = 10_000
# Within the first window, and no multiple of a usual segment size.
_WINDOW_PART = 32_749
_CLOCK_STEP = 1_000_000


@cache
def parse(inner: bytes) -> Segment:
    """Parse a packet by `packet.parse`."""
    return packet.parse(inner, 0)


@cache
def strip_syn() -> bytes:
    """Return the SYN as an owner sends it on (`packet.strip_payload`)."""
    return packet.strip_payload(SYN_PACKET, parse(SYN_PACKET))


@cache
def refuse_syn() -> bytes:
    """Return the refusal of the SYN (`packet.refuse_syn`)."""
    return packet.build_syn_refusal(parse(SYN_PACKET))


@cache
def refuse_data(inner: bytes) -> bytes:
    """Return a wrong refusal: a reset that an established caller takes."""
    return packet.build_reset_to_sender(parse(inner))


def find_isn(backend: int, incarnation: int) -> int:
    """Return the initial sequence of a backend's connection."""
    return _ISN_STEP * (BACKENDS * incarnation + backend + 1)


@cache
def build_syn_ack(backend: int, incarnation: int) -> bytes:
    """Return a backend's SYN-ACK, without a number yet."""
    return packet.build(
        fixtures.SERVICE_IP,
        fixtures.SERVICE_PORT,
        *fixtures.CALLER,
        find_isn(backend, incarnation),
        FIRST_SEQUENCE,
        SYN | ACK,
        packet.encode_timestamps(_CLOCK_STEP * (backend + 1) + 77, 1),
    )


@cache
def number_syn_ack(inner: bytes, backend: int) -> bytes:
    """Return the SYN-ACK as an owner passes it on (`write_number`)."""
    return packet.write_backend_number(inner, parse(inner), backend)


@cache
def answer_syn_ack(inner: bytes) -> tuple[bytes, bytes]:
    """Return the caller's last packet of the handshake and its request."""
    segment = parse(inner)
    options = packet.encode_timestamps(2, segment.ts_val)
    fields = (
        *fixtures.CALLER,
        fixtures.SERVICE_IP,
        fixtures.SERVICE_PORT,
        FIRST_SEQUENCE,
        segment.seq + 1,
        ACK,
        options,
    )
    return packet.build(*fields), packet.build(*fields, PAYLOAD)


@cache
def route(inner: bytes) -> tuple[int, bytes]:
    """Return the backend that gets a caller's packet, and what it gets.

    The decision is that of the reducer of a node.
    """
    sent = fixtures.deliver_packet(_build_node(), inner)
    (ip, _port), datagram = fixtures.get_sent_packet(sent)
    ips = [fixtures.build_backend(number).ip for number in range(BACKENDS)]
    return ips.index(ip), datagram[gue.PLAIN_LENGTH :]


@cache
def answer_retired(inner: bytes) -> bytes:
    """Return the answer of a node for which all backends are retired."""
    node = _build_node(BackendState.retired)
    _, datagram = fixtures.get_sent_packet(fixtures.deliver_packet(node, inner))
    return datagram[gue.PLAIN_LENGTH :]


@cache
def reset_unknown(inner: bytes) -> bytes:
    """Return the reset of a backend that has no such connection."""
    return packet.build_reset_to_sender(parse(inner))


@cache
def shed_syn() -> bytes:
    """Return the reset of a backend that does not accept the SYN."""
    return packet.build_syn_refusal(parse(strip_syn()))


@cache
def is_reset(inner: bytes) -> bool:
    """Tell whether a packet is a reset."""
    return bool(parse(inner).flags & RST)


@cache
def cancel_syn(*, exact: bool) -> bytes:
    """Return the reset that cancels the SYN at a backend."""
    beyond = 0 if exact else _WINDOW_PART
    return packet.build(
        *fixtures.CALLER,
        fixtures.SERVICE_IP,
        fixtures.SERVICE_PORT,
        FIRST_SEQUENCE + beyond,
        0,
        RST,
    )


def _build_node(state: BackendState = BackendState.active) -> NodeState:
    node = fixtures.build_node(1, (), fixtures.build_records(BACKENDS))
    backends = tuple(
        fixtures.build_backend(number, state) for number in range(BACKENDS)
    )
    record = fixtures.build_backends_record(fixtures.SERVICE, 2, backends)
    fixtures.apply_records(node, (record,))
    return node

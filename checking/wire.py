"""The model's packets, built and routed by the product's own code.

Every result depends only on the arguments and is cached, so an exploration
runs the product's code only once for each different packet.
"""

from functools import cache

from apricottally import gue, packet
from apricottally.model import BackendState
from apricottally.packet import ACK, RST, SYN, Segment
from apricottally.state import NodeState
from bench import fixtures

BACKEND_COUNT = 2
# The SYN carries a payload, as TCP Fast Open allows.
SYN_WITH_PAYLOAD = fixtures.build_caller_packet(SYN, payload=b'early', seq=1000)
SEQUENCE_AFTER_SYN = 1001
PAYLOAD = b'submission'
# Distance between the initial sequence numbers of connections.
_ISN_STEP = 10_000
# Offset within the first window that is no multiple of a usual segment size.
_IN_WINDOW_OFFSET = 32_749
# Distance between the timestamp clocks of backends.
_TIMESTAMP_STEP = 1_000_000


@cache
def parse(inner: bytes) -> Segment:
    """Parse a packet with `packet.parse`."""
    return packet.parse(inner, 0)


@cache
def strip_syn() -> bytes:
    """Return the SYN as an owner forwards it, without payload."""
    return packet.strip_payload(SYN_WITH_PAYLOAD, parse(SYN_WITH_PAYLOAD))


@cache
def refuse_syn() -> bytes:
    """Return a node's refusal of the SYN."""
    return packet.build_syn_refusal(parse(SYN_WITH_PAYLOAD))


@cache
def refuse_data(inner: bytes) -> bytes:
    """Return a refusal that breaks `refuse_only_syn`.

    It is a reset that an established caller accepts.
    """
    return packet.build_reset_to_sender(parse(inner))


def compute_isn(backend: int, incarnation: int) -> int:
    """Return the initial sequence number of a backend's connection."""
    return _ISN_STEP * (BACKEND_COUNT * incarnation + backend + 1)


@cache
def build_syn_ack(backend: int, incarnation: int) -> bytes:
    """Return a backend's SYN-ACK before an owner adds the backend's number."""
    return packet.build(
        fixtures.SERVICE_IP,
        fixtures.SERVICE_PORT,
        *fixtures.CALLER,
        compute_isn(backend, incarnation),
        SEQUENCE_AFTER_SYN,
        SYN | ACK,
        packet.encode_timestamps(_TIMESTAMP_STEP * (backend + 1) + 77, 1),
    )


@cache
def add_backend_number(inner: bytes, backend: int) -> bytes:
    """Return the SYN-ACK as an owner forwards it, with the backend's number."""
    return packet.write_backend_number(inner, parse(inner), backend)


@cache
def complete_handshake(inner: bytes) -> tuple[bytes, bytes]:
    """Return the caller's ACK of the SYN-ACK, and its request."""
    segment = parse(inner)
    options = packet.encode_timestamps(2, segment.ts_val)
    fields = (
        *fixtures.CALLER,
        fixtures.SERVICE_IP,
        fixtures.SERVICE_PORT,
        SEQUENCE_AFTER_SYN,
        segment.seq + 1,
        ACK,
        options,
    )
    return packet.build(*fields), packet.build(*fields, PAYLOAD)


@cache
def forward_to_backend(inner: bytes) -> tuple[int, bytes]:
    """Return the backend that gets a caller's packet, and the packet it gets.

    A node's reducer makes the decision.
    """
    sent = fixtures.deliver_packet(_build_node(), inner)
    (ip, _port), datagram = fixtures.get_sent_packet(sent)
    ips = [fixtures.build_backend(number).ip for number in range(BACKEND_COUNT)]
    return ips.index(ip), datagram[gue.PLAIN_LENGTH :]


@cache
def answer_for_retired_backend(inner: bytes) -> bytes:
    """Return the answer of a node in whose records all backends are retired."""
    node = _build_node(BackendState.retired)
    _, datagram = fixtures.get_sent_packet(fixtures.deliver_packet(node, inner))
    return datagram[gue.PLAIN_LENGTH :]


@cache
def reset_unknown_connection(inner: bytes) -> bytes:
    """Return the reset by a backend that does not know the connection."""
    return packet.build_reset_to_sender(parse(inner))


@cache
def shed_syn() -> bytes:
    """Return the reset by which a backend sheds the SYN."""
    return packet.build_syn_refusal(parse(strip_syn()))


@cache
def is_reset(inner: bytes) -> bool:
    """Tell whether a packet is a reset."""
    return bool(parse(inner).flags & RST)


@cache
def cancel_syn(*, exact: bool) -> bytes:
    """Return the reset that cancels the SYN at a backend.

    Unless `exact`, its sequence number is not the next one expected but a
    later one in the window.
    """
    offset = 0 if exact else _IN_WINDOW_OFFSET
    return packet.build(
        *fixtures.CALLER,
        fixtures.SERVICE_IP,
        fixtures.SERVICE_PORT,
        SEQUENCE_AFTER_SYN + offset,
        0,
        RST,
    )


def _build_node(state: BackendState = BackendState.active) -> NodeState:
    node = fixtures.build_node(1, (), fixtures.build_records(BACKEND_COUNT))
    backends = tuple(
        fixtures.build_backend(number, state) for number in range(BACKEND_COUNT)
    )
    record = fixtures.build_backends_record(fixtures.SERVICE, 2, backends)
    fixtures.apply_records(node, (record,))
    return node

"""Nodes, records and packets for benchmarks and tests in one process."""

import random

from apricottally import gue, model, packet
from apricottally.addresses import PACKET_PORT, PEER_PORT, Endpoint
from apricottally.effects import Effect, SendPacket
from apricottally.events import PacketReceived, Record, RecordsReceived
from apricottally.members import Member
from apricottally.model import Backend, BackendState
from apricottally.reducer import reduce
from apricottally.state import NodeConfig, NodeState

# Where nodes send packets for callers, and where packets of callers come from.
GATEWAY: Endpoint = ('127.9.0.1', PACKET_PORT)
FABRIC: Endpoint = ('127.9.0.2', PACKET_PORT)
ZONE = 'sv-a'
SERVICE = 'etikett-core'
OTHER_SERVICE = 'proof-store'
# Address (10.9.0.1) of the one workspace, and the ports of its two services.
SERVICE_IP = 0x0A090001
SERVICE_PORT = 443
OTHER_SERVICE_PORT = 444
CALLER = (0x0A010001, 40_000)
# A TSval of a backend; its low ten bits, which carry the backend's number, are
# clear.
BACKEND_TS_VAL = 1048576


def build_backend(
    number: int,
    state: BackendState = BackendState.active,
    zone: str = ZONE,
    subnet: int = 1,
) -> Backend:
    """Return a backend whose address in 127.SUBNET follows its number."""
    return Backend(
        number=number,
        name=f'vm-{subnet}-{number}',
        ip=f'127.{subnet}.{number // 250}.{number % 250 + 1}',
        zone=zone,
        slots=2,
        connections=2000,
        state=state,
    )


def build_backends_record(
    service: str,
    version: int,
    backends: tuple[Backend, ...],
) -> Record:
    """Return the record with a service's backends."""
    body = model.BackendSet(backends)
    value = model.encode_document(f'op-{version}', 'bench', body)
    return Record(model.BACKEND_PREFIX + service, version, value)


def build_records(
    backends: int = 7,
    others: int = 3,
    holds: model.Holding = model.Holding.connection,
) -> tuple[Record, ...]:
    """Return the records of one workspace with two services."""
    ports = ((SERVICE, SERVICE_PORT), (OTHER_SERVICE, OTHER_SERVICE_PORT))
    templates = tuple(
        Record(
            model.TEMPLATE_PREFIX + service,
            1,
            model.encode_document(
                'op-1',
                'bench',
                model.Template(service, model.Urgency.normal, port, holds),
            ),
        )
        for service, port in ports
    )
    workspace = model.Workspace(
        '10.9.0.1',
        {SERVICE: 1.0, OTHER_SERVICE: 1.0},
    )
    return (
        *templates,
        Record(
            f'{model.WORKSPACE_PREFIX}norrsken',
            1,
            model.encode_document('op-1', 'bench', workspace),
        ),
        build_backends_record(
            SERVICE,
            1,
            tuple(build_backend(number) for number in range(backends)),
        ),
        build_backends_record(
            OTHER_SERVICE,
            1,
            tuple(build_backend(number, subnet=2) for number in range(others)),
        ),
    )


def build_member(index: int, zone: str = ZONE) -> Member:
    """Return the node at 127.0.1.INDEX."""
    ip = f'127.0.1.{index}'
    return Member(f'node-{index}', zone, ip, PACKET_PORT, PEER_PORT)


def build_node(
    index: int,
    members: tuple[Member, ...],
    records: tuple[Record, ...],
    seed: int = 1,
    gateway: Endpoint = GATEWAY,
) -> NodeState:
    """Return a node in strict mode with these members and records."""
    own = build_member(index)
    config = NodeConfig(
        name=own.name,
        zone=own.zone,
        ip=own.ip,
        packet_port=own.packet_port,
        peer_port=own.peer_port,
        gateway=gateway,
        strict=True,
    )
    state = NodeState(config, random.Random(seed))
    for member in members:
        state.members.put(member)
    apply_records(state, records)
    return state


def apply_records(state: NodeState, records: tuple[Record, ...]) -> None:
    """Apply records to a node as changes that a watch reports."""
    reduce(state, RecordsReceived(0, records, 1, complete=False))


def build_caller_packet(  # noqa: WPS211
    flags: int = packet.ACK,
    number: int = 0,
    ts_val: int = 1,
    ts_ecr: int = BACKEND_TS_VAL,
    payload: bytes = b'',
    caller: tuple[int, int] = CALLER,
    port: int = SERVICE_PORT,
    seq: int = 1000,
) -> bytes:
    """Return a caller's packet with a backend's number in TSecr."""
    if flags & packet.SYN:
        ts_ecr = 0
        number = 0
    options = packet.encode_timestamps(ts_val, ts_ecr | number)
    ack = 0 if flags & packet.SYN else 5000
    return packet.build(
        *caller, SERVICE_IP, port, seq, ack, flags, options, payload
    )


def build_backend_packet(
    flags: int = packet.ACK,
    ts_val: int = BACKEND_TS_VAL,
    payload: bytes = b'',
    caller: tuple[int, int] = CALLER,
    port: int = SERVICE_PORT,
) -> bytes:
    """Return a backend's packet to a caller."""
    options = packet.encode_timestamps(ts_val, 1)
    return packet.build(
        SERVICE_IP, port, *caller, 5000, 1001, flags, options, payload
    )


def deliver_packet(
    state: NodeState,
    inner: bytes,
    source: Endpoint = FABRIC,
    now: float = 1,
) -> list[Effect]:
    """Deliver an inner packet in plain GUE to a node; return its effects."""
    datagram = gue.encode(inner)
    return reduce(state, PacketReceived(now, source, datagram))


def list_sent_packets(effects: list[Effect]) -> list[tuple[Endpoint, bytes]]:
    """Return the destination and datagram of each packet sent."""
    return [
        (effect.dest, effect.payload)
        for effect in effects
        if isinstance(effect, SendPacket)
    ]


def get_sent_packet(effects: list[Effect]) -> tuple[Endpoint, bytes]:
    """Return the packet sent; raise `ValueError` unless just one was."""
    packets = list_sent_packets(effects)
    if len(packets) != 1:
        raise ValueError(f'expected one sent packet, got {len(packets)}')
    return packets[0]

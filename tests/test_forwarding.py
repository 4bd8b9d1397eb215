"""Routing of packets by backend number, hand-overs and drops."""

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from apricottally import fastpath, forwarding, gue, outboundchecks, packet
from apricottally.effects import Effect, SendPacket
from apricottally.errors import InvariantError
from apricottally.events import PacketReceived
from apricottally.gue import Direction, Handover
from apricottally.inbound import InboundPacket
from apricottally.members import MemberState, MemberTable
from apricottally.model import BackendState
from apricottally.packet import ACK, FIN, PSH, RST, SYN
from apricottally.reducer import reduce
from apricottally.shards import OwnerCache, Shard
from apricottally.state import NodeState
from bench import fixtures

NODES = tuple(fixtures.build_member(index) for index in (1, 2, 3))
KNOWN = 3
RETIRED = 5
UNKNOWN = 900
BACKEND = fixtures.build_backend(KNOWN)
SOURCE = (BACKEND.ip, 6080)
FOREIGN = (fixtures.build_backend(0, subnet=2).ip, 6080)
NEW_SOURCE = ('127.1.0.200', 6080)


def build_node(members=NODES, index: int = 1) -> NodeState:
    node = fixtures.build_node(index, members, fixtures.build_records())
    backends = [fixtures.build_backend(number) for number in range(7)]
    retired = fixtures.build_backend(RETIRED, BackendState.retired)
    backends[RETIRED] = retired
    record = fixtures.build_backends_record(
        fixtures.SERVICE, 2, tuple(backends)
    )
    fixtures.apply_records(node, (record,))
    return node


def build_handed_over(
    direction: Direction, inner: bytes, source=SOURCE
) -> PacketReceived:
    number = int.from_bytes(map(int, source[0].split('.')), 'big')
    handover = Handover(direction, 1, source[1], number)
    datagram = gue.encode_handover(handover, inner)
    return PacketReceived(1, NODES[1].packet, datagram)


def build_options(options: bytes) -> bytes:
    return packet.build(
        *fixtures.CALLER,
        fixtures.SERVICE_IP,
        fixtures.SERVICE_PORT,
        1,
        2,
        ACK,
        options,
    )


def build_event(inner: bytes, source=fixtures.FABRIC) -> PacketReceived:
    return PacketReceived(1, source, gue.encode(inner))


def remove_checksum(datagram: bytes) -> bytes:
    return datagram[:40] + datagram[42:]


def build_with_checksum(checksum: int, fields, options: bytes) -> bytes:
    """Return a packet with a payload chosen to give this TCP checksum."""
    inner = packet.build(*fields, options, b'\x00\x00odd')
    found = int.from_bytes(inner[36:38], 'big')
    word = ((found - checksum) % 0xFFFF).to_bytes(2, 'big')
    inner = packet.build(*fields, options, word + b'odd')
    assert (int.from_bytes(inner[36:38], 'big') - checksum) % 0xFFFF == 0
    return inner


@pytest.mark.parametrize('prefix', [b'', b'\x01\x01', b'\x01'])
@pytest.mark.parametrize('number', [0, KNOWN])
@pytest.mark.parametrize('from_backend', [False, True])
@pytest.mark.parametrize('checksum', [0, 1, 0x8000, 0xFFFE])
def test_fast_path_equals_general_path(
    prefix: bytes,
    number: int,
    from_backend: bool,
    checksum: int,
) -> None:
    """The fast path must forward a packet as the general path does.

    With a prefix of two NOPs the timestamps are aligned. With one NOP they are
    not, so that only the general path handles the packet. The checksums at
    both ends of the range cause a carry.
    """
    node = build_node()
    option = packet.encode_timestamps(1 << 20 | 77, 1 << 21 | number)
    ends = [fixtures.CALLER, (fixtures.SERVICE_IP, fixtures.SERVICE_PORT)]
    source = fixtures.FABRIC
    if from_backend:
        ends.reverse()
        source = (fixtures.build_backend(number).ip, 6080)
    inner = build_with_checksum(
        checksum,
        (*ends[0], *ends[1], 1, 2, ACK),
        (prefix + option[2:]) if prefix else option,
    )
    event = build_event(inner, source)
    if prefix == b'\x01':
        assert fastpath.forward(node, event) is None
    sent = reduce(node, event)
    segment = packet.parse(inner, 0)
    if from_backend:
        expected = packet.write_backend_number(inner, segment, number)
        dest = fixtures.GATEWAY
    else:
        expected = packet.clear_backend_number(inner, segment)
        dest = (fixtures.build_backend(number).ip, 6080)
    to, datagram = fixtures.get_sent_packet(sent)
    assert to == dest
    assert packet.is_valid(datagram[gue.PLAIN_LENGTH :])
    assert remove_checksum(datagram) == remove_checksum(gue.encode(expected))
    assert packet.is_valid(expected)


@pytest.mark.parametrize(
    ('event', 'reason'),
    [
        (PacketReceived(1, fixtures.FABRIC, b''), 'truncated_gue'),
        (
            PacketReceived(1, fixtures.FABRIC, b'\x00\x04\x00\x00'),
            'truncated_packet',
        ),
        (
            PacketReceived(1, fixtures.FABRIC, b'\x40' + bytes(60)),
            'foreign_gue',
        ),
        (
            PacketReceived(1, fixtures.FABRIC, b'\x02\x04' + bytes(60)),
            'foreign_gue',
        ),
        (build_event(fixtures.build_caller_packet()[:45]), 'wrong_length'),
        (build_event(fixtures.build_caller_packet() + b'x'), 'wrong_length'),
        (
            build_event(fixtures.build_caller_packet(payload=bytes(8990))),
            'oversized',
        ),
        (
            build_event(b'\x60' + fixtures.build_caller_packet()[1:]),
            'foreign_ip_header',
        ),
        (build_event(build_options(b'\x01\x01\x01\x05')), 'truncated_options'),
        (
            build_event(build_options(b'\x08\x08' + bytes(6))),
            'truncated_options',
        ),
        (build_event(build_options(b'\x05\x00\x01\x01')), 'truncated_options'),
        (build_event(build_options(b'\x00\x00\x00\x00')), 'no_number'),
        (build_event(fixtures.build_caller_packet(ts_ecr=0)), 'no_number'),
        (
            build_handed_over(
                Direction.caller, fixtures.build_caller_packet(RST, ts_ecr=0)
            ),
            'reset_without_number',
        ),
        (
            build_event(fixtures.build_caller_packet(RST, RETIRED)),
            'backend_gone',
        ),
        (build_event(fixtures.build_caller_packet(0, KNOWN)), 'foreign_flags'),
        (build_event(fixtures.build_caller_packet(SYN | ACK)), 'foreign_flags'),
        (build_event(fixtures.build_caller_packet(SYN | FIN)), 'foreign_flags'),
        (
            build_event(fixtures.build_backend_packet(), FOREIGN),
            'foreign_reply',
        ),
        (
            build_event(fixtures.build_backend_packet(SYN | ACK), NEW_SOURCE),
            'foreign_reply',
        ),
        (
            build_event(fixtures.build_caller_packet(SYN, port=1)),
            'unknown_address',
        ),
        (
            build_handed_over(
                Direction.backend, fixtures.build_backend_packet(SYN)
            ),
            'foreign_flags',
        ),
        (
            build_handed_over(
                Direction.unknown, fixtures.build_backend_packet(), NEW_SOURCE
            ),
            'foreign_reply',
        ),
        (
            build_handed_over(
                Direction.unknown, fixtures.build_caller_packet(number=UNKNOWN)
            ),
            'unknown_number',
        ),
        (
            build_handed_over(
                Direction.unknown, fixtures.build_caller_packet(port=1)
            ),
            'unknown_address',
        ),
    ],
)
def test_packet_is_dropped_and_counted(
    event: PacketReceived,
    reason: str,
) -> None:
    """An unacceptable packet must have no effect but its drop counter."""
    node = build_node()
    before = dict(node.counters.counts)
    assert reduce(node, event) == []
    changed = dict(node.counters.counts.items() - before.items())
    assert changed == {('dropped', reason): 1}


@pytest.mark.parametrize(
    ('inner', 'source', 'reason'),
    [
        (
            fixtures.build_caller_packet(number=UNKNOWN),
            fixtures.FABRIC,
            'unknown_number',
        ),
        (
            fixtures.build_caller_packet(FIN | ACK, UNKNOWN),
            fixtures.FABRIC,
            'unknown_number',
        ),
        (
            fixtures.build_caller_packet(port=1),
            fixtures.FABRIC,
            'unknown_address',
        ),
        (fixtures.build_backend_packet(), NEW_SOURCE, 'foreign_reply'),
    ],
)
def test_unknown_packet_is_handed_over_once(inner, source, reason: str) -> None:
    """A packet may belong to a flow that only nodes with newer records know.

    So it is handed over, but only once, to avoid loops.
    """
    node = build_node()
    dest, datagram = fixtures.get_sent_packet(
        reduce(node, build_event(inner, source))
    )
    start, handover = gue.decode(datagram)
    assert dest in {member.packet for member in NODES[1:]}
    assert handover is not None
    assert handover.direction == Direction.unknown
    assert datagram[start:] == inner
    other = build_node(index=2)
    repeated = PacketReceived(1, NODES[0].packet, datagram)
    assert reduce(other, repeated) == []
    assert other.counters.total('dropped', reason) == 1


def test_unknown_packets_have_a_budget() -> None:
    """Hand-overs must not double the load of a flood of unknown packets."""
    node = build_node()
    event = build_event(fixtures.build_caller_packet(number=UNKNOWN))
    sent = sum(len(reduce(node, event)) for _ in range(5000))
    assert sent == 2000
    assert node.counters.total('dropped', 'unknown_number_budget') == 3000


def test_retransmission_of_an_unknown_packet_tries_another_member() -> None:
    """A retransmission must not always reach the same outdated node."""
    node = build_node()
    dests = {
        dest
        for ts_val in range(20)
        for dest, _ in fixtures.list_sent_packets(
            fixtures.deliver_packet(
                node,
                fixtures.build_caller_packet(number=UNKNOWN, ts_val=ts_val),
            ),
        )
    }
    assert dests == {member.packet for member in NODES[1:]}


@pytest.mark.parametrize(
    ('inner', 'source', 'dest'),
    [
        (
            fixtures.build_caller_packet(FIN | ACK, KNOWN),
            fixtures.FABRIC,
            SOURCE,
        ),
        (fixtures.build_caller_packet(RST, KNOWN), fixtures.FABRIC, SOURCE),
        (fixtures.build_backend_packet(FIN | ACK), SOURCE, fixtures.GATEWAY),
        (fixtures.build_backend_packet(RST), SOURCE, fixtures.GATEWAY),
    ],
)
def test_close_does_not_wait_for_the_owner(inner: bytes, source, dest) -> None:
    """Each node must forward FIN and RST itself: the owner may have failed."""
    for member in NODES:
        node = build_node(index=int(member.name[-1]))
        sent = fixtures.list_sent_packets(
            reduce(node, build_event(inner, source))
        )
        direct = [
            to for to, datagram in sent if gue.decode(datagram)[1] is None
        ]
        assert direct == [dest]


@pytest.mark.parametrize('flags', [ACK, FIN | ACK, PSH | ACK])
def test_retired_number_is_answered_by_a_reset(flags: int) -> None:
    """A caller of a retired backend must be reset, not ignored or refused.

    Ignored, the caller would keep waiting. A refusal would tell it that its
    request has not run.
    """
    node = build_node()
    inner = fixtures.build_caller_packet(flags, RETIRED)
    dest, datagram = fixtures.get_sent_packet(
        fixtures.deliver_packet(node, inner)
    )
    answer = packet.parse(datagram, gue.PLAIN_LENGTH)
    assert dest == fixtures.GATEWAY
    assert answer.flags == RST
    assert answer.seq == packet.parse(inner, 0).ack
    assert node.counters.total('broken', 'outcome_unknown') == 1
    assert node.counters.total('refused') == 0


@pytest.mark.parametrize(
    ('inner', 'direction', 'source'),
    [
        (fixtures.build_caller_packet(SYN), Direction.caller, fixtures.FABRIC),
        (
            fixtures.build_caller_packet(RST, KNOWN),
            Direction.caller_notice,
            fixtures.FABRIC,
        ),
        (fixtures.build_backend_packet(SYN | ACK), Direction.backend, SOURCE),
        (fixtures.build_backend_packet(RST), Direction.backend_notice, SOURCE),
        (
            fixtures.build_backend_packet(FIN | ACK),
            Direction.backend_notice,
            SOURCE,
        ),
    ],
)
def test_first_and_last_packets_reach_one_owner(
    inner: bytes,
    direction: Direction,
    source,
) -> None:
    """All nodes must hand a packet to one owner, and none hands it on again.

    Otherwise two nodes might admit the same flow, or packets might loop.
    """
    owners = set()
    for member in NODES:
        node = build_node(index=int(member.name[-1]))
        for dest, datagram in fixtures.list_sent_packets(
            reduce(node, build_event(inner, source)),
        ):
            _, handover = gue.decode(datagram)
            if handover is not None:
                assert handover.direction == direction
                owners.add(dest)
    assert len(owners) == 1
    for member in NODES:
        node = build_node(index=int(member.name[-1]))
        for _, datagram in fixtures.list_sent_packets(
            reduce(node, build_handed_over(direction, inner, source)),
        ):
            assert gue.decode(datagram)[1] is None


def test_address_given_to_another_service_gets_no_old_flows() -> None:
    """Packets for etikett-core must not reach proof-store at a reused IP."""
    node = build_node()
    moved = msgspec.structs.replace(BACKEND, number=0, changed_s=9)
    record = fixtures.build_backends_record(fixtures.OTHER_SERVICE, 3, (moved,))
    fixtures.apply_records(node, (record,))
    sent = fixtures.list_sent_packets(
        fixtures.deliver_packet(
            node, fixtures.build_caller_packet(number=KNOWN)
        ),
    )
    assert [dest for dest, _ in sent] == [fixtures.GATEWAY]
    assert node.counters.total('broken', 'outcome_unknown') == 1


def build_effects(dest, inner: bytes) -> list[Effect]:
    return [SendPacket(dest, gue.encode(inner))]


DATA = fixtures.build_caller_packet(number=KNOWN, payload=b'x')
REFUSAL = packet.build_syn_refusal(packet.parse(DATA, 0))
HANDED_OVER = gue.encode_handover(Handover(Direction.caller, 1, 1, 1), DATA)


@pytest.mark.parametrize(
    ('name', 'effects', 'received'),
    [
        ('foreign_backend', build_effects(FOREIGN, DATA), DATA),
        (
            'payload_without_number',
            build_effects(('127.1.0.1', 6080), DATA),
            DATA,
        ),
        (
            'payload_without_number',
            build_effects(
                SOURCE, fixtures.build_caller_packet(SYN, payload=b'x')
            ),
            fixtures.build_caller_packet(SYN, payload=b'x'),
        ),
        ('refusal_without_syn', build_effects(fixtures.GATEWAY, REFUSAL), DATA),
        ('reply_of_no_service', build_effects(fixtures.GATEWAY, DATA), DATA),
        (
            'syn_ack_without_number',
            build_effects(
                fixtures.GATEWAY,
                packet.build(
                    fixtures.SERVICE_IP,
                    fixtures.SERVICE_PORT,
                    *fixtures.CALLER,
                    1,
                    2,
                    SYN | ACK,
                ),
            ),
            DATA,
        ),
        ('malformed_packet', build_effects(fixtures.GATEWAY, DATA[:45]), DATA),
        ('second_handover', [SendPacket(NODES[1].packet, HANDED_OVER)], DATA),
    ],
)
def test_outbound_invariant_stops_a_wrong_packet(
    name: str,
    effects: list[Effect],
    received: bytes,
) -> None:
    """A wrong packet that a fault elsewhere creates must not be sent."""
    node = build_node()
    handover = Handover(Direction.caller, 1, 1, 1)
    segment = packet.parse(received, 0)
    cause = InboundPacket(0, fixtures.FABRIC, received, segment, handover)
    with pytest.raises(InvariantError, match=name):
        outboundchecks.drop_invalid(node, effects, cause)
    node.invariants.strict = False
    assert outboundchecks.drop_invalid(node, effects, cause) == []
    assert node.counters.total('invariant_broken', name) == 2


def test_fast_path_keeps_services_apart() -> None:
    """Each path must check that an endpoint belongs to the route's service."""
    node = build_node()
    route = node.routes.find(fixtures.SERVICE_IP, fixtures.SERVICE_PORT)
    assert route is not None
    route.service.endpoints[KNOWN] = FOREIGN
    for path in (fastpath.forward, forwarding.receive_packet):
        with pytest.raises(InvariantError, match='foreign_backend'):
            path(node, build_event(DATA))
    odd = b'\x01' + packet.encode_timestamps(1, 1 << 20 | KNOWN)[2:]
    general = packet.build(
        *fixtures.CALLER,
        fixtures.SERVICE_IP,
        fixtures.SERVICE_PORT,
        1,
        2,
        ACK,
        odd,
        b'x',
    )
    with pytest.raises(InvariantError, match='foreign_backend'):
        reduce(node, build_event(general))


def test_new_flows_avoid_a_zone_without_live_nodes() -> None:
    """SYNs must avoid a zone without live nodes: it may be unreachable."""
    alive = fixtures.build_member(1, 'a')
    lost = fixtures.build_member(2, 'b')
    table = MemberTable(alive)
    table.put(lost)
    shards = tuple(
        Shard(f's/{zone}/0', 's', zone, (0,), 2) for zone in ('a', 'b')
    )
    owners = OwnerCache(table)
    assert owners.list_reachable('s', shards) == shards
    table.put(msgspec.structs.replace(lost, state=MemberState.dead))
    assert owners.list_reachable('s', shards) == shards[:1]
    table.put(msgspec.structs.replace(alive, state=MemberState.leaving))
    assert owners.list_reachable('s', shards) == shards


octets = strategies.integers(0, 255)
SEEDS = [
    (inner, source)
    for flags in (ACK, FIN | ACK, RST, SYN, 0, 0xFF)
    for inner, source in (
        (
            fixtures.build_caller_packet(flags, KNOWN, payload=b'xy'),
            fixtures.FABRIC,
        ),
        (fixtures.build_caller_packet(flags, RETIRED), fixtures.FABRIC),
        (fixtures.build_caller_packet(flags, UNKNOWN), fixtures.FABRIC),
        (fixtures.build_backend_packet(flags, payload=b'z'), SOURCE),
        (fixtures.build_backend_packet(flags), FOREIGN),
    )
]


@hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=500,
    database=None,
)
@hypothesis.given(
    seed=strategies.sampled_from(SEEDS),
    direction=strategies.sampled_from((None, *Direction)),
    damage=strategies.lists(
        strategies.tuples(strategies.integers(0, 55), octets),
        max_size=4,
    ),
    cut=strategies.none() | strategies.integers(0, 80),
)
def test_damaged_datagram_breaks_nothing(seed, direction, damage, cut) -> None:
    """Malformed input must not cause an exception or a broken invariant.

    A backend's SYN-ACK is left out, since admission handles it.
    """
    inner, source = seed
    event = build_event(inner, source)
    if direction is not None:
        event = build_handed_over(direction, inner, source)
    datagram = bytearray(event.payload)
    for offset, octet in damage:
        datagram[offset] = octet
    damaged = bytes(datagram[:cut])
    node = build_node()
    reduce(node, PacketReceived(1, event.source, damaged))

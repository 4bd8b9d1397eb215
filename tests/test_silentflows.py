"""Silent flows are reset once at both ends, healthy flows never."""

import pytest

from apricottally import gue, messages, packet, shards, silentflows
from apricottally.effects import Effect, SendPeer
from apricottally.events import PacketReceived, PeerReceived, Ticked
from apricottally.messages import Ack, Ping
from apricottally.packet import RST, Segment
from apricottally.reducer import reduce
from apricottally.state import NodeState
from bench import fixtures

NUMBER = 3
BACKEND = fixtures.build_backend(NUMBER)
SOURCE = (BACKEND.ip, 6080)
OTHER_CALLER = (0x0A010002, 41_000)
BASE_MS = 50_000_000
STALE_S = 60.0
ALONE = (1,)
REQUEST = bytes(10)


class Simulation:
    """One node with the clock of its backend, in virtual time."""

    def __init__(
        self, members: tuple[int, ...] = ALONE, index: int = 1
    ) -> None:
        nodes = tuple(fixtures.build_member(member) for member in members)
        self.node: NodeState = fixtures.build_node(
            index, nodes, fixtures.build_records()
        )
        self.now: float = 0
        self.jump_ms = 0
        self.resets: list[Segment] = []
        self.sent: list[tuple[tuple[str, int], bytes]] = []

    def read_clock(self, at: float) -> int:
        return int(BASE_MS + self.jump_ms + at * 1000) & 0xFFFFFFFF

    def advance_to(self, end: float, *, replies: bool = True) -> None:
        """Tick until `end`, with replies of the backend to another flow."""
        while self.now < end:
            self.now = round(self.now + 0.5, 3)
            self.answer_pings(reduce(self.node, Ticked(self.now, 0)))
            if replies:
                self.reply()

    def answer_pings(self, effects: list[Effect]) -> None:
        """Answer for the other members, so that none is declared dead."""
        members = self.node.members.members.values()
        by_peer = {member.peer: member for member in members}
        for effect in effects:
            if not isinstance(effect, SendPeer):
                continue
            message = messages.decode(effect.payload)
            if isinstance(message, Ping):
                view = message.view
                ack = Ack(message.seq, by_peer[effect.dest], view)
                payload = messages.encode(ack)
                reduce(self.node, PeerReceived(self.now, effect.dest, payload))

    def reply(self) -> None:
        inner = fixtures.build_backend_packet(
            ts_val=self.read_clock(self.now),
            caller=OTHER_CALLER,
        )
        fixtures.deliver_packet(self.node, inner, SOURCE, self.now)

    def send_request(self, echoed_at: float, payload: bytes = REQUEST) -> None:
        """Send a caller's packet that echoes a reply sent at `echoed_at`."""
        ts_ecr = self.read_clock(echoed_at) & ~packet.NUMBER_MASK
        inner = fixtures.build_caller_packet(
            number=NUMBER,
            ts_ecr=ts_ecr,
            payload=payload,
        )
        sent = fixtures.list_sent_packets(
            fixtures.deliver_packet(self.node, inner, now=self.now),
        )
        self.sent += sent
        for _, datagram in sent:
            start, _ = gue.decode(datagram)
            segment = packet.parse(datagram, start)
            if segment.flags & RST:
                self.resets.append(segment)


def test_silent_flow_is_ended_once_at_both_ends() -> None:
    """A flow without answers must be reset at both ends, and only once."""
    sim = Simulation()
    for at in (60, 60.5, 62, 66, 72, 84, 108):
        sim.advance_to(at)
        sim.send_request(echoed_at=10)
    to_caller = [
        reset for reset in sim.resets if reset.src_port == fixtures.SERVICE_PORT
    ]
    to_backend = [
        reset for reset in sim.resets if reset.dst_port == fixtures.SERVICE_PORT
    ]
    assert [reset.seq for reset in to_caller] == [5000]
    assert [reset.seq for reset in to_backend] == [1000, 1001, 1010]
    assert sim.node.counters.total('broken', 'silent_flow') == 1
    decision = sim.node.decisions.find(
        packet.build_flow_key(
            *fixtures.CALLER, fixtures.SERVICE_IP, fixtures.SERVICE_PORT
        ),
    )[0]
    assert (decision.rule, decision.number) == ('silent_flow', NUMBER)


def answer_each(sim: Simulation) -> None:
    """The flow is idle; each keep-alive is answered, after any interval."""
    last = 10.0
    for at in (60, 135, 210, 1000, 1075):
        sim.advance_to(at)
        sim.send_request(echoed_at=last, payload=b'')
        last = at


def jump_forward(sim: Simulation) -> None:
    """The backend's clock jumps ahead while the flow is active."""
    sim.advance_to(60)
    sim.jump_ms = 3_600_000
    last = 59.0
    for at in range(61, 120, 2):
        sim.advance_to(at)
        sim.send_request(echoed_at=last)
        last = at


def jump_back(sim: Simulation) -> None:
    """The backend restarts with its clock near zero and new flows."""
    sim.advance_to(60)
    sim.jump_ms = -BASE_MS
    last = 61.0
    for at in range(62, 120, 2):
        sim.advance_to(at)
        sim.send_request(echoed_at=last)
        last = at


def heal_after_cut(sim: Simulation) -> None:
    """Answers are lost for 20 s; the next one arrives."""
    sim.advance_to(60)
    sim.send_request(echoed_at=10)
    sim.advance_to(80)
    sim.send_request(echoed_at=10)
    sim.advance_to(81)
    sim.send_request(echoed_at=80)


def lose_backend(sim: Simulation) -> None:
    """The backend is unreachable for all flows."""
    sim.advance_to(60)
    for at in (60.5, 62, 72, 84, 108):
        sim.advance_to(at, replies=False)
        sim.send_request(echoed_at=10)


def pause_node(sim: Simulation) -> None:
    """The node is paused for 30 s while retransmissions queue up."""
    sim.advance_to(60)
    sim.send_request(echoed_at=10)
    sim.now = 90
    for _ in range(5):
        sim.advance_to(sim.now + 0.5)
        sim.send_request(echoed_at=10)


def retransmit_briefly(sim: Simulation) -> None:
    """Packet loss makes the caller retransmit for less than ten seconds."""
    sim.advance_to(60)
    for at in (60, 61, 63, 67, 69.5):
        sim.advance_to(at)
        sim.send_request(echoed_at=10)


def send_fresh(sim: Simulation) -> None:
    """A caller that has only just lost its backend repeats a recent TSecr."""
    sim.advance_to(60)
    for at in (61, 72, 74):
        sim.advance_to(at)
        sim.send_request(echoed_at=59)


@pytest.mark.parametrize(
    'scenario',
    [
        answer_each,
        jump_forward,
        jump_back,
        heal_after_cut,
        lose_backend,
        pause_node,
        retransmit_briefly,
        send_fresh,
    ],
)
def test_healthy_flow_is_never_ended(scenario) -> None:
    """The detection must not reset a flow that can continue."""
    sim = Simulation()
    scenario(sim)
    assert not sim.resets
    assert sim.node.counters.total('broken') == 0


def test_stale_packet_goes_through_its_tracker() -> None:
    """Stale packets of one flow must all reach the same tracker.

    Spread over many nodes, none of them would find the flow silent.
    """
    members = (1, 2, 3, 4)
    handed = set()
    trackers = 0
    for index in members:
        sim = Simulation(members, index)
        sim.advance_to(STALE_S)
        sim.send_request(echoed_at=10)
        dest, datagram = sim.sent[0]
        if gue.decode(datagram)[1] is None:
            trackers += 1
        else:
            handed.add(dest)
    assert (trackers, len(handed)) == (1, 1)


def test_handed_over_packet_is_tracked_without_a_clock() -> None:
    """A tracker must track a handed-over packet without a clock reading.

    It may never have received a reply of the backend.
    """
    sim = Simulation((1, 2))
    handover = gue.Handover(gue.Direction.caller, 1, 1, 1)
    inner = fixtures.build_caller_packet(number=NUMBER)
    datagram = gue.encode_handover(handover, inner)
    event = PacketReceived(1, ('127.0.1.2', 6080), datagram)
    dest, _ = fixtures.get_sent_packet(reduce(sim.node, event))
    assert dest == SOURCE
    assert len(sim.node.stale_flows.flows) == 1


def test_reset_goes_through_the_owner() -> None:
    """Resets of a silent flow must reach the owner, to release its slot."""
    members = (1, 2, 3)
    owner = Simulation(members).node.owners.find_owner(
        f'{fixtures.SERVICE}//0', shards.ANY_ZONE
    )
    index = next(i for i in members if fixtures.build_member(i) != owner)
    sim = Simulation(members, index)
    key = packet.build_flow_key(
        *fixtures.CALLER, fixtures.SERVICE_IP, fixtures.SERVICE_PORT
    )
    bucket = shards.xxhash.xxh3_64_intdigest(key) % shards.TRACKER_BUCKETS
    sim.node.owners.find_tracker(key)
    sim.node.owners._trackers[bucket] = sim.node.members.own
    for at in (60, 72, 84):
        sim.advance_to(at)
        sim.send_request(echoed_at=10)
    wrapped = [
        dest
        for dest, datagram in sim.sent
        if gue.decode(datagram)[1] is not None
    ]
    assert wrapped == [owner.packet] * 3


def test_stale_flows_are_bounded_and_expire() -> None:
    """The table of stale flows must be bounded and expire its entries."""
    stale_flows = silentflows.StaleFlows()
    stale_flows.tick(0)
    for index in range(silentflows.MAX_STALE_FLOWS + 100):
        stale_flows.track(index.to_bytes(12, 'big'), 1, 0)
    assert len(stale_flows.flows) == 16_384
    stale_flows.tick(silentflows.STALE_FLOW_TTL_S + 1)
    assert not stale_flows.flows


@pytest.mark.parametrize('jump_ms', [6_000, 3_600_000, -6_000, -40_000_000])
def test_clock_that_jumps_is_unknown_until_it_agrees(jump_ms: int) -> None:
    """After a jump a clock must not be used until two readings agree.

    Otherwise all flows of the backend would go through trackers.
    """
    clocks = silentflows.TimestampClocks()
    ip = BACKEND.ip
    for now in (0, 5, 10):
        clocks.add_reading(ip, BASE_MS + now * 1000, now)
    assert clocks.is_stale(ip, BASE_MS - 21_000)
    clocks.add_reading(ip, BASE_MS + 15_000 + jump_ms, 15)
    assert not clocks.stale_limits
    clocks.add_reading(ip, BASE_MS + 15_500 + jump_ms, 15.5)
    assert not clocks.stale_limits
    clocks.add_reading(ip, BASE_MS + 20_000 + jump_ms, 20)
    assert not clocks.is_stale(ip, BASE_MS + jump_ms - 9_000)
    assert clocks.is_stale(ip, BASE_MS + jump_ms - 11_000)
    clocks.request_readings({'127.1.0.99'})
    assert clocks.stale_limits
    clocks.add_reading('127.1.0.99', 1, 21)
    clocks.request_readings({'127.1.0.99'})
    assert not clocks.stale_limits

"""Silent flows end once at both ends; healthy ones never do."""

import pytest

from apricottally import gue, messages, packet, shards, silence
from apricottally.effects import Effect, SendPeer
from apricottally.events import PacketReceived, PeerReceived, Ticked
from apricottally.messages import Ack, Ping
from apricottally.packet import RST, Segment
from apricottally.reducer import reduce
from apricottally.state import NodeState
from bench import fleet

NUMBER = 3
BACKEND = fleet.build_backend(NUMBER)
SOURCE = (BACKEND.ip, 6080)
OTHER_CALLER = (0x0A010002, 41_000)
BASE_MS = 50_000_000
STALE_S = 60.0
ALONE = (1,)
REQUEST = bytes(10)


class Run:
    """One node, its backend's clock and virtual time."""

    def __init__(
        self, members: tuple[int, ...] = ALONE, index: int = 1
    ) -> None:
        nodes = tuple(fleet.build_member(member) for member in members)
        self.node: NodeState = fleet.build_node(
            index, nodes, fleet.list_records()
        )
        self.now: float = 0
        self.jump_ms = 0
        self.resets: list[Segment] = []
        self.sent: list[tuple[tuple[str, int], bytes]] = []

    def clock(self, at: float) -> int:
        return int(BASE_MS + self.jump_ms + at * 1000) & 0xFFFFFFFF

    def until(self, end: float, *, replies: bool = True) -> None:
        """Tick on, with replies of the backend to another flow."""
        while self.now < end:
            self.now = round(self.now + 0.5, 3)
            self.answer_pings(reduce(self.node, Ticked(self.now, 0)))
            if replies:
                self.reply()

    def answer_pings(self, effects: list[Effect]) -> None:
        """Answer for the other members, so that none is held to be dead."""
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
        inner = fleet.build_reply(
            ts_val=self.clock(self.now),
            caller=OTHER_CALLER,
        )
        fleet.receive(self.node, inner, SOURCE, self.now)

    def call(self, echoed_at: float, payload: bytes = REQUEST) -> None:
        """The caller sends, echoing a reply of an earlier time."""
        ts_ecr = self.clock(echoed_at) & ~packet.NUMBER_MASK
        inner = fleet.build_request(
            number=NUMBER,
            ts_ecr=ts_ecr,
            payload=payload,
        )
        sent = fleet.list_packets(
            fleet.receive(self.node, inner, now=self.now),
        )
        self.sent += sent
        for _, datagram in sent:
            start, _ = gue.decode(datagram)
            segment = packet.parse(datagram, start)
            if segment.flags & RST:
                self.resets.append(segment)


def test_silent_flow_is_ended_once_at_both_ends() -> None:
    """Guards against a line that stalls for good, and a storm of resets."""
    run = Run()
    for at in (60, 60.5, 62, 66, 72, 84, 108):
        run.until(at)
        run.call(echoed_at=10)
    to_caller = [reset for reset in run.resets if reset.src_port == fleet.PORT]
    to_backend = [reset for reset in run.resets if reset.dst_port == fleet.PORT]
    assert [reset.seq for reset in to_caller] == [5000]
    assert [reset.seq for reset in to_backend] == [1000, 1001, 1010]
    assert run.node.counters.total('broken', 'silent_flow') == 1
    decision = run.node.decisions.find(
        packet.flow_key(*fleet.CALLER, fleet.ADDRESS, fleet.PORT),
    )[0]
    assert (decision.rule, decision.number) == ('silent_flow', NUMBER)


def answer_each(run: Run) -> None:
    """A quiet feed: each keep-alive is answered, at any distance."""
    last = 10.0
    for at in (60, 135, 210, 1000, 1075):
        run.until(at)
        run.call(echoed_at=last, payload=b'')
        last = at


def jump_forward(run: Run) -> None:
    """The backend's clock jumps ahead while the flow is busy."""
    run.until(60)
    run.jump_ms = 3_600_000
    last = 59.0
    for at in range(61, 120, 2):
        run.until(at)
        run.call(echoed_at=last)
        last = at


def jump_back(run: Run) -> None:
    """The backend restarts, with its clock near zero and new flows."""
    run.until(60)
    run.jump_ms = -BASE_MS
    last = 61.0
    for at in range(62, 120, 2):
        run.until(at)
        run.call(echoed_at=last)
        last = at


def heal_after_cut(run: Run) -> None:
    """Answers are lost for 20 s; the next one arrives."""
    run.until(60)
    run.call(echoed_at=10)
    run.until(80)
    run.call(echoed_at=10)
    run.until(81)
    run.call(echoed_at=80)


def lose_backend(run: Run) -> None:
    """The backend cannot be reached at all, by any flow."""
    run.until(60)
    for at in (60.5, 62, 72, 84, 108):
        run.until(at, replies=False)
        run.call(echoed_at=10)


def pause_node(run: Run) -> None:
    """The node was stopped for 30 s; retransmissions queued meanwhile."""
    run.until(60)
    run.call(echoed_at=10)
    run.now = 90
    for _ in range(5):
        run.until(run.now + 0.5)
        run.call(echoed_at=10)


def retransmit_briefly(run: Run) -> None:
    """Loss makes the caller repeat itself for less than ten seconds."""
    run.until(60)
    for at in (60, 61, 63, 67, 69.5):
        run.until(at)
        run.call(echoed_at=10)


def send_fresh(run: Run) -> None:
    """A young TSecr is repeated: a caller that only just lost its backend."""
    run.until(60)
    for at in (61, 72, 74):
        run.until(at)
        run.call(echoed_at=59)


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
    """Guards against the detector itself breaking a flow."""
    run = Run()
    scenario(run)
    assert not run.resets
    assert run.node.counters.total('broken') == 0


def test_stale_packet_goes_by_way_of_its_tracker() -> None:
    """Guards against a flow followed at many nodes, and so at none."""
    members = (1, 2, 3, 4)
    handed = set()
    trackers = 0
    for index in members:
        run = Run(members, index)
        run.until(STALE_S)
        run.call(echoed_at=10)
        dest, datagram = run.sent[0]
        if gue.decode(datagram)[1] is None:
            trackers += 1
        else:
            handed.add(dest)
    assert (trackers, len(handed)) == (1, 1)


def test_handed_over_packet_is_tracked_without_a_clock() -> None:
    """Guards against a tracker that never heard the backend itself."""
    run = Run((1, 2))
    handover = gue.Handover(gue.Direction.caller, 1, 1, 1)
    inner = fleet.build_request(number=NUMBER)
    datagram = gue.encode_handover(handover, inner)
    event = PacketReceived(1, ('127.0.1.2', 6080), datagram)
    dest, _ = fleet.sent_packet(reduce(run.node, event))
    assert dest == SOURCE
    assert len(run.node.suspects.flows) == 1


def test_reset_goes_by_way_of_the_owner() -> None:
    """Guards against a slot that stays taken after its flow was ended."""
    members = (1, 2, 3)
    owner = Run(members).node.owners.find(
        f'{fleet.SERVICE}//0', shards.ANY_ZONE
    )
    index = next(i for i in members if fleet.build_member(i) != owner)
    run = Run(members, index)
    key = packet.flow_key(*fleet.CALLER, fleet.ADDRESS, fleet.PORT)
    bucket = shards.xxhash.xxh3_64_intdigest(key) % shards.TRACKER_BUCKETS
    run.node.owners.find_tracker(key)
    run.node.owners._trackers[bucket] = run.node.members.own
    for at in (60, 72, 84):
        run.until(at)
        run.call(echoed_at=10)
    wrapped = [
        dest
        for dest, datagram in run.sent
        if gue.decode(datagram)[1] is not None
    ]
    assert wrapped == [owner.packet] * 3


def test_suspects_are_bounded_and_forgotten() -> None:
    """Guards against memory that grows with flows never seen again."""
    suspects = silence.Suspects()
    suspects.tick(0)
    for index in range(silence.MAX_SUSPECTS + 100):
        suspects.see(index.to_bytes(12, 'big'), 1, 0)
    assert len(suspects.flows) == 16_384
    suspects.tick(silence.KEPT_S + 1)
    assert not suspects.flows


@pytest.mark.parametrize('jump_ms', [6_000, 3_600_000, -6_000, -40_000_000])
def test_clock_that_jumps_is_unknown_until_it_agrees(jump_ms: int) -> None:
    """Guards against all flows of a backend going through trackers."""
    clocks = silence.Clocks()
    ip = BACKEND.ip
    for now in (0, 5, 10):
        clocks.learn(ip, BASE_MS + now * 1000, now)
    assert clocks.is_stale(ip, BASE_MS - 21_000)
    clocks.learn(ip, BASE_MS + 15_000 + jump_ms, 15)
    assert not clocks.limits
    clocks.learn(ip, BASE_MS + 15_500 + jump_ms, 15.5)
    assert not clocks.limits
    clocks.learn(ip, BASE_MS + 20_000 + jump_ms, 20)
    assert not clocks.is_stale(ip, BASE_MS + jump_ms - 9_000)
    assert clocks.is_stale(ip, BASE_MS + jump_ms - 11_000)
    clocks.refresh({'127.1.0.99'})
    assert clocks.limits
    clocks.learn('127.1.0.99', 1, 21)
    clocks.refresh({'127.1.0.99'})
    assert not clocks.limits

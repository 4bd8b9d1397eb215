"""A graceful shutdown hands over admitted flows, then exits when idle."""

import pytest

from apricottally import addresses, gue, membership, messages, packet
from apricottally.effects import Effect, Exit, SendPacket, SendPeer
from apricottally.events import (
    PacketReceived,
    PeerReceived,
    ShutdownRequested,
    Ticked,
)
from apricottally.members import Member
from apricottally.messages import OccupancyReport
from apricottally.reducer import reduce
from apricottally.shutdown import IDLE_BEFORE_EXIT_S, MAX_DRAIN_S
from tests.owner import CALLER, PORTS, WALL_S, Owner

SOURCE = ('127.0.1.2', 6081)


def list_reports(effects) -> list[OccupancyReport]:
    decoded = [
        messages.decode(effect.payload)
        for effect in effects
        if isinstance(effect, SendPeer)
    ]
    return [each for each in decoded if isinstance(each, OccupancyReport)]


def advance(owner: Owner, seconds: float) -> list[Effect]:
    owner.now += seconds
    return reduce(owner.state, Ticked(owner.now, WALL_S + owner.now))


def build_owner_with_successor(flows: int, waiting: int = 0) -> Owner:
    """Return an owner with open and waiting slot flows and a successor."""
    owner = Owner()
    for port in range(1, flows + 1):
        owner.open(port)
    for port in range(101, 101 + waiting):
        assert owner.syn(port) == []
    zone = owner.state.config.zone
    owner.state.members.put(Member('next', zone, '127.0.1.2', 6080, 6081))
    return owner


@pytest.mark.parametrize('flows', [0, 1, 4])
def test_counts_reach_the_next_owner(flows: int) -> None:
    """A new owner must know the busy slots, or it admits too many flows."""
    owner = build_owner_with_successor(flows)
    request = ShutdownRequested(owner.now)
    reduce(owner.state, request)
    reports = list_reports(advance(owner, 0.1))
    successor = Owner()
    for report in reports:
        payload = messages.encode(report)
        event = PeerReceived(successor.now, SOURCE, payload)
        reduce(successor.state, event)
    loads = successor.state.admissions.loads.values()
    assert sum(load.busy for load in loads) == flows
    assert all(load.busy <= load.backend.slots for load in loads)


def test_waiting_syns_reach_the_next_owner() -> None:
    """Waiting flows must be handed over, not refused, at an owner change."""
    owner = build_owner_with_successor(4, waiting=1)
    reduce(owner.state, ShutdownRequested(owner.now))
    sent = [
        gue.decode(effect.payload)[1]
        for effect in advance(owner, 0.1)
        if isinstance(effect, SendPacket)
    ]
    assert [handover.hops for handover in sent] == [gue.MAX_HOPS]
    assert not owner.state.admissions.flows


@pytest.mark.parametrize(('hops', 'dest'), [(1, 'next'), (2, 'backend')])
def test_former_owner_forwards_packets(hops: int, dest: str) -> None:
    """A former owner must forward packets that still reach it.

    Otherwise the new owner would miss a SYN-ACK or FIN. At the hop limit, the
    former owner sends the packet to the backend itself.
    """
    owner = build_owner_with_successor(0)
    reduce(owner.state, ShutdownRequested(owner.now))
    advance(owner, 0.1)
    service = addresses.parse_ip('10.9.0.1'), PORTS['hold']
    options = packet.encode_timestamps(1, 0)
    syn = packet.build(CALLER, 7, *service, 1, 0, packet.SYN, options)
    handover = gue.Handover(gue.Direction.caller, hops, 6080, CALLER)
    datagram = gue.encode_handover(handover, syn)
    event = PacketReceived(owner.now, SOURCE, datagram)
    effects = reduce(owner.state, event)
    sent = [each for each in effects if isinstance(each, SendPacket)]
    sent_to_successor = sent[0].dest[0] == '127.0.1.2'
    assert sent_to_successor is (dest == 'next')


def test_joining_owner_gets_the_counts() -> None:
    """A node that joins and becomes owner must receive the open flows.

    A new owner that knows of no open flow would refuse flows.
    """
    owner = Owner()
    owner.open(1)
    joining_names = [f'join{number}' for number in range(6)]
    for name in joining_names:
        member = Member(name, owner.state.config.zone, '127.0.1.2', 1, 2)
        owner.state.members.put(member)
    reports = list_reports(advance(owner, 0.1))
    assert sum(len(each.occupancy.flows) for each in reports) == 1
    assert not owner.state.admissions.flows


def test_exit_after_idle_period() -> None:
    """The process must exit, but not before the idle period is over.

    An earlier exit would break flows whose packets still arrive.
    """
    owner = build_owner_with_successor(1)
    reduce(owner.state, ShutdownRequested(owner.now))
    seen = [
        (owner.now, effect)
        for _ in range(30)
        for effect in advance(owner, 0.1)
        if isinstance(effect, Exit)
    ]
    assert seen[0][1] == Exit(0)
    assert seen[0][0] >= IDLE_BEFORE_EXIT_S


def test_traffic_delays_exit_up_to_a_limit() -> None:
    """Traffic that never stops must not delay the exit beyond the limit."""
    owner = build_owner_with_successor(0)
    reduce(owner.state, ShutdownRequested(owner.now))
    started_at = owner.now
    exits = []
    while not exits:
        owner.state.counters.add('forwarded', 'caller')
        effects = advance(owner, 0.5)
        exits = [each for each in effects if isinstance(each, Exit)]
    assert owner.now - started_at == pytest.approx(MAX_DRAIN_S, abs=0.6)


def test_second_request_exits_at_once() -> None:
    """A second shutdown request must end the process immediately."""
    owner = build_owner_with_successor(1)
    reduce(owner.state, ShutdownRequested(owner.now))
    effects = reduce(owner.state, ShutdownRequested(owner.now))
    assert Exit(1) in effects


def test_leaving_node_owns_nothing() -> None:
    """A leaving node must own no shards, so that it admits no new flows."""
    owner = build_owner_with_successor(0)
    membership.leave(owner.state, owner.now)
    names = {member.name for member in owner.state.members.list_active()}
    assert names == {'next'}

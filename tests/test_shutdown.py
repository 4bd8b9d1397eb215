"""A planned stop hands over what was admitted and ends when it is quiet."""

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
from apricottally.shutdown import MAX_DRAIN_S, QUIET_S
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


def build_leaving(flows: int, waiting: int = 0) -> Owner:
    """Return an owner with open slot flows and a successor."""
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
    """Guards against a new owner that admits beyond the slots."""
    owner = build_leaving(flows)
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
    """Guards against a refusal of flows that wait when the owner changes."""
    owner = build_leaving(4, waiting=1)
    reduce(owner.state, ShutdownRequested(owner.now))
    sent = [
        gue.decode(effect.payload)[1]
        for effect in advance(owner, 0.1)
        if isinstance(effect, SendPacket)
    ]
    assert [handover.hops for handover in sent] == [gue.MAX_HOPS]
    assert not owner.state.admissions.flows


@pytest.mark.parametrize(('hops', 'dest'), [(1, 'next'), (2, 'backend')])
def test_former_owner_passes_on(hops: int, dest: str) -> None:
    """Guards against a SYN-ACK or FIN that a former owner keeps to itself."""
    owner = build_leaving(0)
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
    is_next = sent[0].dest[0] == '127.0.1.2'
    assert is_next is (dest == 'next')


def test_joining_owner_gets_the_counts() -> None:
    """Guards against refusals by a new owner that knows of no flow."""
    owner = Owner()
    owner.open(1)
    joined = [f'join{number}' for number in range(6)]
    for name in joined:
        member = Member(name, owner.state.config.zone, '127.0.1.2', 1, 2)
        owner.state.members.put(member)
    reports = list_reports(advance(owner, 0.1))
    assert sum(len(each.occupancy.flows) for each in reports) == 1
    assert not owner.state.admissions.flows


def test_process_ends_when_no_packet_came() -> None:
    """Guards against a stop that cuts flows, and against one without end."""
    owner = build_leaving(1)
    reduce(owner.state, ShutdownRequested(owner.now))
    seen = [
        (owner.now, effect)
        for _ in range(30)
        for effect in advance(owner, 0.1)
        if isinstance(effect, Exit)
    ]
    assert seen[0][1] == Exit(0)
    assert seen[0][0] >= QUIET_S


def test_traffic_delays_the_end_up_to_a_limit() -> None:
    """Guards against waiting for ever on a fabric that keeps sending."""
    owner = build_leaving(0)
    reduce(owner.state, ShutdownRequested(owner.now))
    began = owner.now
    exits = []
    while not exits:
        owner.state.counters.add('forwarded', 'caller')
        effects = advance(owner, 0.5)
        exits = [each for each in effects if isinstance(each, Exit)]
    assert owner.now - began == pytest.approx(MAX_DRAIN_S, abs=0.6)


def test_second_request_ends_at_once() -> None:
    """Guards against an operator who cannot stop a node."""
    owner = build_leaving(1)
    reduce(owner.state, ShutdownRequested(owner.now))
    effects = reduce(owner.state, ShutdownRequested(owner.now))
    assert Exit(1) in effects


def test_leaving_node_owns_nothing() -> None:
    """Guards against new flows at a node that is about to end."""
    owner = build_leaving(0)
    membership.leave(owner.state, owner.now)
    names = {member.name for member in owner.state.members.list_active()}
    assert names == {'next'}

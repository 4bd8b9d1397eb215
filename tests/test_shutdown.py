"""A planned stop hands over what was admitted and ends when it is quiet."""

import pytest

from apricottally import membership, messages
from apricottally.effects import Effect, Exit, SendPeer
from apricottally.events import PeerReceived, ShutdownRequested, Ticked
from apricottally.members import Member
from apricottally.messages import OccupancyReport
from apricottally.reducer import reduce
from apricottally.shutdown import MAX_DRAIN_S, QUIET_S
from tests.owner import WALL_S, Owner

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


def build_leaving(flows: int) -> Owner:
    """Return an owner with open slot flows and a successor."""
    owner = Owner()
    for port in range(1, flows + 1):
        owner.open(port)
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
    names = {member.name for member in owner.state.members.eligible()}
    assert names == {'next'}

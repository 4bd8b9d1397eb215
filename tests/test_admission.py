"""How a shard's owner handles the first and last packets of flows."""

import msgspec
import pytest

from apricottally import attempts, packet
from apricottally.errors import InvariantError
from apricottally.members import MemberState
from apricottally.model import BackendState, Holding, Template, Urgency
from apricottally.occupancytransfer import (
    Occupancy,
    export_shard,
    import_occupancy,
)
from tests.owner import RST_ACK, Owner, build_backends

REFUSED = [('caller', 'refusal')]


def fill(owner: Owner, flows: int, **flow_args) -> dict[int, int]:
    """Open flows on ports from 1; return the backend number by port."""
    return {port: owner.open(port, **flow_args) for port in range(1, flows + 1)}


def test_repeated_syn_keeps_its_decision() -> None:
    """A retransmitted SYN must not be sent to a second backend."""
    owner = Owner(build_backends(1))
    assert owner.syn(1) == owner.syn(1) == [(0, 'syn')]
    owner.answer(1, 0)
    assert owner.syn(1) == [(0, 'syn')]
    owner.open(2)
    assert owner.syn(3) == owner.syn(3) == []
    assert owner.rules(3) == [('wait', 'no_room')]
    owner.close(1, 0)
    assert owner.count('admitted') == 3
    assert owner.syn(1) == []


def test_late_port_reuse_is_a_new_flow() -> None:
    """A SYN on the ports of an ended flow must not pass for its duplicate."""
    owner = Owner()
    number = owner.open(1)
    owner.close(1, number)
    # A reset for the duplicate SYN-ACK could cut off the last response.
    assert owner.answer(1, number) == []
    assert owner.syn(1, seq=900) == [(number, 'syn')]
    owner.tick(0.2)
    assert owner.answer(1, number, ack=901) == [('caller', 'syn_ack')]
    owner.tick(6)
    assert owner.load(number).busy == 1


@pytest.mark.parametrize(
    ('flags', 'by_caller', 'busy', 'passed'),
    [
        (packet.FIN | packet.ACK, False, 0, ('caller', 'fin')),
        (packet.RST, False, 0, ('caller', 'rst')),
        (packet.RST, True, 0, (0, 'rst')),
        (packet.FIN | packet.ACK, True, 1, (0, 'fin')),
    ],
)
def test_slot_is_freed_by_its_end(flags, by_caller, busy, passed) -> None:
    """A flow's end must free its slot exactly once.

    The caller's FIN does not, since the backend may still be working.
    """
    owner = Owner(build_backends(1))
    owner.open(1)
    for _ in range(2):
        end = owner.end_by_caller if by_caller else owner.answer
        assert end(1, 0, flags=flags) == [passed]
        assert owner.load(0).busy == busy


def test_connection_is_counted_once() -> None:
    """A retransmitted FIN must not free a second connection."""
    owner = Owner(build_backends(1))
    fill(owner, 3, kind='feed')
    owner.tick(6)
    assert not owner.state.admissions.flows
    assert owner.load(0).open == 3
    for _ in range(3):
        assert owner.close(1, 0, kind='feed') == [('caller', 'fin')]
        owner.tick(6)
    owner.end_by_caller(2, 0, packet.RST, kind='feed')
    assert owner.load(0).open == 1


def test_slot_flow_is_written_off() -> None:
    """A flow that never closes must not keep its slot forever."""
    owner = Owner(build_backends(1))
    owner.open(1)
    owner.tick(29)
    assert owner.load(0).busy == 1
    owner.tick(2)
    assert owner.load(0).busy == 0
    assert owner.count('written_off', 'max_run') == 1
    assert owner.syn(1) == []


def test_slots_are_not_over_admitted() -> None:
    """Guards against admitting more flows than there are slots."""
    owner = Owner()
    fill(owner, 4)
    assert [owner.load(number).busy for number in (0, 1)] == [2, 2]
    assert owner.syn(5) == owner.syn(6) == []
    load = owner.load(0)
    with pytest.raises(InvariantError, match='slot_over_admitted'):
        for flow in list(owner.state.admissions.flows.values()):
            attempts.send(owner.state, owner.now, flow, load)


def test_freed_slot_goes_to_the_next_waiting() -> None:
    """A freed slot must be given to a queued SYN, most urgent first."""
    owner = Owner(build_backends(1))
    fill(owner, 2)
    owner.syn(5, 'sheet')
    owner.syn(6)
    assert owner.close(1, 0) == [('caller', 'fin'), (0, 'syn')]
    assert owner.rules(6)[-1] == ('admit', 'least_outstanding')
    assert owner.rules(5, 'sheet')[-1] == ('wait', 'no_room')


def test_deadline_refuses() -> None:
    """A queued SYN must not start after its caller stopped waiting."""
    owner = Owner(build_backends(1))
    fill(owner, 2)
    owner.syn(5)
    assert owner.tick(0.4) == []
    assert owner.tick(0.2) == REFUSED
    assert owner.rules(5)[-1] == ('refuse', 'deadline')
    assert owner.close(1, 0) == [('caller', 'fin')]


def test_late_work_is_refused_early() -> None:
    """Work that cannot start before its deadline must not be queued."""
    owner = Owner(build_backends(1))
    for port in range(1, 40):
        owner.open(port)
        owner.tick(0.3)
        owner.close(port, 0)
    owner.open(50)
    owner.open(51)
    answers = [owner.syn(port) for port in range(60, 66)]
    # Each run takes 0.3 s on 2 slots. The wait behind three runs is 0.45 s and
    # behind four 0.6 s; the deadline is 0.5 s.
    assert answers == [[], [], [], [], REFUSED, REFUSED]
    assert owner.count('refused', 'deadline') == 2


def retry_owner(tries: int = 10, backends: int = 3) -> Owner:
    """Return an owner whose first workspace has earned retry tokens."""
    owner = Owner(build_backends(backends))
    for port in range(1000, 1000 + tries):
        number = owner.open(port)
        owner.close(port, number)
    return owner


def test_shed_syn_is_retried_elsewhere() -> None:
    """A shed SYN must not be refused while another backend has room."""
    owner = retry_owner()
    first = owner.admit(1)
    second, kind = owner.answer(1, first, RST_ACK)[0]
    assert kind == 'syn'
    assert second != first
    assert owner.load(first).busy == 0
    assert owner.count('retried', 'shed') == 1
    assert owner.answer(1, second, RST_ACK) == REFUSED
    assert owner.rules(1)[-1] == ('refuse', 'backend_refused')
    assert owner.syn(1) == REFUSED


@pytest.mark.parametrize(
    ('tries', 'backends', 'obstacle'),
    [(8, 3, 'budget'), (40, 1, 'no_backend'), (40, 4, 'attempts')],
)
def test_retry_is_refused(tries, backends, obstacle) -> None:
    """Guards against retries that multiply load or never end."""
    owner = retry_owner(tries, backends)
    owner.syn(1)
    tried = []
    while not owner.count('refused'):
        busy = [
            backend for backend in range(backends) if owner.load(backend).busy
        ]
        for number in busy:
            tried.append(number)
            owner.answer(1, number, RST_ACK)
        owner.tick(0.1)
    assert owner.count('retry_refused', obstacle) == 1
    assert len(set(tried)) == len(tried) == {'attempts': 3}.get(obstacle, 1)
    assert owner.count('retried') == len(tried) - 1


def test_retry_ends_at_the_deadline() -> None:
    """A retry must not start after its caller stopped waiting."""
    owner = retry_owner()
    number = owner.admit(1)
    owner.now += 0.6
    assert owner.answer(1, number, RST_ACK) == REFUSED
    assert owner.count('retry_refused', 'deadline') == 1


def test_silent_backend_is_abandoned() -> None:
    """Guards against a late SYN-ACK that competes with the retry's."""
    owner = retry_owner()
    first = owner.admit(1)
    # The first backend gets no reset yet: another owner may have established
    # the flow there.
    second, kind = owner.tick(0.4)[0]
    assert kind == 'syn'
    assert owner.answer(1, first) == [(first, 'rst')]
    assert owner.answer(1, first, RST_ACK) == []
    assert owner.answer(1, second) == [('caller', 'syn_ack')]
    assert ('reset', 'late_syn_ack') in owner.rules(1)


def test_former_owner_resets_nothing() -> None:
    """A former owner must not reset a flow that the next owner established.

    The next owner may have received the SYN-ACK.
    """
    owner = retry_owner()
    owner.admit(1)
    own = owner.state.members.own
    other = msgspec.structs.replace(own, name='n2', ip='127.1.0.2')
    leaving = msgspec.structs.replace(own, state=MemberState.leaving)
    owner.state.members.put(other)
    owner.state.members.put(leaving)
    assert owner.tick(6) == []
    assert not owner.state.admissions.flows
    assert owner.load(0).busy == 0


def test_silent_fleet_is_refused_once() -> None:
    """A caller must be refused, once, if no backend answers its SYN."""
    owner = Owner()
    first = owner.admit(1)
    assert owner.tick(0.9) == []
    assert owner.tick(0.3) == [('caller', 'refusal')]
    assert owner.load(first).busy == 0
    assert owner.answer(1, first) == [(first, 'rst')]


def test_no_refusal_after_syn_ack() -> None:
    """A refusal, which means "not run", must not follow a SYN-ACK."""
    owner = Owner()
    number = owner.open(1)
    assert owner.answer(1, number, RST_ACK) == []
    assert owner.answer(1, number, RST_ACK, seq=7) == [('caller', 'rst')]
    assert owner.syn(1) == []
    flow = next(iter(owner.state.admissions.flows.values()))
    with pytest.raises(InvariantError, match='refusal_after_syn_ack'):
        attempts.refuse_flow(owner.state, owner.now, flow, 'deadline')


def test_backend_without_timestamps() -> None:
    """Guards against open flows whose packets cannot carry a backend number."""
    owner = Owner()
    number = owner.admit(1)
    sent = owner.answer(1, number, options=b'\x01')
    assert sent == [(number, 'rst'), ('caller', 'refusal')]
    assert owner.count('refused', 'backend_no_timestamps') == 1
    assert owner.syn(2, options=b'\x01') == REFUSED
    assert owner.count('refused', 'no_timestamps') == 1


def test_answers_to_another_owner_pass() -> None:
    """An owner must not cut a flow that it does not know.

    Another owner may have admitted the flow.
    """
    owner = Owner()
    assert owner.answer(7, 0) == [('caller', 'syn_ack')]
    assert owner.syn(7) == []
    number = owner.admit(1)
    other = 1 - number
    # The backend that this owner chose gets no reset yet: a third owner may
    # have established the flow there.
    assert owner.answer(1, other) == [('caller', 'syn_ack')]
    assert owner.load(number).busy == 0
    assert owner.close(1, other) == [('caller', 'fin')]
    assert owner.answer(1, number) == [(number, 'rst')]
    assert owner.tick(6) == []


def test_waiting_syn_is_withdrawn() -> None:
    """A queued SYN must not be refused after another owner's SYN-ACK."""
    owner = Owner(build_backends(1))
    fill(owner, 2)
    owner.syn(5)
    owner.syn(6)
    assert owner.answer(5, 9, kind='hold') == []
    other = build_backends(2)[1:]
    owner.put_backends((*build_backends(1), *other))
    assert owner.answer(5, 1) == [('caller', 'syn_ack')]
    assert owner.close(1, 0) == [('caller', 'fin'), (0, 'syn')]
    assert owner.rules(6)[-1] == ('admit', 'least_outstanding')
    assert owner.rules(5)[-1] == ('withdraw', 'foreign_syn_ack')


@pytest.mark.parametrize(
    ('flags', 'ack', 'answer', 'busy'),
    [
        (packet.FIN | packet.ACK, 500, [('caller', 'fin')], 0),
        (packet.RST | packet.ACK | packet.PSH, 500, [('caller', 'rst')], 0),
        # Ends of an older flow free no slot. The caller's TCP checks forwarded
        # ones, as it checks data.
        (packet.FIN | packet.ACK, 99, [('caller', 'fin')], 1),
        (RST_ACK, 99, [], 1),
        (packet.RST, 101, [('caller', 'rst')], 1),
    ],
)
def test_end_without_syn_ack(flags, ack, answer, busy) -> None:
    """A flow's end must free its slot if another node saw the SYN-ACK."""
    owner = Owner()
    number = owner.admit(1)
    assert owner.answer(1, number, flags, ack=ack) == answer
    assert owner.load(number).busy == busy


def test_node_overload_sheds_the_least_urgent() -> None:
    """A flood of background SYNs must not use up the node's SYN budget."""
    owner = Owner(build_backends(60), workspaces=1)
    ports = range(1, 700)
    for port in ports:
        owner.syn(port, 'sheet')
    assert owner.count('refused', 'node_overload') > 400
    assert owner.rules(699, 'sheet') == [('refuse', 'node_overload')]
    before = owner.count('refused', 'node_overload')
    for port in range(1, 101):
        owner.syn(port)
    assert owner.count('refused', 'node_overload') == before


def test_waiting_syn_avoids_a_draining_backend() -> None:
    """A slot freed on a draining backend must not go to a queued SYN."""
    owner = Owner(build_backends(1))
    fill(owner, 2)
    owner.syn(5)
    owner.put_backends(build_backends(1, state=BackendState.draining))
    assert owner.close(1, 0) == [('caller', 'fin')]
    assert owner.tick(0.6) == REFUSED
    assert owner.rules(5)[-1] == ('refuse', 'no_backend')


def test_drain_and_loss_of_all_backends() -> None:
    """A draining or removed backend must get no new flows."""
    owner = Owner()
    fill(owner, 2)
    left, kept = build_backends(2)
    drained = msgspec.structs.replace(left, state=BackendState.draining)
    owner.put_backends((drained, kept))
    before = owner.load(0).started_since_poll
    for port in range(10, 14):
        owner.syn(port)
    assert owner.load(0).started_since_poll == before
    owner.put_backends((drained,))
    assert owner.syn(20) == REFUSED
    assert owner.count('refused', 'no_backend') == 1


@pytest.mark.parametrize(
    ('reported', 'admitted'), [(None, 0), (0, 2), (1, 1), (2, 0), (9, 0)]
)
@pytest.mark.parametrize('kind', ['hold', 'feed'])
def test_new_owner_admits_by_report(reported, admitted, kind) -> None:
    """A new owner must not admit more flows than reports show as free.

    It does not know what the former owner admitted.
    """
    backends = build_backends(1, connections=2)
    owner = Owner(backends, past_takeover=False)
    assert owner.polled
    if reported is not None:
        owner.report(0, reported, reported)
    sent = [owner.syn(port, kind) for port in range(1, 4)]
    assert sum(map(len, sent)) == admitted


def test_counts_are_handed_over() -> None:
    """A new owner must use the former owner's counts.

    Without them it would wait for reports or admit too many flows.
    """
    old = Owner(build_backends(2))
    fill(old, 3)
    old.open(9, 'feed')
    owned = next(iter(old.state.admissions.shards.values()))
    exported = export_shard(old.state, old.now, owned)
    wire = msgspec.msgpack.encode(exported)
    new = Owner(build_backends(2), past_takeover=False)
    decoded = msgspec.msgpack.decode(wire, type=Occupancy)
    assert import_occupancy(new.state, new.now, decoded)
    assert not import_occupancy(new.state, new.now, decoded)
    loads = [
        (new.load(backend).busy, new.load(backend).open) for backend in (0, 1)
    ]
    assert loads == [
        (old.load(backend).busy, old.load(backend).open) for backend in (0, 1)
    ]
    assert len(new.syn(20)) == 1
    assert new.syn(21) == []
    port, number = 1, next(iter(decoded.flows)).number
    assert (number, 'syn') in new.close(port, number)


def test_flood_of_one_workspace() -> None:
    """Workspaces that flood must not fill the queue of a smaller one."""
    templates = {
        'hold': Template('desk', Urgency.urgent, 443, Holding.slot, 60_000),
    }
    owner = Owner(build_backends(1), templates, workspaces=10)
    fill(owner, 2)
    for workspace in range(9):
        for port in range(100, 170):
            owner.syn(port, workspace=workspace)
            owner.now += 0.001
    assert owner.count('refused') == owner.count('refused', 'queue_full')
    assert owner.syn(1, workspace=9) == REFUSED
    assert owner.rules(1, workspace=9) == [('wait', 'no_room')]
    owner.close(1, 0)
    for _ in range(9):
        owner.finish_one()
    assert owner.rules(1, workspace=9)[-1] == ('admit', 'least_outstanding')


def test_urgent_work_displaces_a_flood() -> None:
    """An urgent SYN must displace less urgent ones from a full queue."""
    owner = Owner(build_backends(1), workspaces=9)
    fill(owner, 2, kind='sheet')
    for workspace in range(9):
        for port in range(100, 160):
            owner.syn(port, 'sheet', workspace=workspace)
            owner.now += 0.0005
    assert owner.count('refused', 'queue_full') > 0
    assert owner.syn(5) == REFUSED
    assert owner.rules(5) == [('wait', 'no_room')]
    assert owner.count('refused', 'shed_class') == 1
    assert owner.close(1, 0, kind='sheet')[1:] == [(0, 'syn')]
    assert owner.rules(5)[-1] == ('admit', 'least_outstanding')


def test_paused_owner_starts_anew() -> None:
    """A process must not act on the state that it had before a pause.

    Another node has owned the shard meanwhile, so a refusal, a retry or a slot
    that stays busy would be wrong.
    """
    owner = Owner()
    number = owner.open(1)
    owner.admit(2)
    owner.now += 5
    assert owner.tick(0.1) == []
    assert owner.load(number).busy == 0
    assert owner.count('refused', 'deadline') == 0
    assert owner.count('fenced', 'paused') == 1
    assert owner.answer(2, 0) == [('caller', 'syn_ack')]


@pytest.mark.parametrize(
    ('reported', 'reports', 'wait_s', 'busy'),
    [
        (0, 1, 6, 1),
        (0, 2, 6, 0),
        (1, 2, 6, 1),
        (0, 2, 3, 1),
    ],
)
def test_unconfirmed_slot_is_written_off(
    reported: int, reports: int, wait_s: float, busy: int
) -> None:
    """A slot must not stay busy for 30 s after its flow ended.

    The notice of the end may have gone to another node; two load reports then
    show the slot as free.
    """
    owner = Owner()
    number = owner.open(1)
    owner.tick(wait_s)
    for _ in range(reports):
        owner.load(number).reset_poll_counts()
        owner.report(number, reported)
    assert owner.load(number).busy == busy


def test_repeated_syn_of_a_refused_flow_is_refused() -> None:
    """A retransmitted SYN of a refused flow must not take a slot.

    The caller has been told "not run" and does not use the flow.
    """
    owner = Owner()
    fill(owner, 4)
    assert owner.syn(5) == []
    assert owner.tick(0.6) == REFUSED
    assert owner.syn(5) == REFUSED
    assert owner.syn(5, seq=900) == []


def test_reset_without_timestamps_frees_the_slot() -> None:
    """A caller's reset must free the slot even without timestamps.

    A closed socket sends such resets; the slot would stay busy for 30 s.
    """
    owner = Owner()
    number = owner.open(1)
    sent = owner.send_from_caller(1, seq=101, flags=packet.RST)
    assert sent == [(number, 'rst')]
    assert owner.load(number).busy == 0
    assert owner.send_from_caller(2, seq=101, flags=packet.RST) == []


def test_regained_shard_starts_anew() -> None:
    """A node that owns a shard again must free the slots of its old flows.

    Their ends went to the other owner.
    """
    owner = Owner(build_backends(1))
    fill(owner, 2)
    own = owner.state.members.own
    other = msgspec.structs.replace(own, name='n2', ip='127.1.0.2')
    leaving = msgspec.structs.replace(own, state=MemberState.leaving)
    owner.state.members.put(other)
    owner.state.members.put(leaving)
    owner.tick(1)
    owner.state.members.remove('n2')
    owner.state.members.put(own)
    owner.tick(0.1)
    assert owner.load(0).busy == 0
    # The takeover starts again: only reports decide what is free.
    assert owner.syn(5) == []
    assert owner.report(0, 1) == [(0, 'syn')]


def test_shard_of_no_owner_is_forgotten() -> None:
    """A shard that no longer exists must not be polled."""
    owner = Owner(build_backends(1))
    owner.open(1)
    owner.put_backends(())
    owner.tick(12)
    assert not owner.state.admissions.shards
    assert not owner.state.admissions.flows
    assert not owner.polled

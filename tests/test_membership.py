"""Membership: joining, failure detection, refutation and partitions."""

import random

import msgspec
import pytest

from apricottally import memberlist, messages, suspects, swim
from apricottally.effects import SendPeer
from apricottally.errors import InvariantError, WireError
from apricottally.events import (
    PeerReceived,
    Record,
    RecordsReceived,
    ShutdownRequested,
    Ticked,
)
from apricottally.members import Member, MemberState
from apricottally.model import Machine, MachineState
from apricottally.reducer import reduce
from apricottally.state import NodeState
from bench.controlfixtures import introduce_nodes
from standins.mesh import DatagramFaults, Mesh, build_configs

ALIVE = MemberState.alive
OTHER = Member('x', 'a', '10.0.0.9', 6080, 6081, 2, MemberState.suspect)
LOSSY = DatagramFaults(loss=0.1, duplication=0.1, max_delay_s=0.05)


def collect_states(mesh: Mesh, name: str) -> set[MemberState | None]:
    """Return the states that the other nodes have for a node."""
    return {
        member.state if member else None
        for state in mesh.list_states()
        if state.config.name != name
        for member in (state.members.members.get(name),)
    }


def all_views_match(mesh: Mesh) -> bool:
    """Tell whether each node has exactly the running nodes as alive."""
    return all(
        {
            member.name
            for member in state.members.members.values()
            if member.state is MemberState.alive
        }
        == set(mesh.nodes)
        for state in mesh.list_states()
    )


def build_joined_mesh(
    seed: int, zones: dict[str, int], faults: DatagramFaults
) -> Mesh:
    mesh = Mesh(seed, zones, faults)
    assert mesh.run_until(lambda: all_views_match(mesh), 60) <= 60
    return mesh


@pytest.mark.parametrize('seed', range(6))
@pytest.mark.parametrize('faults', [DatagramFaults(), LOSSY])
def test_killed_node_is_noticed(seed: int, faults: DatagramFaults) -> None:
    """A killed node is declared dead in time to move its shards."""
    mesh = build_joined_mesh(seed, {'a': 15, 'b': 15}, faults)
    mesh.run(mesh.rng.uniform(1, 3))
    mesh.kill('node-b-0009')
    took = mesh.run_until(
        lambda: collect_states(mesh, 'node-b-0009') == {MemberState.dead},
        20,
    )
    assert took <= 6


def test_page_of_another_sender_is_ignored() -> None:
    """A member page must come from the node that was asked for it.

    Any other datagram could mark the transfer as complete.
    """
    state = NodeState(build_configs({'a': 1})['node-a-0000'], random.Random(1))
    sync = state.protocols.memberlist_sync
    sync.transfer = memberlist.ListTransfer(('10.0.0.9', 6081), 0)
    page = messages.MemberPage('', (OTHER,), more=False)
    reduce(state, PeerReceived(0, ('10.0.0.8', 6081), messages.encode(page)))
    assert sync.transfer is not None
    assert 'x' not in state.members.members
    assert state.counters.total('transfer', 'foreign_page') == 1


@pytest.mark.parametrize('seed', range(3))
def test_loss_marks_no_live_node_dead(seed: int) -> None:
    """Packet loss alone does not cause a live node to be declared dead."""
    mesh = build_joined_mesh(seed, {'a': 10, 'b': 10}, LOSSY)
    before = sum(s.counters.total('member', 'dead') for s in mesh.list_states())
    mesh.run(120)
    after = sum(s.counters.total('member', 'dead') for s in mesh.list_states())
    assert after == before
    # At this loss rate some node is suspect 10% of the time, briefly.
    assert mesh.run_until(lambda: all_views_match(mesh), 2) <= 2


@pytest.mark.parametrize(
    ('pause_s', 'dead'),
    [(2.5, False), (30, True)],
)
def test_paused_node_refutes(pause_s: float, dead: bool) -> None:
    """A node that resumes after a pause is alive again at all nodes."""
    mesh = build_joined_mesh(
        1, {'a': 10, 'b': 10}, DatagramFaults(max_delay_s=0.05)
    )
    name = 'node-a-0005'
    # Pause with a ping outstanding, so that its answer waits in the socket.
    swim_state = mesh.nodes[name].state.protocols.swim
    while not swim_state.probes:
        mesh.run(0.01)
    mesh.pause(name)
    mesh.run(pause_s)
    assert (MemberState.dead in collect_states(mesh, name)) is dead
    mesh.resume(name)
    assert mesh.run_until(lambda: all_views_match(mesh), 10) <= 10
    own = mesh.nodes[name].state
    assert own.members.own.incarnation > 0
    # The paused node must not suspect members whose answers it had not read.
    assert own.counters.total('member', 'suspect') == 0


@pytest.mark.parametrize('cut_s', [5.0, 60.0])
def test_cut_zone_heals(cut_s: float) -> None:
    """Both sides of a partition find each other once it has healed."""
    mesh = build_joined_mesh(3, {'a': 12, 'b': 12}, LOSSY)
    mesh.partitions.append(frozenset('b'))
    mesh.run(cut_s)
    mesh.partitions.clear()
    assert mesh.run_until(lambda: all_views_match(mesh), 40) <= 40


def test_listed_dead_node_may_refute() -> None:
    """A dead member in a member list is only suspected, so it can refute.

    A list sent while a partition heals may have live nodes as dead.
    """
    config = build_configs({'a': 1})['node-a-0000']
    state = NodeState(config, random.Random(1))
    swim.apply_updates(state, 0, (msgspec.structs.replace(OTHER, state=ALIVE),))
    source = ('10.0.0.9', 6081)
    state.protocols.memberlist_sync.transfer = memberlist.ListTransfer(
        source, 0
    )
    dead = msgspec.structs.replace(OTHER, state=MemberState.dead)
    page = messages.MemberPage('', (dead,), more=False)
    reduce(state, PeerReceived(0, source, messages.encode(page)))
    assert state.members.members['x'].state is MemberState.suspect


@pytest.mark.parametrize('seed', range(3))
def test_cut_zone_is_excluded(seed: int) -> None:
    """No shard owner is chosen in a zone on the other side of a partition."""
    mesh = Mesh(seed, {'a': 75, 'b': 75}, DatagramFaults(loss=0.02))
    introduce_nodes(mesh)
    mesh.run(3)
    mesh.partitions.append(frozenset('b'))

    def is_excluded() -> bool:
        return all(
            {member.zone for member in state.members.list_owner_candidates()}
            == {state.config.zone}
            for state in mesh.list_states()
        )

    assert mesh.run_until(is_excluded, 20) <= 9
    mesh.run(10)
    for state in mesh.list_states():
        zones = {member.zone for member in state.members.list_active()}
        assert zones == {state.config.zone}


@pytest.mark.parametrize('seed', range(8))
def test_lost_rack_does_not_exclude_its_zone(seed: int) -> None:
    """A zone with half of its nodes dead is not treated as partitioned."""
    mesh = build_joined_mesh(
        seed, {'a': 20, 'b': 20}, DatagramFaults(loss=0.02)
    )
    for number in range(10):
        mesh.kill(f'node-b-{number:04d}')
    for _ in range(100):
        mesh.run(0.1)
        for state in mesh.list_states():
            assert state.members.list_owner_candidates('b')
    assert all_views_match(mesh)


def test_leaving_node_is_announced() -> None:
    """Other nodes learn quickly that a node leaves, to give it no new work."""
    mesh = build_joined_mesh(1, {'a': 10}, DatagramFaults())
    name = 'node-a-0003'
    event = ShutdownRequested(mesh.timeline.now)
    mesh.dispatch(name, mesh.nodes[name], event)
    took = mesh.run_until(
        lambda: collect_states(mesh, name) == {MemberState.leaving},
        5,
    )
    assert took <= 2
    mesh.kill(name)
    mesh.run(8)
    assert collect_states(mesh, name) == {MemberState.dead}


def test_restarted_node_is_alive_again() -> None:
    """A restarted node is accepted although its incarnation is 0 again."""
    mesh = build_joined_mesh(1, {'a': 10}, DatagramFaults())
    mesh.kill('node-a-0003')
    mesh.run(10)
    mesh.start('node-a-0003')
    assert mesh.run_until(lambda: all_views_match(mesh), 10) <= 10


def test_dead_node_is_forgotten(monkeypatch: pytest.MonkeyPatch) -> None:
    """Dead members are removed, so that the table does not grow forever."""
    monkeypatch.setattr(suspects, 'DEAD_RETENTION_S', 20)
    mesh = build_joined_mesh(1, {'a': 10}, DatagramFaults())
    mesh.kill('node-a-0003')
    mesh.run(10)
    assert collect_states(mesh, 'node-a-0003') == {MemberState.dead}
    mesh.run(30)
    assert collect_states(mesh, 'node-a-0003') == {None}


@pytest.mark.parametrize(
    ('incarnation', 'new_state', 'applied'),
    [
        (1, MemberState.dead, False),
        (2, MemberState.alive, False),
        (2, MemberState.suspect, False),
        (2, MemberState.leaving, True),
        (2, MemberState.dead, True),
        (3, MemberState.alive, True),
    ],
)
def test_update_precedence(
    incarnation: int, new_state: MemberState, applied: bool
) -> None:
    """An update with lower precedence does not override a newer one."""
    config = build_configs({'a': 1})['node-a-0000']
    state = NodeState(config, random.Random(1))
    swim.apply_updates(state, 0, (OTHER,))
    update = msgspec.structs.replace(
        OTHER,
        incarnation=incarnation,
        state=new_state,
    )
    swim.apply_updates(state, 0, (update,))
    assert state.members.members['x'] == (update if applied else OTHER)


@pytest.mark.parametrize(
    ('service', 'listed', 'contacted'),
    [('', 'live', True), ('', 'leaving', False), ('desk', 'live', False)],
)
def test_balancer_on_vm_list_is_a_seed(
    service: str,
    listed: str,
    contacted: bool,
) -> None:
    """Nodes contact balancers on the VM list, in case all seeds are gone."""
    config = build_configs({'a': 1})['node-a-0000']
    state = NodeState(config, random.Random(1))
    reduce(state, Ticked(0, 0))
    machine = Machine(service, 'a', '10.0.0.77', MachineState(listed))
    record = Record('/vms/x', 2, msgspec.json.encode(machine))
    reduce(state, RecordsReceived(1, (record,), 2, complete=True))
    sent = [
        effect.dest
        for second in range(2, 20)
        for effect in reduce(state, Ticked(second, 0))
        if isinstance(effect, SendPeer)
    ]
    assert (('10.0.0.77', 6081) in sent) is contacted


def test_lower_incarnation_breaks_invariant() -> None:
    """A decrease of a stored incarnation is detected."""
    config = build_configs({'a': 1})['node-a-0000']
    state = NodeState(config, random.Random(1))
    swim.store_member(state, OTHER)
    with pytest.raises(InvariantError):
        swim.store_member(state, msgspec.structs.replace(OTHER, incarnation=1))


VALID = messages.encode(messages.ListQuery(1, 'key'))


@pytest.mark.parametrize(
    ('payload', 'reason'),
    [
        (b'', 'malformed_message'),
        (VALID[:-2], 'malformed_message'),
        (b'\xc1', 'malformed_message'),
        (VALID + b'x', 'malformed_message'),
        (b'\x93\x63\x01\xa3key', 'invalid_message'),
        (b'\x93\x0d\xa1x\xa3key', 'invalid_message'),
        (b'\x93\x0d\x01\xa3\xff\xff\xff', 'malformed_message'),
        (VALID + b'x' * 1200, 'oversized_message'),
    ],
)
def test_malformed_datagram_is_dropped(payload: bytes, reason: str) -> None:
    """An invalid datagram is counted and has no other effect."""
    config = build_configs({'a': 1})['node-a-0000']
    state = NodeState(config, random.Random(1))
    assert not reduce(state, PeerReceived(0, ('10.0.0.9', 6081), payload))
    assert state.counters.counts == {('peer_dropped', reason): 1}


@pytest.mark.parametrize('seed', range(5))
def test_damaged_datagrams(seed: int) -> None:
    """No handler fails on datagrams with random byte errors."""
    rng = random.Random(seed)
    mesh = Mesh(seed, {'a': 4})
    mesh.run(3)
    name, node = next(iter(mesh.nodes.items()))
    node.state.invariants.strict = False
    sent = [
        effect.payload
        for other in mesh.list_states()
        for effect in reduce(other, Ticked(mesh.timeline.now + 5, 0))
        if hasattr(effect, 'payload')
    ]
    for _ in range(3000):
        payload = bytearray(rng.choice(sent))
        for _ in range(rng.randrange(1, 4)):
            payload[rng.randrange(len(payload))] = rng.randrange(256)
        event = PeerReceived(mesh.timeline.now, ('9.9.9.9', 1), bytes(payload))
        mesh.dispatch(name, node, event)
    assert node.state.counters.total('peer_dropped') > 100
    assert node.state.counters.total('invariant_broken') == 0


def test_oversized_message_is_not_sent() -> None:
    """Encoding fails if a datagram could be fragmented or dropped."""
    with pytest.raises(WireError):
        messages.encode(messages.FetchQuery(('k' * 1200,)))


def test_suspect_owns_for_a_short_time_only() -> None:
    """A suspect stays an owner candidate only for `OWNER_GRACE_S`.

    A longer time delays new flows after a crash; a shorter one moves owners
    for each lost datagram.
    """
    mesh = build_joined_mesh(3, {'a': 4}, DatagramFaults())
    name = 'node-a-0002'
    mesh.kill(name)
    state = mesh.nodes['node-a-0000'].state

    def owns() -> bool:
        return name in {
            member.name for member in state.members.list_owner_candidates()
        }

    mesh.run_until(lambda: name in state.protocols.swim.suspicions, 6)
    assert owns()
    mesh.run(suspects.OWNER_GRACE_S + 0.2)
    assert not owns()
    assert name in {member.name for member in state.members.list_active()}
    mesh.start(name)
    assert mesh.run_until(owns, 6) <= 6

"""Dissemination of records: delivery, ordering, repair and outages."""

import itertools
import random
from dataclasses import replace
from functools import partial

import msgspec
import pytest

from apricottally import dissemination, messages, model, records
from apricottally.effects import Effect, SendPeer, StartWatch, StopWatch
from apricottally.errors import InvariantError
from apricottally.events import (
    Event,
    PeerReceived,
    PlatformLost,
    Record,
    RecordsReceived,
    Ticked,
)
from apricottally.members import Member
from apricottally.reducer import reduce
from apricottally.state import NodeState
from standins.mesh import DatagramFaults, Mesh, build_configs

LOSSY = DatagramFaults(loss=0.1, duplication=0.1, max_delay_s=0.05)
FEED = '/apricottally/templates/feed'
PEER = ('10.0.0.9', 6081)


def build_template(op: str, service: str = 'desk') -> bytes:
    template = model.Template(
        service,
        model.Urgency.urgent,
        443,
        model.Holding.slot,
    )
    return model.encode_document(op, 'tester', template)


def build_large_value(op: str, backends: int) -> bytes:
    """Return a backend set of this size, whose value needs several chunks."""
    listed = tuple(
        model.Backend(
            number,
            f'vm-{random.Random(number).getrandbits(64):x}',
            f'10.1.{number // 250}.{number % 250}',
            'a',
            2,
            2000,
            model.BackendState.active,
        )
        for number in range(backends)
    )
    return model.encode_document(op, 'tester', model.BackendSet(listed))


def build_state() -> NodeState:
    """Return a node without seeds, which counts as joined at the first tick."""
    config = build_configs({'a': 1})['node-a-0000']
    return NodeState(replace(config, seeds=()), random.Random(1))


def build_push(*records: Record) -> PeerReceived:
    items = tuple(
        messages.Item(record.key, record.version, record.value)
        for record in records
    )
    return PeerReceived(0, PEER, messages.encode(messages.Push(items)))


def is_in_force(mesh: Mesh, record: Record) -> bool:
    """Tell whether every node has the record and routes built from it."""
    return all(
        state.records.version_of(record.key) == record.version
        and not state.protocols.dissemination.routes_are_stale
        for state in mesh.list_states()
    )


def run_until_ready(mesh: Mesh) -> None:
    assert (
        mesh.run_until(
            lambda: all(map(dissemination.is_ready, mesh.list_states())),
            30,
        )
        <= 30
    )


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('faults', [DatagramFaults(), LOSSY])
def test_change_is_in_force_everywhere(
    seed: int, faults: DatagramFaults
) -> None:
    """Every node applies each change, even if datagrams are lost."""
    mesh = Mesh(seed, {'a': 12, 'b': 12, 'c': 12}, faults)
    run_until_ready(mesh)
    for number in range(10):
        record = mesh.platform.write(FEED, build_template(str(number)))
        assert mesh.run_until(partial(is_in_force, mesh, record), 7) <= 7


@pytest.mark.parametrize('faults', [DatagramFaults(), LOSSY])
def test_large_value_arrives_whole(faults: DatagramFaults) -> None:
    """A value sent in chunks is reassembled correctly at every node."""
    mesh = Mesh(1, {'a': 10, 'b': 10}, faults)
    run_until_ready(mesh)
    key = '/apricottally/backends/desk'
    for backends in (100, 1000):
        value = build_large_value(str(backends), backends)
        record = Record(key, 10**6 + backends, value)
        name, node = next(iter(mesh.nodes.items()))
        event = RecordsReceived(
            mesh.timeline.now,
            (record,),
            record.version,
            complete=False,
        )
        mesh.dispatch(name, node, event)
        assert mesh.run_until(partial(is_in_force, mesh, record), 7) <= 7
        for state in mesh.list_states():
            assert state.records.records[key].value == value
            assert not state.protocols.transfers.fetches


VERSIONS = (
    Record(FEED, 2, build_template('two')),
    Record(FEED, 4, None),
    Record(FEED, 7, build_template('seven')),
)


@pytest.mark.parametrize('order', list(itertools.permutations(VERSIONS)))
@pytest.mark.parametrize('source', ['peer', 'platform'])
def test_newest_version_wins_in_any_order(
    order: tuple[Record, ...],
    source: str,
) -> None:
    """An old or repeated record does not replace a newer one."""
    state = build_state()
    for record in (*order, *order):
        event: Event = build_push(record)
        if source == 'platform':
            event = RecordsReceived(0, (record,), record.version, False)
        reduce(state, event)
    assert state.records.records[FEED] == VERSIONS[-1]
    assert state.records.digest() == _digest_of(VERSIONS[-1])


def _digest_of(record: Record) -> int:
    state = build_state()
    reduce(state, build_push(record))
    return state.records.digest()


@pytest.mark.parametrize('seed', range(3))
def test_old_deletions_are_forgotten_alike(
    seed: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Nodes drop old VM deletions, and the same ones.

    Otherwise memory grows with every deleted VM, or digests stay different.
    """
    monkeypatch.setattr(records, 'DELETION_RETENTION_REVISIONS', 50)
    rng = random.Random(seed)
    machine = msgspec.json.encode(
        model.Machine('desk', 'a', '10.1.1.1', model.MachineState.live),
    )
    history = []
    for version in range(1, 600):
        key = f'/vms/{version // 4}'
        value = None if version % 4 == 3 else machine
        history.append(Record(key, version, value))
    history.append(Record(FEED, 600, None))
    stores = []
    for _ in range(3):
        store = records.RecordStore()
        # Reorder by fewer revisions than deletions are retained.
        late = [record.version + rng.uniform(0, 30) for record in history]
        for _, record in sorted(zip(late, history, strict=True)):
            store.apply(record)
        # A peer that lags behind may push the old deletions again.
        for record in history:
            if record.value is None:
                store.apply(record)
        stores.append(store)
    assert {len(store.records) for store in stores} == {14}
    assert len({store.digest() for store in stores}) == 1
    assert stores[0].records[FEED].value is None


def test_reverted_version_breaks_invariant(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A store that replaces a record by an older version is detected."""
    state = build_state()
    reduce(state, build_push(VERSIONS[2]))

    def replace(record: Record) -> bool:
        state.records.records[record.key] = record
        return True

    monkeypatch.setattr(type(state.records), 'apply', lambda _, r: replace(r))
    with pytest.raises(InvariantError):
        reduce(state, build_push(VERSIONS[0]))


@pytest.mark.parametrize(
    ('listed', 'revision', 'kept'),
    [
        # The list lacks the record and is newer than it.
        ((), 9, False),
        # A lagging or restarted platform does not have the record yet.
        ((), 5, True),
        ((), 1, True),
        # The platform has an older version of the record.
        (((3, 'old'),), 5, True),
    ],
)
def test_complete_list_against_newer_record(
    listed: tuple[tuple[int, str], ...],
    revision: int,
    kept: bool,
) -> None:
    """A list from a lagging platform neither deletes nor reverts a record."""
    state = build_state()
    newest = Record(FEED, 7, build_template('seven'))
    reduce(state, build_push(newest))
    records = tuple(
        Record(FEED, version, build_template(op)) for version, op in listed
    )
    reduce(state, RecordsReceived(0, records, revision, complete=True))
    held = state.records.records[FEED]
    assert held == (newest if kept else Record(FEED, 9, None))


@pytest.mark.parametrize(
    ('key', 'version', 'value', 'kind'),
    [
        (FEED, 9, b'', 'templates'),
        (FEED, 9, build_template('x')[:-5], 'templates'),
        (FEED, 9, build_template('x', service=''), 'templates'),
        (FEED, 9, b'\xff' * 50, 'templates'),
        (FEED, 9, b' ' * 1_000_001, 'templates'),
        (FEED, 0, build_template('x'), 'templates'),
        (FEED, -3, build_template('x'), 'templates'),
        (FEED, 1 << 63, build_template('x'), 'templates'),
        ('/vms/x', 9, b'{"ip": 1}', 'vms'),
        ('/vms/' + 'x' * 200, 9, None, 'vms'),
        ('nonsense', 9, b'{}', 'other'),
        ('/apricottally/backends/desk', 9, build_template('x'), 'backends'),
    ],
)
def test_invalid_record_is_refused(
    key: str,
    version: int,
    value: bytes | None,
    kind: str,
) -> None:
    """An invalid record is rejected and counted; the valid one is kept."""
    state = build_state()
    good = Record(FEED, 5, build_template('good'))
    reduce(state, build_push(good))
    bad = Record(key, version, value)
    reduce(state, RecordsReceived(0, (bad,), 9, complete=False))
    assert state.records.records == {FEED: good}
    assert state.counters.total('record_refused', kind) == 1
    assert not state.routes.services


@pytest.mark.parametrize(
    ('damage', 'chunks', 'reason'),
    [
        ({'payload': b'x' * 900}, 1, 'torn'),
        ({'digest': 1}, 99, 'torn'),
        ({'index': 99}, 1, 'foreign_chunk'),
        ({'count': 10**6}, 1, 'foreign_chunk'),
        ({'index': -1}, 1, 'foreign_chunk'),
    ],
)
def test_corrupted_transfer_is_refused(
    damage: dict[str, object],
    chunks: int,
    reason: str,
) -> None:
    """A value with a corrupted chunk is discarded, not applied."""
    owner, taker = build_state(), build_state()
    key = '/apricottally/backends/desk'
    record = Record(key, 5, build_large_value('x', 100))
    reduce(owner, RecordsReceived(0, (record,), 5, complete=False))
    offer = messages.Offer(messages.Entry(key, 5, len(record.value or b'')))
    pending = reduce(taker, PeerReceived(0, PEER, messages.encode(offer)))
    while pending:
        query = pending.pop(0)
        assert isinstance(query, SendPeer)
        for answer in reduce(owner, PeerReceived(0, PEER, query.payload)):
            assert isinstance(answer, SendPeer)
            chunk = messages.decode(answer.payload)
            if chunks:
                chunk = msgspec.structs.replace(chunk, **damage)
                chunks -= 1
            payload = messages.encode(chunk)
            pending += reduce(taker, PeerReceived(0, PEER, payload))
    assert taker.counters.total('transfer', reason) == 1
    assert not taker.records.records


def test_chunk_of_another_sender_is_ignored() -> None:
    """A chunk must come from a node that it was requested from.

    Any other datagram with the key and version could make the value invalid.
    """
    state = build_state()
    key = '/apricottally/backends/desk'
    offer = messages.Offer(messages.Entry(key, 5, 900))
    reduce(state, PeerReceived(0, PEER, messages.encode(offer)))
    chunk = messages.Chunk(key, 5, 0, 2, 7, b'x' * 900)
    stranger = ('10.0.0.8', PEER[1])
    reduce(state, PeerReceived(0, stranger, messages.encode(chunk)))
    assert state.counters.total('transfer', 'foreign_chunk') == 1
    reduce(state, PeerReceived(0, PEER, messages.encode(chunk)))
    assert state.protocols.transfers.fetches[key].chunks == {0: b'x' * 900}


def test_fetches_are_bounded() -> None:
    """Peers cannot make a node allocate unlimited memory for fetches."""
    state = build_state()
    for number in range(20):
        entry = messages.Entry(f'/vms/{number}', 5, 900_000)
        payload = messages.encode(messages.Offer(entry))
        reduce(state, PeerReceived(0, PEER, payload))
    assert len(state.protocols.transfers.fetches) == 4
    for tick in range(100):
        reduce(state, Ticked(tick / 10, 0))
    assert not state.protocols.transfers.fetches


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('faults', [DatagramFaults(), LOSSY])
def test_zone_restarts_during_outage(seed: int, faults: DatagramFaults) -> None:
    """Nodes restarted during a platform outage get all records from peers.

    They must not end up with older versions.
    """
    mesh = Mesh(seed, {'a': 10, 'b': 10}, faults)
    run_until_ready(mesh)
    for number in range(200):
        mesh.platform.write(f'{FEED}{number}', build_template('first'))
    mesh.run(10)
    record = mesh.platform.write(f'{FEED}7', build_template('new'))
    mesh.platform.write(f'{FEED}8', None)
    mesh.run(7)
    mesh.platform.begin_outage()
    zone = [name for name in mesh.nodes if name.startswith('node-b')]
    for name in zone:
        mesh.kill(name)
    mesh.run(10)
    for name in zone:
        mesh.start(name)
    run_until_ready(mesh)
    assert mesh.run_until(partial(is_in_force, mesh, record), 5) <= 5
    digests = {state.records.digest() for state in mesh.list_states()}
    assert len(digests) == 1


def test_older_neighbour_changes_nothing() -> None:
    """A zone that rejoins after a partition does not restore old records."""
    mesh = Mesh(2, {'a': 8, 'b': 8})
    run_until_ready(mesh)
    for name in ('kept', 'gone'):
        mesh.platform.write(f'{FEED}-{name}', build_template('first'))
    mesh.run(7)
    mesh.partitions.append(frozenset('b'))
    mesh.run(3)
    kept = mesh.platform.write(f'{FEED}-kept', build_template('second'))
    gone = mesh.platform.write(f'{FEED}-gone', None)
    mesh.run(20)
    cut = mesh.nodes['node-b-0001'].state
    assert cut.records.version_of(kept.key) < kept.version
    mesh.partitions.clear()
    mesh.run(40)
    assert is_in_force(mesh, kept)
    assert is_in_force(mesh, gone)


def test_equal_neighbour_does_not_stop_repair() -> None:
    """A peer with an equal digest does not postpone a due pull.

    Otherwise two nodes that missed the same record may never request it.
    """
    state = build_state()
    reduce(state, RecordsReceived(0, VERSIONS[:1], 2, complete=True))
    member = Member('x', 'a', '10.0.0.9', 6080, 6081)
    equal = messages.View(2, state.records.digest(), 1, ready=True)
    newer = messages.View(7, 1, 1, ready=True)
    for step in range(8):
        view = newer if step % 2 else equal
        payload = messages.encode(messages.Ping(step, member, view))
        reduce(state, PeerReceived(step / 4, PEER, payload))
    session = state.protocols.repair.session
    assert session is not None
    assert session.peer == PEER


def test_only_first_nodes_of_each_zone_watch() -> None:
    """Load on the platform does not grow with the number of nodes."""
    mesh = Mesh(1, {'a': 20, 'b': 2, 'c': 10})
    run_until_ready(mesh)
    mesh.run(30)
    watching = [
        state.config.zone
        for state in mesh.list_states()
        if state.protocols.watch.active
    ]
    assert sorted(watching) == ['a'] * 3 + ['b'] * 2 + ['c'] * 3
    mesh.kill(next(iter(mesh.platform.watchers)))
    mesh.run(10)
    assert len(mesh.platform.watchers) == 8


def test_role_starts_and_stops_the_watch() -> None:
    """A node watches only while it is one of the first of its zone."""
    state = build_state()
    assert StartWatch() in reduce(state, Ticked(0, 0))
    assert StartWatch() not in reduce(state, Ticked(0.1, 0))
    for number in range(40):
        member = Member(f'n{number}', 'a', f'10.0.1.{number}', 6080, 6081)
        state.members.put(member)
    assert StopWatch() in reduce(state, Ticked(0.2, 0))


def test_platform_back_off() -> None:
    """Retries back off with jitter, to limit calls during an outage."""
    delays = []
    state = build_state()
    now = float(0)
    reduce(state, Ticked(now, 0))
    for _ in range(400):
        reduce(state, PlatformLost(now, 'down'))
        reduce(state, PlatformLost(now, 'down'))
        started = now
        effects: list[Effect] = []
        while StartWatch() not in effects:
            now += 0.1
            effects = reduce(state, Ticked(now, 0))
        delays.append(now - started)
    for failures, delay in enumerate(delays[:7]):
        assert delay <= min(60, 2**failures) + 0.2
    assert max(delays) < 61
    later = delays[7:]
    assert 25 < sum(later) / len(later) < 35
    assert min(later) < 5
    reduce(state, RecordsReceived(now, (), 1, complete=True))
    assert state.protocols.watch.failures == 0


def test_outage_ends() -> None:
    """Watchers reconnect after an outage, and call rarely during it."""
    mesh = Mesh(1, {'a': 6, 'b': 6})
    run_until_ready(mesh)
    mesh.platform.begin_outage()
    mesh.run(200)
    calls = mesh.platform.calls
    mesh.run(300)
    # 6 watchers retry every 30 s on average: about 60 calls in 300 s.
    assert mesh.platform.calls - calls < 180
    mesh.platform.down = False
    record = mesh.platform.write(FEED, build_template('x'))
    assert mesh.run_until(partial(is_in_force, mesh, record), 65) <= 65


def receive_list(state: NodeState, now: float, revision: int, value) -> list:
    records = (Record(FEED, min(revision, 12), value),)
    return reduce(state, RecordsReceived(now, records, revision, complete=True))


def test_restored_platform_is_refused() -> None:
    """Guards against changes that get a revision which was used before.

    A platform that was restored from an older copy without a raised revision
    gives revisions out again; nodes would ignore such changes one by one, and
    each another set of them. It is reported, and read again later.
    """
    state = build_state()
    reduce(state, Ticked(0, 0))
    receive_list(state, 1, 20, build_template('known'))
    outputs = receive_list(state, 2, 15, build_template('copy'))
    assert any(isinstance(one, StopWatch) for one in outputs)
    assert state.counters.total('platform_lost', 'older_revision') == 1
    assert not state.protocols.watch.list_received
    started = [
        one
        for step in range(40)
        for one in reduce(state, Ticked(2 + step / 10, 0))
        if isinstance(one, StartWatch)
    ]
    assert len(started) == 1
    receive_list(state, 9, 1020, build_template('known'))
    assert state.protocols.watch.list_received

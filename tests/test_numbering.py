"""Tests of the assignment of backend numbers.

A backend server gets its number once. The number is not reused while flows that
carry it may exist.
"""

import random

import msgspec
import pytest

from apricottally import model, numberassignment, numbering
from apricottally.effects import Effect, StartWatch, SwapRecord
from apricottally.events import (
    Record,
    RecordsReceived,
    SwapCompleted,
    Ticked,
)
from apricottally.model import Backend, BackendSet, BackendState, Machine
from apricottally.reducer import reduce
from apricottally.state import NodeState
from standins.mesh import START_UNIX_S, DatagramFaults, Mesh, build_configs
from tests.test_dissemination import build_push

KEY = '/apricottally/backends/desk'
DAY_S = 86_400
ACTIVE = BackendState.active
DRAINING = BackendState.draining
RETIRED = BackendState.retired


def build_machine(number: int, state: str = 'live') -> Machine:
    ip = f'10.7.{number // 250}.{number % 250}'
    return Machine('desk', 'a', ip, model.MachineState(state))


def encode_machine(number: int, state: str = 'live') -> bytes:
    return msgspec.json.encode(build_machine(number, state))


def build_backend(
    number: int,
    machine: int,
    state: BackendState = ACTIVE,
    changed_s: int = 0,
) -> Backend:
    ip = build_machine(machine).ip
    name = f'vm{machine}'
    return Backend(number, name, ip, 'a', 2, 2000, state, changed_s)


def map_states(body: BackendSet) -> dict[int, tuple[str, str]]:
    return {
        backend.number: (backend.name, backend.state.value)
        for backend in body.backends
    }


def read_numbers(mesh: Mesh) -> dict[int, tuple[str, str]]:
    record = mesh.platform.records.get(KEY)
    if record is None or record.value is None:
        return {}
    body = model.decode_document(record.value).body
    return map_states(model.decode_json(body, BackendSet))


VM1 = build_backend(0, 1)


@pytest.mark.parametrize(
    ('held', 'next_number', 'machines', 'expected'),
    [
        # New backend servers get the next free numbers in order of name.
        ((), 0, {1: 'live', 2: 'live'}, {0: ACTIVE, 1: ACTIVE}),
        ((VM1,), 1, {1: 'live', 2: 'live'}, {0: ACTIVE, 1: ACTIVE}),
        ((VM1,), 1023, {1: 'live', 2: 'live'}, {0: ACTIVE, 1023: ACTIVE}),
        ((VM1,), 0, {1: 'live', 2: 'live'}, {0: ACTIVE, 1: ACTIVE}),
        # A leaving VM drains if it has a number, and gets none otherwise.
        ((VM1,), 1, {1: 'leaving', 2: 'leaving'}, {0: DRAINING}),
        # A draining backend whose VM is live again becomes active.
        ((build_backend(0, 1, DRAINING),), 1, {1: 'live'}, {0: ACTIVE}),
        # A backend whose VM is gone is retired, whatever its state was.
        ((VM1,), 1, {}, {0: RETIRED}),
        ((build_backend(0, 1, DRAINING),), 1, {}, {0: RETIRED}),
        # A VM that comes back after its backend was retired gets a new number.
        (
            (build_backend(0, 1, RETIRED, START_UNIX_S),),
            0,
            {1: 'live'},
            {0: RETIRED, 1: ACTIVE},
        ),
        # A retired number is reused after a day, and not before.
        (
            (build_backend(0, 9, RETIRED, START_UNIX_S - DAY_S + 1),),
            0,
            {1: 'live'},
            {0: RETIRED, 1: ACTIVE},
        ),
        (
            (build_backend(0, 9, RETIRED, START_UNIX_S - DAY_S),),
            0,
            {1: 'live'},
            {0: ACTIVE},
        ),
        # A VM of the same name with another IP is another backend server.
        ((build_backend(0, 5),), 1, {}, {0: RETIRED}),
        (
            (msgspec.structs.replace(VM1, ip='10.7.9.9'),),
            1,
            {1: 'live'},
            {0: RETIRED, 1: ACTIVE},
        ),
    ],
)
def test_number_assignment(
    held: tuple[Backend, ...],
    next_number: int,
    machines: dict[int, str],
    expected: dict[int, BackendState],
) -> None:
    """A number must never stand for two backend servers."""
    listed = {
        f'vm{number}': build_machine(number, state)
        for number, state in machines.items()
    }
    body = BackendSet(held, next_number)
    planned = numberassignment.assign_numbers(body, listed, START_UNIX_S)
    found = {backend.number: backend.state for backend in planned.backends}
    assert found == expected
    assert not model.list_faults(planned)
    repeated = numberassignment.assign_numbers(
        planned, listed, START_UNIX_S + 1
    )
    assert repeated is planned


@pytest.mark.parametrize('seed', range(5))
def test_numbers_are_kept_for_a_day(seed: int) -> None:
    """A number must not be reassigned while flows may still carry it.

    Such flows would reach the wrong backend server.
    """
    rng = random.Random(seed)
    body = BackendSet(())
    machines: dict[str, Machine] = {}
    last_holders: dict[int, tuple[str, int]] = {}
    for step in range(400):
        now_s = START_UNIX_S + step * 600
        for _ in range(rng.randrange(12)):
            number = rng.randrange(2000)
            machines[f'vm{number}'] = build_machine(number)
        for name in rng.sample(sorted(machines), len(machines) // 10):
            machines.pop(name)
        body = numberassignment.assign_numbers(body, machines, now_s)
        for backend in body.backends:
            holder, at = last_holders.get(backend.number, (backend.name, 0))
            assert holder == backend.name or now_s - at >= DAY_S
            if backend.state is not RETIRED:
                last_holders[backend.number] = (backend.name, now_s)
        assert numberassignment.assign_numbers(body, machines, now_s) is body


def test_full_service_waits() -> None:
    """A retired number must not be reused early if no other is free."""
    held = tuple(
        build_backend(number, number, RETIRED, START_UNIX_S)
        for number in range(1024)
    )
    body = BackendSet(held)
    machines = {'new': build_machine(3000)}
    assert (
        numberassignment.assign_numbers(body, machines, START_UNIX_S + 5)
        is body
    )
    assert numberassignment.count_unnumbered(body, machines) == 1
    later = numberassignment.assign_numbers(
        body, machines, START_UNIX_S + DAY_S
    )
    assert map_states(later) == {0: ('new', 'active')}


def build_numbered_mesh(seed: int, count: int, faults: DatagramFaults) -> Mesh:
    """Return a mesh in which `count` backend servers have numbers."""
    mesh = Mesh(seed, {'a': 6, 'b': 6}, faults)
    mesh.run(8)
    for number in range(count):
        mesh.platform.write(f'/vms/vm{number}', encode_machine(number))
    assert mesh.run_until(lambda: len(read_numbers(mesh)) == count, 8) <= 8
    mesh.run(20)
    return mesh


def count_swaps(mesh: Mesh, outcome: str) -> int:
    return sum(
        state.counters.total('swap', outcome) for state in mesh.list_states()
    )


@pytest.mark.parametrize(
    'faults',
    [
        DatagramFaults(),
        DatagramFaults(loss=0.1, duplication=0.1, max_delay_s=0.05),
    ],
)
def test_life_of_a_backend(faults: DatagramFaults) -> None:
    """Every change of a VM on the list must update the numbers."""
    mesh = build_numbered_mesh(1, 3, faults)
    before = count_swaps(mesh, 'sent')
    mesh.platform.write('/vms/vm1', encode_machine(1, 'leaving'))
    mesh.run(1)
    assert read_numbers(mesh)[1] == ('vm1', 'draining')
    mesh.platform.write('/vms/vm1', None)
    mesh.run(1)
    assert read_numbers(mesh)[1] == ('vm1', 'retired')
    mesh.platform.write('/vms/vm1', encode_machine(1))
    mesh.run(1)
    assert read_numbers(mesh) == {
        0: ('vm0', 'active'),
        1: ('vm1', 'retired'),
        2: ('vm2', 'active'),
        3: ('vm1', 'active'),
    }
    mesh.run(20)
    # Only the first-ranked watcher writes, once for each change.
    assert count_swaps(mesh, 'sent') - before == 3


@pytest.mark.parametrize('seed', range(3))
def test_race_for_one_number(
    seed: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against two watchers that assign one number to two backends.

    Without the delay by rank, all watchers write at the same time.
    """
    monkeypatch.setattr(numbering, 'RANK_DELAY_S', 0)
    mesh = build_numbered_mesh(seed, 8, DatagramFaults())
    assert count_swaps(mesh, 'conflict') > 0
    listed = sorted(name for name, _ in read_numbers(mesh).values())
    assert listed == [f'vm{number}' for number in range(8)]
    writes = [each for each in mesh.platform.history if each.key == KEY]
    assert len(writes) <= 8


def test_numbers_are_written_after_restoration() -> None:
    """Guards against backend servers that never get a number again.

    The platform is restored from an older copy with a raised revision; the
    nodes know newer numbers, at a version that it does not have. The numbers
    that it lost must not be given to other backend servers.
    """
    mesh = build_numbered_mesh(1, 3, DatagramFaults())
    older = mesh.platform.take_copy()
    mesh.platform.write('/vms/vm9', encode_machine(9))
    assert mesh.run_until(lambda: len(read_numbers(mesh)) == 4, 8) <= 8
    mesh.run(2)
    mesh.platform.restore(older, 1000)
    for number in (4, 9):
        mesh.platform.write(f'/vms/vm{number}', encode_machine(number))
    assert mesh.run_until(lambda: len(read_numbers(mesh)) == 5, 30) <= 30
    assert read_numbers(mesh)[3] == ('vm9', 'active')


def test_lost_numbers_are_written_again() -> None:
    """Guards against numbers that only the nodes know.

    If all nodes restarted, these numbers would be given to other backends.
    """
    mesh = build_numbered_mesh(1, 3, DatagramFaults())
    older = mesh.platform.take_copy()
    mesh.platform.write('/vms/vm9', encode_machine(9))
    older.records['/vms/vm9'] = mesh.platform.records['/vms/vm9']
    assert mesh.run_until(lambda: len(read_numbers(mesh)) == 4, 8) <= 8
    mesh.run(2)
    mesh.platform.restore(older, 1000)
    assert len(read_numbers(mesh)) == 3
    assert mesh.run_until(lambda: len(read_numbers(mesh)) == 4, 30) <= 30
    mesh.run(20)
    before = count_swaps(mesh, 'sent')
    mesh.run(60)
    assert count_swaps(mesh, 'sent') == before


def test_deleted_numbers_stay_deleted() -> None:
    """Guards against numbers that are written again after an operator's delete.

    Only those that a restored platform has lost are.
    """
    mesh = build_numbered_mesh(1, 1, DatagramFaults())
    mesh.platform.write('/vms/vm0', None)
    mesh.run(30)
    before = count_swaps(mesh, 'sent')
    mesh.platform.write(KEY, None)
    mesh.run(30)
    assert KEY not in mesh.platform.records
    assert count_swaps(mesh, 'sent') == before


def get_author(mesh: Mesh) -> str:
    """Return the name of the node that wrote the numbers last."""
    value = mesh.platform.records[KEY].value
    assert value is not None
    return model.decode_document(value).author


def test_write_of_paused_watcher_fails() -> None:
    """A watcher that resumes after a pause must not undo newer numbers.

    It still knows only the numbers from before the pause.
    """
    mesh = build_numbered_mesh(1, 3, DatagramFaults())
    first = get_author(mesh)
    mesh.pause(first)
    mesh.platform.write('/vms/vm3', encode_machine(3))
    mesh.run(6)
    assert get_author(mesh) != first
    numbers = read_numbers(mesh)
    assert numbers[3] == ('vm3', 'active')
    version = mesh.platform.records[KEY].version
    # The resumed node has read the change of the VM list, but not the numbers
    # that another watcher wrote because of it.
    node = mesh.nodes[first]
    node.paused = False
    machine = mesh.platform.records['/vms/vm3']
    now = mesh.timeline.now
    event = RecordsReceived(now, (machine,), machine.version, complete=False)
    mesh.dispatch(first, node, event)
    mesh.dispatch(first, node, Ticked(now, START_UNIX_S + now))
    mesh.run(0.05)
    assert node.state.counters.total('swap', 'conflict') == 1
    assert mesh.platform.records[KEY].version == version
    mesh.resume(first)
    mesh.run(30)
    assert read_numbers(mesh) == numbers
    assert mesh.platform.records[KEY].version == version


def build_watcher() -> NodeState:
    """Return the state of a single watcher with one numbered backend."""
    config = build_configs({'a': 1})['node-a-0000']
    state = NodeState(config, random.Random(1))
    for tick in range(40):
        reduce(state, Ticked(tick / 10, START_UNIX_S))
    records = (
        Record('/vms/vm1', 5, encode_machine(1)),
        build_numbers_record(6, VM1),
    )
    reduce(state, RecordsReceived(4, records, 6, complete=True))
    assert list_swaps(reduce(state, Ticked(4.1, START_UNIX_S))) == []
    return state


def build_numbers_record(version: int, *backends: Backend) -> Record:
    body = BackendSet(backends, len(backends))
    return Record(KEY, version, model.encode_document('x', 'x', body))


def list_swaps(effects: list[Effect]) -> list[SwapRecord]:
    return [effect for effect in effects if isinstance(effect, SwapRecord)]


def test_numbers_ahead_of_own_watch() -> None:
    """Guards against a lagging watcher that retires live backends.

    It receives newer numbers from a peer before the VMs that they belong to.
    """
    state = build_watcher()
    newer = build_numbers_record(8, VM1, build_backend(1, 2))
    # A peer delivers the numbers before this node's own watch does.
    reduce(state, build_push(newer))
    assert state.records.version_of(KEY) == 8
    assert list_swaps(reduce(state, Ticked(4.2, START_UNIX_S))) == []
    reduce(state, build_push(Record('/vms/vm3', 9, encode_machine(3))))
    assert list_swaps(reduce(state, Ticked(4.3, START_UNIX_S))) == []
    records = (
        Record('/vms/vm2', 7, encode_machine(2)),
        newer,
        Record('/vms/vm3', 9, encode_machine(3)),
    )
    reduce(state, RecordsReceived(4.3, records, 9, complete=False))
    swaps = list_swaps(reduce(state, Ticked(4.4, START_UNIX_S)))
    assert [swap.version for swap in swaps] == [8]
    body = model.decode_document(swaps[0].value).body
    found = map_states(model.decode_json(body, BackendSet))
    assert [state for _, state in found.values()] == ['active'] * 3


@pytest.mark.parametrize('outcome', ['stored', 'conflict', 'unknown', ''])
def test_one_swap_at_a_time(outcome: str) -> None:
    """No second write may start before the first one's result is visible."""
    state = build_watcher()
    now = 4.2
    for number in range(2, 6):
        record = Record(f'/vms/vm{number}', 5 + number, encode_machine(number))
        event = RecordsReceived(now, (record,), record.version, complete=False)
        reduce(state, event)
        swaps = list_swaps(reduce(state, Ticked(now, START_UNIX_S)))
        assert len(swaps) == (number == 2)
        if number == 2 and outcome:
            op_id = swaps[0].op_id
            reduce(state, SwapCompleted(now, op_id, KEY, outcome))
        now += 0.1
    stored = build_numbers_record(12, VM1, build_backend(1, 2))
    reduce(state, RecordsReceived(now, (stored,), 12, complete=False))
    swaps = list_swaps(reduce(state, Ticked(now, START_UNIX_S)))
    # The first swap may still be executed as long as it has no answer.
    if outcome in {'', 'unknown'}:
        assert swaps == []
    if outcome == 'unknown':
        while StartWatch() not in reduce(state, Ticked(now, START_UNIX_S)):
            now += 0.1
        listed = tuple(state.records.records.values())
        reduce(state, RecordsReceived(now, listed, 12, complete=True))
        swaps = list_swaps(reduce(state, Ticked(now, START_UNIX_S)))
    if outcome:
        assert [swap.version for swap in swaps] == [12]


@pytest.mark.parametrize('lost', ['lose_answers', 'lose_calls'])
def test_unknown_outcome_is_looked_up(lost: str) -> None:
    """A write without an answer must be checked, and repeated only if lost."""
    mesh = build_numbered_mesh(1, 3, DatagramFaults())
    before = count_swaps(mesh, 'sent')
    writes = len(mesh.platform.history)
    setattr(mesh.platform, lost, 1)
    mesh.platform.write('/vms/vm3', encode_machine(3))
    mesh.run(10)
    assert read_numbers(mesh)[3] == ('vm3', 'active')
    assert count_swaps(mesh, 'unknown') == 1
    assert len(mesh.platform.history) - writes == 2
    repeats = 1 if lost == 'lose_calls' else 0
    assert count_swaps(mesh, 'sent') - before == 1 + repeats


def test_no_write_during_an_outage() -> None:
    """Guards against repeated swaps while the platform is down."""
    mesh = build_numbered_mesh(1, 3, DatagramFaults())
    mesh.platform.begin_outage()
    before = count_swaps(mesh, 'sent')
    mesh.platform.write('/vms/vm3', encode_machine(3))
    mesh.run(60)
    assert count_swaps(mesh, 'sent') == before
    mesh.platform.down = False
    assert mesh.run_until(lambda: len(read_numbers(mesh)) == 4, 65) <= 65

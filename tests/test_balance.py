"""Backend selection, slow start, and misleading load reports."""

import itertools
import random
from collections import Counter

import msgspec
import pytest

from apricottally import backendselection, retries, slowstart, synbudget
from apricottally.backendselection import BackendLoad
from apricottally.events import LoadReport, LoadReported
from apricottally.members import Member
from apricottally.model import Holding, Urgency
from apricottally.routes import build_service
from tests.owner import WALL_S, Owner, build_backends

# Duration of a request in seconds, and number of requests sent.
RUN_S = 0.05
STEPS = 4000


def build_loads(count: int, **changes) -> list[BackendLoad]:
    backends = build_backends(count, **changes)
    return [BackendLoad(backend, -100) for backend in backends]


LIES = {
    'honest': lambda busy: busy,
    'zero': lambda busy: 0,
    'frozen': lambda busy: 2,
    'inverted': lambda busy: 2 - busy,
    'huge': lambda busy: 1000,
}


@pytest.mark.parametrize('lie', LIES)
@pytest.mark.parametrize('running', [3, 5])
def test_imbalance_with_misleading_reports(lie, running) -> None:
    """A backend must not attract or repel load by false reports."""
    rng = random.Random(f'{lie}{running}')
    loads = build_loads(4)
    served: Counter[int] = Counter()
    held: list[BackendLoad] = []
    for step in range(STEPS):
        now = step * RUN_S / running
        if step % 100 == 0:
            for load in loads:
                load.reset_poll_counts()
                tell = LIES[lie] if load is loads[0] else LIES['honest']
                report = LoadReport(tell(load.busy), 0, 'ready')
                backendselection.record_report(load, report, now)
        if len(held) >= running:
            held.pop(rng.randrange(len(held))).free(Holding.slot)
        key = step.to_bytes(12, 'big')
        chosen = backendselection.choose(loads, Holding.slot, key, now)
        assert chosen is not None
        chosen.take(Holding.slot)
        backendselection.record_accepted(chosen, now)
        held.append(chosen)
        if step > STEPS // 2:
            served[chosen.backend.number] += 1
    # No backend serves more than 1.1 times the mean of the four.
    assert max(served.values()) * 40 <= served.total() * 11


@pytest.mark.parametrize(
    ('busy', 'own', 'ended', 'free'),
    [
        (0, 0, 0, 4),
        (1, 0, 0, 3),
        (4, 0, 0, 2),
        (4, 2, 0, 0),
        (2, 2, 0, 2),
        (3, 2, 1, 2),
        (0, 3, 0, 1),
    ],
)
def test_reports_lower_capacity_at_most_by_half(busy, own, ended, free) -> None:
    """Reports must not add capacity, nor take away more than half."""
    load = build_loads(1, slots=4)[0]
    load.busy = own
    load.ended_since_poll = ended
    backendselection.record_report(load, LoadReport(busy, 0, 'ready'), 10)
    for now, expected in ((10, free), (14.9, free), (15, 4 - own)):
        found = backendselection.count_free(
            load, Holding.slot, now, takeover=False
        )
        assert found == expected


def test_foreign_slots_are_tested_and_believed_when_true() -> None:
    """False reports of foreign slots must not halve a backend for good.

    One flow is admitted as a test; if the backend sheds it, the report holds.
    """
    load = build_loads(1)[0]
    free = []
    for now in (10, 12, 14, 16):
        load.reset_poll_counts()
        backendselection.record_report(load, LoadReport(2, 0, 'ready'), now)
        free.append(
            backendselection.count_free(load, Holding.slot, now, takeover=False)
        )
    assert free == [1, 1, 1, 2]
    backendselection.record_shed(load, 16)
    assert (
        backendselection.count_free(load, Holding.slot, 16, takeover=False) == 0
    )
    later = 16 + backendselection.SHED_PAUSE_S
    assert (
        backendselection.count_free(load, Holding.slot, later, takeover=False)
        == 1
    )


@pytest.mark.parametrize(
    ('draining', 'chosen'), [((0,), {1, 2}), ((0, 1, 2), {0, 1, 2})]
)
def test_reported_drain(draining, chosen) -> None:
    """A draining backend must get no flows.

    Reports of a drain by most backends must not empty the shard.
    """
    loads = build_loads(3)
    for number in draining:
        report = LoadReport(0, 0, 'draining')
        backendselection.record_report(loads[number], report, 10)
    found = {
        backendselection.choose(loads, Holding.slot, bytes([key]) * 12, 10)
        for key in range(50)
    }
    assert {load.backend.number for load in found} == chosen


def test_connections_are_least_outstanding_per_capacity() -> None:
    """Connections must spread in proportion to backend capacity."""
    loads = build_loads(2)
    small = msgspec.structs.replace(loads[0].backend, connections=500)
    loads[0].backend = small
    for index in range(1000):
        key = index.to_bytes(12, 'big')
        chosen = backendselection.choose(loads, Holding.connection, key, 0)
        chosen.take(Holding.connection)
    assert [load.open for load in loads] == [200, 800]


@pytest.mark.parametrize(
    ('opened', 'reported', 'bounds'),
    [
        ((1000, 1000, 1000), 0, (900, 1000)),
        ((1000, 1000, 1000), 2000, (1000, 1100)),
        ((100, 1000, 1000), 100, (100, 100)),
        ((1000, 700, 700), 700, (700, 760)),
        ((700, 700, 700), 705, (700, 700)),
    ],
)
def test_drift_of_connections_is_corrected(opened, reported, bounds) -> None:
    """Connection counts must follow reports, but only in small bounds."""
    loads = build_loads(3)
    for load, count in zip(loads, opened, strict=True):
        load.open = count
    for now in range(100):
        report = LoadReport(0, reported, 'ready')
        backendselection.record_report(loads[0], report, now)
        backendselection.correct_drift(loads[0], loads, now)
    assert bounds[0] <= loads[0].open <= bounds[1]


def test_slow_start() -> None:
    """A cold backend must not get a full share of flows at once."""
    loads = build_loads(4)
    loads[3] = BackendLoad(loads[3].backend, 0)
    shares = []
    for second in range(14):
        served: Counter[int] = Counter()
        for step in range(400):
            now = second + step / 400
            key = f'{second:06}{step:06}'.encode()
            chosen = backendselection.choose(loads, Holding.slot, key, now)
            backendselection.update_credits(loads, chosen, now)
            served[chosen.backend.number] += 1
        shares.append(served[3] / 100)
    assert shares[:2] == [0, 0]
    # A backend of weight w among three of weight 1 gets 4w / (3 + w) times the
    # mean.
    middles = [(second - 1.5) / 10 for second in range(2, 12)]
    expected = [4 * middle / (3 + middle) for middle in middles]
    assert shares[2:12] == pytest.approx(expected, abs=0.06)
    assert shares[13] == pytest.approx(1, abs=0.2)


def test_shard_grows_with_its_new_backend() -> None:
    """A shard must not get the flows of a new backend too early."""
    old = build_backends(3)
    new = msgspec.structs.replace(old[2], changed_s=WALL_S)
    service = build_service('desk', 1, (*old[:2], new))
    shard = service.shards[0]
    weights = []
    for age in range(14):
        slowstart.update_weights([service], WALL_S + age)
        weights.append(shard.weight)
    ramp = [0.2 * step for step in range(1, 11)]
    assert weights == pytest.approx([4, 4, 4, *(4 + w for w in ramp), 6])
    young = tuple(
        msgspec.structs.replace(backend, changed_s=WALL_S) for backend in old
    )
    service = build_service('desk', 1, young)
    slowstart.update_weights([service], WALL_S)
    assert service.shards[0].weight == 6


def test_weights_grow_with_the_clock() -> None:
    """Shard weights must be updated as time passes."""
    owner = Owner(build_backends(2))
    old = build_backends(3)
    new = msgspec.structs.replace(old[2], changed_s=int(WALL_S + owner.now))
    owner.put_backends((*old[:2], new))
    services = owner.state.routes.services
    shard = services['desk'].shards[0]
    weights = [shard.weight]
    for _ in range(3):
        owner.tick(5)
        weights.append(shard.weight)
    assert weights == pytest.approx([4, 4.6, 5.6, 6])


def test_new_backend_waits_until_its_number_is_known() -> None:
    """No flow may carry a backend number that other nodes do not know."""
    owner = Owner(build_backends(1))
    owner.put_backends(build_backends(2))
    for port in (1, 2, 3):
        owner.syn(port)
    assert owner.load(1).busy == 0
    assert owner.tick(1.8)[0] == ('caller', 'refusal')
    owner.tick(0.3)
    owner.syn(4)
    owner.syn(5)
    assert owner.load(1).busy == 1


def test_retry_budget_is_a_tenth() -> None:
    """Retries must not multiply the load of failing backends."""
    budgets = retries.RetryBudgets()
    retried = 0
    for tries in range(1, 2001):
        budgets.earn('a')
        retried += budgets.spend('a') + budgets.spend('a')
        assert retried <= tries / 10
    assert retried >= 199
    assert not budgets.spend('b')
    for _ in range(1000):
        budgets.earn('c')
    assert sum(itertools.takewhile(bool, map(budgets.spend, 'c' * 9))) == 5


def test_syn_budget() -> None:
    """Background SYNs must not use up the budget of urgent ones."""
    budget = synbudget.SynBudget(1000)
    taken: Counter[Urgency] = Counter()
    for step in range(20_000):
        now = step / 5000
        urgency = Urgency.urgent if step % 10 == 0 else Urgency.background
        taken[urgency] += budget.spend(now, urgency)
    assert taken[Urgency.urgent] == 2000
    assert taken.total() == pytest.approx(4000, abs=150)


def test_backend_without_answer_is_left_out() -> None:
    """A dead backend must not get one new flow after another."""
    owner = Owner(build_backends(3))
    dead = owner.load(0)
    for _ in range(2):
        owner.send(LoadReported(owner.now, dead.backend.ip, None))
    tries = [owner.admit(port) for port in range(1, 7)]
    assert tries.count(0) == 2
    for port, number in enumerate(tries, start=1):
        if number:
            owner.answer(port, number)
            owner.close(port, number)
    owner.tick(0.4)
    assert 0 not in {owner.admit(port) for port in range(11, 15)}
    owner.report(0, 0)
    owner.tick(5.1)
    assert 0 in {owner.admit(port) for port in range(21, 24)}


@pytest.mark.parametrize(
    ('failed', 'alive', 'out'),
    [
        (0, False, False),
        (1, True, False),
        (1, False, True),
    ],
)
def test_zone_without_nodes(failed: int, alive: bool, out: bool) -> None:
    """Backends in a zone without nodes are excluded only if a poll fails.

    The zone may just have no balancer.
    """
    near, far = build_backends(2)
    owner = Owner((near, msgspec.structs.replace(far, zone='far')))
    if alive:
        owner.state.members.put(Member('n9', 'far', '127.1.0.9', 1, 2))
    for _ in range(failed):
        owner.send(LoadReported(owner.now, '127.2.0.2', None))
    owner.tick(0.1)
    shard = next(iter(owner.state.admissions.shards.values()))
    numbers = [load.backend.number for load in shard.active]
    assert numbers == ([0] if out else [0, 1])

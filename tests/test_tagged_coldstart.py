"""Tests of the selection of backends that are cold after their start."""

import pytest

from apricottally.tagged import effects, events, packets
from apricottally.tagged.records import BackendChange, Service
from tests.taggednode import (
    TaggedNode,
    build_backend,
    build_configuration,
    rev,
)

COLD_S = 5.0
START_S = 1.6


def build_node(*backends, rate: float = 2, **config) -> TaggedNode:
    node = TaggedNode(0, **config)
    service = Service('core', round(COLD_S * 1000), rate)
    configuration = build_configuration(1, services=(service,))
    node.load_records(10, list(backends), configuration)
    node.run(START_S)
    return node


def count_forwarded(node: TaggedNode, seconds: float = 1.0) -> int:
    """Open 10 flows in each tenth of a second; count the SYNs forwarded."""
    total = 0
    for _ in range(round(seconds * 10)):
        for _ in range(10):
            port = next(node.sequence)
            total += sum(
                sent.tag is not None
                for sent in node.select_effects(
                    effects.Forward, node.send(port, packets.SYN)
                )
            )
        found = node.run(0.1)
        total += len(node.select_effects(effects.Forward, found))
    return total


@pytest.mark.parametrize(
    ('changes', 'rate', 'most'),
    [
        ({'cold_ms': 60_000}, 2, 2),
        ({'cold_ms': 60_000}, 0.4, 1),
        # Warm, without a rate, or of another service.
        ({}, 2, None),
        ({'cold_ms': 60_000}, 0, None),
        # Nodes of the backend's zone hold its permits.
        ({'cold_ms': 60_000, 'zone': 'b'}, 2, 0),
    ],
)
def test_limit_of_one_backend(changes, rate, most) -> None:
    """Guards against more new flows than a cold backend can take."""
    node = build_node(build_backend(1, slots=900, **changes), rate=rate)
    found = count_forwarded(node)
    is_expected = found >= 100 if most is None else found == most
    assert is_expected


def test_no_permit_after_start() -> None:
    """Guards against a restarted node that shares a permit with another."""
    node = build_node(build_backend(1, slots=900, cold_ms=60_000))
    restarted = TaggedNode(0)
    restarted.load_records(
        10,
        [build_backend(1, slots=900, cold_ms=60_000)],
        node.state.catalog.configuration,
    )
    restarted.run(0.3)
    assert count_forwarded(restarted) == 0
    assert count_forwarded(restarted, 2) == 4


def test_warm_backends_are_preferred_to_refusal() -> None:
    """Guards against flows refused while a warm backend has room."""
    cold = build_backend(1, slots=900, cold_ms=60_000)
    node = build_node(cold, build_backend(2, slots=900))
    count_forwarded(node)
    assert node.state.counters.total('refused') == 0


@pytest.mark.parametrize(
    ('others', 'reason'), [([], 'cold'), ([build_backend(2)], 'full')]
)
def test_reason_of_refusal(others, reason) -> None:
    """Guards against a lack of permits that looks like a lack of slots."""
    node = build_node(build_backend(1, slots=900, cold_ms=60_000), *others)
    count_forwarded(node)
    assert node.state.counters.total('refused', reason)
    assert node.state.counters.total('permit', 'taken') == 2
    assert node.state.counters.total('permit', 'refused')


def test_log_of_refused_permits() -> None:
    """Guards against a log line for each of many refused flows."""
    node = build_node(build_backend(1, slots=900, cold_ms=60_000))
    logs = []
    for port in range(40):
        node.send(port, packets.SYN)
        logs += node.select_effects(effects.WriteLog, node.run(0.05))
    fields = [log.fields for log in logs if log.event == 'permit_refused']
    assert 1 <= len(fields) <= 3
    assert (fields[0]['backend'], fields[0]['rate']) == ('i-00000001', 2)
    assert fields[0]['held'] == 2


@pytest.mark.parametrize(
    ('known', 'changed', 'is_cold'),
    [
        # It has started anew, and says nothing of its cold time.
        ({'born_ms': 5_000}, {'born_ms': 90_000}, True),
        ({'born_ms': 5_000}, {'born_ms': 5_000, 'sequence': 2}, False),
        # First seen: only the newest start of all records tells the time.
        (None, {'born_ms': 98_000}, True),
        (None, {'born_ms': 90_000}, False),
        (None, {'born_ms': 0}, False),
        # Its own cold time is above all.
        ({'born_ms': 5_000}, {'cold_ms': 3_000, 'sequence': 2}, True),
    ],
)
def test_start_seen_in_records(known, changed, is_cold) -> None:
    """Guards against a cold backend that is taken for a warm one."""
    other = build_backend(2, service='other', born_ms=100_000)
    first = [] if known is None else [build_backend(1, slots=900, **known)]
    node = build_node(other, *first)
    backend = build_backend(1, slots=900, **({'born_ms': 5_000} | changed))
    node.apply_changes(11, BackendChange(backend.name, rev(11), backend))
    assert (count_forwarded(node) == 2) is is_cold
    node.run(COLD_S)
    assert count_forwarded(node) >= 100


def test_records_read_at_start() -> None:
    """Guards against a limit on warm backends after a restart of all nodes.

    The backends may have started together, so that no record shows the time.
    """
    node = build_node(build_backend(1, slots=900, born_ms=50_000))
    assert count_forwarded(node) >= 100


def make_unreachable(node: TaggedNode, tag: int) -> None:
    node.submit(events.ProbeEnded(node.now, node.now, tag, reached=False))
    node.run(0.1)


@pytest.mark.parametrize(
    ('record', 'is_cold'),
    [
        (None, True),
        # Written after the silence by the same process, or by a new one.
        ({'sequence': 2}, False),
        ({'born_ms': 9}, True),
    ],
)
def test_backend_returns_from_silence(record, is_cold) -> None:
    """Guards against full load on a backend that was away and is cold."""
    node = build_node(build_backend(1, slots=900))
    make_unreachable(node, 1)
    node.submit(events.ProbeEnded(node.now, node.now, 1, reached=True))
    node.run(0.1)
    if record is not None:
        backend = build_backend(1, slots=900, **record)
        node.apply_changes(11, BackendChange(backend.name, rev(11), backend))
    assert (count_forwarded(node) == 2) is is_cold
    node.run(COLD_S)
    assert count_forwarded(node) >= 100


def test_silent_backend_is_probed() -> None:
    """Guards against a backend that is never seen to answer again.

    It gets no flow without a permit, so that no client shows its answer.
    """
    node = build_node(build_backend(1), build_backend(2))
    node.state.suspicion.record_response(2, node.now)
    make_unreachable(node, 1)
    found = node.select_effects(effects.ProbeBackend, node.run(3))
    assert 2 <= len(found) <= 3
    node.submit(events.ProbeEnded(node.now, node.now, 1, reached=True))
    assert not node.select_effects(effects.ProbeBackend, node.run(3))


def test_repeated_syn_needs_permit() -> None:
    """Guards against copies of a SYN that pass by the limit.

    After the last attempt, a copy goes to the same backend again.
    """
    node = build_node(build_backend(1, slots=900, cold_ms=60_000), rate=1)
    total = 0
    for _ in range(30):
        found = node.send(7, packets.SYN) + node.run(0.1)
        total += len(node.select_effects(effects.Forward, found))
    assert 1 <= total <= 3


def test_tables_are_bounded() -> None:
    """Guards against tables that keep every backend that ever started."""
    node = build_node(build_backend(1, slots=900, cold_ms=3_000))
    make_unreachable(node, 1)
    node.send(1, packets.SYN)
    node.apply_changes(11, BackendChange('i-00000001', rev(11), None))
    node.run(130)
    cold_starts = node.state.cold_starts
    assert not cold_starts.starts
    assert not cold_starts.silences
    assert not cold_starts.logged_at
    assert not list(cold_starts.permits.resources())

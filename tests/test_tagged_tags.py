"""Tags of backends whose ids hash to the same one."""

import itertools
import random

import pytest

from apricottally.tagged import effects, events, packets
from apricottally.tagged.catalog import REMOVED_RETENTION_S, Catalog
from apricottally.tagged.records import BackendChange
from apricottally.tagged.tagtable import compute_tag
from tests.taggednode import TaggedNode, build_backend, rev

FIRST = build_backend(0x100000001, tag=7, born_ms=100)
SECOND = build_backend(0x100000002, tag=7, born_ms=200)
THIRD = build_backend(0x100000003, tag=7, born_ms=300)
# Its id hashes to the second tag of SECOND.
FOURTH = build_backend(0x100000004, tag=compute_tag(SECOND, 1), born_ms=400)
TWINS = (FIRST, SECOND, THIRD, FOURTH)


def list_tags(catalog: Catalog) -> dict[str, int]:
    return {entry.record.name: entry.backend.tag for entry in catalog.entries()}


def build_catalog(backends) -> Catalog:
    catalog = Catalog()
    for number, backend in enumerate(backends, start=1):
        change = BackendChange(backend.name, rev(number), backend)
        catalog.apply(change, 0, 0)
    return catalog


def test_tags_do_not_depend_on_the_order() -> None:
    """Guards against nodes that send packets of one flow to two backends.

    A node that starts reads the store's list; the others have learned of the
    backends one after the other.
    """
    expected = list_tags(build_catalog(TWINS))
    assert len(set(expected.values())) == len(TWINS)
    assert expected[FIRST.name] == 7
    for order in itertools.permutations(TWINS):
        catalog = build_catalog(order)
        assert list_tags(catalog) == expected
        for name, tag in expected.items():
            assert catalog.find_by_tag(tag) is catalog.find_by_name(name)


@pytest.mark.parametrize('seed', range(20))
def test_random_twins(seed) -> None:
    """The same with more backends and few tags, and with repeated records."""
    rng = random.Random(seed)
    twins = [
        build_backend(
            (1 << 32) + index, tag=rng.randint(1, 5), born_ms=rng.randint(1, 9)
        )
        for index in range(12)
    ]
    expected = list_tags(build_catalog(twins))
    for _ in range(10):
        rng.shuffle(twins)
        assert list_tags(build_catalog([*twins, *twins[:5]])) == expected


def test_twin_costs_no_open_flow() -> None:
    """Guards against a backend that takes over the tag of open flows."""
    node = TaggedNode(0)
    node.load_records(10, [FIRST])
    tag = node.open_flow(1)
    for at, twin in enumerate((SECOND, THIRD), start=11):
        node.apply_changes(at, BackendChange(twin.name, rev(at), twin))
        node.send_request(1, tag)
        assert node.list_forwarded()[0].backend.number == FIRST.number


def test_flow_outlives_the_removal_of_a_twin() -> None:
    """Guards against a node that has never heard of the twin that is gone.

    It gives the other one its first tag, but must know the flows that others
    have opened with the second one.
    """
    flow_tag = list_tags(build_catalog((FIRST, SECOND)))[SECOND.name]
    started = TaggedNode(0)
    started.load_records(10, [SECOND])
    started.send(1, packets.ACK, tag=flow_tag, length=3)
    assert started.list_forwarded()[0].backend.number == SECOND.number


def test_flow_of_a_node_that_knew_no_twin() -> None:
    """The same the other way round, once the twin is forgotten."""
    node = TaggedNode(0)
    node.load_records(10, [FIRST, SECOND])
    node.apply_changes(11, BackendChange(FIRST.name, rev(11), None))
    node.run(REMOVED_RETENTION_S + 3)
    node.send(1, packets.ACK, tag=7, length=3)
    assert node.list_forwarded()[0].backend.number == SECOND.number


def test_records_are_passed_on_with_their_own_tag() -> None:
    """Guards against a second tag that another node takes for the first."""
    catalog = build_catalog((FIRST, SECOND))
    changes = catalog.list_changes(rev(0, 0), 0)
    assert {change.backend for change in changes} == {FIRST, SECOND}


def test_repeated_record_changes_nothing() -> None:
    """Guards against a record with a second tag that counts as new."""
    node = TaggedNode(0)
    node.load_records(10, [FIRST, SECOND])
    node.load_records(12, [FIRST, SECOND], epoch=2)
    found = node.select_effects(effects.WriteLog)
    assert 'backend_changed' not in {line.event for line in found}
    node.submit(events.Ticked(node.now))


@pytest.mark.parametrize('born_ms', [0, 1])
@pytest.mark.parametrize('is_first', [False, True])
def test_entry_with_the_number_of_a_living_backend(born_ms, is_first) -> None:
    """Guards against flows that go to what another writer has named.

    A key with another prefix may end with the digits of a living backend's id,
    and its entry may not state a start.
    """
    node = TaggedNode(0)
    living = build_backend(1, name='i-00000001', slots=4)
    other = build_backend(1, name='x-00000001', ip='10.2.0.9', born_ms=born_ms)
    backends = [other, living] if is_first else [living, other]
    node.load_records(10, [])
    for at, backend in enumerate(backends, start=11):
        node.apply_changes(at, BackendChange(backend.name, rev(at), backend))
    node.send_request(1, 1)
    assert node.list_forwarded()[0].backend.ip == living.ip

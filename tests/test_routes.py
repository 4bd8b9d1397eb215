"""Incremental rebuilds of the route table equal a full build."""

import random

import pytest

from apricottally import model
from apricottally.events import Record
from apricottally.model import Backend, BackendSet, BackendState
from apricottally.records import RecordStore
from apricottally.routes import RouteTable


def draw_body(
    rng: random.Random,
    prefix: str,
) -> model.Template | model.Workspace | BackendSet:
    if prefix == model.TEMPLATE_PREFIX:
        return model.Template(
            f'desk{rng.randrange(4)}',
            model.Urgency.normal,
            rng.randrange(440, 443),
            model.Holding.slot,
        )
    if prefix == model.WORKSPACE_PREFIX:
        names = rng.sample(['t0', 't1', 't2', 't3'], 2)
        address = f'10.0.0.{rng.randrange(5)}'
        return model.Workspace(address, dict.fromkeys(names, 1))
    numbers = rng.sample(range(8), 3)
    backends = tuple(draw_backend(rng, number) for number in numbers)
    return BackendSet(backends)


def draw_backend(rng: random.Random, number: int) -> Backend:
    # Few addresses, so that they are reassigned between services.
    ip = f'10.1.0.{number % 4}'
    state = rng.choice(list(BackendState))
    changed_s = rng.randrange(50)
    return Backend(number, f'vm{number}', ip, 'a', 2, 9, state, changed_s)


@pytest.mark.parametrize('seed', range(10))
def test_reused_parts_are_current(seed: int) -> None:
    """A rebuild must not reuse a route or service whose record changed."""
    rng = random.Random(seed)
    store = RecordStore()
    table = RouteTable()
    names = {
        model.TEMPLATE_PREFIX: 't',
        model.WORKSPACE_PREFIX: 'w',
        model.BACKEND_PREFIX: 'desk',
    }
    for version in range(1, 150):
        prefix = rng.choice(list(names))
        key = f'{prefix}{names[prefix]}{rng.randrange(4)}'
        value = None
        if rng.random() < 0.9:
            value = model.encode_document('x', 'x', draw_body(rng, prefix))
        store.apply(Record(key, version, value))
        if rng.random() < 0.6:
            continue
        table.rebuild(store)
        fresh = RouteTable()
        fresh.rebuild(store)
        assert table.routes == fresh.routes
        assert table.services == fresh.services
        assert table.service_of_ip == fresh.service_of_ip

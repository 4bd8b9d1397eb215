"""Responses of the store that take long to arrive."""

import asyncio

import pytest
from fleetnode import storeclient
from fleetnode.storeclient import StoreClient

from apricottally.errors import PlatformError
from tests.asyncruns import run
from tests.fakestore import open_fake_store
from tests.taggednode import rev


async def read(method: str, parts: int, pause_s: float) -> int:
    """Return the number of changes in a response that arrives in parts."""
    async with open_fake_store() as fake:
        fake.put_server('i-00000001')
        fake.parts = parts
        fake.pause_s = pause_s
        store = StoreClient(fake.endpoint)
        if method == 'list':
            batch = await store.list_records()
        else:
            batch = await store.watch(rev(5), 0.1)
        return len(batch.changes)


@pytest.mark.parametrize('method', ['list', 'watch'])
def test_response_that_arrives_slowly(method) -> None:
    """Guards against a fleet that never gets its records after a restart.

    All nodes list at once then, and each gets a small share of the store's
    link. Giving up a response that is arriving makes them start over for good.
    """
    assert run(read(method, 8, 0.25)) == 1


@pytest.mark.parametrize('method', ['list', 'watch'])
def test_response_that_stops(method) -> None:
    """Guards against a read that waits on a connection gone silent."""

    async def measure() -> float:
        loop = asyncio.get_running_loop()
        started = loop.time()
        with pytest.raises(PlatformError, match='timeout'):
            await read(method, 2, 60)
        return loop.time() - started

    assert run(measure()) < storeclient.TRANSFER_PAUSE_S + 0.5


def test_response_without_end(monkeypatch) -> None:
    """Guards against a read that a trickle of data keeps open for good."""
    monkeypatch.setattr(storeclient, 'MAX_TRANSFER_S', 0.5)

    async def measure() -> float:
        loop = asyncio.get_running_loop()
        started = loop.time()
        with pytest.raises(PlatformError, match='timeout'):
            await read('list', 200, 0.1)
        return loop.time() - started

    assert run(measure()) < storeclient.LIST_TIMEOUT_S + 1

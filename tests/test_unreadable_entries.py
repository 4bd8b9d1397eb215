"""Entries of another writer in the store, read by the client (review/1)."""

import pytest
from fleetnode.storeclient import StoreClient

from apricottally.tagged.records import BackendChange
from tests.asyncruns import run
from tests.fakestore import open_fake_store
from tests.taggednode import rev

NESTED = '[' * 1500 + ']' * 1500
ENTRIES = {
    'nested_field': f'{{"service":"core","version":{NESTED}}}',
    'nested_without_end': '{"x":' + '[' * 100_000,
    'nested_objects': '{"x":' * 100_000,
    'nested_value': NESTED,
    'huge_number': '{"slots":' + '9' * 100_000 + '}',
    'huge_exponent': '{"seq-no":1e999999999}',
    'largest_value': '"' + 'x' * 1_000_000 + '"',
}


@pytest.mark.parametrize('name', ENTRIES)
def test_unreadable_entry_stops_no_reads(name) -> None:
    """Guards against a fleet that follows the store no more (review/1).

    One entry that cannot be read ended the whole list or watch, on each node.
    """

    async def scenario() -> None:
        async with open_fake_store() as fake:
            fake.put('servers/other-writer', ENTRIES[name].encode())
            fake.put_server('i-00000001')
            store = StoreClient(fake.endpoint)
            listing = await store.list_records()
            assert 'i-00000001' in list_usable(listing.changes)
            watched = await store.watch(rev(5), 1)
            assert 'i-00000001' in list_usable(watched.changes)

    run(scenario())


def list_usable(changes) -> list[str]:
    """Return the names of the backends that changes make known."""
    return [
        change.name
        for change in changes
        if isinstance(change, BackendChange) and change.backend is not None
    ]

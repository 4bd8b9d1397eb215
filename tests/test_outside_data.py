"""Data from other programs that is malformed in any way.

An entry of the store that cannot be used names no backend, stops nothing and
takes no other entry with it.
"""

import base64
import json
import zlib

import msgspec
import pytest
from fleetnode import records
from fleetnode.storeclient import StoreClient

from apricottally import loglines, messages, model, platformcalls, showcommand
from apricottally.errors import CompactedError, ModelError, WireError
from apricottally.events import Record
from apricottally.loadpoller import parse_answer
from apricottally.tagged import effects, events, snapshots
from apricottally.tagged import messages as taggedmessages
from apricottally.tagged.records import BackendChange, Rejection
from tests.asyncruns import run
from tests.fakestore import PAGE_SIZE, open_fake_store
from tests.taggednode import TaggedNode, build_backend, rev
from tests.test_fleetnode import SERVER, encode
from tests.test_tagged_load import build_heartbeat

NESTED = b'[' * 1500 + b']' * 1500
GOOD = 'i-00000009'
# Text of an escape that is no character.
LONE_SURROGATE = json.dumps(chr(0xD800))[1:-1].encode()
# The largest value that the store takes.
VALUE_BYTES = 1_048_576


def build(changes=None) -> bytes:
    return json.dumps(SERVER | (changes or {})).encode()


# Values under the key of a backend, with the reason of their rejection.
VALUES = {
    'nested': (NESTED, 'invalid'),
    'nested_field': (build()[:-1] + b',"x":' + NESTED + b'}', 'nested'),
    'nested_in_field': (build({'zone': json.loads('[' * 900 + ']' * 900)}), ''),
    'not_json': (b'\xff{', 'malformed'),
    'empty': (b'', 'malformed'),
    'invalid_utf8': (build().replace(b'core', b'c\xffre'), 'malformed'),
    'lone_surrogate': (build().replace(b'core', LONE_SURROGATE), 'malformed'),
    'list': (b'[1]', 'invalid'),
    'null': (b'null', 'invalid'),
    'huge_integer': (build({'seq-no': 10**400}), 'invalid'),
    'huge_float': (build().replace(b'"slots": 2', b'"slots": 1e999'), ''),
    'not_a_number': (build({'slots': float('nan')}), 'malformed'),
    'slots_beyond_range': (build({'slots': 10**9}), 'invalid'),
    'slots_as_text': (build({'slots': '2'}), 'invalid'),
    'cold_for_years': (build({'cold-left-ms': 10**12}), 'invalid'),
    'port_0': (build({'address': '10.2.0.9:0'}), 'address'),
    'port_beyond_range': (build({'address': '10.2.0.9:65536'}), 'address'),
    'port_in_other_digits': (build({'address': '10.2.0.9:٨٠'}), 'address'),
    'port_with_underscore': (build({'address': '10.2.0.9:8_0'}), 'address'),
    'host_name': (build({'address': 'localhost:80'}), 'address'),
    'multicast': (build({'address': '239.1.1.1:80'}), 'address'),
    'no_host': (build({'address': '0.0.0.0:80'}), 'address'),
    'unknown_state': (build({'state': 'leaving'}), 'state'),
    'empty_service': (build({'service': ''}), 'invalid'),
    'long_service': (build({'service': 'x' * 500}), 'invalid'),
    'largest': (b'{"x":"' + b'y' * (VALUE_BYTES - 8) + b'"}', 'invalid'),
}
# Keys under the prefix of backends that are no id.
KEYS = (
    'servers/',
    'servers/nobody',
    'servers/i-',
    'servers/i-0',
    'servers/i-00000000',
    'servers/i-+9',
    'servers/i-0x9',
    'servers/i-0_9',
    'servers/i- 9',
    'servers/i-٩',
    'servers/i-1ffffffffffffffff',
    'servers/a/i-9',
    'servers/i-9\n',
)


async def read_with(fake, key: str, value: bytes):
    """Return what a list and a watch read with an entry among good ones."""
    fake.put('servers/i-00000008', build())
    client = StoreClient(fake.endpoint)
    before = await client.list_records()
    fake.put(key, value)
    fake.put(f'servers/{GOOD}', build({'state': 'draining'}))
    watched = await client.watch(before.revision, 1)
    return watched, await client.list_records()


def list_backends(batch) -> dict[str, bool]:
    """Return the usable backends, and whether they drain."""
    return {
        found.name: found.backend.draining
        for found in batch.changes
        if isinstance(found, BackendChange) and found.backend is not None
    }


@pytest.mark.parametrize('name', VALUES)
def test_value_that_cannot_be_used(name) -> None:
    """Guards against one entry that stops all reads of the store, or is used.

    While it stopped them, no node learned of drains and configurations.
    """
    value, reason = VALUES[name]

    async def scenario() -> None:
        async with open_fake_store() as fake:
            watched, listed = await read_with(fake, 'servers/i-7', value)
            assert list_backends(watched) == {GOOD: True}
            assert list_backends(listed) == {'i-00000008': False, GOOD: True}
            for batch in (watched, listed):
                assert len(batch.rejected) == 1
                assert batch.rejected[0].key == 'servers/i-7'
                assert batch.rejected[0].reason in (
                    [reason] if reason else ['invalid', 'nested']
                )

    run(scenario())


@pytest.mark.parametrize('key', KEYS)
def test_key_that_is_no_id(key) -> None:
    """Guards against two keys that name one backend, and useless entries."""

    async def scenario() -> None:
        async with open_fake_store() as fake:
            watched, listed = await read_with(fake, key, build())
            assert list_backends(watched) == {GOOD: True}
            assert list_backends(listed) == {'i-00000008': False, GOOD: True}
            assert [found.reason for found in listed.rejected] == ['key']

    run(scenario())


BAD_ITEMS = {
    'surrogate_in_key': json.dumps(
        {'key': f'servers/{chr(0xD800)}', 'rev': 7, 'value': 'eA=='}
    ),
    'no_revision': '{"key":"servers/i-7","value":"eA=="}',
    'huge_revision': '{"key":"servers/i-7","rev":1e400,"value":"eA=="}',
    'long_key': json.dumps({'key': 'k' * 1001, 'rev': 7}),
    'no_item': '7',
}


@pytest.mark.parametrize('name', BAD_ITEMS)
def test_item_that_cannot_be_read(name) -> None:
    """Guards against an item that takes the others of its page with it."""
    good = json.dumps({'key': f'servers/{GOOD}', 'rev': 8, 'value': 'eA=='})
    items = f'[{BAD_ITEMS[name]},{good}]'
    page = records.decode_page(f'{{"at":9,"items":{items}}}'.encode())
    assert [item.key for item in page.items] == [f'servers/{GOOD}']
    assert [found.reason for found in page.rejected] == ['item']
    changes = records.decode_changes(f'{{"at":9,"events":{items}}}'.encode())
    assert changes.items == page.items
    assert len(changes.rejected) == 1


@pytest.mark.parametrize(
    'prefix', ['k' * 1001, 's\ud800'], ids=['long', 'no_character']
)
def test_page_that_cannot_be_read(prefix) -> None:
    """Guards against a list that ends where a page has no readable item.

    No node would follow the store any more, as with review/1.
    """

    async def scenario() -> None:
        async with open_fake_store() as fake:
            for index in range(4 * PAGE_SIZE):
                fake.put(f'{prefix}{index:02}', b'')
            for index in range(1, 6):
                fake.put_server(f'i-{index:08x}')
            listing = await StoreClient(fake.endpoint).list_records()
            assert len(listing.changes) == 5
            assert len(listing.rejected) >= 3 * PAGE_SIZE

    run(scenario())


def test_event_that_cannot_be_read() -> None:
    """Guards against a watch that returns at once, again and again.

    The revision of such an event is unknown, so a list has to follow.
    """

    async def scenario() -> None:
        async with open_fake_store() as fake:
            fake.put('k' * 1001, b'')
            with pytest.raises(CompactedError):
                await StoreClient(fake.endpoint).watch(rev(5), 1)

    run(scenario())


@pytest.mark.parametrize('field', SERVER)
@pytest.mark.parametrize('value', [None, [], {}, True])
def test_field_that_is_missing_or_mistyped(field, value) -> None:
    """Guards against requests for a service that another writer has named.

    An entry that lacks a field or has it with another type names no backend.
    """
    entry = {name: old for name, old in SERVER.items() if name != field}
    for found in (entry, entry | {field: value}):
        item = records.Item(f'servers/{GOOD}', 8, encode(found))
        expected = BackendChange(GOOD, rev(8), None, readable=False)
        assert records.decode_item(item, 1) == expected


def test_unreadable_entry_under_a_living_id() -> None:
    """Guards against what is known of a backend becoming something wrong.

    It gets no new flows, keeps its open ones, and is used again with its next
    record.
    """
    node = TaggedNode(1)
    tag = node.open_flow(1)
    name = f'i-{tag:08x}'
    unreadable = BackendChange(name, rev(11), None, readable=False)
    node.apply_changes(11, unreadable)
    assert node.state.catalog.find_by_name(name).backend == build_backend(tag)
    node.send_request(1, tag)
    assert node.list_forwarded()
    node.send(2, 1)
    node.apply_changes(12, BackendChange(name, rev(12), build_backend(tag)))
    assert node.open_flow(3) == tag


def test_rejections_are_logged_once() -> None:
    """Guards against a log that fills up with the same entries at each list."""
    node = TaggedNode(1)
    rejected = tuple(
        Rejection(f'servers/{index}', rev(10), 'key', 'x' * 5000)
        for index in range(3000)
    )
    lines = []
    for _ in range(3):
        event = events.RecordsListed(node.now, node.now, rev(10), (), rejected)
        found = node.select_effects(effects.WriteLog, node.submit(event))
        lines += [one for one in found if one.event == 'entry_rejected']
    assert len(lines) <= 3
    assert all(len(msgspec.json.encode(one.fields)) < 500 for one in lines)
    assert lines[0].fields['entries'] == 3000
    assert len(node.state.read_state.rejected) == 1000


@pytest.mark.parametrize(
    'changes',
    [
        {'ip': '10.1.0.256'},
        {'ip': '10.1.0.2\n'},
        {'ip': 'localhost'},
        {'port': 0},
        {'port': 65_536},
        {'slots': 0},
        {'service': ''},
        {'tag': -1},
        {'tag': 2**32},
        {'number': 0},
        {'cold_ms': -1},
        {'zone': 'z' * 201},
    ],
)
def test_backend_in_a_message(changes) -> None:
    """Guards against a neighbour's record that no adapter has checked."""
    backend = build_backend(1, **changes)
    change = BackendChange(backend.name, rev(11), backend)
    delta = taggedmessages.Delta('n2', rev(10), rev(11), 0, (change,))
    with pytest.raises(WireError):
        taggedmessages.decode(taggedmessages.encode(delta))


@pytest.mark.parametrize(
    'changes',
    [
        {'loads': (taggedmessages.Load(1, -5, 0),)},
        {'loads': (taggedmessages.Load(1, 0, 2**40),)},
        {'sequence': -1},
        {'age_ms': -5},
        {'unreachable': (-1,)},
        {'sent_ms': -1},
    ],
)
def test_heartbeat_out_of_range(changes) -> None:
    """Guards against counts and ages that no node can have."""
    beat = msgspec.structs.replace(build_heartbeat(1), **changes)
    with pytest.raises(WireError):
        taggedmessages.decode(taggedmessages.encode(beat))


@pytest.mark.parametrize(
    'decode',
    [taggedmessages.decode, taggedmessages.decode_snapshot, messages.decode],
)
def test_nested_message(decode) -> None:
    """Guards against a datagram that ends the handling of its batch."""
    with pytest.raises(WireError):
        decode(b'\x91' * 1300)
    with pytest.raises(WireError):
        decode(b'\x9f\x01' + b'\x91' * 1300 + b'\x00')


def test_snapshot_that_grows() -> None:
    """Guards against few bytes from a neighbour that fill the memory."""
    size = snapshots.MAX_SNAPSHOT_BYTES + 1
    with pytest.raises(WireError):
        snapshots.decompress(zlib.compress(bytes(size), 9))
    with pytest.raises(WireError):
        snapshots.decompress(zlib.compress(b'x' * 100)[:-8])


def test_nested_value_of_the_other_composition() -> None:
    """Guards against one value that ends the reading of all, or a command."""
    for prefix in model.KEY_PREFIXES:
        with pytest.raises(ModelError):
            model.decode_record(f'{prefix}x', NESTED)
        shown = showcommand.describe_record(Record(f'{prefix}x', 1, NESTED))
        assert shown.problem
    assert showcommand.describe_record(Record('/vms/x', 1, b'[]')).problem
    answer = b'HTTP/1.1 200 OK\r\n\r\n' + NESTED
    assert parse_answer(answer) is None
    assert loglines.parse_line(b'{"x":' + NESTED + b'}') is None


def test_key_that_is_not_utf8() -> None:
    """Guards against a key of another writer that ends a watch."""
    assert platformcalls.decode_key(b'/vms/\xff').startswith('/vms/')


def test_encoded_value() -> None:
    """Guards against values whose base64 text is malformed."""
    for text in ('%', 'A', 'é', base64.b64encode(b'{}').decode()):
        item = records.Item(f'servers/{GOOD}', 8, text)
        assert records.decode_item(item, 1) == BackendChange(
            GOOD, rev(8), None, readable=False
        )
    assert records.decode_item(
        records.Item(f'servers/{GOOD}', 8, encode(SERVER)), 1
    ).backend

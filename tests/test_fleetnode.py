"""Tests of the platform adapter: packets, records, store client, settings."""

import base64
import json

import pytest
from fleetnode import records, servers, settings
from fleetnode.packets import Codec
from fleetnode.storeclient import StoreClient
from hypothesis import given
from hypothesis import strategies as st

from apricottally.errors import CompactedError, PlatformError
from apricottally.tagged import packets
from apricottally.tagged.records import (
    BackendChange,
    ConfigurationChange,
    EvacuationChange,
    Repetition,
    Service,
)
from tests.asyncruns import run
from tests.fakestore import open_fake_store
from tests.taggednode import build_backend, rev

SYN = bytes.fromhex(
    '02 64400007 c6120001 01bb 9c41 a1b2c3d5 0000 11223344 00000000 00000000'
)
RESET = bytes.fromhex(
    '04 c6120001 64400007 9c41 01bb 00000000 0000 00000000 00000000 00000000'
)
SERVER = {
    'service': 'core',
    'address': '10.2.0.9:8080',
    'zone': 'a',
    'version': 'v1',
    'slots': 2,
    'state': 'ready',
    'cold-left-ms': 0,
    'seq-no': 4,
}


def encode(value) -> str:
    return base64.b64encode(json.dumps(value).encode()).decode()


def test_example_packet() -> None:
    """Each header field must be read at its offset."""
    packet = Codec(4000).parse(SYN)
    assert packet is not None
    assert packet.flags == packets.SYN
    assert (packet.client, packet.client_port) == (0x64400007, 40001)
    assert (packet.address, packet.port) == (0xC6120001, 443)
    assert packet.sequence == 0x11223344


def test_example_reset() -> None:
    """A client would ignore a reset with wrong addresses or sequence."""
    codec = Codec(4000)
    packet = codec.parse(SYN)
    assert packet is not None
    assert codec.build_reset(packet) == (RESET, ('100.64.0.7', 4000))


@pytest.mark.parametrize('tag', [None, 0xA0B0C0D0])
def test_packet_to_backend(tag) -> None:
    """Only the tag may change in a packet forwarded to a backend."""
    backend = build_backend(7, number=0x1122334455)
    sent = Codec(1).address_to_backend(backend, SYN + b'data', tag)
    assert sent[:8] == bytes.fromhex('0000001122334455')
    expected = b'\0\0\0\0' if tag is None else bytes.fromhex('a0b0c0d0')
    assert sent[8:] == SYN[:27] + expected + b'data'


@given(st.binary(max_size=80))
def test_any_bytes_as_packet(payload) -> None:
    """An exception on an arbitrary datagram would stop the node."""
    packet = Codec(1).parse(payload)
    assert packet is None or len(payload) == 31 + packet.length


@pytest.mark.parametrize(
    ('name', 'number'),
    [
        ('i-7f3a91c2', 0x7F3A91C2),
        ('i-10ea2c1510', 0x10EA2C1510),
        ('i-ffffffffffffffff', 2**64 - 1),
    ],
)
def test_number_of_backend(name, number) -> None:
    """A wrong number would send packets to another backend."""
    assert servers.parse_number(name) == number


@pytest.mark.parametrize(
    'changes',
    [
        {'state': 'asleep'},
        {'state': 5},
        {'slots': 0},
        {'slots': 'two'},
        {'address': 'nowhere'},
        {'address': None},
        {'service': None},
        {'zone': 7},
        {'born': 'today'},
        {'seq-no': 'first'},
    ],
)
def test_malformed_record_names_no_backend(changes) -> None:
    """Invalid records of other programs must not stop a node or be used."""
    item = records.Item('servers/i-00000009', 8, encode(SERVER | changes))
    assert records.decode_item(item, 1) == BackendChange(
        'i-00000009', rev(8), None, readable=False
    )


@given(st.binary(max_size=60), st.text(max_size=12))
def test_any_bytes_as_record(value, name) -> None:
    """Arbitrary values in the store must not raise an exception."""
    text = base64.b64encode(value).decode()
    for key in (f'servers/{name}', 'op/config', name):
        change = records.decode_item(records.Item(key, 8, text), 1)
        assert change is None or getattr(change, 'backend', None) is None


def test_record_of_backend() -> None:
    """Each field of a backend record must be decoded into its attribute."""
    value = SERVER | {'state': 'draining', 'born': 17, 'cold-left-ms': 900}
    change = records.decode_item(
        records.Item('servers/i-00000009', 8, encode(value)), 1
    )
    assert isinstance(change, BackendChange)
    backend = change.backend
    assert backend is not None
    assert (backend.number, backend.tag) == (9, 9)
    assert (backend.ip, backend.port) == ('10.2.0.9', 8080)
    assert backend.draining
    assert (backend.cold_ms, backend.born_ms) == (900, 17)
    assert backend.sequence == 4


@pytest.mark.parametrize(
    ('kind', 'repetition'),
    [
        ('safe', Repetition.idempotent),
        ('download', Repetition.idempotent),
        ('unsafe', Repetition.once),
    ],
)
def test_configuration(kind, repetition) -> None:
    """Address, port, repetition and weights of a route must be decoded."""
    route = {
        'name': 'r',
        'host': '198.18.0.1',
        'prefix': '/8443/',
        'kind': kind,
        'timeout-ms': 1500,
        'target-latency-ms': 150,
        'priority': 2,
        'split': [
            {'service': 'x', 'weight': 90},
            {'service': 'y', 'weight': 10},
        ],
    }
    config = {'version': 7, 'routes': [route], 'limits': {}}
    change = records.decode_item(
        records.Item('op/config', 8, encode(config)), 1
    )
    assert isinstance(change, ConfigurationChange)
    found = change.configuration.routes[0]
    assert (found.address, found.port) == (0xC6120001, 8443)
    assert found.repetition is repetition
    assert [target.weight for target in found.targets] == [90, 10]


@pytest.mark.parametrize(
    ('fields', 'regions'),
    [
        ({}, ()),
        ({'allowed-regions': []}, ()),
        ({'allowed-regions': None}, ()),
        ({'allowed-regions': ['north', 'south']}, ('north', 'south')),
    ],
)
def test_regions_of_route(fields, regions) -> None:
    """Guards against a route that is restricted to the wrong regions."""
    route = {'name': 'r', 'host': '198.18.0.1', 'prefix': '/8443/'} | fields
    value = encode({'version': 7, 'routes': [route]})
    change = records.decode_item(records.Item('op/config', 8, value), 1)
    assert isinstance(change, ConfigurationChange)
    assert change.configuration.routes[0].regions == regions


@pytest.mark.parametrize('zone', ['a', 'sv-d', 'a/b', 'no backends'])
@pytest.mark.parametrize('value', ['', '%', encode({'since': 5})])
def test_evacuation(zone, value) -> None:
    """Guards against an evacuation that is ignored for its value."""
    key = f'op/evacuate/{zone}'
    for deleted in (False, True):
        item = records.Item(key, 8, value, deleted)
        expected = EvacuationChange(zone, rev(8), active=not deleted)
        assert records.decode_item(item, 1) == expected


@pytest.mark.parametrize('key', ['op/evacuate/', 'op/evacuate', 'op/evacuated'])
def test_key_without_zone(key) -> None:
    """Guards against an evacuation of a zone that no key names."""
    assert records.decode_item(records.Item(key, 8), 1) is None


def test_evacuations_in_store() -> None:
    """Guards against an evacuation that lists or watches leave out."""

    async def scenario() -> None:
        async with open_fake_store() as fake:
            for index in range(1, 6):
                fake.put_server(f'i-{index:08x}')
            fake.put('op/evacuate/a', b'\xff')
            store = StoreClient(fake.endpoint)
            listing = await store.list_records()
            begun = EvacuationChange('a', fake.latest, active=True)
            assert begun in listing.changes
            fake.put('op/evacuate/a', None)
            listing = await store.watch(listing.revision, 1)
            ended = EvacuationChange('a', fake.latest, active=False)
            assert listing.changes == (ended,)

    run(scenario())


@pytest.mark.parametrize(
    ('services', 'decoded'),
    [
        (
            [{'name': 'x', 'cold-start-s': 8, 'cold-per-s': 2.5, 'slots': 3}],
            (Service('x', 8000, 2.5),),
        ),
        ([{'name': 'x'}], (Service('x', 0, 0),)),
        ([{'name': 'x', 'cold-per-s': 'few'}, {'name': 'y'}], None),
        ([{'cold-per-s': 2}, 7, None, {'name': 'y'}], None),
        ([{'name': 'x', 'cold-per-s': 1e300}, {'name': 'y'}], None),
        ({'x': {'cold-per-s': 2}}, ()),
        (None, ()),
    ],
)
def test_services_of_configuration(services, decoded) -> None:
    """A malformed service must not make the configuration unreadable."""
    config = {'version': 7, 'routes': [], 'services': services}
    change = records.decode_item(
        records.Item('op/config', 8, encode(config)), 1
    )
    assert isinstance(change, ConfigurationChange)
    if decoded is None:
        decoded = (Service('y', 0, 0),)
    assert change.configuration.services == decoded


def test_list_over_pages() -> None:
    """A list must not end after its first page."""

    async def scenario() -> None:
        async with open_fake_store() as fake:
            for index in range(1, 9):
                fake.put_server(f'i-{index:08x}')
            fake.put_config(3, [])
            listing = await StoreClient(fake.endpoint).list_records()
            assert listing.revision == fake.latest
            assert len(listing.changes) == 9
            assert len(fake.requested_targets) == 3

    run(scenario())


def test_watch_without_changes_keeps_revision() -> None:
    """Changes between two watches must not be lost.

    They are if an empty response advances the revision of the next watch.
    """

    async def scenario() -> None:
        async with open_fake_store() as fake:
            fake.put_server('i-00000001')
            store = StoreClient(fake.endpoint)
            fake.revision += 3
            listing = await store.watch(fake.latest, 0.05)
            assert (listing.revision, listing.changes) == (fake.latest, ())
            fake.put_server('i-00000001', state='draining')
            listing = await store.watch(rev(6), 1)
            assert listing.revision == fake.latest
            fake.put('servers/i-00000001', None)
            listing = await store.watch(listing.revision, 1)
            expected = BackendChange('i-00000001', fake.latest, None)
            assert listing.changes == (expected,)

    run(scenario())


@pytest.mark.parametrize(
    ('mode', 'problem'),
    [
        ('503', 'status_503'),
        ('429', 'status_429'),
        ('reset', 'connection'),
        ('silent', 'timeout'),
        ('garbage', 'malformed'),
    ],
)
def test_failed_call(mode, problem) -> None:
    """A failing store must not stop or block a node.

    Each failure raises a `PlatformError`, and the next call works again.
    """

    async def scenario() -> None:
        async with open_fake_store() as fake:
            fake.put_server('i-00000001')
            store = StoreClient(fake.endpoint)
            await store.list_records()
            fake.mode = mode
            with pytest.raises(PlatformError, match=problem):
                await store.watch(rev(1), 0.05)
            fake.mode = 'good'
            assert (await store.list_records()).changes

    run(scenario())


def test_compacted_history() -> None:
    """A watch must fail if the store has compacted the changes it needs."""

    async def scenario() -> None:
        async with open_fake_store() as fake:
            fake.mode = 'no_such_history'
            with pytest.raises(CompactedError):
                await StoreClient(fake.endpoint).watch(rev(1), 0.05)

    run(scenario())


@pytest.mark.parametrize('written', range(4))
def test_watch_across_restoration(written) -> None:
    """Guards against changes of a restored store that a watch skips.

    Once the store has given out the revision again, it answers a watch from
    there although the changes before it are unknown.
    """

    async def scenario() -> None:
        async with open_fake_store() as fake:
            older = fake.take_copy()
            fake.put_server('i-00000001')
            fake.put_server('i-00000002')
            seen = fake.latest
            fake.restore(older)
            for version in range(written):
                fake.put_config(version, [])
            with pytest.raises(CompactedError):
                await StoreClient(fake.endpoint).watch(seen, 0.05)

    run(scenario())


def test_list_across_restoration() -> None:
    """Guards against a list whose pages come from two histories."""

    async def scenario() -> None:
        async with open_fake_store() as fake:
            for index in range(1, 9):
                fake.put_server(f'i-{index:08x}')
            fake.epochs_per_list = 1
            with pytest.raises(PlatformError, match='restored'):
                await StoreClient(fake.endpoint).list_records()

    run(scenario())


def test_answer_of_an_older_epoch() -> None:
    """Guards against an answer from before a restoration that others know of.

    It must fail without a list, which would come from the same older state.
    """

    async def scenario() -> None:
        async with open_fake_store() as fake:
            after = rev(fake.revision, fake.epoch + 1)
            with pytest.raises(PlatformError, match='older_epoch') as caught:
                await StoreClient(fake.endpoint).watch(after, 0.05)
            assert not isinstance(caught.value, CompactedError)

    run(scenario())


@pytest.mark.parametrize('epoch', ['x', '-1', '1.5', str(10**30)])
def test_malformed_epoch(epoch) -> None:
    """Guards against a header that stops the reads or cannot be relayed."""

    async def scenario() -> None:
        async with open_fake_store() as fake:
            fake.epoch = epoch
            with pytest.raises(PlatformError, match='connection'):
                await StoreClient(fake.endpoint).list_records()

    run(scenario())


SETTINGS = """
node-name = "front-a-1"
ip = "127.0.0.1"
zone = "a"
internal-port-range = [7720, 7735]
seeds = ["10.1.0.10:8166"]
unknown = 5
[listen]
datagram-addr = "127.0.0.1:8172"
ready = "127.0.0.1:8167"
[bounds]
config-apply-ms = 3000
grace-s = 6
[platform]
address = "10.200.1.7:8169"
[zones]
b = "south"
a = "north"
"""


def test_settings(tmp_path, monkeypatch) -> None:
    """Timeouts must follow from the bounds in the settings file."""
    path = tmp_path / 'node.toml'
    path.write_text(SETTINGS)
    monkeypatch.setenv(settings.SETTINGS_PATH_VARIABLE, str(path))
    found = settings.load_settings()
    assert found.node.seeds == (('10.1.0.10', 7720),)
    assert found.node.stale_s + found.node.watch_wait_s < 3
    assert found.node.leave_s < 6
    assert found.node.zone_regions == (('a', 'north'), ('b', 'south'))
    assert found.node.hedge_share == 0


@pytest.mark.parametrize(
    ('percent', 'share'),
    [('0', 0), ('2.5', 0.025), ('100', 1), ('101', None), ('-1', None)]
    + [(text, None) for text in ('nan', 'inf', '', '5%')],
)
def test_hedge_percent(tmp_path, monkeypatch, percent, share) -> None:
    """A faulty share must not start a node that hedges without a limit."""
    path = tmp_path / 'node.toml'
    path.write_text(SETTINGS)
    monkeypatch.setenv(settings.SETTINGS_PATH_VARIABLE, str(path))
    monkeypatch.setenv(settings.HEDGE_PERCENT_VARIABLE, percent)
    if share is None:
        with pytest.raises(ExceptionGroup, match='settings'):
            settings.load_settings()
    else:
        assert settings.load_settings().node.hedge_share == share


@pytest.mark.parametrize(
    ('old', 'new', 'error_count'),
    [
        ('zone = "a"', '', 1),
        ('8167"', '0"', 1),
        ('"127.0.0.1:8172"', '"x"', 1),
        ('[bounds]', '[bounds', 1),
        ('"north"', '7', 1),
    ],
)
def test_faulty_settings(tmp_path, monkeypatch, old, new, error_count) -> None:
    """A process must not start with missing or invalid settings."""
    path = tmp_path / 'node.toml'
    path.write_text(SETTINGS.replace(old, new))
    monkeypatch.setenv(settings.SETTINGS_PATH_VARIABLE, str(path))
    with pytest.raises(ExceptionGroup) as caught:
        settings.load_settings()
    assert len(caught.value.exceptions) == error_count


@pytest.mark.parametrize(
    ('text', 'wait_s'),
    [
        (None, 0),
        ('0', 0),
        ('1200', 1.2),
        ('-1', None),
        ('1e9', None),
        ('', None),
        ('60001', None),
    ],
)
def test_max_wait(tmp_path, monkeypatch, text, wait_s) -> None:
    """Guards against a wait without a setting, and one of invalid length."""
    path = tmp_path / 'node.toml'
    path.write_text(SETTINGS)
    monkeypatch.setenv(settings.SETTINGS_PATH_VARIABLE, str(path))
    monkeypatch.delenv(settings.MAX_WAIT_VARIABLE, raising=False)
    if text is not None:
        monkeypatch.setenv(settings.MAX_WAIT_VARIABLE, text)
    if wait_s is None:
        with pytest.raises(ExceptionGroup, match='settings'):
            settings.load_settings()
    else:
        assert settings.load_settings().node.max_wait_s == wait_s

"""Contract of the platform client, checked against the stand-in."""

import asyncio
import contextlib
import socket

import msgspec
import pytest
from grpclib.client import Channel

from apricottally import etcd_pb2 as pb
from apricottally.errors import CompactedError, PlatformError
from apricottally.etcd_grpc import KVStub, LeaseStub
from apricottally.platformcalls import Limits
from apricottally.platformclient import open_platform as open_client
from standins.platform import Change, open_platform
from tests.asyncruns import LISTEN, in_turn, run, wait_until

KEY = '/apricottally/templates/feed'
VM = '/vms/backend-1'
SETTLE_S = 0.2
LIMITS = Limits(call_s=0.3, silence_s=0.5, min_life_s=0, page_keys=2)


@contextlib.asynccontextmanager
async def open_pair(limits: Limits = LIMITS):
    async with (
        open_platform(LISTEN) as platform,
        open_client(platform.endpoint, limits) as client,
    ):
        yield platform, client


def write(platform, key: str, value: bytes = b'x') -> int:
    platform.store.put(key.encode(), value)
    platform.store.commit()
    return platform.store.revision


@pytest.mark.parametrize(
    ('change', 'version', 'outcome', 'written'),
    [
        ({}, 0, 'stored', True),
        ({}, 9, 'conflict', False),
        ({'delay_s': 0.1}, 0, 'stored', True),
        ({'delay_s': 2.0}, 0, 'unknown', False),
        ({'late_s': 0.32}, 0, 'unknown', True),
        ({'outage': 'refuse'}, 0, 'unknown', False),
        ({'outage': 'hang'}, 0, 'unknown', False),
        ({'cut_ips': ['127.0.0.1']}, 0, 'unknown', False),
        ({'cut_ips': ['127.0.0.9']}, 0, 'stored', True),
        ({'lose_answers': 1, 'loss': 'reset'}, 0, 'unknown', True),
        ({'lose_answers': 1, 'loss': 'hang'}, 0, 'unknown', True),
    ],
)
def test_swap_outcome(change, version, outcome, written) -> None:
    """Guards against a lost answer being taken for a failed write."""

    async def scenario() -> None:
        async with open_pair() as (platform, client):
            platform.change_faults(Change(**change))
            swapped = await client.swap(KEY, version, b'new')
            # The cancellation of a hung call reaches the stand-in first.
            await asyncio.sleep(SETTLE_S)
            platform.change_faults(Change(outage='none', delay_s=0, cut_ips=[]))
            record = await client.read(KEY)
            assert swapped.outcome == outcome
            assert (record is not None) == written
            if outcome == 'stored':
                assert record.version == swapped.version
            assert platform.faults.calls['Txn'] == 1

    run(scenario())


def test_value_above_limit_is_refused() -> None:
    """Guards against an oversized value being reported as unknown."""

    async def scenario() -> None:
        async with open_pair() as (_, client):
            with pytest.raises(PlatformError, match='too large'):
                await client.swap(KEY, 0, b'x' * 1_000_001)
            outcome = await client.swap(KEY, 0, b'x' * 1_000_000)
            assert outcome.outcome == 'stored'

    run(scenario())


def test_refused_connection_is_no_unknown_outcome() -> None:
    """Guards against `unknown` for a write that was never sent."""

    async def scenario() -> None:
        with socket.create_server(LISTEN) as unused:
            endpoint = unused.getsockname()
        async with open_client(endpoint, LIMITS) as client:
            with pytest.raises(PlatformError, match='refused'):
                await client.swap(KEY, 0, b'new')

    run(scenario())


def test_two_writers_of_one_version() -> None:
    """Guards against the second of two writers overwriting the first."""

    async def scenario() -> None:
        async with open_pair() as (platform, first):
            version = write(platform, KEY)
            async with open_client(platform.endpoint, LIMITS) as second:
                outcomes = await asyncio.gather(
                    first.swap(KEY, version, b'first'),
                    second.swap(KEY, version, b'second'),
                )
            by_outcome = {each.outcome: each.version for each in outcomes}
            record = await first.read(KEY)
            assert set(by_outcome) == {'stored', 'conflict'}
            assert set(by_outcome.values()) == {record.version}

    run(scenario())


def test_list_is_of_one_revision() -> None:
    """Guards against a list that mixes pages of different revisions."""

    async def scenario() -> None:
        async with open_pair() as (platform, client):
            for number in range(5):
                write(platform, f'/apricottally/templates/{number}')
            expected = write(platform, VM)
            write(platform, '/other/key')
            listing = asyncio.create_task(client.list_records())
            await wait_until(lambda: platform.faults.calls['Range'] > 0)
            write(platform, '/apricottally/templates/9')
            records, revision = await listing
            assert len(records) == 6
            assert revision in {expected + 1, expected + 2}
            assert platform.faults.calls['Range'] == 4

    run(scenario())


def test_watch_resumes_after_reconnects() -> None:
    """Guards against changes lost or repeated over a reconnect."""

    async def scenario() -> None:
        async with open_pair() as (platform, client):
            seen = []
            watching = client.watch(platform.store.revision)
            written = [write(platform, KEY)]
            async for key in in_turn((VM, KEY, KEY, VM)):
                records, _ = await anext(watching)
                seen.extend(record.version for record in records)
                platform.change_faults(Change(drop_watches=True))
                written.append(write(platform, key))
            write(platform, '/other/key')
            platform.store.delete_range(VM.encode(), b'')
            platform.store.commit()
            while len(seen) < 6:
                records, revision = await anext(watching)
                seen.extend(record.version for record in records)
            assert records[-1].value is None
            assert seen == [*written, platform.store.revision]
            assert revision <= platform.store.revision
            assert platform.faults.calls['Watch'] == 10
            await watching.aclose()

    run(scenario())


def test_compaction_lists_again() -> None:
    """Guards against a watch that goes on without the compacted changes."""

    async def scenario() -> None:
        async with open_pair() as (platform, client):
            write(platform, KEY)
            platform.change_faults(Change(compact=write(platform, KEY)))
            with pytest.raises(CompactedError):
                await anext(client.watch(1))
            following = client.follow()
            first = await anext(following)
            pending = asyncio.ensure_future(anext(following))
            await wait_until(lambda: platform.faults.open_watches == 2)
            await asyncio.sleep(SETTLE_S)
            platform.change_faults(Change(drop_watches=True))
            platform.change_faults(Change(compact=write(platform, VM)))
            again = await pending
            assert first.complete
            assert again.complete
            assert [record.key for record in again.records] == [KEY, VM]
            await following.aclose()

    run(scenario())


@pytest.mark.parametrize(
    'change',
    [{'outage': 'hang'}, {'outage': 'refuse'}, {'cut_ips': ['127.0.0.1']}],
)
def test_lost_platform_ends_watch(change) -> None:
    """Guards against a watch that waits for a platform that is gone."""

    async def scenario() -> None:
        async with open_pair() as (platform, client):
            watching = client.watch(platform.store.revision)
            pending = asyncio.ensure_future(anext(watching))
            await wait_until(lambda: platform.faults.open_watches == 2)
            platform.change_faults(Change(**change))
            with pytest.raises(PlatformError):
                await pending
            with pytest.raises(PlatformError):
                await client.list_records()
            platform.change_faults(Change(outage='none', cut_ips=[]))
            assert await client.list_records() == ((), 1)

    run(scenario())


def test_quiet_watch_moves_on_by_progress() -> None:
    """Guards against resuming from a revision compacted long ago."""

    async def scenario() -> None:
        patient = Limits(silence_s=20)
        async with open_pair(patient) as (platform, client):
            watching = client.watch(1)
            async for _ in in_turn(range(3)):
                version = write(platform, KEY)
                await anext(watching)
            await asyncio.sleep(1.5)
            latest = write(platform, KEY)
            _, revision = await anext(watching)
            assert version <= revision <= latest
            assert platform.faults.calls['Watch'] == 2
            await watching.aclose()

    run(scenario())


def test_lease_ends_with_its_holder() -> None:
    """Guards against a stand-in whose leases never lapse."""

    async def scenario() -> None:
        async with (
            open_platform(LISTEN) as platform,
            Channel(*platform.endpoint) as channel,
        ):
            leases = LeaseStub(channel)
            granted = await leases.LeaseGrant(pb.LeaseGrantRequest(TTL=1))
            put = pb.PutRequest(key=b'held', value=b'x', lease=granted.ID)
            await KVStub(channel).Put(put)
            async with leases.LeaseKeepAlive.open() as stream:
                async for _ in in_turn(range(3)):
                    await asyncio.sleep(0.5)
                    renewal = pb.LeaseKeepAliveRequest(ID=granted.ID)
                    await stream.send_message(renewal)
                    assert (await stream.recv_message()).TTL == 1
                await stream.cancel()
            assert platform.store.find(b'held') is not None
            await asyncio.sleep(1.3)
            assert platform.store.find(b'held') is None

    run(scenario())


def test_refused_transaction_leaves_nothing() -> None:
    """Guards against half a transaction being kept."""

    async def scenario() -> None:
        async with (
            open_platform(LISTEN) as platform,
            Channel(*platform.endpoint) as channel,
        ):
            puts = [
                pb.PutRequest(key=b'first', value=b'x'),
                pb.PutRequest(key=b'second', value=b'x' * 1_000_001),
            ]
            request = pb.TxnRequest(
                success=[pb.RequestOp(request_put=put) for put in puts],
            )
            with pytest.raises(Exception, match='too large'):
                await KVStub(channel).Txn(request)
            assert platform.store.find(b'first') is None
            assert platform.store.revision == 1

    run(scenario())


def test_admin_lines() -> None:
    """Guards against faults that another process cannot switch."""

    async def scenario() -> None:
        with socket.create_server(LISTEN) as unused:
            admin = unused.getsockname()
        async with open_platform(LISTEN, admin) as platform:
            reader, writer = await asyncio.open_connection(*admin)
            answers = []
            lines = (b'{"outage": "hang"}', b'{"outage": "x"}', b'{}')
            async for line in in_turn(lines):
                writer.write(line + b'\n')
                answers.append(msgspec.json.decode(await reader.readline()))
            writer.close()
            assert [answer['outage'] for answer in answers] == ['hang'] * 3
            assert [not answer['problem'] for answer in answers] == [
                True,
                False,
                True,
            ]
            assert platform.faults.outage == 'hang'

    run(scenario())

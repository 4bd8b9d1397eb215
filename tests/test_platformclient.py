"""Tests of the platform client against the stand-in platform."""

import asyncio
import contextlib
import socket

import msgspec
import pytest
from grpclib.client import Channel

from apricottally import etcd_pb2 as pb
from apricottally.errors import CompactedError, PlatformError
from apricottally.etcd_grpc import KVStub, LeaseStub
from apricottally.platformcalls import ClientLimits
from apricottally.platformclient import open_platform as open_client
from standins.platform import Change, open_platform
from standins.platformleases import Leases
from standins.platformstore import Store
from standins.platformwatch import WatchIds
from tests.asyncruns import (
    LOOPBACK_ANY_PORT,
    iterate_sequentially,
    run,
    wait_until,
)

KEY = '/apricottally/templates/feed'
VM = '/vms/backend-1'
SETTLE_S = 0.2
LIMITS = ClientLimits(
    call_timeout_s=0.3,
    watch_silence_s=0.5,
    watch_min_lifetime_s=0,
    max_page_keys=2,
)


@contextlib.asynccontextmanager
async def open_pair(limits: ClientLimits = LIMITS):
    async with (
        open_platform(LOOPBACK_ANY_PORT) as platform,
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
    """A write whose answer is lost must be unknown, not failed."""

    async def scenario() -> None:
        async with open_pair() as (platform, client):
            platform.change_faults(Change(**change))
            swapped = await client.swap(KEY, version, b'new')
            # Wait until the stand-in has received the cancellation of a call.
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
    """A value refused as too large must not have an unknown outcome.

    It is not sent: sending it can take longer than the call may.
    """

    async def scenario() -> None:
        async with open_pair(ClientLimits()) as (platform, client):
            with pytest.raises(PlatformError, match='too large'):
                await client.swap(KEY, 0, b'x' * 1_000_001)
            assert not platform.faults.calls['Txn']
            outcome = await client.swap(KEY, 0, b'x' * 1_000_000)
            assert outcome.outcome == 'stored'

    run(scenario())


def test_refused_connection_has_known_outcome() -> None:
    """A write that was never sent must fail, not return `unknown`."""

    async def scenario() -> None:
        with socket.create_server(LOOPBACK_ANY_PORT) as unused:
            endpoint = unused.getsockname()
        async with open_client(endpoint, LIMITS) as client:
            with pytest.raises(PlatformError, match='refused'):
                await client.swap(KEY, 0, b'new')

    run(scenario())


def test_two_writers_of_one_version() -> None:
    """The later of two writers must not overwrite the earlier one."""

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
    """Guards against a list that mixes pages of different revisions.

    A key is written while the pages are being read.
    """

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
    """No change may be lost or repeated when a watch reconnects."""

    async def scenario() -> None:
        async with open_pair() as (platform, client):
            seen = []
            watching = client.watch(platform.store.revision)
            written = [write(platform, KEY)]
            async for key in iterate_sequentially((VM, KEY, KEY, VM)):
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
    """Guards against a watch that resumes with changes missing.

    While it is disconnected, the revision that it needs is compacted.
    """

    async def scenario() -> None:
        async with open_pair() as (platform, client):
            write(platform, KEY)
            platform.change_faults(Change(compact=write(platform, KEY)))
            with pytest.raises(CompactedError):
                await anext(client.watch(1))
            following = client.list_and_watch()
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


@pytest.mark.parametrize('bump', [0, 1000])
@pytest.mark.parametrize('lost', [1, 3])
def test_restored_store_is_listed_again(bump, lost) -> None:
    """Guards against changes of a restored store that a watch waits past.

    The store accepts a watch from a revision that it does not have yet, and
    gives out the revisions before it a second time.
    """

    async def scenario() -> None:
        async with open_pair() as (platform, client):
            older = platform.store.take_copy()
            for _ in range(lost):
                write(platform, KEY, b'lost')
            following = client.list_and_watch()
            await anext(following)
            pending = asyncio.ensure_future(anext(following))
            await wait_until(lambda: platform.faults.open_watches == 2)
            await asyncio.sleep(SETTLE_S)
            platform.store.restore(older, bump)
            platform.change_faults(Change(drop_watches=True))
            write(platform, KEY, b'new')
            async with asyncio.timeout(2):
                update = await pending
            assert update.complete
            assert [record.value for record in update.records] == [b'new']
            await following.aclose()

    run(scenario())


def test_history_lost_after_each_list() -> None:
    """Guards against lists that follow each other without a pause.

    The store has no history for a watch from the revision of its own list.
    """

    class LostHistory:
        def __init__(self, revision: int) -> None:
            self.revision = revision

        def __aiter__(self):
            return self

        async def __anext__(self):
            raise CompactedError(str(self.revision))

    async def scenario() -> None:
        long_lifetime = ClientLimits(watch_min_lifetime_s=5)
        async with open_pair(long_lifetime) as (platform, client):
            client.watch = LostHistory
            following = client.list_and_watch()
            assert (await anext(following)).complete
            with pytest.raises(CompactedError):
                await anext(following)
            assert platform.faults.calls['Range'] == 2

    run(scenario())


@pytest.mark.parametrize(
    'change',
    [{'outage': 'hang'}, {'outage': 'refuse'}, {'cut_ips': ['127.0.0.1']}],
)
def test_lost_platform_ends_watch(change) -> None:
    """A watch must fail if the platform is lost, not wait forever."""

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


def test_progress_notification_advances_watch() -> None:
    """An idle watch must advance by progress notifications.

    Otherwise it would resume from a revision that has been compacted.
    """

    async def scenario() -> None:
        long_silence = ClientLimits(watch_silence_s=20)
        async with open_pair(long_silence) as (platform, client):
            watching = client.watch(1)
            async for _ in iterate_sequentially(range(3)):
                version = write(platform, KEY)
                await anext(watching)
            await asyncio.sleep(1.5)
            latest = write(platform, KEY)
            _, revision = await anext(watching)
            assert version <= revision <= latest
            assert platform.faults.calls['Watch'] == 2
            await watching.aclose()

    run(scenario())


def test_lease_expires_without_keep_alive() -> None:
    """The stand-in must expire a lease that is not renewed."""

    async def scenario() -> None:
        async with (
            open_platform(LOOPBACK_ANY_PORT) as platform,
            Channel(*platform.endpoint) as channel,
        ):
            leases = LeaseStub(channel)
            granted = await leases.LeaseGrant(pb.LeaseGrantRequest(TTL=1))
            put = pb.PutRequest(key=b'held', value=b'x', lease=granted.ID)
            await KVStub(channel).Put(put)
            async with leases.LeaseKeepAlive.open() as stream:
                async for _ in iterate_sequentially(range(3)):
                    await asyncio.sleep(0.5)
                    renewal = pb.LeaseKeepAliveRequest(ID=granted.ID)
                    await stream.send_message(renewal)
                    assert (await stream.recv_message()).TTL == 1
                await stream.cancel()
            assert platform.store.find(b'held') is not None
            await asyncio.sleep(1.3)
            assert platform.store.find(b'held') is None

    run(scenario())


def test_requested_lease_id_is_not_granted_again() -> None:
    """A lease without a requested id must not replace one that has it."""
    leases = Leases(Store())
    assert leases.grant(0, 60, lease_id=1) == 1
    assert leases.grant(0, 5) == 2
    leases.expire(10)
    leases.check(1)


@pytest.mark.parametrize('requested', [0, 2])
def test_watch_ids_are_unique(requested) -> None:
    """The stand-in must not replace a watch that is in progress."""
    ids = WatchIds()
    assert ids.take(requested) == (requested or 1)
    assert len({ids.take(0) for _ in range(3)} | {requested or 1}) == 4


def test_refused_transaction_writes_nothing() -> None:
    """The stand-in must not execute a part of a refused transaction."""

    async def scenario() -> None:
        async with (
            open_platform(LOOPBACK_ANY_PORT) as platform,
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


def test_fault_commands() -> None:
    """Another process must be able to switch the stand-in's faults."""

    async def scenario() -> None:
        with socket.create_server(LOOPBACK_ANY_PORT) as unused:
            admin = unused.getsockname()
        async with open_platform(LOOPBACK_ANY_PORT, admin) as platform:
            reader, writer = await asyncio.open_connection(*admin)
            answers = []
            lines = (b'{"outage": "hang"}', b'{"outage": "x"}', b'{}')
            async for line in iterate_sequentially(lines):
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

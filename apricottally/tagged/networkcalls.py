"""Asynchronous calls to the platform, other nodes and backends.

Each call submits an event with its result when it ends.
"""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

import msgspec

from apricottally.errors import CompactedError, PlatformError, PullError
from apricottally.tagged import effects, events
from apricottally.tagged.messages import Snapshot, SnapshotRequest
from apricottally.tagged.records import Backend, Change, Rejection
from apricottally.tagged.revisions import Revision
from apricottally.tagged.snapshots import fetch_snapshot
from apricottally.tagged.state import NodeState

# A probe opens two connections at once, because a packet may be lost, and is
# repeated once before the backend is reported as not reached.
PROBE_TIMEOUT_S = 0.15
# If the reference backend takes longer to accept a connection, this node or
# its link is too slow for the probe to be conclusive.
REFERENCE_TIMEOUT_S = 0.06


class RecordBatch(msgspec.Struct, frozen=True):
    """Changes of platform records, complete up to `revision`.

    `rejected` are the entries that cannot be used.
    """

    revision: Revision
    changes: tuple[Change, ...]
    rejected: tuple[Rejection, ...] = ()


class Platform(Protocol):
    """Interface to the platform's record store.

    Both methods raise `PlatformError`; `watch` also raises `CompactedError` if
    the store no longer has the history after the revision, or was restored
    from an older copy.
    """

    async def list_records(self) -> RecordBatch:
        """Return all current records."""

    async def watch(self, after: Revision, wait_s: float) -> RecordBatch:
        """Return the changes after a revision.

        Waits up to `wait_s` for the first change.
        """


class NetworkCalls:
    """Runs each call as a background task."""

    def __init__(
        self,
        state: NodeState,
        platform: Platform,
        submit: Callable[[events.Event], None],
    ) -> None:
        self._state = state
        self._platform = platform
        self._submit = submit
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()

    def list_records(self, effect: effects.ListRecords) -> None:
        """List all records of the platform."""
        self._start(self._list())

    def watch_records(self, effect: effects.WatchRecords) -> None:
        """Wait for changes of the platform's records."""
        self._start(self._watch(effect))

    def pull_snapshot(self, effect: effects.PullSnapshot) -> None:
        """Fetch a snapshot of records from a neighbour."""
        self._start(self._pull(effect))

    def probe_backend(self, effect: effects.ProbeBackend) -> None:
        """Test whether a backend accepts TCP connections."""
        self._start(self._probe(effect))

    def close(self) -> None:
        """Cancel all calls in progress."""
        for task in self._tasks:
            task.cancel()

    def _start(self, call: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _list(self) -> None:
        requested_at = self._loop.time()
        batch = await self._read(self._platform.list_records())
        if batch is None:
            return
        self._submit(
            events.RecordsListed(
                self._loop.time(),
                requested_at,
                batch.revision,
                batch.changes,
                batch.rejected,
            ),
        )

    async def _watch(self, effect: effects.WatchRecords) -> None:
        requested_at = self._loop.time()
        batch = await self._read(
            self._platform.watch(effect.after, effect.wait_s)
        )
        if batch is None:
            return
        self._submit(
            events.RecordsChanged(
                self._loop.time(),
                requested_at,
                effect.after,
                batch.revision,
                batch.changes,
                batch.rejected,
            ),
        )

    async def _read(
        self, call: Coroutine[Any, Any, RecordBatch]
    ) -> RecordBatch | None:
        """Return the result of a read; submit a failure and return None.

        The reducer starts no other read before it has the result, so that
        every exception has to be submitted.
        """
        try:
            return await call
        except CompactedError:
            self._submit_failure('compacted', compacted=True)
        except PlatformError as error:
            self._submit_failure(str(error))
        except Exception as error:
            self._submit_failure(f'unexpected_{type(error).__name__}')
        return None

    async def _pull(self, effect: effects.PullSnapshot) -> None:
        requested_at = self._loop.time()
        snapshot: Snapshot | None = None
        problem = ''
        request = SnapshotRequest(
            self._state.catalog.revision, self._state.configuration_version
        )
        try:
            snapshot = await fetch_snapshot(effect.endpoint, request)
        except PullError as error:
            problem = str(error)
        self._submit(
            events.SnapshotPulled(
                self._loop.time(), requested_at, effect.peer, snapshot, problem
            ),
        )

    async def _probe(self, effect: effects.ProbeBackend) -> None:
        requested_at = self._loop.time()
        backend = effect.backend
        probe = await _probe_once(effect)
        if probe.conclusive and not probe.reached:
            probe = await _probe_once(effect)
        self._submit(
            events.ProbeEnded(
                self._loop.time(),
                requested_at,
                backend.tag,
                probe.reached,
                probe.conclusive,
                probe.refused,
            ),
        )

    def _submit_failure(self, reason: str, *, compacted: bool = False) -> None:
        self._submit(events.ReadFailed(self._loop.time(), reason, compacted))


class _Connect(enum.Enum):
    """Result of an attempt to open a TCP connection."""

    accepted = enum.auto()
    refused = enum.auto()
    silent = enum.auto()


class _Probe(msgspec.Struct, frozen=True):
    """Result of one round of a probe, as in `ProbeEnded`."""

    reached: bool
    conclusive: bool
    refused: bool


async def _probe_once(effect: effects.ProbeBackend) -> _Probe:
    """Connect twice to a backend and once to its reference.

    A failure is conclusive only if the reference backend was reached.
    """
    *attempts, reference = await asyncio.gather(
        _connect(effect.backend, PROBE_TIMEOUT_S),
        _connect(effect.backend, PROBE_TIMEOUT_S),
        _connect(effect.reference, REFERENCE_TIMEOUT_S),
    )
    reached = _Connect.accepted in attempts
    return _Probe(
        reached,
        conclusive=reached or reference is _Connect.accepted,
        refused=not reached and _Connect.refused in attempts,
    )


async def _connect(backend: Backend, timeout_s: float) -> _Connect:
    """Open and close a TCP connection to a backend within `timeout_s`."""
    try:
        async with asyncio.timeout(timeout_s):
            _, writer = await asyncio.open_connection(backend.ip, backend.port)
    except ConnectionError:
        return _Connect.refused
    except OSError:
        return _Connect.silent
    writer.close()
    return _Connect.accepted

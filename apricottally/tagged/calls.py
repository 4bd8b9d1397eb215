"""Calls to the platform, other nodes and backends; each ends in an event."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

import msgspec

from apricottally.errors import CompactedError, PlatformError, PullError
from apricottally.tagged import effects, events
from apricottally.tagged.messages import Snapshot
from apricottally.tagged.pulls import pull
from apricottally.tagged.records import Backend, Change
from apricottally.tagged.state import NodeState

# A probe makes two connections at a time, since a packet may be lost, and is
# repeated before a backend counts as unreachable.
PROBE_TIMEOUT_S = 0.15
# A backend that answers later than this shows that this node is too slow.
REFERENCE_TIMEOUT_S = 0.06


class Listing(msgspec.Struct, frozen=True):
    """Records of the platform, and the revision up to which they are whole."""

    revision: int
    changes: tuple[Change, ...]


class Platform(Protocol):
    """What a node needs of the platform's store.

    Both calls raise `PlatformError`, `watch` also `CompactedError`.
    """

    async def list_records(self) -> Listing:
        """Return all records."""

    async def watch(self, after: int, wait_s: float) -> Listing:
        """Return changes after a revision as soon as there is one."""


class Calls:
    """Makes calls in the background."""

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
        """Read all records of the platform."""
        self._run(self._list())

    def watch_records(self, effect: effects.WatchRecords) -> None:
        """Wait for changes of the platform."""
        self._run(self._watch(effect))

    def pull_snapshot(self, effect: effects.PullSnapshot) -> None:
        """Read records from a neighbour."""
        self._run(self._pull(effect))

    def probe_backend(self, effect: effects.ProbeBackend) -> None:
        """Try to connect to a backend."""
        self._run(self._probe(effect))

    def close(self) -> None:
        """End all calls."""
        for task in self._tasks:
            task.cancel()

    def _run(self, work: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _list(self) -> None:
        asked_at = self._loop.time()
        try:
            listing = await self._platform.list_records()
        except PlatformError as error:
            self._fail(error)
            return
        self._submit(
            events.RecordsListed(
                self._loop.time(), asked_at, listing.revision, listing.changes
            ),
        )

    async def _watch(self, effect: effects.WatchRecords) -> None:
        asked_at = self._loop.time()
        try:
            listing = await self._platform.watch(effect.after, effect.wait_s)
        except PlatformError as error:
            self._fail(error)
            return
        self._submit(
            events.RecordsChanged(
                self._loop.time(),
                asked_at,
                effect.after,
                listing.revision,
                listing.changes,
            ),
        )

    async def _pull(self, effect: effects.PullSnapshot) -> None:
        asked_at = self._loop.time()
        snapshot: Snapshot | None = None
        problem = ''
        try:
            snapshot = await pull(effect.endpoint, self._state.catalog.revision)
        except PullError as error:
            problem = str(error)
        self._submit(
            events.SnapshotPulled(
                self._loop.time(), asked_at, effect.peer, snapshot, problem
            ),
        )

    async def _probe(self, effect: effects.ProbeBackend) -> None:
        asked_at = self._loop.time()
        backend = effect.backend
        reached, conclusive = await self._probe_once(effect)
        if conclusive and not reached:
            reached, conclusive = await self._probe_once(effect)
        self._submit(
            events.ProbeEnded(
                self._loop.time(), asked_at, backend.tag, reached, conclusive
            ),
        )

    async def _probe_once(
        self,
        effect: effects.ProbeBackend,
    ) -> tuple[bool, bool]:
        """Return whether the backend was reached, and whether that counts."""
        answers = await asyncio.gather(
            _connect(effect.backend, PROBE_TIMEOUT_S),
            _connect(effect.backend, PROBE_TIMEOUT_S),
            _connect(effect.reference, REFERENCE_TIMEOUT_S),
        )
        reached = answers[0] or answers[1]
        return reached, reached or answers[2]

    def _fail(self, error: PlatformError) -> None:
        compacted = isinstance(error, CompactedError)
        reason = 'compacted' if compacted else str(error)
        self._submit(events.ReadFailed(self._loop.time(), reason, compacted))


async def _connect(backend: Backend, timeout_s: float) -> bool:
    """Tell whether a backend takes a connection in time."""
    try:
        async with asyncio.timeout(timeout_s):
            _, writer = await asyncio.open_connection(backend.ip, backend.port)
    except OSError:
        return False
    writer.close()
    return True

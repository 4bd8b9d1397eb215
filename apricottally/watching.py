"""The watch of the platform, run while the core asks for it."""

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Protocol, TypeAlias

from apricottally.effects import SwapRecord
from apricottally.errors import PlatformError
from apricottally.events import (
    Event,
    PlatformLost,
    Record,
    RecordsReceived,
    SwapCompleted,
)

Batch: TypeAlias = tuple[tuple[Record, ...], int]


class Outcome(Protocol):
    """How a compare-and-swap ended; `value` is the event's outcome."""

    @property
    def value(self) -> str:
        """One of `stored`, `conflict` and `unknown`."""


class Platform(Protocol):
    """What the watch needs of the platform's client."""

    async def list_records(self) -> Batch:
        """Return every record and the store's revision."""

    def watch(self, revision: int) -> AsyncIterator[Batch]:
        """Yield the changes after a revision."""

    async def swap(self, key: str, version: int, value: bytes) -> Outcome:
        """Write a value if the key still has the version."""


class Watching:
    """Runs at most one watch, and writes records for the core.

    A watch that fails ends with `PlatformLost`; the core decides when to
    start the next one.
    """

    def __init__(
        self,
        platform: Platform,
        submit: Callable[[Event], None],
        clock: Callable[[], float],
    ) -> None:
        self._platform = platform
        self._submit = submit
        self._clock = clock
        self._watch: asyncio.Task[None] | None = None
        self._swaps: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Start a watch unless one is running."""
        if self._watch is None or self._watch.done():
            self._watch = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Stop the watch."""
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None

    def swap(self, effect: SwapRecord) -> None:
        """Start a compare-and-swap."""
        task = asyncio.create_task(self._swap(effect))
        self._swaps.add(task)
        task.add_done_callback(self._swaps.discard)

    def close(self) -> None:
        """Stop the watch and every write in progress."""
        self.stop()
        for task in self._swaps:
            task.cancel()

    async def _run(self) -> None:
        try:
            await self._list_and_watch()
        except PlatformError as error:
            self._submit(PlatformLost(self._clock(), str(error)))

    async def _list_and_watch(self) -> None:
        records, revision = await self._platform.list_records()
        now = self._clock()
        self._submit(RecordsReceived(now, records, revision, complete=True))
        async for changes, reached in self._platform.watch(revision):
            now = self._clock()
            self._submit(
                RecordsReceived(now, changes, reached, complete=False),
            )
        raise PlatformError('the watch ended')

    async def _swap(self, effect: SwapRecord) -> None:
        try:
            outcome = await self._platform.swap(
                effect.key,
                effect.version,
                effect.value,
            )
        except PlatformError:
            ended = 'unknown'
        else:
            ended = outcome.value
        self._submit(
            SwapCompleted(self._clock(), effect.op_id, effect.key, ended),
        )

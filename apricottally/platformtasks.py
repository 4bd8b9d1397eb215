"""Tasks that watch the platform and write records for the reducer."""

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Protocol

from apricottally.effects import LogValue, SwapRecord
from apricottally.errors import PlatformError
from apricottally.events import (
    Event,
    PlatformLost,
    RecordsReceived,
    SwapCompleted,
)
from apricottally.platformclient import RecordUpdate, SwapOutcome


class Platform(Protocol):
    """Methods of the platform's client that the tasks use."""

    def list_and_watch(self) -> AsyncIterator[RecordUpdate]:
        """Yield all records first, then their changes."""

    async def swap(self, key: str, version: int, value: bytes) -> SwapOutcome:
        """Write a value if the key still has `version` (0: no such key)."""


class PlatformTasks:
    """Runs at most one watch, and any number of writes.

    A watch that fails submits `PlatformLost`; the reducer decides when to
    start the next one.
    """

    def __init__(
        self,
        platform: Platform,
        submit: Callable[[Event], None],
        clock: Callable[[], float],
        log: Callable[[str, dict[str, LogValue]], None],
    ) -> None:
        self._platform = platform
        self._submit = submit
        self._clock = clock
        self._log = log
        self._watch: asyncio.Task[None] | None = None
        self._swaps: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Start a watch; cancels a watch that is running."""
        self.stop()
        self._watch = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Cancel the watch, if one is running."""
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None

    def swap(self, effect: SwapRecord) -> None:
        """Start a compare-and-swap."""
        task = asyncio.create_task(self._swap(effect))
        self._swaps.add(task)
        task.add_done_callback(self._swaps.discard)

    def close(self) -> None:
        """Cancel the watch and all writes in progress."""
        self.stop()
        for task in self._swaps:
            task.cancel()

    async def _run(self) -> None:
        try:
            await self._submit_records()
        except PlatformError as error:
            self._log('platform_failed', {'problem': str(error)})
            self._submit(PlatformLost(self._clock(), 'call_failed'))

    async def _submit_records(self) -> None:
        async for batch in self._platform.list_and_watch():
            event = RecordsReceived(
                self._clock(),
                batch.records,
                batch.revision,
                batch.complete,
            )
            self._submit(event)

    async def _swap(self, effect: SwapRecord) -> None:
        try:
            answer = await self._platform.swap(
                effect.key,
                effect.version,
                effect.value,
            )
        except PlatformError as error:
            # `PlatformError` means that the write has not taken effect.
            self._log('swap_failed', {'problem': str(error)})
            outcome = 'conflict'
        else:
            outcome = answer.outcome
        self._submit(
            SwapCompleted(self._clock(), effect.op_id, effect.key, outcome),
        )

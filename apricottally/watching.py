"""The watch of the platform, run while the core asks for it."""

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
from apricottally.platformclient import Batch, SwapOutcome


class Platform(Protocol):
    """What the watch needs of the platform's client."""

    def follow(self) -> AsyncIterator[Batch]:
        """Yield all records, then their changes."""

    async def swap(self, key: str, version: int, value: bytes) -> SwapOutcome:
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
        log: Callable[[str, dict[str, LogValue]], None],
    ) -> None:
        self._platform = platform
        self._submit = submit
        self._clock = clock
        self._log = log
        self._watch: asyncio.Task[None] | None = None
        self._swaps: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Start a watch; one that is running ends first."""
        self.stop()
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
            await self._follow()
        except PlatformError as error:
            self._log('platform_failed', {'problem': str(error)})
            self._submit(PlatformLost(self._clock(), 'call_failed'))

    async def _follow(self) -> None:
        async for batch in self._platform.follow():
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
            # The write is known not to have taken effect.
            self._log('swap_failed', {'problem': str(error)})
            outcome = 'conflict'
        else:
            outcome = answer.outcome
        self._submit(
            SwapCompleted(self._clock(), effect.op_id, effect.key, outcome),
        )

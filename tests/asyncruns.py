"""Runs coroutines in tests, each with a time limit."""

import asyncio
import itertools
from collections.abc import AsyncIterator, Callable, Coroutine, Iterable
from typing import Any, TypeVar

Item = TypeVar('Item')
Result = TypeVar('Result')

# Far longer than any step of a test takes; a test that hangs fails instead
# of blocking the run.
RUN_TIMEOUT_S = 30
# Port 0 gives each test a free port, so parallel runs do not collide.
LOOPBACK_ANY_PORT = ('127.0.0.1', 0)
POLL_S = 0.002


async def iterate_sequentially(items: Iterable[Item]) -> AsyncIterator[Item]:
    """Iterate over items whose loop bodies must not run concurrently."""
    for item in items:
        yield item


async def wait_until(is_true: Callable[[], object]) -> None:
    async for _ in iterate_sequentially(itertools.count()):
        if is_true():
            return
        await asyncio.sleep(POLL_S)


def run(
    scenario: Coroutine[Any, Any, Result], timeout_s: float = RUN_TIMEOUT_S
) -> Result:
    async def limited() -> Result:
        async with asyncio.timeout(timeout_s):
            return await scenario

    return asyncio.run(limited())

"""Runs of coroutines in tests, each with a time limit."""

import asyncio
import itertools
from collections.abc import AsyncIterator, Callable, Coroutine, Iterable
from typing import Any, TypeVar

Item = TypeVar('Item')
Result = TypeVar('Result')

# Far above any step of a test, so that a hang fails instead of blocking.
LIMIT_S = 30
# Each test binds port 0 here, so parallel runs do not collide.
LISTEN = ('127.0.0.1', 0)
POLL_S = 0.002


async def in_turn(items: Iterable[Item]) -> AsyncIterator[Item]:
    """Loop over items whose steps must not run at once."""
    for item in items:
        yield item


async def wait_until(holds: Callable[[], object]) -> None:
    async for _ in in_turn(itertools.count()):
        if holds():
            return
        await asyncio.sleep(POLL_S)


def run(scenario: Coroutine[Any, Any, Result]) -> Result:
    async def limited() -> Result:
        async with asyncio.timeout(LIMIT_S):
            return await scenario

    return asyncio.run(limited())

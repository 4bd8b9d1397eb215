"""The event loop of the daemons, whose clock counts suspended time.

The usual clock of asyncio stands still while a machine is suspended. Records
would be taken for as new as they were before the suspension, and time-outs
would end late by its length.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine
from typing import Any, TypeVar

_Result = TypeVar('_Result')


class SuspensionAwareEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose time goes on while the machine is suspended."""

    def time(self) -> float:
        """Return the time since the machine was booted, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def run(main: Coroutine[Any, Any, _Result]) -> _Result:
    """Run a coroutine like `asyncio.run`, in such an event loop."""
    with asyncio.Runner(loop_factory=SuspensionAwareEventLoop) as runner:
        return runner.run(main)

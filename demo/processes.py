"""Starts and ends the processes of a run, each by its process id."""

import asyncio
import contextlib
import ctypes
import signal
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import TypeAlias

Process: TypeAlias = 'subprocess.Popen[bytes]'

END_TIMEOUT_S = 5.0
_PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None, use_errno=True)


@contextlib.contextmanager
def start(name: str, logs: Path, *arguments: str) -> Iterator[Process]:
    """Run `python -m ARGUMENTS` while the context lasts.

    The output goes to a log file. The process is killed at the end, and also
    when the launcher itself is.
    """
    with (logs / f'{name}.log').open('wb') as log:
        process = subprocess.Popen(
            (sys.executable, '-m', *arguments),
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
            preexec_fn=_die_with_launcher,
        )
    try:
        yield process
    finally:
        process.kill()
        process.wait(END_TIMEOUT_S)


async def wait(process: Process, timeout_s: float) -> int | None:
    """Return the exit status, None if the process still runs."""
    try:
        return await asyncio.to_thread(process.wait, timeout_s)
    except subprocess.TimeoutExpired:
        return None


def _die_with_launcher() -> None:
    """Have the kernel kill this child when its parent ends."""
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)

"""Starts and ends the child processes of a run."""

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
    """Run `python -m ARGUMENTS` while the context is open.

    Output goes to a log file in `logs`. The process is killed when the context
    closes, and also when the process that started it dies.
    """
    with (logs / f'{name}.log').open('wb') as log:
        process = subprocess.Popen(
            (sys.executable, '-m', *arguments),
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
            preexec_fn=_kill_when_parent_ends,
        )
    try:
        yield process
    finally:
        process.kill()
        process.wait(END_TIMEOUT_S)


async def wait_for_exit(process: Process, timeout_s: float) -> int | None:
    """Return the exit status, None if the process runs after `timeout_s`."""
    try:
        return await asyncio.to_thread(process.wait, timeout_s)
    except subprocess.TimeoutExpired:
        return None


def _kill_when_parent_ends() -> None:
    """Make the kernel kill this child when its parent dies for any reason."""
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)

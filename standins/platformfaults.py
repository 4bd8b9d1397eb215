"""Faults of the platform stand-in, switched while it runs.

Code in the same process calls `Platform.change_faults`. Other processes send
`Change` as JSON lines to the admin port, which answers each with a status line.
"""

import asyncio
from collections import Counter
from typing import Any, Literal, TypeAlias

import msgspec
from grpclib.const import Status
from grpclib.exceptions import GRPCError

Outage: TypeAlias = Literal['none', 'refuse', 'hang']
Loss: TypeAlias = Literal['reset', 'hang']


class Change(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A change of the faults; fields that are None stay as they are.

    During an `outage` all calls fail or hang. `delay_s` is added to each call.
    A write takes effect after `late_s`, even if its caller has given up by
    then. The next `lose_answers` writes take effect, but their answer is lost:
    the call is reset or hangs (`loss`).
    `cut_ips` are the addresses of callers whose calls hang.
    `drop_watches` ends the open watches once. `compact` makes the history up
    to a revision unavailable.
    """

    outage: Outage | None = None
    delay_s: float | None = None
    late_s: float | None = None
    lose_answers: int | None = None
    loss: Loss | None = None
    cut_ips: list[str] | None = None
    drop_watches: bool = False
    compact: int | None = None


class Faults:
    """The faults in force, and the number of calls by method.

    `open_watches` is the current number of watches, `drop_count` how often all
    of them were ended.
    """

    def __init__(self) -> None:
        self.outage: Outage = 'none'
        self.delay_s = float(0)
        self.late_s = float(0)
        self.lose_answers = 0
        self.loss: Loss = 'reset'
        self.cut_ips: frozenset[str] = frozenset()
        self.calls: Counter[str] = Counter()
        self.open_watches = 0
        self.drop_count = 0
        self._changed = asyncio.Event()

    def apply(self, change: Change) -> None:
        """Apply a change."""
        for name in ('outage', 'delay_s', 'late_s', 'lose_answers', 'loss'):
            wanted = getattr(change, name)
            if wanted is not None:
                setattr(self, name, wanted)
        if change.cut_ips is not None:
            self.cut_ips = frozenset(change.cut_ips)
        self.drop_count += change.drop_watches
        self._changed.set()
        self._changed = asyncio.Event()

    async def begin_call(self, method: str, peer_ip: str) -> None:
        """Count a call; refuse or delay it as the faults in force demand."""
        self.calls[method] += 1
        await self.wait_reachable(peer_ip)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)

    async def wait_reachable(self, peer_ip: str) -> None:
        """Wait while calls of the caller hang; raise if they are refused."""
        while self.outage == 'hang' or peer_ip in self.cut_ips:
            await self._changed.wait()
        if self.outage == 'refuse':
            raise GRPCError(Status.UNAVAILABLE, 'etcdserver: no leader')

    async def allow_answer(self, stream: Any) -> bool:
        """Return whether to answer a write; if not, hang or reset the call."""
        if not self.lose_answers:
            return True
        self.lose_answers -= 1
        if self.loss == 'hang':
            await asyncio.Event().wait()
        await stream.cancel()
        return False

    def count_closed_watch(self) -> None:
        """Count a watch as closed."""
        self.open_watches -= 1

    async def wait_change(self) -> None:
        """Wait for the next change of the faults."""
        await self._changed.wait()

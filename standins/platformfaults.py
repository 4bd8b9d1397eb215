"""Faults of the platform stand-in, switched while it runs.

The same fields are set in the process (`Faults.change`) and from another one,
as JSON lines on the admin port. Every line is answered with a status line.
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

    `delay_s` is added to each call. `late_s` is the time until a write takes
    effect, which it then does even if its caller has given up.
    `lose_answers` is the number of writes, from now on, whose answer is lost
    after they took effect: by a reset of the call or by silence (`loss`).
    `cut_ips` are callers whose calls hang.
    `drop_watches` ends the open watches once. `compact` forgets the history
    up to a revision.
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
    """The faults in force, and the calls counted by method.

    `watching` is the number of watches that are open now, `drops` how often
    all of them were ended.
    """

    def __init__(self) -> None:
        self.outage: Outage = 'none'
        self.delay_s = float(0)
        self.late_s = float(0)
        self.lose_answers = 0
        self.loss: Loss = 'reset'
        self.cut_ips: frozenset[str] = frozenset()
        self.calls: Counter[str] = Counter()
        self.watching = 0
        self.drops = 0
        self._changed = asyncio.Event()

    def change(self, change: Change) -> None:
        """Put a change in force."""
        for name in ('outage', 'delay_s', 'late_s', 'lose_answers', 'loss'):
            wanted = getattr(change, name)
            if wanted is not None:
                setattr(self, name, wanted)
        if change.cut_ips is not None:
            self.cut_ips = frozenset(change.cut_ips)
        self.drops += change.drop_watches
        self._changed.set()
        self._changed = asyncio.Event()

    async def enter(self, method: str, peer_ip: str) -> None:
        """Count a call and let the faults act on it before it is served."""
        self.calls[method] += 1
        await self.wait_reachable(peer_ip)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)

    async def wait_reachable(self, peer_ip: str) -> None:
        """Hang while the caller is cut off; refuse during an outage."""
        while self.outage == 'hang' or peer_ip in self.cut_ips:
            await self._changed.wait()
        if self.outage == 'refuse':
            raise GRPCError(Status.UNAVAILABLE, 'etcdserver: no leader')

    async def leave_write(self, stream: Any) -> bool:
        """Tell whether a write may be answered; lose the answer if not."""
        if not self.lose_answers:
            return True
        self.lose_answers -= 1
        if self.loss == 'hang':
            await asyncio.Event().wait()
        await stream.cancel()
        return False

    def end_watch(self) -> None:
        """Count a watch as closed."""
        self.watching -= 1

    async def wait_change(self) -> None:
        """Return after the next change."""
        await self._changed.wait()

"""A flow whose SYN waits, and whether it may be reset."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from apricottally.tagged.packets import FlowPacket
from apricottally.tagged.records import Route

# When a client sends the SYN and its copies, in seconds after the SYN. The
# `acknowledged` field of a SYN is the index of the copy.
COPY_DELAYS_S = (0, 0.2, 0.6)
# A copy counts as due this much earlier. A reset sent within this time would
# meet a copy that may open the flow through another node.
COPY_MARGIN_S = 0.05

# Sorted services of a route, and the regions that its flows are limited to. Two
# flows with the same scope may go to the same backends.
Scope: TypeAlias = tuple[tuple[str, ...], tuple[str, ...]]


@dataclass(slots=True, eq=False)
class WaitingFlow:
    """A flow that waits for a backend; times are monotonic seconds.

    `packet` is the newest copy of its SYN. The client sent its SYN at
    `started_at` at the earliest; the flow is in the queue since `queued_at`.
    From `late_at` on it cannot meet its route's latency target, and it waits
    until `deadline`. `number` rises with each flow. Bit N of `copies` is set
    if copy N has arrived. If `is_backlog` is set, the SYN may have been unread
    for long.
    """

    packet: FlowPacket
    route: Route
    scope: Scope
    number: int
    started_at: float
    queued_at: float
    late_at: float
    deadline: float
    is_late: bool = False
    is_backlog: bool = False
    copies: int = 0

    def add_copy(self, packet: FlowPacket) -> None:
        """Record a copy of the SYN; later effects use the newest one."""
        self.packet = packet
        if packet.acknowledged < len(COPY_DELAYS_S):
            self.copies |= 1 << packet.acknowledged

    def may_reset(self, now: float) -> bool:
        """Tell whether no other node can have opened the flow.

        That is so if every copy that the client has sent by now has arrived
        here. A missing one may have gone through another node.
        """
        if self.is_backlog:
            return False
        age_s = now - self.started_at + COPY_MARGIN_S
        due = sum(delay_s <= age_s for delay_s in COPY_DELAYS_S)
        all_due = (1 << max(due, 1)) - 1
        return self.copies & all_due == all_due


def estimate_start(packet: FlowPacket, sent_at: float) -> float:
    """Return when the client has sent the first copy of a SYN.

    `sent_at` is when it has sent the given one.
    """
    index = min(packet.acknowledged, len(COPY_DELAYS_S) - 1)
    return sent_at - COPY_DELAYS_S[index]

"""Waiting flows of the routes that have the same backends."""

from __future__ import annotations

from typing import TypeAlias

from apricottally.tagged.queueing.callerorder import CallerOrder
from apricottally.tagged.queueing.slidingcounts import SlidingCounts
from apricottally.tagged.queueing.waitingflow import Scope, WaitingFlow

# Priority of the route, whether the flow is late, flows of the caller admitted
# recently, and number of the flow. The lowest rank is admitted first.
Rank: TypeAlias = tuple[int, bool, int, int]


# Flows that are late are refused once the others have waited for this long
# without interruption. A client waits 1.4 s for an answer to its SYN.
OVERLOAD_S = 0.5


class Lane:
    """The waiting flows of one scope, in the order of admission.

    `blocked_priority` is the priority of the flow for which no backend had
    room at the last attempt, None if an attempt is due. Less urgent flows need
    not be tried then, since the limits of the backends' queues are not higher
    for them.
    """

    __slots__ = (
        '_admitted',
        '_orders',
        'blocked_priority',
        'on_time_since',
        'scope',
        'size',
    )

    def __init__(
        self,
        scope: Scope,
        admitted: SlidingCounts[int],
    ) -> None:
        self.scope = scope
        self.size = 0
        self.blocked_priority: int | None = None
        # Since when flows that are not late have waited without interruption.
        self.on_time_since: float | None = None
        self._admitted = admitted
        # By priority and lateness; orders without flows are removed.
        self._orders: dict[tuple[int, bool], CallerOrder] = {}

    def is_blocked_for(self, priority: int) -> bool:
        """Tell whether flows of a priority have to wait for an attempt."""
        blocked = self.blocked_priority
        return blocked is not None and priority >= blocked

    def add(self, flow: WaitingFlow) -> None:
        """Add a flow at its place."""
        place = (flow.route.priority, flow.is_late)
        order = self._orders.get(place)
        if order is None:
            order = CallerOrder(self._admitted)
            self._orders[place] = order
        order.add(flow)
        self.size += 1

    def remove(self, flow: WaitingFlow) -> None:
        """Remove a flow of this lane."""
        place = (flow.route.priority, flow.is_late)
        order = self._orders[place]
        order.remove(flow)
        self.size -= 1
        if not order.size:
            self._orders.pop(place)

    def update(self, caller: int) -> None:
        """Move the flows of a caller whose count has changed."""
        for order in self._orders.values():
            order.update(caller)

    def update_overload(self, now: float) -> None:
        """Note whether flows that are not late still wait."""
        if all(is_late for _, is_late in self._orders):
            self.on_time_since = None
        elif self.on_time_since is None:
            self.on_time_since = now

    def is_overloaded(self, now: float) -> bool:
        """Tell whether late flows have no prospect of being served.

        They come after all others, which have kept the backends busy for a
        while.
        """
        since = self.on_time_since
        return since is not None and now - since >= OVERLOAD_S

    def get_first(self) -> WaitingFlow | None:
        """Return the flow to admit next, None if the lane is empty."""
        if not self._orders:
            return None
        return self._orders[min(self._orders)].get_first()

    def get_last(self) -> WaitingFlow | None:
        """Return the flow to admit last, None if the lane is empty."""
        if not self._orders:
            return None
        return self._orders[max(self._orders)].get_last()

    def rank(self, flow: WaitingFlow) -> Rank:
        """Return the place of a flow in the order of admission."""
        count = self._admitted.count(flow.packet.client)
        return flow.route.priority, flow.is_late, count, flow.number

    def count_before(self, flow: WaitingFlow) -> int:
        """Return how many flows of more urgent classes are waiting."""
        place = (flow.route.priority, flow.is_late)
        return sum(
            order.size for key, order in self._orders.items() if key < place
        )

    def count_class(self, flow: WaitingFlow) -> int:
        """Return how many flows of a flow's own class are waiting."""
        order = self._orders.get((flow.route.priority, flow.is_late))
        return order.size if order else 0

"""The queue of a node: all waiting flows, their order and their times."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Iterable

from apricottally.tagged.queueing.lane import Lane
from apricottally.tagged.queueing.runtimes import RunTimes
from apricottally.tagged.queueing.slidingcounts import SlidingCounts
from apricottally.tagged.queueing.waitingflow import Scope, WaitingFlow

# Maximum number of waiting flows; one takes about 1 KB.
MAX_WAITING_FLOWS = 4096
# Callers are compared by the flows admitted within this time. The counts are
# of at most so many flows, and so of as many callers.
CALLER_WINDOW_S = 5.0
MAX_CALLERS = 20_000
# The rate of admission is measured over this time.
RATE_WINDOW_S = 1.0
MAX_RATE_RECORDS = 20_000
# Fewer timers than this plus two for each flow are not rebuilt.
_MIN_REBUILD_TIMERS = 64


class WaitingQueue:
    """All waiting flows of a node, and what it has admitted recently.

    `admitted` has the flows admitted by their scope, `callers` those by client
    address. SYNs that arrive before `backlog_until` may have
    been unread during a pause of the process.
    """

    def __init__(self) -> None:
        self.by_key: dict[bytes, WaitingFlow] = {}
        self.lanes: dict[Scope, Lane] = {}
        self.callers: SlidingCounts[int] = SlidingCounts(
            CALLER_WINDOW_S, MAX_CALLERS
        )
        self.admitted: SlidingCounts[Scope] = SlidingCounts(
            RATE_WINDOW_S, MAX_RATE_RECORDS
        )
        self.run_times = RunTimes()
        self.numbers = itertools.count()
        self.backlog_until = float('-inf')
        self._by_service: dict[str, list[Lane]] = {}
        # Time at which a flow becomes late or its wait ends, number, flow.
        self._timers: list[tuple[float, int, WaitingFlow]] = []

    def add(self, flow: WaitingFlow) -> Lane:
        """Add a flow; return its lane."""
        lane = self.lanes.get(flow.scope)
        if lane is None:
            lane = Lane(flow.scope, self.callers)
            self.lanes[flow.scope] = lane
            for service in flow.scope[0]:
                self._by_service.setdefault(service, []).append(lane)
        self.by_key[flow.packet.key] = flow
        lane.add(flow)
        self._start_timer(flow)
        return lane

    def remove(self, flow: WaitingFlow) -> None:
        """Remove a waiting flow; a lane without flows is removed, too."""
        self.by_key.pop(flow.packet.key)
        lane = self.lanes[flow.scope]
        lane.remove(flow)
        if lane.size:
            return
        self.lanes.pop(flow.scope)
        for service in flow.scope[0]:
            lanes = self._by_service[service]
            lanes.remove(lane)
            if not lanes:
                self._by_service.pop(service)

    def remove_all(self) -> list[WaitingFlow]:
        """Remove and return all flows."""
        flows = list(self.by_key.values())
        for flow in flows:
            self.remove(flow)
        return flows

    def list_lanes(self, services: Iterable[str]) -> list[Lane]:
        """Return the lanes that have one of the services."""
        found = {
            lane.scope: lane
            for service in services
            for lane in self._by_service.get(service, ())
        }
        return list(found.values())

    def record_admission(self, flow: WaitingFlow, now: float) -> None:
        """Count a flow that was forwarded, with or without a wait."""
        caller = flow.packet.client
        self.admitted.record(flow.scope, now)
        self.callers.record(caller, now)
        self._update_caller(caller)

    def advance(self, now: float) -> list[WaitingFlow]:
        """Advance the time; remove and return flows whose wait is over.

        In an overload that lasts, the wait of a flow is over when it is late.
        """
        self.admitted.expire(now)
        for caller in self.callers.expire(now):
            self._update_caller(caller)
        for lane in self.lanes.values():
            lane.update_overload(now)
        expired: list[WaitingFlow] = []
        while self._timers and self._timers[0][0] <= now:
            flow = heapq.heappop(self._timers)[2]
            if self.by_key.get(flow.packet.key) is not flow:
                continue
            is_overloaded = self.lanes[flow.scope].is_overloaded(now)
            if now >= flow.deadline or is_overloaded:
                self.remove(flow)
                expired.append(flow)
            else:
                self._mark_late(flow)
        return expired

    def get_last(self) -> WaitingFlow | None:
        """Return the flow to admit last of all lanes, None if all are empty."""
        ranked = [
            (lane.rank(last), last)
            for lane in self.lanes.values()
            if (last := lane.get_last()) is not None
        ]
        return max(ranked)[1] if ranked else None

    def _update_caller(self, caller: int) -> None:
        for lane in self.lanes.values():
            lane.update(caller)

    def _mark_late(self, flow: WaitingFlow) -> None:
        lane = self.lanes[flow.scope]
        # `self.remove` would also delete a lane that becomes empty.
        lane.remove(flow)
        flow.is_late = True
        lane.add(flow)
        self._start_timer(flow)

    def _start_timer(self, flow: WaitingFlow) -> None:
        due_at = flow.deadline
        if not flow.is_late:
            due_at = min(flow.late_at, due_at)
        heapq.heappush(self._timers, (due_at, flow.number, flow))
        most = 2 * len(self.by_key) + _MIN_REBUILD_TIMERS
        if len(self._timers) > most:
            # The other entries are of flows that have left the queue.
            self._timers = [
                timer
                for timer in self._timers
                if self.by_key.get(timer[2].packet.key) is timer[2]
            ]
            heapq.heapify(self._timers)

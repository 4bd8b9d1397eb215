"""Capacity of a backend server, and the load that it reports."""

from collections import Counter, deque

import msgspec

from apricottally.events import LoadReport


class ServerConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of a backend server.

    A flow to one of `slot_ports` holds a slot from its SYN to its answer;
    flows to other ports count only as connections. Work on a new server takes
    `cold_factor` times as long; the factor falls to 1 within `cold_s`. Load
    reports are `report_lag_s` old; `lie`, if set, is reported instead of the
    true load. A flow without a request is reset after `request_timeout_s`. A
    draining server sheds new flows after `drain_grace_s`.
    """

    name: str
    service: str
    ip: str
    slots: int = 2
    connections: int = 2000
    slot_ports: tuple[int, ...] = ()
    cold_s: float = 0
    cold_factor: float = 3
    report_lag_s: float = 0
    lie: LoadReport | None = None
    request_timeout_s: float = 10
    drain_grace_s: float = 3


class Capacity:
    """Slots and connections of a backend server that are in use.

    `counts` receives the number of accepted flows, and of shed flows by reason.
    """

    def __init__(
        self,
        config: ServerConfig,
        started: float,
        counts: Counter[str],
    ) -> None:
        self._config = config
        self._started = started
        self._counts = counts
        self._draining_since: float | None = None
        self._busy = 0
        self._open = 0
        self._history: deque[tuple[float, LoadReport]] = deque()

    def drain(self, now: float) -> None:
        """Start draining; after the grace period new flows are shed."""
        if self._draining_since is None:
            self._draining_since = now

    def reserve(self, now: float, *, holds_slot: bool) -> bool:
        """Reserve a connection, and a slot if asked; return False if shed."""
        shed = self._find_shed_reason(now, holds_slot=holds_slot)
        if shed:
            self._counts[shed] += 1
            return False
        self._open += 1
        self._busy += holds_slot
        self._counts['accepted'] += 1
        return True

    def release(self, *, holds_slot: bool) -> None:
        """Release the connection, and the slot if any, of a flow."""
        self._open -= 1
        self._busy -= holds_slot

    def calculate_slowdown(self, now: float) -> float:
        """Return the factor by which work takes longer on a cold server."""
        age = now - self._started
        if age >= self._config.cold_s:
            return 1
        left = 1 - age / self._config.cold_s
        return 1 + (self._config.cold_factor - 1) * left

    def measure(self, now: float) -> LoadReport:
        """Return the true load."""
        state = 'ready'
        if self._draining_since is not None:
            state = 'draining'
        elif now - self._started < self._config.cold_s:
            state = 'cold'
        return LoadReport(self._busy, self._open, state)

    def report(self, now: float) -> LoadReport:
        """Return the load as reported: stale or false if so configured."""
        if self._config.lie is not None:
            return self._config.lie
        if self._config.report_lag_s and self._history:
            return self._history[0][1]
        return self.measure(now)

    def record_load(self, now: float) -> None:
        """Record the load; of entries older than the lag keep the latest."""
        if not self._config.report_lag_s:
            return
        history = self._history
        history.append((now, self.measure(now)))
        cutoff = now - self._config.report_lag_s
        while len(history) > 1 and history[1][0] <= cutoff:
            history.popleft()

    def _find_shed_reason(self, now: float, *, holds_slot: bool) -> str:
        """Return why a flow is shed, empty if it is accepted."""
        since = self._draining_since
        if since is not None and now - since > self._config.drain_grace_s:
            return 'shed_draining'
        if holds_slot and self._busy >= self._config.slots:
            return 'shed_slots'
        if self._open >= self._config.connections:
            return 'shed_connections'
        return ''

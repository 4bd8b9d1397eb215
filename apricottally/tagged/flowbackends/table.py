"""Table of the backends that serve such flows."""

from __future__ import annotations

from dataclasses import dataclass

from apricottally.tagged.messages import FlowBackend

# A losing backend sends its SYN-ACK again 8 times, 0.2 to 1.6 s apart.
LIFETIME_S = 12.0
MAX_FLOWS = 2_000


@dataclass(frozen=True, slots=True)
class _Entry:
    tag: int
    ends_at: float


class FlowBackends:
    """Tags of the backends that serve flows, by flow key, oldest first.

    `unannounced` are the flows that other nodes have not been told of.
    """

    __slots__ = ('_by_key', 'unannounced')

    def __init__(self) -> None:
        self._by_key: dict[bytes, _Entry] = {}
        self.unannounced: list[FlowBackend] = []

    def record_opened(self, key: bytes, tag: int, now: float) -> None:
        """Record a flow that this node has seen open."""
        self.record(FlowBackend(key, tag), now)
        self.unannounced.append(FlowBackend(key, tag))

    def record(self, flow: FlowBackend, now: float) -> None:
        """Record a flow that another node has seen open."""
        self._by_key.pop(flow.key, None)
        self._by_key[flow.key] = _Entry(flow.tag, now + LIFETIME_S)
        if len(self._by_key) > MAX_FLOWS:
            self._by_key.pop(next(iter(self._by_key)))

    def forget(self, key: bytes) -> None:
        """Drop a flow, as its client has begun another one."""
        self._by_key.pop(key, None)

    def find_tag(self, key: bytes, now: float) -> int | None:
        """Return the tag of the backend that serves a flow, if it is known."""
        entry = self._by_key.get(key)
        if entry is None or now >= entry.ends_at:
            return None
        return entry.tag

    def list_all(self, now: float) -> list[FlowBackend]:
        """Return all flows that are known."""
        return [
            FlowBackend(key, entry.tag)
            for key, entry in self._by_key.items()
            if now < entry.ends_at
        ]

    def purge(self, now: float) -> None:
        """Drop the flows whose time is over."""
        expired = [
            key for key, entry in self._by_key.items() if now >= entry.ends_at
        ]
        for key in expired:
            self._by_key.pop(key)

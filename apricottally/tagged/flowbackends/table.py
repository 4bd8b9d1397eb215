"""Table of the backends that serve such flows."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from apricottally.tagged.messages import FlowBackend
from apricottally.tagged.packets import FlowPacket

# A losing backend sends its SYN-ACK again 8 times, 0.2 to 1.6 s apart.
SYN_ACK_LIFETIME_S = 12.0
# Longest pause of a client between two packets, before the configuration that
# states it is known.
DEFAULT_IDLE_S = 15.0
MAX_FLOWS = 4_000
# A packet further than this from a flow's SYN belongs to a later flow with the
# same ports.
MAX_SENT_BYTES = 1 << 24
_SEQUENCE_RANGE = 1 << 32


@dataclass(frozen=True, slots=True)
class _Entry:
    tag: int
    initial_sequence: int
    opened_at: float

    def includes(self, sequence: int) -> bool:
        """Tell whether a sequence number may be one of the flow's."""
        sent = sequence - self.initial_sequence
        return sent % _SEQUENCE_RANGE <= MAX_SENT_BYTES


class FlowBackends:
    """Tags of the backends that serve flows, by flow key, oldest first.

    After the last SYN-ACK of a losing backend, the client may pause for
    `idle_s` before it sends that backend's tag. The answer to that packet then
    brings the right one.
    """

    __slots__ = ('_by_key', 'idle_s')

    def __init__(self) -> None:
        self._by_key: dict[bytes, _Entry] = {}
        self.idle_s = DEFAULT_IDLE_S

    def record(self, flow: FlowBackend, now: float) -> None:
        """Record a flow that a node has seen open."""
        self._by_key.pop(flow.key, None)
        opened_at = now - flow.age_ms / 1000
        entry = _Entry(flow.tag, flow.initial_sequence, opened_at)
        self._by_key[flow.key] = entry
        if len(self._by_key) > MAX_FLOWS:
            self._by_key.pop(next(iter(self._by_key)))

    def forget(self, key: bytes) -> None:
        """Drop a flow, as its client has begun another one."""
        self._by_key.pop(key, None)

    def find_tag(self, key: bytes, sequence: int, now: float) -> int | None:
        """Return the tag of the backend that serves a flow.

        `sequence` is the sequence number of one of its packets. Returns None if
        the flow is not known.
        """
        entry = self._find(key, now)
        if entry is None or not entry.includes(sequence):
            return None
        return entry.tag

    def has_opened(self, syn: FlowPacket, now: float) -> bool:
        """Tell whether the flow of a SYN is known to be open."""
        entry = self._find(syn.key, now)
        return entry is not None and entry.initial_sequence == syn.sequence

    def describe(self, keys: Iterable[bytes], now: float) -> list[FlowBackend]:
        """Return what other nodes are told of those flows that are known."""
        found = ((key, self._find(key, now)) for key in keys)
        return [
            FlowBackend(
                key,
                entry.tag,
                entry.initial_sequence,
                max(round((now - entry.opened_at) * 1000), 0),
            )
            for key, entry in found
            if entry is not None
        ]

    def describe_all(self, now: float) -> list[FlowBackend]:
        """Return what other nodes are told of all flows that are known."""
        return self.describe(self._by_key, now)

    def purge(self, idle_s: float, now: float) -> None:
        """Drop the flows whose time is over; `idle_s` is the longest pause."""
        self.idle_s = idle_s
        expired = [
            key
            for key, entry in self._by_key.items()
            if self._is_over(entry, now)
        ]
        for key in expired:
            self._by_key.pop(key)

    def _find(self, key: bytes, now: float) -> _Entry | None:
        entry = self._by_key.get(key)
        if entry is None or self._is_over(entry, now):
            return None
        return entry

    def _is_over(self, entry: _Entry, now: float) -> bool:
        return now - entry.opened_at >= SYN_ACK_LIFETIME_S + self.idle_s

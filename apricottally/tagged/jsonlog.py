"""Non-blocking structured logging: one JSON object per line.

The number of lines per event name is rate-limited. Lines that exceed the limit,
or that do not fit the buffer because the reader is slow, are dropped; the
counts of dropped lines are logged periodically.
"""

from __future__ import annotations

import os
import time
from collections import Counter, deque
from collections.abc import Mapping

import msgspec

from apricottally.effects import LogValue
from apricottally.tokenbucket import TokenBucket

LINES_PER_S = 40.0
BURST_LINES = 200.0
MAX_PENDING_BYTES = 262_144
REPORT_PERIOD_S = 5.0


class JsonLog:
    """Writes log lines to a file descriptor, which it sets to non-blocking."""

    def __init__(self, descriptor: int, node: str) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._node = node
        self._budgets: dict[str, TokenBucket] = {}
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._dropped: Counter[str] = Counter()
        self._reported_at = float('-inf')

    def write(
        self,
        now: float,
        event: str,
        fields: Mapping[str, LogValue],
    ) -> None:
        """Queue a line unless its event is over the rate limit."""
        budget = self._budgets.get(event)
        if budget is None:
            budget = TokenBucket(LINES_PER_S, BURST_LINES)
            self._budgets[event] = budget
        if not budget.take(now, 1):
            self._dropped[f'rate_{event}'] += 1
            return
        self._enqueue(event, fields)

    def flush(self, now: float) -> None:
        """Write as much as the reader accepts; log counts of dropped lines."""
        self._write_pending()
        if self._pending or not self._dropped:
            return
        if now - self._reported_at >= REPORT_PERIOD_S:
            self._reported_at = now
            counts = dict(self._dropped)
            self._dropped.clear()
            self._enqueue('suppressed', counts)
            self._write_pending()

    def _write_pending(self) -> None:
        if not self._pending:
            return
        chunk = b''.join(self._pending)
        self._pending.clear()
        self._pending_bytes = 0
        try:
            written = os.write(self._descriptor, chunk)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader has closed the pipe; the lines are lost.
            return
        if written < len(chunk):
            self._pending.append(chunk[written:])
            self._pending_bytes = len(chunk) - written

    def _enqueue(self, event: str, fields: Mapping[str, LogValue]) -> None:
        line = {
            'time': round(time.time(), 3),
            'node': self._node,
            'event': event,
            **fields,
        }
        encoded = msgspec.json.encode(line) + b'\n'
        if self._pending_bytes + len(encoded) > MAX_PENDING_BYTES:
            self._dropped['reader_slow'] += 1
            return
        self._pending.append(encoded)
        self._pending_bytes += len(encoded)

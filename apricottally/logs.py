"""Structured logs: one JSON record per line on standard error, using absl.

The rate of each event name is limited. Records over the limit are counted,
and the event `suppressed` reports the count.
"""

import logging
from collections import Counter
from collections.abc import Mapping
from typing import Any

import msgspec
from absl import flags
from absl import logging as absl_logging

from apricottally.effects import LogValue

# Records of one event name that are written per window.
MAX_RECORDS_PER_WINDOW = 20
# Length of the window; the counts restart with each window.
WINDOW_S = float(10)

_LEVELS: dict[str, int] = {
    'debug': absl_logging.DEBUG,
    'info': absl_logging.INFO,
    'warning': absl_logging.WARNING,
    'error': absl_logging.ERROR,
}


class JsonFormatter(logging.Formatter):
    """Formats a record as one line of JSON.

    Its keys are `time` (Unix seconds), `level`, `event` and `fields`. Records
    of libraries have the event `message` and the fields `logger` and `text`.
    """

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as a JSON line."""
        event = getattr(record, 'event', None)
        fields: dict[str, Any] = getattr(record, 'fields', {})
        if event is None:
            event = 'message'
            fields = {'logger': record.name, 'text': record.getMessage()}
        if record.exc_info:
            fields = {
                **fields,
                'exception': self.formatException(record.exc_info),
            }
        line = {
            'time': round(record.created, 3),
            'level': record.levelname.lower(),
            'event': event,
            'fields': fields,
        }
        return msgspec.json.encode(line).decode()


class EventLog:
    """Writes events and limits the rate of each event name.

    The caller passes the monotonic time in seconds to each call.
    """

    def __init__(
        self,
        max_records_per_window: int = MAX_RECORDS_PER_WINDOW,
        window_s: float = WINDOW_S,
    ) -> None:
        self._window_records = max_records_per_window
        self._window_s = window_s
        self._window_start = float(0)
        self._counts: Counter[str] = Counter()

    def write(
        self,
        now: float,
        event: str,
        fields: Mapping[str, LogValue],
        level: str = 'info',
    ) -> None:
        """Write an event unless its name has reached the rate limit."""
        self.flush(now)
        self._counts[event] += 1
        if self._counts[event] <= self._window_records:
            _emit(event, fields, level)

    def flush(self, now: float) -> None:
        """Report suppressed records if the window is over.

        The node calls this at every tick.
        """
        if now - self._window_start < self._window_s:
            return
        counts = self._counts
        self._counts = Counter()
        self._window_start = now
        for event, count in counts.items():
            suppressed = count - self._window_records
            if suppressed > 0:
                fields: dict[str, LogValue] = {
                    'of': event,
                    'count': suppressed,
                }
                _emit('suppressed', fields, 'warning')


def start_logging(level: str) -> None:
    """Route all logs of the process at or above a level through absl."""
    # The process takes no absl flags. absl logs a warning unless its flags
    # are marked as parsed.
    flags.FLAGS.mark_as_parsed()
    flags.FLAGS['logtostderr'].value = True
    absl_logging.use_absl_handler()
    absl_logging.set_verbosity(_LEVELS[level])
    absl_logging.get_absl_handler().setFormatter(JsonFormatter())


def _emit(event: str, fields: Mapping[str, LogValue], level: str) -> None:
    absl_logging.log(
        _LEVELS[level],
        '%s',
        event,
        extra={'event': event, 'fields': dict(fields)},
    )

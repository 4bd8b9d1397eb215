"""Logs are JSON lines with a rate limit for each event name."""

import logging
import time

import msgspec
import pytest
from absl import logging as absl_logging

from apricottally.logs import EventLog, start_logging
from apricottally.settings import LOG_LEVELS


@pytest.fixture
def written(capsys):
    """Return a function that starts logging and returns a record reader."""
    handler = absl_logging.get_absl_handler().python_handler
    root = logging.getLogger()
    former = (handler.formatter, root.level, list(root.handlers))

    def read() -> list:
        lines = capsys.readouterr().err.splitlines()
        return [msgspec.json.decode(line) for line in lines]

    def start(level: str):
        start_logging(level)
        return read

    yield start
    handler.setFormatter(former[0])
    root.setLevel(former[1])
    root.handlers = former[2]


def test_record(written) -> None:
    """Each record must be one line of valid JSON, line breaks escaped."""
    read = written('info')
    EventLog().write(1, 'record_refused', {'key': 'a\nb', 'count': 3}, 'error')
    records = read()
    assert abs(records[0].pop('time') - time.time()) < 60
    assert records == [
        {
            'level': 'error',
            'event': 'record_refused',
            'fields': {'key': 'a\nb', 'count': 3},
        },
    ]


def test_library_record(written) -> None:
    """Records of libraries must be written as JSON, not as plain text."""
    read = written('info')
    library = logging.getLogger('grpclib')
    library.error('failed %s', 'call', exc_info=ValueError('odd'))
    record = read()[0]
    assert record['event'] == 'message'
    assert record['fields']['text'] == 'failed call'
    assert 'ValueError: odd' in record['fields']['exception']


@pytest.mark.parametrize('level', LOG_LEVELS)
def test_level(written, level) -> None:
    """Records below the level in the settings must not be written."""
    read = written(level)
    log = EventLog()
    for each in LOG_LEVELS:
        log.write(1, each, {}, each)
    seen = [record['event'] for record in read()]
    assert seen == list(LOG_LEVELS[LOG_LEVELS.index(level) :])


def test_rate_is_bounded(written) -> None:
    """A flood of one event must be cut off without losing other events."""
    read = written('info')
    log = EventLog(max_records_per_window=3, window_s=10)
    for number in range(50):
        log.write(100 + number / 100, 'flood', {'number': number})
    log.write(101, 'other', {})
    assert [record['event'] for record in read()] == ['flood'] * 3 + ['other']
    log.flush(105)
    assert not read()
    log.flush(111)
    reported = read()[0]
    assert reported['event'] == 'suppressed'
    assert reported['fields'] == {'of': 'flood', 'count': 47}
    log.write(112, 'flood', {})
    assert [record['event'] for record in read()] == ['flood']
    log.flush(130)
    assert not read()

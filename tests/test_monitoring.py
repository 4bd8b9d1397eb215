"""The monitoring endpoint and the parsing of load reports."""

import asyncio

import pytest

from apricottally import loadpoller, monitoring
from apricottally.events import LoadReport
from tests import nodes


@pytest.mark.parametrize(
    ('line', 'ready', 'status'),
    [
        (b'GET /live HTTP/1.1', False, '200 OK'),
        (b'GET /ready HTTP/1.1', True, '200 OK'),
        (b'GET /ready HTTP/1.1', False, '503 Service Unavailable'),
        (b'GET /metrics HTTP/1.1', True, '200 OK'),
        (b'GET /else HTTP/1.1', True, '404 Not Found'),
        (b'POST /live HTTP/1.1', True, '405 Method Not Allowed'),
        (b'\xff\x00', True, '400 Bad Request'),
    ],
)
def test_http_statuses(line: bytes, ready: bool, status: str) -> None:
    """`/ready` must fail on a node that is live but not ready.

    Otherwise the network fabric would send it traffic.
    """
    responder = monitoring.Responder(nodes.build_state(), lambda: ready)
    assert responder.answer(line).status == status


def test_counters_are_exposed_by_reason() -> None:
    """Metrics must show refusals by reason and the versions of records."""
    state = nodes.build_state()
    nodes.install(state, nodes.build_records((nodes.build_backend(1),)))
    state.counters.add('refused', 'deadline', 3)
    responder = monitoring.Responder(state, lambda: True)
    body = responder.answer(b'GET /metrics HTTP/1.1').body.decode()
    assert 'apricottally_refused_total{reason="deadline"} 3' in body
    key = '/apricottally/workspaces/balm'
    assert f'apricottally_record_version{{key="{key}"}} 12' in body


@pytest.mark.parametrize(
    ('answer', 'report'),
    [
        (
            b'HTTP/1.1 200 OK\r\n\r\n{"busy":1,"open":5,"state":"ready"}',
            LoadReport(1, 5, 'ready'),
        ),
        (b'HTTP/1.1 500 Oops\r\n\r\n{"busy":1,"open":5,"state":"ready"}', None),
        (b'HTTP/1.1 200 OK\r\n\r\n{"busy":"x"}', None),
        (b'HTTP/1.1 200 OK\r\n\r\n', None),
        (b'garbage', None),
    ],
)
def test_load_answers(answer: bytes, report: LoadReport | None) -> None:
    """An invalid load report must be discarded and not stop the polls."""
    assert loadpoller.parse_answer(answer) == report


def test_served_over_a_socket() -> None:
    """A slow client or one that disconnects early must not end the server."""

    async def scenario() -> bytes:
        state = nodes.build_state()
        endpoint = (nodes.loopback_ip(), 16083)
        async with monitoring.open_monitoring(endpoint, state, lambda: True):
            _, broken = await asyncio.open_connection(*endpoint)
            broken.close()
            reader, writer = await asyncio.open_connection(*endpoint)
            writer.write(b'GET /live HTTP/1.1\r\nHost: x\r\n\r\n')
            answer = await reader.read()
            writer.close()
            return answer

    assert asyncio.run(scenario()).startswith(b'HTTP/1.1 200 OK')


def test_port_in_use_has_its_own_error() -> None:
    """A port in use must raise MonitoringError instead of a plain OSError."""

    async def scenario() -> None:
        state = nodes.build_state()
        endpoint = (nodes.loopback_ip(), 16084)
        first = monitoring.open_monitoring(endpoint, state, lambda: True)
        second = monitoring.open_monitoring(endpoint, state, lambda: True)
        async with first, second:
            raise AssertionError('two servers on one port')

    with pytest.raises(monitoring.MonitoringError, match='cannot listen'):
        asyncio.run(scenario())

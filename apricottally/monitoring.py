"""Metrics and health over HTTP: `/metrics`, `/live` and `/ready`.

Metrics are collected and rendered by aioprometheus. Its HTTP service would
take 14 MB of the node's memory limit of 32 MB, so this module has a minimal
HTTP server of its own.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

from aioprometheus.collectors import Counter, Gauge, Registry
from aioprometheus.renderer import render

from apricottally.addresses import Endpoint
from apricottally.errors import ApricottallyError
from apricottally.state import NodeState

REQUEST_TIMEOUT_S = 5.0
MAX_REQUEST_BYTES = 4096
# Records exposed as gauges; those with the highest versions are kept.
MAX_RECORD_GAUGES = 1000


# TimeoutError is an OSError; LimitOverrunError is raised for a request above
# MAX_REQUEST_BYTES.
_REQUEST_ERRORS = (OSError, EOFError, asyncio.LimitOverrunError)


class MonitoringError(ApricottallyError):
    """The monitoring endpoint cannot be opened."""


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """An HTTP response; `status` is the code with its reason phrase."""

    status: str
    content_type: str
    body: bytes


class MetricsExporter:
    """Copies the state of a node into a metrics registry at each scrape."""

    def __init__(self, state: NodeState, is_ready: Callable[[], bool]) -> None:
        self._state = state
        self._is_ready = is_ready
        self._registry = Registry()
        self._counters: dict[str, Counter] = {}
        self._versions = self._make_gauge(
            'apricottally_record_version',
            'Version of the newest records held, by key.',
        )
        self._members = self._make_gauge(
            'apricottally_members',
            'Known nodes by state.',
        )
        self._ready = self._make_gauge(
            'apricottally_ready',
            'Whether the node is ready to serve.',
        )

    def render(self) -> HttpResponse:
        """Return all metrics in the Prometheus text format."""
        self._copy_counters()
        self._copy_records()
        self._copy_members()
        self._ready.set({}, int(self._is_ready()))
        body, headers = render(self._registry, [])
        return HttpResponse('200 OK', headers['Content-Type'], body)

    def _make_gauge(self, name: str, text: str) -> Gauge:
        return Gauge(name, text, registry=self._registry)

    def _copy_counters(self) -> None:
        for (name, reason), count in self._state.counters.counts.items():
            counter = self._counters.get(name)
            if counter is None:
                counter = Counter(
                    f'apricottally_{name}_total',
                    f'Count of {name} by reason.',
                    registry=self._registry,
                )
                self._counters[name] = counter
            counter.set({'reason': reason}, count)

    def _copy_records(self) -> None:
        records = sorted(
            self._state.records.records.values(),
            key=lambda record: -record.version,
        )
        for record in records[:MAX_RECORD_GAUGES]:
            self._versions.set({'key': record.key}, record.version)

    def _copy_members(self) -> None:
        states = [
            member.state.name for member in self._state.members.members.values()
        ]
        for state in ('alive', 'suspect', 'leaving', 'dead'):
            self._members.set({'state': state}, states.count(state))


class Responder:
    """Answers GET requests for `/metrics`, `/live` and `/ready`."""

    def __init__(self, state: NodeState, is_ready: Callable[[], bool]) -> None:
        self._exporter = MetricsExporter(state, is_ready)
        self._is_ready = is_ready

    def answer(self, request_line: bytes) -> HttpResponse:
        """Return the response to an HTTP request line."""
        words = request_line.split()
        if len(words) != 3:
            return _build_text_response(
                '400 Bad Request', 'malformed request line'
            )
        if words[0] != b'GET':
            return _build_text_response(
                '405 Method Not Allowed', 'only GET is supported'
            )
        if words[1] == b'/metrics':
            return self._exporter.render()
        if words[1] == b'/live':
            return _build_text_response('200 OK', 'live')
        if words[1] == b'/ready':
            if self._is_ready():
                return _build_text_response('200 OK', 'ready')
            return _build_text_response('503 Service Unavailable', 'not ready')
        return _build_text_response('404 Not Found', 'unknown path')

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer one request and close the connection."""
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                await self._serve_request(reader, writer)
        except _REQUEST_ERRORS:
            # A client that is too slow, disconnects or exceeds the size limit
            # gets no response.
            return
        finally:
            writer.close()

    async def _serve_request(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        head = await reader.readuntil(b'\r\n\r\n')
        response = self.answer(head.split(b'\r\n', 1)[0])
        writer.write(_encode(response))
        await writer.drain()


@asynccontextmanager
async def open_monitoring(
    endpoint: Endpoint,
    state: NodeState,
    is_ready: Callable[[], bool],
) -> AsyncIterator[None]:
    """Serve the monitoring endpoint until the block ends.

    Raises `MonitoringError` if the port cannot be opened.
    """
    responder = Responder(state, is_ready)
    try:
        server = await asyncio.start_server(
            responder.serve,
            *endpoint,
            limit=MAX_REQUEST_BYTES,
        )
    except OSError as error:
        ip, port = endpoint
        raise MonitoringError(
            f'cannot listen on {ip}:{port}: {error}'
        ) from error
    try:
        yield
    finally:
        server.close()


def _build_text_response(status: str, body: str) -> HttpResponse:
    return HttpResponse(
        status, 'text/plain; charset=utf-8', f'{body}\n'.encode()
    )


def _encode(response: HttpResponse) -> bytes:
    head = (
        f'HTTP/1.1 {response.status}\r\n'
        f'Content-Type: {response.content_type}\r\n'
        f'Content-Length: {len(response.body)}\r\n'
        'Connection: close\r\n\r\n'
    )
    return head.encode() + response.body

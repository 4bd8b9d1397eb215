"""Metrics and health over HTTP: `/metrics`, `/live` and `/ready`.

The registry and its text form are aioprometheus'. Its HTTP service would take
14 MB of the node's 32 MB, so a small responder stands in for it.
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
# Records shown as gauges; the newest ones come first.
MAX_RECORD_GAUGES = 1000


# TimeoutError is an OSError; LimitOverrunError stands for a request over the
# size limit.
_REQUEST_FAULTS = (OSError, EOFError, asyncio.LimitOverrunError)


class MonitoringError(ApricottallyError):
    """The monitoring endpoint cannot be opened."""


@dataclass(frozen=True, slots=True)
class Answer:
    """One HTTP answer."""

    status: str
    content_type: str
    body: bytes


class Exposition:
    """Copies the counters of a node into a registry when it is scraped."""

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

    def render(self) -> Answer:
        """Return all metrics in the Prometheus text form."""
        self._copy_counters()
        self._copy_records()
        self._copy_members()
        self._ready.set({}, int(self._is_ready()))
        body, headers = render(self._registry, [])
        return Answer('200 OK', headers['Content-Type'], body)

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
    """Answers GET requests for the three paths."""

    def __init__(self, state: NodeState, is_ready: Callable[[], bool]) -> None:
        self._exposition = Exposition(state, is_ready)
        self._is_ready = is_ready

    def answer(self, request_line: bytes) -> Answer:
        """Return the answer to a request line."""
        words = request_line.split()
        if len(words) != 3:
            return _text('400 Bad Request', 'malformed request line')
        if words[0] != b'GET':
            return _text('405 Method Not Allowed', 'only GET is supported')
        if words[1] == b'/metrics':
            return self._exposition.render()
        if words[1] == b'/live':
            return _text('200 OK', 'live')
        if words[1] == b'/ready':
            if self._is_ready():
                return _text('200 OK', 'ready')
            return _text('503 Service Unavailable', 'not ready')
        return _text('404 Not Found', 'unknown path')

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one connection: one request, one answer."""
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                await self._serve_request(reader, writer)
        except _REQUEST_FAULTS:
            # A scraper that is slow, gone or malformed gets no answer.
            return
        finally:
            writer.close()

    async def _serve_request(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        head = await reader.readuntil(b'\r\n\r\n')
        answer = self.answer(head.split(b'\r\n', 1)[0])
        writer.write(_encode(answer))
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


def _text(status: str, body: str) -> Answer:
    return Answer(status, 'text/plain; charset=utf-8', f'{body}\n'.encode())


def _encode(answer: Answer) -> bytes:
    head = (
        f'HTTP/1.1 {answer.status}\r\n'
        f'Content-Type: {answer.content_type}\r\n'
        f'Content-Length: {len(answer.body)}\r\n'
        'Connection: close\r\n\r\n'
    )
    return head.encode() + answer.body

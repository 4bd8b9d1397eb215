"""Checks the answer of a flow against its request while it arrives."""

import enum

from standins import protocol
from standins.protocol import Answer, Kind, Request, Status


class Finding(enum.Enum):
    """Result of checking the bytes received so far.

    All values but `pending` are names of counters in `workload.Tally`.
    """

    pending = 'pending'
    completed = 'completed'
    expired = 'expired'
    crossed = 'crossed'
    misrouted = 'misrouted'
    doubled = 'doubled'


class AnswerCheck:
    """Checks one answer or feed; `events` counts the events of a feed."""

    def __init__(self, request: Request, service: str) -> None:
        self.events = 0
        self._request = request
        self._service = service
        self._buffer = bytearray()
        self._backend = ''
        self._answer: Answer | None = None

    def receive(self, content: bytes) -> Finding:
        """Add received bytes and check all that were received so far."""
        self._buffer += content
        try:
            if self._request.kind is Kind.feed:
                return self._check_events()
            return self._check_answer()
        except protocol.ProtocolError:
            return Finding.crossed

    def _check_events(self) -> Finding:
        *lines, rest = bytes(self._buffer).split(b'\n')
        self._buffer = bytearray(rest)
        for line in lines:
            event = protocol.decode_event(line)
            finding = self._check_origin(event.id, event.service)
            if finding is not Finding.pending:
                return finding
            if self._backend not in {'', event.backend}:
                return Finding.crossed
            if event.index != self.events:
                return Finding.crossed
            self._backend = event.backend
            self.events += 1
        return Finding.pending

    def _check_answer(self) -> Finding:
        if self._answer is None:
            line, newline, body = bytes(self._buffer).partition(b'\n')
            if not newline:
                return Finding.pending
            self._answer = protocol.decode_answer(line)
            self._buffer = bytearray(body)
        answer = self._answer
        finding = self._check_origin(answer.id, answer.service)
        if finding is not Finding.pending or len(self._buffer) < answer.size:
            return finding
        if len(self._buffer) > answer.size:
            return Finding.doubled
        if self._buffer != protocol.make_body(self._request.id, answer.size):
            return Finding.crossed
        if answer.status is Status.deadline:
            return Finding.expired
        has_requested_size = answer.size == self._request.size
        return Finding.completed if has_requested_size else Finding.crossed

    def _check_origin(self, request_id: str, service: str) -> Finding:
        if service != self._service:
            return Finding.misrouted
        if request_id != self._request.id:
            return Finding.crossed
        return Finding.pending

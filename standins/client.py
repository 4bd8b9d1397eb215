"""A caller without I/O: opens flows, checks and counts their answers."""

import random
from dataclasses import dataclass

import msgspec

from standins import protocol
from standins.answers import AnswerCheck, Finding
from standins.protocol import Kind, Request
from standins.tcp import Connection, Outcome, State
from standins.tcpoutput import Flow, TcpConfig, make_flow
from standins.tcpstack import TcpStack
from standins.timerheap import TimerHeap
from standins.workload import BrokenFlow, ClientReport, FlowStream, Work

FIRST_EPHEMERAL_PORT = 20_000
LAST_EPHEMERAL_PORT = 60_999
_MAX_REPORTED_FAULTS = 50
_OPENED_STATES = frozenset((State.open, State.time_wait))
_WRONG_FINDINGS = frozenset(
    (Finding.crossed, Finding.misrouted, Finding.doubled)
)


class ClientConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one caller; `ip` is the inner source address."""

    name: str
    ip: str
    works: tuple[Work, ...]


@dataclass(slots=True)
class _Exchange:
    """One flow with its request; at `stalls_at` it counts as stalled.

    `closing` is set when the caller itself closes a feed.
    """

    stream: FlowStream
    request: Request
    check: AnswerCheck
    started: float
    stalls_at: float
    opened: bool = False
    finding: Finding = Finding.pending
    closing: bool = False


class Client:
    """One caller with its flows."""

    def __init__(
        self,
        config: ClientConfig,
        rng: random.Random,
        started: float,
    ) -> None:
        self.stack = TcpStack(rng, TcpConfig())
        self._config = config
        self._rng = rng
        self._stopping = False
        self._next_port = rng.randrange(
            FIRST_EPHEMERAL_PORT, LAST_EPHEMERAL_PORT
        )
        self._exchanges: dict[Flow, _Exchange] = {}
        self._timers = TimerHeap()
        self._streams = [FlowStream(work, started) for work in config.works]
        self._report = ClientReport({}, 0, [], [], [], [])
        self._now = started

    @property
    def deadline(self) -> float:
        """Time at which to call `tick` next, infinite if not needed."""
        starts = [stream.next_start for stream in self._streams]
        if self._stopping:
            starts = []
        return min(self.stack.deadline, self._timers.earliest, *starts)

    def receive(self, now: float, inner: bytes) -> None:
        """Handle an inner packet."""
        self._now = now
        connection = self.stack.receive(now, inner)
        if connection is not None:
            self._process_connection(now, connection)

    def tick(self, now: float) -> None:
        """Run the timers that have expired and start new flows."""
        self._now = now
        for connection in self.stack.tick(now):
            self._process_connection(now, connection)
        while timer := self._timers.pop(now):
            _, flow = timer
            self._check_stall(now, flow)
        for stream in self._streams:
            while not self._stopping and stream.next_start <= now:
                self._start_next(now, stream)

    def stop(self, now: float) -> None:
        """Start no further flows and close the feeds."""
        self._stopping = True
        for flow, exchange in self._exchanges.items():
            connection = self.stack.find(flow)
            is_feed = exchange.request.kind is Kind.feed
            if is_feed and not exchange.closing and connection is not None:
                exchange.closing = True
                self.stack.close(now, connection)

    def report(self) -> ClientReport:
        """Return the results so far."""
        self._report.damaged = self.stack.damaged
        self._report.works = {
            stream.work.name: stream.report() for stream in self._streams
        }
        return self._report

    def _start_next(self, now: float, stream: FlowStream) -> None:
        """Start the next flow, unless enough feeds are open."""
        work = stream.work
        is_feed = work.kind is Kind.feed
        if not is_feed or stream.running < work.feeds:
            self._start(now, stream)
        stream.next_start += self._rng.expovariate(work.rate_per_s)

    def _start(self, now: float, stream: FlowStream) -> None:
        work = stream.work
        number = stream.tally.started
        request = Request(
            f'{self._config.name}-{work.name}-{number}',
            work.kind,
            work.size,
            work.work_ms,
            work.deadline_ms,
            work.interval_ms,
        )
        flow = self._allocate_flow(work)
        check = AnswerCheck(request, work.service)
        stalls_at = now + work.stall_s
        self._exchanges[flow] = _Exchange(
            stream, request, check, now, stalls_at
        )
        self._timers.push(stalls_at, flow)
        stream.tally.started += 1
        stream.running += 1
        connection = self.stack.connect(now, flow)
        self.stack.write(now, connection, protocol.encode_line(request))

    def _allocate_flow(self, work: Work) -> Flow:
        target_ip, _, target_port = work.target.rpartition(':')
        while True:
            self._next_port += 1
            if self._next_port > LAST_EPHEMERAL_PORT:
                self._next_port = FIRST_EPHEMERAL_PORT
            flow = make_flow(
                (self._config.ip, self._next_port),
                (target_ip, int(target_port)),
            )
            if self.stack.find(flow) is None:
                return flow

    def _process_connection(self, now: float, connection: Connection) -> None:
        """Handle new data or a state change of a connection."""
        content = connection.read()
        exchange = self._exchanges.get(connection.flow)
        if exchange is None:
            self._close(now, connection)
            return
        if connection.state in _OPENED_STATES:
            self._record_open(now, exchange)
        if content:
            exchange.stalls_at = now + exchange.stream.work.stall_s
            exchange.finding = exchange.check.receive(content)
        if exchange.finding in _WRONG_FINDINGS:
            self._finish(connection.flow, exchange, exchange.finding.value)
            self.stack.abort(now, connection)
        elif connection.state is State.closed or connection.peer_closed:
            counter = _classify_end(connection, exchange)
            detail = connection.outcome.value
            self._finish(connection.flow, exchange, counter, detail)
            self._close(now, connection)

    def _close(self, now: float, connection: Connection) -> None:
        if connection.peer_closed and connection.state is State.open:
            self.stack.close(now, connection)

    def _record_open(self, now: float, exchange: _Exchange) -> None:
        if not exchange.opened:
            exchange.opened = True
            exchange.stalls_at = now + exchange.stream.work.stall_s
            exchange.stream.tally.opened += 1
            exchange.stream.record_handshake(now - exchange.started)

    def _check_stall(self, now: float, flow: Flow) -> None:
        """Abort an open flow that made no progress for `stall_s`."""
        exchange = self._exchanges.get(flow)
        if exchange is None:
            return
        if now < exchange.stalls_at or not exchange.opened:
            next_check = now + exchange.stream.work.stall_s
            self._timers.push(
                exchange.stalls_at if exchange.stalls_at > now else next_check,
                flow,
            )
            return
        self._finish(flow, exchange, 'broken', 'stalled')
        connection = self.stack.find(flow)
        if connection is not None:
            self.stack.abort(now, connection)

    def _finish(
        self,
        flow: Flow,
        exchange: _Exchange,
        counter: str,
        detail: str = '',
    ) -> None:
        """Remove a flow and add it to the counter of its outcome."""
        del self._exchanges[flow]
        tally = exchange.stream.tally
        exchange.stream.running -= 1
        tally.events += exchange.check.events
        setattr(tally, counter, getattr(tally, counter) + 1)
        ids = {
            'completed': self._report.completed_ids,
            'refused': self._report.refused_ids,
            'unanswered': self._report.unanswered_ids,
        }.get(counter)
        if counter == 'broken':
            broken = BrokenFlow(
                exchange.request.id, exchange.started, self._now
            )
            self._report.broken.append(broken)
        if ids is not None:
            ids.append(exchange.request.id)
        elif len(self._report.faults) < _MAX_REPORTED_FAULTS:
            fault = f'{exchange.request.id}: {counter} {detail}'
            self._report.faults.append(fault.strip())


def _classify_end(connection: Connection, exchange: _Exchange) -> str:
    """Return the counter for a flow whose connection has ended."""
    if exchange.finding is not Finding.pending:
        return str(exchange.finding.value)
    if connection.outcome is Outcome.refused:
        return 'refused'
    if not exchange.opened:
        return 'unanswered'
    return 'completed' if exchange.closing else 'broken'

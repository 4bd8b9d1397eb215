"""A caller without I/O: opens flows, checks their answers and counts."""

import random
from dataclasses import dataclass

import msgspec

from standins import protocol
from standins.answers import AnswerCheck, Finding
from standins.clientwork import BrokenFlow, ClientReport, Stream, Work
from standins.protocol import Kind, Request
from standins.tcp import Connection, Outcome, State
from standins.tcpoutput import Flow, TcpConfig, make_flow
from standins.tcpstack import TcpStack
from standins.timerheap import TimerHeap

FIRST_PORT = 20_000
LAST_PORT = 60_999
_MAX_FAULTS = 50
_OPENED = frozenset((State.open, State.time_wait))
_WRONG = frozenset((Finding.crossed, Finding.misrouted, Finding.doubled))


class ClientConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one caller; `ip` is its inner address."""

    name: str
    ip: str
    works: tuple[Work, ...]


@dataclass(slots=True)
class _Task:
    """One flow; `due` is when it counts as stalled."""

    stream: Stream
    request: Request
    check: AnswerCheck
    started: float
    due: float
    opened: bool = False
    finding: Finding = Finding.pending
    ends: bool = False


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
        self._next_port = rng.randrange(FIRST_PORT, LAST_PORT)
        self._tasks: dict[Flow, _Task] = {}
        self._timers = TimerHeap()
        self._streams = [Stream(work, started) for work in config.works]
        self._report = ClientReport({}, 0, [], [], [], [])
        self._now = started

    @property
    def deadline(self) -> float:
        """When `tick` may be due, infinite if never."""
        starts = [stream.next_start for stream in self._streams]
        if self._stopping:
            starts = []
        return min(self.stack.deadline, self._timers.earliest, *starts)

    def receive(self, now: float, inner: bytes) -> None:
        """Handle an inner packet."""
        self._now = now
        connection = self.stack.receive(now, inner)
        if connection is not None:
            self._look_at(now, connection)

    def tick(self, now: float) -> None:
        """Start new flows and run what is due."""
        self._now = now
        for connection in self.stack.tick(now):
            self._look_at(now, connection)
        while timer := self._timers.pop(now):
            _, flow = timer
            self._check_stall(now, flow)
        for stream in self._streams:
            while not self._stopping and stream.next_start <= now:
                self._start_next(now, stream)

    def stop(self, now: float) -> None:
        """Start nothing more and close the feeds."""
        self._stopping = True
        for flow, task in self._tasks.items():
            connection = self.stack.find(flow)
            is_feed = task.request.kind is Kind.feed
            if is_feed and not task.ends and connection is not None:
                task.ends = True
                self.stack.close(now, connection)

    def report(self) -> ClientReport:
        """Return what was seen so far."""
        self._report.damaged = self.stack.damaged
        self._report.works = {
            stream.work.name: stream.report() for stream in self._streams
        }
        return self._report

    def _start_next(self, now: float, stream: Stream) -> None:
        """Start the flow that is due, unless enough feeds are open."""
        work = stream.work
        is_feed = work.kind is Kind.feed
        if not is_feed or stream.running < work.feeds:
            self._start(now, stream)
        stream.next_start += self._rng.expovariate(work.rate_per_s)

    def _start(self, now: float, stream: Stream) -> None:
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
        due = now + work.stall_s
        self._tasks[flow] = _Task(stream, request, check, now, due)
        self._timers.push(due, flow)
        stream.tally.started += 1
        stream.running += 1
        connection = self.stack.connect(now, flow)
        self.stack.write(now, connection, protocol.encode_line(request))

    def _allocate_flow(self, work: Work) -> Flow:
        target_ip, _, target_port = work.target.rpartition(':')
        while True:
            self._next_port += 1
            if self._next_port > LAST_PORT:
                self._next_port = FIRST_PORT
            flow = make_flow(
                (self._config.ip, self._next_port),
                (target_ip, int(target_port)),
            )
            if self.stack.find(flow) is None:
                return flow

    def _look_at(self, now: float, connection: Connection) -> None:
        """Go on with a flow after its connection changed."""
        content = connection.read()
        task = self._tasks.get(connection.flow)
        if task is None:
            self._close(now, connection)
            return
        if connection.state in _OPENED:
            self._note_open(now, task)
        if content:
            task.due = now + task.stream.work.stall_s
            task.finding = task.check.accept(content)
        if task.finding in _WRONG:
            self._finish(connection.flow, task, task.finding.value)
            self.stack.abort(now, connection)
        elif connection.state is State.closed or connection.peer_closed:
            ended = _conclude(connection, task)
            detail = connection.outcome.value
            self._finish(connection.flow, task, ended, detail)
            self._close(now, connection)

    def _close(self, now: float, connection: Connection) -> None:
        if connection.peer_closed and connection.state is State.open:
            self.stack.close(now, connection)

    def _note_open(self, now: float, task: _Task) -> None:
        if not task.opened:
            task.opened = True
            task.due = now + task.stream.work.stall_s
            task.stream.tally.opened += 1
            task.stream.record_wait(now - task.started)

    def _check_stall(self, now: float, flow: Flow) -> None:
        """Give a flow up that made no progress since it was opened."""
        task = self._tasks.get(flow)
        if task is None:
            return
        if now < task.due or not task.opened:
            later = now + task.stream.work.stall_s
            self._timers.push(task.due if task.due > now else later, flow)
            return
        self._finish(flow, task, 'broken', 'stalled')
        connection = self.stack.find(flow)
        if connection is not None:
            self.stack.abort(now, connection)

    def _finish(
        self,
        flow: Flow,
        task: _Task,
        ended: str,
        detail: str = '',
    ) -> None:
        """Count a flow by what became of it."""
        del self._tasks[flow]
        tally = task.stream.tally
        task.stream.running -= 1
        tally.events += task.check.events
        setattr(tally, ended, getattr(tally, ended) + 1)
        ids = {
            'completed': self._report.completed_ids,
            'refused': self._report.refused_ids,
            'unanswered': self._report.unanswered_ids,
        }.get(ended)
        if ended == 'broken':
            broken = BrokenFlow(task.request.id, task.started, self._now)
            self._report.broken.append(broken)
        if ids is not None:
            ids.append(task.request.id)
        elif len(self._report.faults) < _MAX_FAULTS:
            fault = f'{task.request.id}: {ended} {detail}'
            self._report.faults.append(fault.strip())


def _conclude(connection: Connection, task: _Task) -> str:
    """Return what became of a flow whose connection ended."""
    if task.finding is not Finding.pending:
        return str(task.finding.value)
    if connection.outcome is Outcome.refused:
        return 'refused'
    if not task.opened:
        return 'unanswered'
    return 'completed' if task.ends else 'broken'

"""A backend server without I/O: slots, connections, work and its journal."""

import random
from collections import Counter
from dataclasses import dataclass, field

import msgspec

from apricottally import addresses
from apricottally.packet import Segment
from standins import protocol
from standins.capacity import Capacity, ServerConfig
from standins.protocol import Answer, FeedEvent, Kind, Request, Status
from standins.tcp import Connection, State
from standins.tcpoutput import Flow, TcpConfig
from standins.tcpstack import TcpStack
from standins.timerheap import TimerHeap

# Half-open connections lapse after 3 s: 0.2 s + 0.4 s + 0.8 s + 1.6 s.
TCP_CONFIG = TcpConfig(max_syn_retransmissions=3)


class Entry(msgspec.Struct):
    """One request that a backend began, as its journal keeps it.

    `target` is the service endpoint that the caller asked for. `ended` is
    `running`, `finished`, `deadline` or `cancelled`.
    """

    id: str
    kind: Kind
    service: str
    backend: str
    target: str
    started_s: float
    ended: str = 'running'


class JournalReport(msgspec.Struct):
    """Everything a backend did; `counts` are flows by what became of them.

    `damaged` counts packets with wrong checksums or headers.
    """

    name: str
    service: str
    damaged: int
    counts: dict[str, int]
    entries: list[Entry]


@dataclass(slots=True)
class _Job:
    """A flow from its SYN until its work ended.

    `due` is when the request times out, the work ends or the next event of a
    feed is sent.
    """

    holds_slot: bool
    due: float
    line: bytearray = field(default_factory=bytearray)
    request: Request | None = None
    entry: Entry | None = None
    next_event: int = 0
    status: Status = Status.ok


class Server:
    """One backend server, with one timestamp clock for all its flows."""

    def __init__(
        self,
        config: ServerConfig,
        rng: random.Random,
        started: float,
    ) -> None:
        self.config = config
        self.stack = TcpStack(rng, TCP_CONFIG, self._admit)
        self.journal: list[Entry] = []
        self.counts: Counter[str] = Counter()
        self.capacity = Capacity(config, started, self.counts)
        self._jobs: dict[Flow, _Job] = {}
        self._timers = TimerHeap()

    @property
    def deadline(self) -> float:
        """When `tick` may be due, infinite if never."""
        return min(self.stack.deadline, self._timers.earliest)

    def receive(self, now: float, inner: bytes) -> None:
        """Handle an inner packet."""
        connection = self.stack.receive(now, inner)
        if connection is not None:
            self._look_at(now, connection)

    def tick(self, now: float) -> None:
        """Run what is due."""
        for connection in self.stack.tick(now):
            self._look_at(now, connection)
        while timer := self._timers.pop(now):
            due, flow = timer
            job = self._jobs.get(flow)
            if job is not None and job.due == due:
                self._run_due(now, flow, job)
        self.capacity.record(now)

    def describe(self) -> JournalReport:
        """Return the journal and the counts."""
        return JournalReport(
            self.config.name,
            self.config.service,
            self.stack.damaged,
            self.counts,
            self.journal,
        )

    def _admit(self, now: float, syn: Segment) -> bool:
        """Take a new flow if there is room for it."""
        holds_slot = syn.dst_port in self.config.slot_ports
        if not self.capacity.reserve(now, holds_slot=holds_slot):
            return False
        flow = Flow(syn.dst_ip, syn.dst_port, syn.src_ip, syn.src_port)
        due = now + self.config.request_timeout_s
        self._jobs[flow] = _Job(holds_slot, due)
        self._timers.push(due, flow)
        return True

    def _look_at(self, now: float, connection: Connection) -> None:
        """Go on with a flow after its connection changed."""
        flow = connection.flow
        job = self._jobs.get(flow)
        if job is None:
            connection.read()
            if connection.peer_closed:
                self.stack.close(now, connection)
            return
        if connection.state is State.closed:
            self._end(flow, 'cancelled')
            return
        job.line += connection.read()
        if job.request is None:
            self._read_request(now, connection, job)
        is_idle = job.request is None or _is_feed(job)
        if is_idle and connection.peer_closed and flow in self._jobs:
            self._end(flow, 'finished')
            self.stack.close(now, connection)

    def _read_request(
        self,
        now: float,
        connection: Connection,
        job: _Job,
    ) -> None:
        line, newline, _ = bytes(job.line).partition(b'\n')
        if not newline and len(line) < protocol.MAX_LINE_BYTES:
            return
        try:
            request = protocol.decode_request(line)
        except protocol.ProtocolError:
            self.counts['bad_request'] += 1
            self._abort(now, connection)
            return
        self._begin(now, connection.flow, job, request)

    def _begin(
        self,
        now: float,
        flow: Flow,
        job: _Job,
        request: Request,
    ) -> None:
        target = f'{addresses.format_ip(flow.local_ip)}:{flow.local_port}'
        job.request = request
        job.entry = Entry(
            request.id,
            request.kind,
            self.config.service,
            self.config.name,
            target,
            now,
        )
        self.journal.append(job.entry)
        job.due = now + self._plan(now, job, request)
        self._timers.push(job.due, flow)

    def _plan(self, now: float, job: _Job, request: Request) -> float:
        """Return the seconds until the work ends or is stopped."""
        if request.kind is Kind.feed:
            return 0
        work_ms = request.work_ms * self.capacity.slowdown(now)
        if not request.deadline_ms or work_ms <= request.deadline_ms:
            return work_ms / 1000
        job.status = Status.deadline
        return request.deadline_ms / 1000

    def _run_due(self, now: float, flow: Flow, job: _Job) -> None:
        connection = self.stack.find(flow)
        if connection is None:
            self._end(flow, 'cancelled')
        elif job.request is None:
            self.counts['no_request'] += 1
            self._abort(now, connection)
        elif _is_feed(job):
            self._send_event(now, connection, job, job.request)
        else:
            self._send_answer(now, connection, job, job.request)

    def _send_event(
        self,
        now: float,
        connection: Connection,
        job: _Job,
        request: Request,
    ) -> None:
        config = self.config
        event = FeedEvent(
            request.id,
            config.service,
            config.name,
            job.next_event,
        )
        job.next_event += 1
        job.due = now + request.interval_ms / 1000
        self._timers.push(job.due, connection.flow)
        self.stack.write(now, connection, protocol.encode_line(event))

    def _send_answer(
        self,
        now: float,
        connection: Connection,
        job: _Job,
        request: Request,
    ) -> None:
        is_done = job.status is Status.ok
        size = request.size if is_done else 0
        answer = Answer(
            request.id,
            self.config.service,
            self.config.name,
            job.status,
            size,
        )
        self._end(connection.flow, 'finished' if is_done else 'deadline')
        body = protocol.make_body(request.id, size)
        content = protocol.encode_line(answer) + body
        self.stack.write(now, connection, content)
        self.stack.close(now, connection)

    def _abort(self, now: float, connection: Connection) -> None:
        self._end(connection.flow, 'cancelled')
        self.stack.abort(now, connection)

    def _end(self, flow: Flow, ended: str) -> None:
        """Free what a flow holds and close its entry in the journal."""
        job = self._jobs.pop(flow)
        self.capacity.free(holds_slot=job.holds_slot)
        if job.entry is None:
            self.counts['lapsed'] += 1
        else:
            job.entry.ended = ended
            self.counts[ended] += 1


def _is_feed(job: _Job) -> bool:
    return job.request is not None and job.request.kind is Kind.feed

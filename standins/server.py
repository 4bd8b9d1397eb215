"""A backend server without I/O: its capacity, work and journal."""

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

# Half-open connections time out after 0.2 s + 0.4 s + 0.8 s + 1.6 s = 3 s.
TCP_CONFIG = TcpConfig(max_syn_retransmissions=3)


class Entry(msgspec.Struct):
    """Journal entry of one request that a backend server started.

    `target` is the service endpoint that the caller addressed. `ended` is
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
    """Journal of a backend server; `counts` are flows by outcome.

    `lapsed` counts flows that ended without a valid request, `damaged` packets
    with wrong checksums or headers.
    """

    name: str
    service: str
    damaged: int
    counts: dict[str, int]
    entries: list[Entry]


@dataclass(slots=True)
class _Job:
    """A flow from its SYN to the end of its work.

    `due` is when the request times out, the work ends or the next event of a
    feed is sent. `received` holds the bytes received so far.
    """

    holds_slot: bool
    due: float
    received: bytearray = field(default_factory=bytearray)
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
        """Time at which to call `tick` next, infinite if not needed."""
        return min(self.stack.deadline, self._timers.earliest)

    def receive(self, now: float, inner: bytes) -> None:
        """Handle an inner packet."""
        connection = self.stack.receive(now, inner)
        if connection is not None:
            self._process_connection(now, connection)

    def tick(self, now: float) -> None:
        """Run the timers that have expired and record the load."""
        for connection in self.stack.tick(now):
            self._process_connection(now, connection)
        while timer := self._timers.pop(now):
            due, flow = timer
            job = self._jobs.get(flow)
            if job is not None and job.due == due:
                self._handle_timer(now, flow, job)
        self.capacity.record_load(now)

    def report_journal(self) -> JournalReport:
        """Return the journal and the counts."""
        return JournalReport(
            self.config.name,
            self.config.service,
            self.stack.damaged,
            self.counts,
            self.journal,
        )

    def _admit(self, now: float, syn: Segment) -> bool:
        """Accept a new flow if there is capacity for it."""
        holds_slot = syn.dst_port in self.config.slot_ports
        if not self.capacity.reserve(now, holds_slot=holds_slot):
            return False
        flow = Flow(syn.dst_ip, syn.dst_port, syn.src_ip, syn.src_port)
        due = now + self.config.request_timeout_s
        self._jobs[flow] = _Job(holds_slot, due)
        self._timers.push(due, flow)
        return True

    def _process_connection(self, now: float, connection: Connection) -> None:
        """Handle new data or a state change of a connection."""
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
        job.received += connection.read()
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
        line, newline, _ = bytes(job.received).partition(b'\n')
        if not newline and len(line) < protocol.MAX_LINE_BYTES:
            return
        try:
            request = protocol.decode_request(line)
        except protocol.ProtocolError:
            self.counts['bad_request'] += 1
            self._abort(now, connection)
            return
        self._start_work(now, connection.flow, job, request)

    def _start_work(
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
        job.due = now + self._plan_duration(now, job, request)
        self._timers.push(job.due, flow)

    def _plan_duration(self, now: float, job: _Job, request: Request) -> float:
        """Return the seconds until the work ends or its deadline stops it."""
        if request.kind is Kind.feed:
            return 0
        work_ms = request.work_ms * self.capacity.calculate_slowdown(now)
        if not request.deadline_ms or work_ms <= request.deadline_ms:
            return work_ms / 1000
        job.status = Status.deadline
        return request.deadline_ms / 1000

    def _handle_timer(self, now: float, flow: Flow, job: _Job) -> None:
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
        is_completed = job.status is Status.ok
        size = request.size if is_completed else 0
        answer = Answer(
            request.id,
            self.config.service,
            self.config.name,
            job.status,
            size,
        )
        self._end(connection.flow, 'finished' if is_completed else 'deadline')
        body = protocol.make_body(request.id, size)
        content = protocol.encode_line(answer) + body
        self.stack.write(now, connection, content)
        self.stack.close(now, connection)

    def _abort(self, now: float, connection: Connection) -> None:
        self._end(connection.flow, 'cancelled')
        self.stack.abort(now, connection)

    def _end(self, flow: Flow, ended: str) -> None:
        """Release the capacity of a flow and complete its journal entry."""
        job = self._jobs.pop(flow)
        self.capacity.release(holds_slot=job.holds_slot)
        if job.entry is None:
            self.counts['lapsed'] += 1
        else:
            job.entry.ended = ended
            self.counts[ended] += 1


def _is_feed(job: _Job) -> bool:
    return job.request is not None and job.request.kind is Kind.feed

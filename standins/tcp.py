"""A userspace TCP connection over the inner packets, for the stand-ins.

It has no I/O, clock or random numbers: times are in monotonic seconds and
come in with each call, packets go to the `outbox` list given at the start.
Sources: RFC 9293 (TCP), RFC 7323 (timestamps, PAWS), RFC 5961 (resets),
RFC 6582 (retransmission of the next hole after a timeout).

Left out: congestion control, window scaling, selective acknowledgements and
urgent data.
"""

import enum

from apricottally import packet
from apricottally.packet import Segment
from standins.tcpbuffers import (
    SEQUENCE_MASK,
    Chunk,
    ReceiveBuffer,
    advance,
    distance,
)
from standins.tcpoutput import Flow, Output, TcpConfig, TimestampClock
from standins.tcpsending import Sender

# Without a limit, two ends that each find the other's number wrong would
# answer each other's acknowledgements for ever (RFC 5961, 7).
CHALLENGE_INTERVAL_S = 0.5


class State(enum.Enum):
    """States of RFC 9293; `open` covers those that carry data."""

    syn_sent = 'syn_sent'
    syn_received = 'syn_received'
    open = 'open'
    time_wait = 'time_wait'
    closed = 'closed'


class Outcome(enum.Enum):
    """How a connection ended; `none` while it lasts.

    `refused` is a reset that answered the SYN: no payload was sent.
    """

    none = 'none'
    done = 'done'
    refused = 'refused'
    reset = 'reset'
    timeout = 'timeout'
    aborted = 'aborted'


class Verdict(enum.Enum):
    """What to do with a packet of a synchronized connection."""

    accept = 'accept'
    drop = 'drop'
    acknowledge = 'acknowledge'
    reset = 'reset'


def judge(
    output: Output,
    receiver: ReceiveBuffer,
    segment: Segment,
    length: int,
) -> Verdict:
    """Test timestamps, sequence number and flags of a packet.

    `length` counts sequence numbers. The order of the tests is that of
    RFC 9293, 3.10.7.4, after the PAWS test of RFC 7323, 5.3. Resets and SYNs
    follow RFC 5961.
    """
    if segment.flags & packet.RST:
        return _judge_reset(receiver, segment)
    if output.uses_timestamps:
        if not segment.timestamps:
            return Verdict.drop
        if distance(segment.ts_val, output.ts_recent) < 0:
            return Verdict.acknowledge
    if not receiver.is_acceptable(segment.seq, length):
        return Verdict.acknowledge
    if segment.flags & packet.SYN:
        return Verdict.acknowledge
    return Verdict.accept if segment.flags & packet.ACK else Verdict.drop


def _judge_reset(receiver: ReceiveBuffer, segment: Segment) -> Verdict:
    """Take a reset only at the exact next number (RFC 5961, 3.2)."""
    if segment.seq == receiver.next:
        return Verdict.reset
    if receiver.is_acceptable(segment.seq, 0):
        return Verdict.acknowledge
    return Verdict.drop


# One class, since its calls are those of RFC 9293, 3.10, on one state.
class Connection:  # noqa: WPS214
    """One end of a TCP connection.

    The owner calls `tick` when `deadline` has passed, and looks at `state`,
    `outcome`, `peer_closed` and `take()` after each call.
    """

    __slots__ = (
        '_challenged',
        '_iss',
        '_output',
        '_receiver',
        '_sender',
        'config',
        'outcome',
        'state',
    )

    def __init__(
        self,
        flow: Flow,
        iss: int,
        clock: TimestampClock,
        outbox: list[bytes],
        config: TcpConfig,
    ) -> None:
        self.config = config
        self.state = State.closed
        self.outcome = Outcome.none
        self._challenged: float | None = None
        self._iss = iss & SEQUENCE_MASK
        self._output = Output(flow, clock, outbox, config)
        self._sender = Sender(advance(iss, 1), self._output, config)
        self._receiver = ReceiveBuffer(0)

    @property
    def flow(self) -> Flow:
        """Both ends of the connection."""
        return self._output.flow

    @property
    def deadline(self) -> float | None:
        """When `tick` is due, None if never."""
        return self._sender.timer.deadline

    @property
    def peer_closed(self) -> bool:
        """Whether the peer's FIN arrived in order."""
        return self._receiver.finished

    @property
    def ts_recent(self) -> int:
        """The peer's newest timestamp."""
        return self._output.ts_recent

    def connect(self, now: float) -> None:
        """Send the SYN."""
        self.state = State.syn_sent
        self._sender.timer.restart(now, self.config.rto_s)
        self._send_syn(now)

    def accept(self, now: float, syn: Segment) -> None:
        """Answer a SYN with a SYN-ACK."""
        self.state = State.syn_received
        self._synchronize(syn)
        self._sender.timer.restart(now, self.config.rto_s)
        self._send_syn(now)

    def write(self, now: float, content: bytes) -> None:
        """Send bytes; before the handshake ends they wait for it."""
        self._sender.buffer.write(content)
        self._send_new(now)

    def close(self, now: float) -> None:
        """Send a FIN after what was written."""
        self._sender.buffer.close()
        self._send_new(now)

    def abort(self, now: float) -> None:
        """End the connection with a reset."""
        if self.state in {State.open, State.syn_received}:
            sent = self._sender.buffer.sent
            self._output.send_reset(now, sent, self._receiver.next)
        self._end(Outcome.aborted)

    def take(self) -> bytes:
        """Return the bytes that arrived in order since the last call."""
        return self._receiver.take()

    def tick(self, now: float) -> None:
        """Send again what was not answered in time, or give up."""
        timer = self._sender.timer
        if timer.deadline is None or now < timer.deadline:
            return
        if self.state is State.time_wait:
            self._end(Outcome.done)
        elif self.state is State.open:
            if not self._sender.repeat(now, self._receiver.next):
                self._end(Outcome.timeout)
        elif timer.tries >= self.config.max_syn_tries:
            self._end(Outcome.timeout)
        else:
            timer.back_off(now)
            self._send_syn(now)

    def receive(self, now: float, segment: Segment, payload: bytes) -> None:
        """Handle a packet of this flow."""
        if self.state is State.closed:
            return
        if self.state is State.syn_sent:
            self._receive_answer(now, segment)
            return
        length = len(payload) + bool(segment.flags & (packet.FIN | packet.SYN))
        verdict = judge(self._output, self._receiver, segment, length)
        if verdict is Verdict.accept:
            self._receive_accepted(now, segment, payload)
        elif verdict is Verdict.acknowledge:
            self._repeat_answer(now, segment, length)
        elif verdict is Verdict.reset:
            self._end(Outcome.reset)

    def _receive_answer(self, now: float, segment: Segment) -> None:
        """Handle a packet in SYN-SENT (RFC 9293, 3.10.7.3)."""
        flags = segment.flags
        is_ack = bool(flags & packet.ACK)
        if is_ack and segment.ack != self._sender.buffer.acked:
            if not flags & packet.RST:
                self._output.send_bare_reset(segment.ack)
        elif is_ack and flags & packet.RST:
            self._end(Outcome.refused)
        elif is_ack and flags & packet.SYN:
            self._synchronize(segment)
            self.state = State.open
            self._output.send_ack(
                now,
                self._sender.buffer.sent,
                self._receiver.next,
            )
            self._sender.restart_timer(now)
            self._send_new(now)

    def _receive_accepted(
        self,
        now: float,
        segment: Segment,
        payload: bytes,
    ) -> None:
        """Take the acknowledgement and payload of a packet."""
        buffer = self._sender.buffer
        if self.state is State.syn_received:
            if segment.ack != buffer.acked:
                self._output.send_bare_reset(segment.ack)
                return
            self.state = State.open
            self._sender.restart_timer(now)
        if distance(segment.ack, buffer.sent) > 0:
            self._output.send_ack(now, buffer.sent, self._receiver.next)
            return
        if distance(segment.seq, self._receiver.next) <= 0:
            self._output.ts_recent = segment.ts_val
        if self.state is State.open:
            self._sender.take_ack(now, segment.ack, self._receiver.next)
        if buffer.finished and self._receiver.finished:
            if self.state is State.open:
                self._end(Outcome.done)
            return
        self._take_payload(now, segment, payload)

    def _take_payload(
        self,
        now: float,
        segment: Segment,
        payload: bytes,
    ) -> None:
        fin = bool(segment.flags & packet.FIN)
        if not payload and not fin:
            return
        self._receiver.accept(Chunk(segment.seq, payload, fin))
        buffer = self._sender.buffer
        self._output.send_ack(now, buffer.sent, self._receiver.next)
        if buffer.finished and self._receiver.finished:
            self.state = State.time_wait
            self.outcome = Outcome.done
            self._sender.timer.restart(now, self.config.time_wait_s)

    def _repeat_answer(self, now: float, segment: Segment, length: int) -> None:
        """Repeat the SYN-ACK for a repeated SYN, else acknowledge.

        Empty packets are answered at a limited rate.
        """
        if self.state is State.time_wait:
            self._sender.timer.restart(now, self.config.time_wait_s)
        if segment.flags & packet.SYN and self.state is State.syn_received:
            self._send_syn(now)
            return
        if not length:
            last = self._challenged
            if last is not None and now - last < CHALLENGE_INTERVAL_S:
                return
            self._challenged = now
        sent = self._sender.buffer.sent
        self._output.send_ack(now, sent, self._receiver.next)

    def _synchronize(self, segment: Segment) -> None:
        """Take the peer's first sequence number and timestamp."""
        output = self._output
        output.uses_timestamps &= bool(segment.timestamps)
        output.ts_recent = segment.ts_val
        self._receiver = ReceiveBuffer(advance(segment.seq, 1))

    def _send_syn(self, now: float) -> None:
        is_answer = self.state is State.syn_received
        ack = self._receiver.next if is_answer else None
        self._output.send_syn(now, self._iss, ack)

    def _send_new(self, now: float) -> None:
        if self.state is State.open:
            self._sender.send_new(now, self._receiver.next)

    def _end(self, outcome: Outcome) -> None:
        if self.outcome is Outcome.none:
            self.outcome = outcome
        self.state = State.closed
        self._sender.timer.stop()

"""Userspace TCP connection for test doubles of callers and backends.

It exchanges inner packets, the IPv4 packets that GUE encapsulates. It does no
I/O and reads no clock or random numbers: each call passes the time in
monotonic seconds, and packets to send are appended to the `outbox` list
passed to the constructor. Sources: RFC 9293 (TCP), RFC 7323 (timestamps,
PAWS), RFC 5961 (resets), RFC 6582 (partial acknowledgements: retransmission
of the next hole after a timeout).

Not implemented: congestion control, window scaling, selective
acknowledgements and urgent data.
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
from standins.tcpsender import Sender

# Minimum time between two acknowledgements of unacceptable empty packets.
# Without it, two ends that each consider the other's sequence number
# unacceptable would acknowledge each other endlessly (RFC 5961, 7).
CHALLENGE_INTERVAL_S = 0.5


class State(enum.Enum):
    """Connection states of RFC 9293.

    `open` stands for ESTABLISHED and the states of an orderly close before
    TIME-WAIT.
    """

    syn_sent = 'syn_sent'
    syn_received = 'syn_received'
    open = 'open'
    time_wait = 'time_wait'
    closed = 'closed'


class Outcome(enum.Enum):
    """How a connection ended; `none` until then.

    `refused` means that a reset answered the SYN, so no payload was sent.
    """

    none = 'none'
    done = 'done'
    refused = 'refused'
    reset = 'reset'
    timeout = 'timeout'
    aborted = 'aborted'


class Verdict(enum.Enum):
    """How to treat a packet that arrives on a synchronized connection."""

    accept = 'accept'
    drop = 'drop'
    acknowledge = 'acknowledge'
    reset = 'reset'


def check_segment(
    output: Output,
    receiver: ReceiveBuffer,
    segment: Segment,
    length: int,
) -> Verdict:
    """Check the timestamps, sequence number and flags of a packet.

    `length` is the segment length in sequence numbers (SEG.LEN). The checks
    are in the order of RFC 9293, 3.10.7.4, preceded by the PAWS check of
    RFC 7323, 5.3. Resets and SYNs are treated as in RFC 5961.
    """
    if segment.flags & packet.RST:
        return _check_reset(receiver, segment)
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


def _check_reset(receiver: ReceiveBuffer, segment: Segment) -> Verdict:
    """Accept a reset only if its number is RCV.NXT (RFC 5961, 3.2)."""
    if segment.seq == receiver.next:
        return Verdict.reset
    if receiver.is_acceptable(segment.seq, 0):
        return Verdict.acknowledge
    return Verdict.drop


# One class because all event handlers of RFC 9293, 3.10, share its state.
class Connection:  # noqa: WPS214
    """One end of a TCP connection.

    The owner calls `tick` once `deadline` has passed, and checks `state`,
    `outcome`, `peer_closed` and `read()` after each call.
    """

    __slots__ = (
        '_challenged_at',
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
        self._challenged_at: float | None = None
        self._iss = iss & SEQUENCE_MASK
        self._output = Output(flow, clock, outbox, config)
        self._sender = Sender(advance(iss, 1), self._output, config)
        self._receiver = ReceiveBuffer(0)

    @property
    def flow(self) -> Flow:
        """Addresses and ports of both ends."""
        return self._output.flow

    @property
    def deadline(self) -> float | None:
        """Time at which `tick` is due, None if no timer runs."""
        return self._sender.timer.deadline

    @property
    def peer_closed(self) -> bool:
        """Whether the peer's FIN and all bytes before it have arrived."""
        return self._receiver.finished

    @property
    def ts_recent(self) -> int:
        """The peer's most recent timestamp (TS.Recent of RFC 7323)."""
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
        """Send bytes; they are queued until the handshake is complete."""
        self._sender.buffer.write(content)
        self._send_new(now)

    def close(self, now: float) -> None:
        """Send a FIN after the bytes written so far."""
        self._sender.buffer.close()
        self._send_new(now)

    def abort(self, now: float) -> None:
        """Send a reset in SYN-RECEIVED or `open`; end the connection."""
        if self.state in {State.open, State.syn_received}:
            sent = self._sender.buffer.sent
            self._output.send_reset(now, sent, self._receiver.next)
        self._end(Outcome.aborted)

    def read(self) -> bytes:
        """Return the bytes that arrived in order since the last call."""
        return self._receiver.read()

    def tick(self, now: float) -> None:
        """Run the timer if it has expired.

        Retransmits, sends a keep-alive, or ends the connection.
        """
        timer = self._sender.timer
        if timer.deadline is None or now < timer.deadline:
            return
        if self.state is State.time_wait:
            self._end(Outcome.done)
        elif self.state is State.open:
            if not self._sender.retransmit(now, self._receiver.next):
                self._end(Outcome.timeout)
        elif timer.retries >= self.config.max_syn_retransmissions:
            self._end(Outcome.timeout)
        else:
            timer.back_off(now)
            self._send_syn(now)

    def receive(self, now: float, segment: Segment, payload: bytes) -> None:
        """Process a packet of this flow."""
        if self.state is State.closed:
            return
        if self.state is State.syn_sent:
            self._receive_in_syn_sent(now, segment)
            return
        length = len(payload) + bool(segment.flags & (packet.FIN | packet.SYN))
        verdict = check_segment(self._output, self._receiver, segment, length)
        if verdict is Verdict.accept:
            self._receive_accepted(now, segment, payload)
        elif verdict is Verdict.acknowledge:
            self._answer_unacceptable(now, segment, length)
        elif verdict is Verdict.reset:
            self._end(Outcome.reset)

    def _receive_in_syn_sent(self, now: float, segment: Segment) -> None:
        """Process a packet in SYN-SENT (RFC 9293, 3.10.7.3)."""
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
        """Process the acknowledgement and payload of an accepted packet."""
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
            self._sender.handle_ack(now, segment.ack, self._receiver.next)
        if buffer.finished and self._receiver.finished:
            if self.state is State.open:
                self._end(Outcome.done)
            return
        self._receive_payload(now, segment, payload)

    def _receive_payload(
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

    def _answer_unacceptable(
        self, now: float, segment: Segment, length: int
    ) -> None:
        """Answer a packet with the verdict `acknowledge`.

        A repeated SYN gets the SYN-ACK again, other packets an
        acknowledgement. Answers to empty packets are rate limited.
        """
        if self.state is State.time_wait:
            self._sender.timer.restart(now, self.config.time_wait_s)
        if segment.flags & packet.SYN and self.state is State.syn_received:
            self._send_syn(now)
            return
        if not length:
            last = self._challenged_at
            if last is not None and now - last < CHALLENGE_INTERVAL_S:
                return
            self._challenged_at = now
        sent = self._sender.buffer.sent
        self._output.send_ack(now, sent, self._receiver.next)

    def _synchronize(self, segment: Segment) -> None:
        """Initialize the receiving side from the peer's SYN or SYN-ACK."""
        output = self._output
        output.uses_timestamps &= bool(segment.timestamps)
        output.ts_recent = segment.ts_val
        self._receiver = ReceiveBuffer(advance(segment.seq, 1))

    def _send_syn(self, now: float) -> None:
        is_syn_ack = self.state is State.syn_received
        ack = self._receiver.next if is_syn_ack else None
        self._output.send_syn(now, self._iss, ack)

    def _send_new(self, now: float) -> None:
        if self.state is State.open:
            self._sender.send_new(now, self._receiver.next)

    def _end(self, outcome: Outcome) -> None:
        if self.outcome is Outcome.none:
            self.outcome = outcome
        self.state = State.closed
        self._sender.timer.stop()

"""Timer and sending side of a userspace TCP connection."""

from standins.tcpbuffers import SendBuffer, advance, distance
from standins.tcpoutput import Output, TcpConfig


class ConnectionTimer:
    """Timer of a connection, with exponential back-off.

    It serves for retransmission, keep-alive and TIME-WAIT. `retries` counts
    the expirations since the last `restart`.
    """

    __slots__ = ('_config', '_rto', 'deadline', 'retries')

    def __init__(self, config: TcpConfig) -> None:
        self._config = config
        self._rto = config.rto_s
        self.retries = 0
        self.deadline: float | None = None

    def restart(self, now: float, delay: float) -> None:
        """Reset the back-off and expire after `delay` seconds."""
        self.retries = 0
        self._rto = self._config.rto_s
        self.deadline = now + delay

    def back_off(self, now: float) -> None:
        """Count an expiration and double the timeout."""
        self.retries += 1
        self._rto = min(self._rto * 2, self._config.max_rto_s)
        self.deadline = now + self._rto

    def stop(self) -> None:
        """Cancel the timer."""
        self.retries = 0
        self.deadline = None


class Sender:
    """Sends a connection's byte stream and retransmits lost chunks.

    The argument `ack` is RCV.NXT, the acknowledgement number to send.
    """

    __slots__ = ('_config', '_output', '_recover', 'buffer', 'timer')

    def __init__(self, first: int, output: Output, config: TcpConfig) -> None:
        self.buffer = SendBuffer(first, config.mss)
        self.timer = ConnectionTimer(config)
        self._output = output
        self._config = config
        self._recover: int | None = None

    def send_new(self, now: float, ack: int) -> None:
        """Send the unsent chunks that the window allows."""
        was_idle = not self.buffer.in_flight
        for chunk in self.buffer.take_unsent():
            self._output.send_chunk(now, chunk, ack)
        if was_idle:
            self.restart_timer(now)

    def handle_ack(self, now: float, acked: int, ack: int) -> None:
        """Process the acknowledgement number `acked` of the peer."""
        advanced = self.buffer.acknowledge(acked)
        if advanced or not self.buffer.in_flight:
            self.restart_timer(now)
        if not advanced:
            return
        if self._recover is not None:
            self._retransmit_hole(now, ack, self._recover)
        self.send_new(now, ack)

    def retransmit(self, now: float, ack: int) -> bool:
        """Retransmit the oldest unacknowledged chunk, else a keep-alive.

        Returns False once the maximum number of retransmissions is reached.
        """
        if self.timer.retries >= self._config.max_retransmissions:
            return False
        self.timer.back_off(now)
        oldest = self.buffer.oldest()
        if oldest is None:
            # A keep-alive uses a sequence number already acknowledged.
            probe = advance(self.buffer.acked, -1)
            self._output.send_ack(now, probe, ack)
        else:
            self._recover = self.buffer.sent
            self._output.send_chunk(now, oldest, ack)
        return True

    def restart_timer(self, now: float) -> None:
        """Restart the timer for retransmission or for the next keep-alive."""
        if self.buffer.in_flight:
            self.timer.restart(now, self._config.rto_s)
        elif self._config.keepalive_s:
            self.timer.restart(now, self._config.keepalive_s)
        else:
            self.timer.stop()

    def _retransmit_hole(self, now: float, ack: int, recover: int) -> None:
        """Retransmit the next hole after a timeout (RFC 6582).

        A partial acknowledgement triggers it, so each further lost chunk
        needs no timeout of its own.
        """
        oldest = self.buffer.oldest()
        if distance(self.buffer.acked, recover) >= 0 or oldest is None:
            self._recover = None
        else:
            self._output.send_chunk(now, oldest, ack)

"""Retransmission timer and sending side of the userspace TCP."""

from standins.tcpbuffers import SendBuffer, advance, distance
from standins.tcpoutput import Output, TcpConfig


class Timer:
    """One deadline with exponential back-off."""

    __slots__ = ('_config', '_rto', 'deadline', 'tries')

    def __init__(self, config: TcpConfig) -> None:
        self._config = config
        self._rto = config.rto_s
        self.tries = 0
        self.deadline: float | None = None

    def restart(self, now: float, delay: float) -> None:
        """Forget earlier tries and fire after `delay` seconds."""
        self.tries = 0
        self._rto = self._config.rto_s
        self.deadline = now + delay

    def back_off(self, now: float) -> None:
        """Count a try and double the timeout."""
        self.tries += 1
        self._rto = min(self._rto * 2, self._config.max_rto_s)
        self.deadline = now + self._rto

    def stop(self) -> None:
        """Never fire."""
        self.tries = 0
        self.deadline = None


class Sender:
    """Sends a connection's stream and repeats what is not acknowledged.

    `ack` in its calls is RCV.NXT, which every packet carries.
    """

    __slots__ = ('_config', '_output', '_recover', 'buffer', 'timer')

    def __init__(self, first: int, output: Output, config: TcpConfig) -> None:
        self.buffer = SendBuffer(first, config.mss)
        self.timer = Timer(config)
        self._output = output
        self._config = config
        self._recover: int | None = None

    def send_new(self, now: float, ack: int) -> None:
        """Send what the window allows."""
        was_idle = not self.buffer.in_flight
        for chunk in self.buffer.take_new():
            self._output.send_chunk(now, chunk, ack)
        if was_idle:
            self.restart_timer(now)

    def take_ack(self, now: float, acked: int, ack: int) -> None:
        """Take the peer's acknowledgement `acked` and go on sending."""
        advanced = self.buffer.acknowledge(acked)
        if advanced or not self.buffer.in_flight:
            self.restart_timer(now)
        if not advanced:
            return
        if self._recover is not None:
            self._fill_hole(now, ack, self._recover)
        self.send_new(now, ack)

    def repeat(self, now: float, ack: int) -> bool:
        """Send the oldest chunk again, or a keep-alive if there is none.

        Returns False once the tries are used up.
        """
        if self.timer.tries >= self._config.max_tries:
            return False
        self.timer.back_off(now)
        oldest = self.buffer.oldest()
        if oldest is None:
            # A keep-alive repeats a number the peer has acknowledged.
            probe = advance(self.buffer.acked, -1)
            self._output.send_ack(now, probe, ack)
        else:
            self._recover = self.buffer.sent
            self._output.send_chunk(now, oldest, ack)
        return True

    def restart_timer(self, now: float) -> None:
        """Wait for an acknowledgement, or for the next keep-alive."""
        if self.buffer.in_flight:
            self.timer.restart(now, self._config.rto_s)
        elif self._config.keepalive_s:
            self.timer.restart(now, self._config.keepalive_s)
        else:
            self.timer.stop()

    def _fill_hole(self, now: float, ack: int, recover: int) -> None:
        """Send the next hole after a timeout without waiting for another."""
        oldest = self.buffer.oldest()
        if distance(self.buffer.acked, recover) >= 0 or oldest is None:
            self._recover = None
        else:
            self._output.send_chunk(now, oldest, ack)

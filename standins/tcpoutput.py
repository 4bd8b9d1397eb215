"""Parameters, timestamp clock and packet output of the userspace TCP."""

import struct
from dataclasses import dataclass

from apricottally import packet
from apricottally.addresses import Endpoint, parse_ip
from standins.tcpbuffers import Chunk, advance

_MSS_OPTION = struct.Struct('!BBH')
_MSS_KIND = 2


@dataclass(frozen=True, slots=True)
class TcpConfig:
    """TCP parameters of an endpoint.

    `rto_s` is the initial retransmission timeout, doubled on each
    retransmission up to `max_rto_s`. After `max_retransmissions` of one
    packet or keep-alive, or `max_syn_retransmissions` of a SYN or SYN-ACK,
    the connection times out. An idle open connection sends a keep-alive every
    `keepalive_s` seconds, none if 0. `time_wait_s` is long enough to
    acknowledge a FIN that the peer retransmits after two acknowledgements
    were lost.
    """

    mss: int = 1400
    rto_s: float = 0.2
    max_rto_s: float = 2
    max_retransmissions: int = 10
    max_syn_retransmissions: int = 5
    keepalive_s: float = 0
    time_wait_s: float = 4
    timestamps: bool = True


@dataclass(frozen=True, slots=True)
class Flow:
    """Local and remote end of a connection, with addresses as integers."""

    local_ip: int
    local_port: int
    remote_ip: int
    remote_port: int


@dataclass(frozen=True, slots=True)
class TimestampClock:
    """Timestamp clock of one machine, in milliseconds (RFC 7323)."""

    offset_ms: int = 1 << 20

    def read(self, now: float) -> int:
        """Return TSval for the monotonic time `now` in seconds."""
        return advance(self.offset_ms, int(now * 1000))


def make_flow(local: Endpoint, remote: Endpoint) -> Flow:
    """Return the flow between two endpoints with addresses as text."""
    local_ip, local_port = local
    remote_ip, remote_port = remote
    return Flow(
        parse_ip(local_ip),
        local_port,
        parse_ip(remote_ip),
        remote_port,
    )


class Output:
    """Builds the packets of one connection and appends them to the outbox.

    `uses_timestamps` tells whether the connection uses timestamps, which the
    handshake negotiates. `ts_recent` is the peer's most recent timestamp
    (TS.Recent of RFC 7323).
    """

    __slots__ = (
        '_clock',
        '_mss',
        '_outbox',
        'flow',
        'ts_recent',
        'uses_timestamps',
    )

    def __init__(
        self,
        flow: Flow,
        clock: TimestampClock,
        outbox: list[bytes],
        config: TcpConfig,
    ) -> None:
        self.flow = flow
        self.uses_timestamps = config.timestamps
        self.ts_recent = 0
        self._clock = clock
        self._mss = config.mss
        self._outbox = outbox

    def send_syn(self, now: float, seq: int, ack: int | None) -> None:
        """Send a SYN, or a SYN-ACK if `ack` is given."""
        options = _MSS_OPTION.pack(_MSS_KIND, 4, self._mss)
        if ack is None:
            self._send(now, seq, 0, packet.SYN, options)
        else:
            self._send(now, seq, ack, packet.SYN | packet.ACK, options)

    def send_ack(self, now: float, seq: int, ack: int) -> None:
        """Send an empty acknowledgement."""
        self._send(now, seq, ack, packet.ACK)

    def send_chunk(self, now: float, chunk: Chunk, ack: int) -> None:
        """Send a part of the byte stream."""
        flags = packet.ACK
        if chunk.payload:
            flags |= packet.PSH
        if chunk.fin:
            flags |= packet.FIN
        self._send(now, chunk.seq, ack, flags, b'', chunk.payload)

    def send_reset(self, now: float, seq: int, ack: int) -> None:
        """Send a reset that ends a synchronized connection."""
        self._send(now, seq, ack, packet.RST | packet.ACK)

    def send_bare_reset(self, seq: int) -> None:
        """Send the reset for an unacceptable acknowledgement number."""
        flow = self.flow
        self._outbox.append(
            packet.build(
                flow.local_ip,
                flow.local_port,
                flow.remote_ip,
                flow.remote_port,
                seq,
                0,
                packet.RST,
            ),
        )

    def _send(
        self,
        now: float,
        seq: int,
        ack: int,
        flags: int,
        options: bytes = b'',
        payload: bytes = b'',
    ) -> None:
        flow = self.flow
        if self.uses_timestamps:
            options += packet.encode_timestamps(
                self._clock.read(now),
                self.ts_recent,
            )
        self._outbox.append(
            packet.build(
                flow.local_ip,
                flow.local_port,
                flow.remote_ip,
                flow.remote_port,
                seq,
                ack,
                flags,
                options,
                payload,
            ),
        )

"""Userspace TCP stack of one machine: its connections and their timers.

Like `standins.tcp` it does no I/O and reads no clock. Random numbers come
from the generator passed to the constructor.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from apricottally import packet
from apricottally.errors import WireError
from apricottally.packet import Segment
from standins.tcp import Connection, State
from standins.tcpbuffers import distance
from standins.tcpoutput import Flow, TcpConfig, TimestampClock
from standins.timerheap import TimerHeap

_FLAGS = packet.SYN | packet.ACK | packet.RST


def reject_all(now: float, syn: Segment) -> bool:
    """Reject every SYN; for machines that only open connections."""
    return False


@dataclass(slots=True)
class _Entry:
    """A connection and the time of its pending entry in the timer heap."""

    connection: Connection
    scheduled: float = math.inf


class TcpStack:
    """Connections of one machine, keyed by flow.

    Packets to send are queued until `take_packets`. `admit` is called for
    each new SYN and tells whether to accept it; a rejected SYN is answered
    with a reset. `damaged` counts received packets that are malformed or
    have a wrong checksum.
    """

    def __init__(
        self,
        rng: random.Random,
        config: TcpConfig | None = None,
        admit: Callable[[float, Segment], bool] = reject_all,
    ) -> None:
        self.clock = TimestampClock(rng.getrandbits(31) | 1 << 20)
        self.config = config or TcpConfig()
        self.damaged = 0
        self._rng = rng
        self._admit = admit
        self._outbox: list[bytes] = []
        self._entries: dict[Flow, _Entry] = {}
        self._timers = TimerHeap()

    @property
    def connections(self) -> int:
        """The number of connections, half-open ones included."""
        return len(self._entries)

    @property
    def deadline(self) -> float:
        """Earliest time at which `tick` may be due, infinite if none."""
        return self._timers.earliest

    def take_packets(self) -> list[bytes]:
        """Remove and return the queued inner packets."""
        packets = self._outbox.copy()
        self._outbox.clear()
        return packets

    def find(self, flow: Flow) -> Connection | None:
        """Return the connection of a flow, None if there is none."""
        entry = self._entries.get(flow)
        return entry.connection if entry else None

    def connect(
        self,
        now: float,
        flow: Flow,
        config: TcpConfig | None = None,
    ) -> Connection:
        """Open a connection; raises `ValueError` if the flow is in use."""
        if flow in self._entries:
            raise ValueError(f'flow in use: {flow}')
        connection = self._create(flow, config or self.config)
        connection.connect(now)
        self._update_entry(connection)
        return connection

    def write(self, now: float, connection: Connection, content: bytes) -> None:
        """Send bytes on a connection."""
        connection.write(now, content)
        self._update_entry(connection)

    def close(self, now: float, connection: Connection) -> None:
        """Send a FIN after the bytes written so far."""
        connection.close(now)
        self._update_entry(connection)

    def abort(self, now: float, connection: Connection) -> None:
        """Send a reset and end the connection."""
        connection.abort(now)
        self._update_entry(connection)

    def receive(self, now: float, inner: bytes) -> Connection | None:
        """Process an inner packet; return the connection that received it.

        The packet may have ended that connection. Damaged packets are counted
        and dropped.
        """
        try:
            segment = packet.parse(inner, 0)
        except WireError:
            self.damaged += 1
            return None
        if not packet.is_valid(inner):
            self.damaged += 1
            return None
        flow = Flow(
            segment.dst_ip,
            segment.dst_port,
            segment.src_ip,
            segment.src_port,
        )
        connection = self._demultiplex(now, flow, segment)
        if connection is not None:
            connection.receive(now, segment, inner[segment.payload :])
            self._update_entry(connection)
        return connection

    def tick(self, now: float) -> list[Connection]:
        """Run the expired timers; return their connections."""
        fired = []
        while timer := self._timers.pop(now):
            due, flow = timer
            entry = self._entries.get(flow)
            if entry is None or entry.scheduled != due:
                continue
            entry.scheduled = math.inf
            entry.connection.tick(now)
            self._update_entry(entry.connection)
            fired.append(entry.connection)
        return fired

    def _demultiplex(
        self,
        now: float,
        flow: Flow,
        segment: Segment,
    ) -> Connection | None:
        """Return the existing connection for a packet, if there is one.

        Otherwise accepts the SYN of a new connection or answers with a reset.
        """
        entry = self._entries.get(flow)
        is_syn = segment.flags & _FLAGS == packet.SYN
        if entry is not None:
            if not (is_syn and _may_replace(entry.connection, segment)):
                return entry.connection
            del self._entries[flow]
        if is_syn and self._admit(now, segment):
            connection = self._create(flow, self.config)
            connection.accept(now, segment)
            self._update_entry(connection)
        elif not segment.flags & packet.RST:
            self._outbox.append(_build_reset(segment))
        return None

    def _create(self, flow: Flow, config: TcpConfig) -> Connection:
        iss = self._rng.getrandbits(32)
        connection = Connection(flow, iss, self.clock, self._outbox, config)
        self._entries[flow] = _Entry(connection)
        return connection

    def _update_entry(self, connection: Connection) -> None:
        """Schedule the connection's timer; remove it once closed."""
        entry = self._entries.get(connection.flow)
        if entry is None or entry.connection is not connection:
            return
        if connection.state is State.closed:
            del self._entries[connection.flow]
            return
        due = connection.deadline
        if due is not None and due < entry.scheduled:
            entry.scheduled = due
            self._timers.push(due, connection.flow)


def _may_replace(connection: Connection, syn: Segment) -> bool:
    """Tell whether a SYN may reuse a flow in TIME-WAIT (RFC 6191)."""
    if connection.state is not State.time_wait:
        return False
    return distance(syn.ts_val, connection.ts_recent) > 0


def _build_reset(segment: Segment) -> bytes:
    """Return the reset for a packet without a connection."""
    if segment.flags & packet.ACK:
        return packet.build_reset_to_sender(segment)
    return packet.build_syn_refusal(segment)

"""The TCP connections of one machine, by flow, with their timers.

Like `standins.tcp` it has no I/O and no clock; random numbers come from the
generator given at the start.
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
from standins.timers import Timers

_FLAGS = packet.SYN | packet.ACK | packet.RST


def reject(now: float, syn: Segment) -> bool:
    """Admit no connection; the rule of a machine that only calls."""
    return False


@dataclass(slots=True)
class _Entry:
    """A connection and the time its entry in the timer heap stands at."""

    connection: Connection
    scheduled: float = math.inf


class Stack:
    """Connections of one machine; packets to send gather in the outbox.

    `admit` decides on each new SYN; a rejected one is answered by a reset.
    """

    def __init__(
        self,
        rng: random.Random,
        config: TcpConfig | None = None,
        admit: Callable[[float, Segment], bool] = reject,
    ) -> None:
        self.clock = TimestampClock(rng.getrandbits(31) | 1 << 20)
        self.config = config or TcpConfig()
        self.damaged = 0
        self._rng = rng
        self._admit = admit
        self._outbox: list[bytes] = []
        self._entries: dict[Flow, _Entry] = {}
        self._timers = Timers()

    @property
    def connections(self) -> int:
        """The number of connections, half-open ones included."""
        return len(self._entries)

    @property
    def deadline(self) -> float:
        """When `tick` may be due, infinite if never."""
        return self._timers.earliest

    def take_packets(self) -> list[bytes]:
        """Return the inner packets to send, and forget them."""
        packets = self._outbox.copy()
        self._outbox.clear()
        return packets

    def find(self, flow: Flow) -> Connection | None:
        """Return the connection of a flow."""
        entry = self._entries.get(flow)
        return entry.connection if entry else None

    def connect(
        self,
        now: float,
        flow: Flow,
        config: TcpConfig | None = None,
    ) -> Connection:
        """Open a connection; the flow must not be in use."""
        if flow in self._entries:
            raise ValueError(f'flow in use: {flow}')
        connection = self._create(flow, config or self.config)
        connection.connect(now)
        self._settle(connection)
        return connection

    def write(self, now: float, connection: Connection, content: bytes) -> None:
        """Send bytes on a connection."""
        connection.write(now, content)
        self._settle(connection)

    def close(self, now: float, connection: Connection) -> None:
        """Send a FIN after what was written."""
        connection.close(now)
        self._settle(connection)

    def abort(self, now: float, connection: Connection) -> None:
        """End a connection with a reset."""
        connection.abort(now)
        self._settle(connection)

    def receive(self, now: float, inner: bytes) -> Connection | None:
        """Handle an inner packet; return the connection it belongs to.

        The connection may have ended by it. Damaged packets are counted and
        dropped.
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
        connection = self._route(now, flow, segment)
        if connection is not None:
            connection.receive(now, segment, inner[segment.payload :])
            self._settle(connection)
        return connection

    def tick(self, now: float) -> list[Connection]:
        """Run the timers that are due; return the connections concerned."""
        fired = []
        while timer := self._timers.pop(now):
            due, flow = timer
            entry = self._entries.get(flow)
            if entry is None or entry.scheduled != due:
                continue
            entry.scheduled = math.inf
            entry.connection.tick(now)
            self._settle(entry.connection)
            fired.append(entry.connection)
        return fired

    def _route(
        self,
        now: float,
        flow: Flow,
        segment: Segment,
    ) -> Connection | None:
        """Return the connection that takes the packet, if one does."""
        entry = self._entries.get(flow)
        is_syn = segment.flags & _FLAGS == packet.SYN
        if entry is not None:
            if not (is_syn and _may_replace(entry.connection, segment)):
                return entry.connection
            del self._entries[flow]
        if is_syn and self._admit(now, segment):
            connection = self._create(flow, self.config)
            connection.accept(now, segment)
            self._settle(connection)
        elif not segment.flags & packet.RST:
            self._outbox.append(_reject_packet(segment))
        return None

    def _create(self, flow: Flow, config: TcpConfig) -> Connection:
        iss = self._rng.getrandbits(32)
        connection = Connection(flow, iss, self.clock, self._outbox, config)
        self._entries[flow] = _Entry(connection)
        return connection

    def _settle(self, connection: Connection) -> None:
        """Schedule the connection's timer, or forget a closed connection."""
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


def _reject_packet(segment: Segment) -> bytes:
    """Return the reset that answers a packet of no connection."""
    if segment.flags & packet.ACK:
        return packet.build_reset_to_sender(segment)
    return packet.build_syn_refusal(segment)

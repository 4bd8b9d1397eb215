"""A running node: turns datagrams, load reports and signals into events."""

import asyncio
import time

from apricottally import dissemination
from apricottally.addresses import Endpoint
from apricottally.driver import Driver
from apricottally.effects import LogValue
from apricottally.events import (
    Event,
    LoadReport,
    LoadReported,
    PacketReceived,
    PeerReceived,
    ShutdownRequested,
    Ticked,
)
from apricottally.logs import EventLog
from apricottally.state import NodeState


class Node:
    """The state, driver and log of a node; `exited` is its exit status."""

    def __init__(self, state: NodeState) -> None:
        self.state = state
        self.loop = asyncio.get_running_loop()
        self.exited: asyncio.Future[int] = self.loop.create_future()
        self.driver = Driver(state, {})
        self._log = EventLog()

    def submit(self, event: Event) -> None:
        """Apply one event."""
        self.driver.submit(event)

    def receive_packet(self, payload: bytes, source: Endpoint) -> None:
        """Handle a datagram from the packet socket."""
        self.driver.submit(PacketReceived(self.loop.time(), source, payload))

    def receive_peer(self, payload: bytes, source: Endpoint) -> None:
        """Handle a datagram from the peer socket."""
        self.driver.submit(PeerReceived(self.loop.time(), source, payload))

    def receive_load(self, ip: str, report: LoadReport | None) -> None:
        """Handle the result of a load poll; `report` is None if it failed."""
        self.driver.submit(LoadReported(self.loop.time(), ip, report))

    def shut_down(self) -> None:
        """Start a graceful shutdown; a second call forces an immediate exit."""
        self.driver.submit(ShutdownRequested(self.loop.time()))

    def log(self, event: str, fields: dict[str, LogValue]) -> None:
        """Write a structured log record."""
        self._log.write(self.loop.time(), event, fields)

    def tick(self) -> None:
        """Submit a timer event and report suppressed log records."""
        now = self.loop.time()
        self.driver.submit(Ticked(now, time.time()))
        self._log.flush(now)

    def finish(self, status: int) -> None:
        """Set the exit status of the process; later calls are ignored."""
        if not self.exited.done():
            self.exited.set_result(status)

    def is_ready(self) -> bool:
        """Return whether the network fabric may send packets to this node."""
        if self.state.stopping:
            return False
        return dissemination.is_ready(self.state)

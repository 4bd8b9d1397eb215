"""A running node: the reducer with its sockets, timer and calls."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Any, Protocol

from apricottally.addresses import Endpoint
from apricottally.effects import Exit, LogValue
from apricottally.errors import InvariantError
from apricottally.sockets import DatagramSocket, open_datagram_socket
from apricottally.tagged import dissemination, effects, events
from apricottally.tagged.jsonlog import JsonLog
from apricottally.tagged.messages import Snapshot, SnapshotRequest
from apricottally.tagged.networkcalls import NetworkCalls, Platform
from apricottally.tagged.packets import FlowPacket
from apricottally.tagged.records import Backend
from apricottally.tagged.reducer import reduce
from apricottally.tagged.snapshots import open_snapshot_server
from apricottally.tagged.state import NodeState

TICK_S = 0.01


class PacketCodec(Protocol):
    """Encoding of flow packets on the wire."""

    def parse(self, payload: bytes) -> FlowPacket | None:
        """Return the client packet in a datagram, or None if it has none."""

    def address_to_backend(
        self,
        backend: Backend,
        raw: bytes,
        tag: int | None,
    ) -> bytes:
        """Return a datagram for a backend.

        `tag` is written into it; None leaves the packet's tag unchanged.
        """

    def build_reset(self, packet: FlowPacket) -> tuple[bytes, Endpoint]:
        """Return a reset of a packet's flow and its destination."""


class Node:
    """Passes events to the reducer and carries out the effects it returns."""

    def __init__(
        self,
        state: NodeState,
        platform: Platform,
        codec: PacketCodec,
        log: JsonLog,
    ) -> None:
        self.state = state
        self.loop = asyncio.get_running_loop()
        self.exited: asyncio.Future[int] = self.loop.create_future()
        self._calls = NetworkCalls(state, platform, self.submit)
        self._codec = codec
        self._log = log
        self._packets: DatagramSocket | None = None
        self._peers: DatagramSocket | None = None
        self._actions: dict[type, Callable[[Any], object]] = {
            effects.Forward: self._forward,
            effects.Reset: self._reset,
            effects.SendPeer: self._send_peer,
            effects.ListRecords: self._calls.list_records,
            effects.WatchRecords: self._calls.watch_records,
            effects.PullSnapshot: self._calls.pull_snapshot,
            effects.ProbeBackend: self._calls.probe_backend,
            effects.WriteLog: self._write_log,
            Exit: self._exit,
        }

    def attach_sockets(
        self, packets: DatagramSocket, peers: DatagramSocket
    ) -> None:
        """Set the sockets for flow packets and for peer datagrams."""
        self._packets = packets
        self._peers = peers

    def submit(self, event: events.Event) -> None:
        """Apply one event and carry out its effects.

        An exception in a handler or an effect is logged so that a single
        packet cannot terminate the process; `InvariantError` is not caught.
        """
        try:
            outputs = reduce(self.state, event)
        except InvariantError:
            raise
        except Exception:
            self.report_fault(type(event).__name__)
            return
        actions = self._actions
        for effect in outputs:
            try:
                actions[type(effect)](effect)
            except Exception:
                self.report_fault(type(effect).__name__)

    def receive_packet(self, payload: bytes, source: Endpoint) -> None:
        """Handle a datagram from the packet socket."""
        packet = self._codec.parse(payload)
        if packet is None:
            self.state.counters.add('dropped', 'malformed')
            return
        self.submit(events.PacketArrived(self.loop.time(), packet))

    def receive_peer(self, payload: bytes, source: Endpoint) -> None:
        """Handle a datagram from the peer socket."""
        self.submit(events.PeerArrived(self.loop.time(), source, payload))

    def tick(self) -> None:
        """Submit a timer event and flush the log.

        Datagrams that have arrived are read first, so that after a delayed
        tick unread replies are not treated as missing.
        """
        if self._peers is not None:
            self._peers.drain()
        if self._packets is not None:
            self._packets.drain()
        self.submit(events.Ticked(self.loop.time()))
        self._log.flush(self.loop.time())

    def shut_down(self) -> None:
        """Start a graceful shutdown; a second call ends the node at once."""
        self.submit(events.ShutdownRequested(self.loop.time()))

    def log(self, event: str, fields: Mapping[str, LogValue]) -> None:
        """Write a structured log line."""
        self._log.write(self.loop.time(), event, fields)

    def build_snapshot(self, request: SnapshotRequest) -> Snapshot:
        """Return this node's records that are newer than a neighbour's."""
        return dissemination.build_snapshot(
            self.state, request, self.loop.time()
        )

    def close(self) -> None:
        """Cancel calls in progress and write the remaining log lines."""
        self._calls.close()
        self._log.flush(self.loop.time())

    def report_fault(self, name: str) -> None:
        """Count and log the exception being handled.

        `name` is the event, effect or task that raised it.
        """
        self.state.counters.add('handler_failed', name)
        trace = traceback.format_exc(limit=-3)
        self.log('handler_failed', {'input': name, 'trace': trace})

    def _forward(self, effect: effects.Forward) -> None:
        backend = effect.backend
        payload = self._codec.address_to_backend(
            backend, effect.raw, effect.tag
        )
        if self._packets is not None:
            self._packets.send(payload, (backend.ip, backend.port))

    def _reset(self, effect: effects.Reset) -> None:
        payload, dest = self._codec.build_reset(effect.packet)
        if self._packets is not None:
            self._packets.send(payload, dest)

    def _send_peer(self, effect: effects.SendPeer) -> None:
        if self._peers is not None:
            for dest in effect.dests:
                self._peers.send(effect.payload, dest)

    def _write_log(self, effect: effects.WriteLog) -> None:
        self._log.write(self.loop.time(), effect.event, effect.fields)

    def _exit(self, effect: Exit) -> None:
        if not self.exited.done():
            self.exited.set_result(effect.status)


@asynccontextmanager
async def open_node(
    node: Node,
    packet_endpoint: Endpoint,
) -> AsyncIterator[None]:
    """Open a node's sockets and run its timer within the context.

    Raises `SocketError` if a port cannot be opened.
    """
    config = node.state.config
    counters = node.state.counters
    peer_endpoint = (config.ip, config.peer_port)
    async with AsyncExitStack() as stack:
        stack.callback(node.close)
        packets = stack.enter_context(
            open_datagram_socket(
                packet_endpoint, node.receive_packet, counters
            ),
        )
        peers = stack.enter_context(
            open_datagram_socket(peer_endpoint, node.receive_peer, counters),
        )
        node.attach_sockets(packets, peers)
        await stack.enter_async_context(
            open_snapshot_server(peer_endpoint, node.build_snapshot),
        )
        timer = node.loop.create_task(_tick_forever(node))
        stack.callback(timer.cancel)
        yield


async def _tick_forever(node: Node) -> None:
    """Tick until cancelled; an exception must not end the timer."""
    while True:
        try:
            node.tick()
        except InvariantError:
            raise
        except Exception:
            node.report_fault('tick')
        await asyncio.sleep(TICK_S)

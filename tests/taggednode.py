"""A node with the reducer, driven by simulated records, packets and time."""

import itertools
import math
import random

from apricottally.tagged import effects, events, packets
from apricottally.tagged.clocks.asof import AsOf
from apricottally.tagged.freshness import PLATFORM
from apricottally.tagged.messages import (
    ClockReply,
    Peer,
    SnapshotRequest,
    encode,
)
from apricottally.tagged.nodeconfig import NodeConfig
from apricottally.tagged.packets import FlowPacket
from apricottally.tagged.records import (
    Backend,
    BackendChange,
    Configuration,
    ConfigurationChange,
    Repetition,
    Route,
    Service,
    Target,
)
from apricottally.tagged.reducer import reduce
from apricottally.tagged.revisions import Revision
from apricottally.tagged.state import NodeState

ADDRESS = 0xC6120001
FEED_PORT = 8443
ORDER_PORT = 8080
CLIENT = 0x64400007
TICK_S = 0.01


def build_backend(index: int, **changes) -> Backend:
    defaults = {
        'name': f'i-{index:08x}',
        'number': index,
        'tag': index,
        'service': 'core',
        'ip': '10.2.0.1',
        'port': 8000 + index,
        'zone': 'a',
        'slots': 2,
        'draining': False,
        'cold_ms': 0,
        'born_ms': 1,
        'sequence': 1,
    }
    return Backend(**(defaults | changes))


def build_route(port: int, repetition: Repetition, **changes) -> Route:
    defaults = {
        'name': f'route-{port}',
        'address': ADDRESS,
        'port': port,
        'targets': (Target('core', 1),),
        'repetition': repetition,
        'priority': 1,
        'timeout_ms': 1500,
        'latency_ms': 150,
    }
    return Route(**(defaults | changes))


def build_configuration(
    version: int = 1,
    extra: tuple[Route, ...] = (),
    services: tuple[Service, ...] = (),
) -> Configuration:
    routes = (
        build_route(FEED_PORT, Repetition.idempotent),
        build_route(ORDER_PORT, Repetition.once),
        *extra,
    )
    return Configuration(version, routes, 15_000, services)


def build_packet(client_port: int, flags: int, **fields) -> FlowPacket:
    port = fields.pop('port', FEED_PORT)
    defaults = {
        'key': client_port.to_bytes(4, 'big') + port.to_bytes(2, 'big'),
        'client': CLIENT,
        'client_port': client_port,
        'address': ADDRESS,
        'port': port,
        'flags': flags,
        'sequence': 0,
        'acknowledged': 0,
        'length': 0,
        'tag': 0,
        'raw': b'',
    }
    return FlowPacket(**(defaults | fields))


def rev(number: int, epoch: int = 1) -> Revision:
    return Revision(epoch, number)


def build_request(state: NodeState) -> SnapshotRequest:
    """Return the request with which a node pulls from a neighbour."""
    return SnapshotRequest(state.catalog.revision, state.configuration_version)


class TaggedNode:
    """Feeds events to a reducer and keeps the effects of the last one."""

    def __init__(self, backends=3, name='n1', zone='a', **config) -> None:
        self.now = 100.0
        settings = NodeConfig(
            name,
            zone,
            '10.1.0.1',
            7720,
            strict=True,
            **config,
        )
        self.state = NodeState(settings, random.Random(1), self.now)
        self.sequence = itertools.count(1)
        self.effects: list[effects.Effect] = []
        if backends:
            self.load_records(
                10, [build_backend(index + 1) for index in range(backends)]
            )

    def submit(self, event: events.Event) -> list[effects.Effect]:
        self.effects = reduce(self.state, event)
        return self.effects

    def load_records(
        self, revision, backends, configuration=None, epoch=1
    ) -> list[effects.Effect]:
        at = rev(revision, epoch)
        changes = [
            BackendChange(backend.name, at, backend) for backend in backends
        ]
        changes.append(
            ConfigurationChange(at, configuration or build_configuration())
        )
        return self.submit(
            events.RecordsListed(self.now, self.now, at, tuple(changes))
        )

    def apply_changes(self, revision: int, *changes) -> list[effects.Effect]:
        after = self.state.catalog.revision
        at = rev(revision, after.epoch)
        return self.submit(
            events.RecordsChanged(self.now, self.now, after, at, tuple(changes))
        )

    def run(self, seconds: float) -> list[effects.Effect]:
        """Advance the time in ticks; return the effects of all ticks."""
        found: list[effects.Effect] = []
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            found += self.submit(events.Ticked(self.now))
        return found

    def confirm(self) -> None:
        """Mark the records as current, as after a read from the platform."""
        self.state.freshness.confirm(AsOf(self.now, PLATFORM), self.now)

    def measure_clock(self, peer: Peer) -> None:
        """Receive the reply of a peer whose clock shows this node's time."""
        reply = ClockReply(
            self.state.neighbours.own.incarnation,
            self.state.clock.read(self.now),
            peer.name,
            peer.incarnation,
            math.ceil(self.now * 1000),
        )
        source = (peer.ip, peer.port)
        self.submit(events.PeerArrived(self.now, source, encode(reply)))

    def send(self, client_port: int, flags: int, **fields):
        packet = build_packet(client_port, flags, **fields)
        return self.submit(events.PacketArrived(self.now, packet))

    def open_flow(self, client_port: int, **fields) -> int:
        """Complete a handshake with the selected backend; return its tag."""
        first = fields.pop('sequence', 1000)
        self.send(client_port, packets.SYN, sequence=first, **fields)
        tag = self.list_forwarded()[0].backend.tag
        self.send(
            client_port,
            packets.ACK,
            sequence=first + 1,
            acknowledged=501,
            tag=tag,
            **fields,
        )
        return tag

    def send_request(self, client_port: int, tag: int, **fields) -> None:
        """Send a request of 100 bytes on an established flow."""
        defaults = {'sequence': 1001, 'acknowledged': 501, 'length': 100}
        self.send(client_port, packets.ACK, tag=tag, **(defaults | fields))

    def list_forwarded(self) -> list[effects.Forward]:
        return self.select_effects(effects.Forward)

    def select_effects(self, kind, found=None):
        return [
            effect
            for effect in (self.effects if found is None else found)
            if isinstance(effect, kind)
        ]

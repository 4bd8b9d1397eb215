"""Nodes of the core, one a zone, driven over virtual time."""

from apricottally import addresses, gue, model, packet
from apricottally.effects import Effect, PollLoad, SendPacket, SendPeer
from apricottally.events import (
    LoadReport,
    LoadReported,
    PacketReceived,
    PeerReceived,
    Record,
    RecordsReceived,
    Ticked,
)
from apricottally.model import Backend, BackendSet, Workspace
from apricottally.reducer import reduce
from apricottally.state import NodeConfig, NodeState
from apricottally.synbudget import SynBudget
from bench.fakes import FakeBackend, FakeNode, Request, World

GATEWAY = '127.9.0.1', 6080
CALLERS = addresses.parse_ip('10.64.0.0')
FIRST_WORKSPACE = addresses.parse_ip('10.9.0.1')
# Callers' ports used an address; the next address follows.
PORTS = 50_000
FIRST_PORT = 1024
TICK_S = 0.1
POLL_S = 0.002
WALL_S = 1_800_000_000
# Offset of the inner packet in a plain datagram, and of fields within it.
START = gue.PLAIN_LENGTH
FLAGS = START + packet.IP_LENGTH + 13
_SYN_ACK = packet.SYN | packet.ACK
_FLAGS = {
    'accepted': _SYN_ACK,
    'shed': packet.RST | packet.ACK,
    'done': packet.FIN | packet.ACK,
}


class CoreNode:
    """One node: its state, its CPU and the effects it asks for."""

    def __init__(self, owners: 'CoreBalancer', index: int, zone: str) -> None:
        self._owners = owners
        self._world = owners.world
        config = NodeConfig(
            f'node{index}',
            zone,
            f'127.1.0.{index + 1}',
            addresses.PACKET_PORT,
            addresses.PEER_PORT,
            GATEWAY,
            strict=True,
        )
        self.state = NodeState(config, self._world.rng)
        costs = self._world.costs
        self.state.admissions.budget = SynBudget(costs.syns_per_s)
        self._cpu = FakeNode(self._world.clock)

    def receive(self, source: addresses.Endpoint, payload: bytes) -> None:
        """Take a datagram; it waits for the CPU."""
        self._cpu.submit(self._process, source, payload)

    def tick(self) -> None:
        """Let the timer fire, again and again."""
        now = self._world.clock.now
        self.carry_out(reduce(self.state, Ticked(now, WALL_S + now)), 0)
        self._world.clock.after(TICK_S, self.tick)

    def carry_out(self, effects: list[Effect], delay: float) -> None:
        """Do what the core asks for."""
        for effect in effects:
            if isinstance(effect, SendPacket):
                self._owners.send(self.state.config.ip, effect, delay)
            elif isinstance(effect, SendPeer):
                self._owners.send_peer(self.state.config.ip, effect)
            elif isinstance(effect, PollLoad):
                self._world.clock.after(POLL_S, self._report, effect.ips)

    def receive_peer(self, source: str, payload: bytes) -> None:
        """Take a datagram of another node; the control socket comes first."""
        now = self._world.clock.now
        event = PeerReceived(now, (source, addresses.PEER_PORT), payload)
        self.carry_out(reduce(self.state, event), 0)

    def _process(self, source: addresses.Endpoint, payload: bytes) -> float:
        counts = self.state.counters
        shed = counts.total('refused', 'node_overload')
        event = PacketReceived(self._world.clock.now, source, payload)
        effects = reduce(self.state, event)
        costs = self._world.costs
        cost = costs.other_s
        if counts.total('refused', 'node_overload') > shed:
            cost = costs.shed_s
        elif payload[FLAGS] == packet.SYN and not self._is_handed_on(effects):
            cost = costs.syn_s
        self.carry_out(effects, cost)
        return cost

    def _is_handed_on(self, effects: list[Effect]) -> bool:
        """Tell whether a SYN only went on to its owner."""
        return any(
            isinstance(effect, SendPacket)
            and effect.dest[0] in self._owners.nodes
            for effect in effects
        )

    def _report(self, ips: tuple[str, ...]) -> None:
        for ip in ips:
            backend = self._owners.backends[ip]
            number = backend.spec.number
            busy = self._world.report(number, backend.busy)
            report = LoadReport(busy, backend.busy, 'ready')
            now = self._world.clock.now
            self.carry_out(
                reduce(self.state, LoadReported(now, ip, report)),
                0,
            )


class CoreBalancer:
    """The nodes of a deployment, and what lies between them."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.backends: dict[str, FakeBackend] = {}
        self.nodes: dict[str, CoreNode] = {}
        self._requests: dict[bytes, Request] = {}
        self._versions = 0
        for index, zone in enumerate(world.deployment.zones):
            node = CoreNode(self, index, zone)
            self.nodes[node.state.config.ip] = node
        self._nodes = list(self.nodes.values())
        for node in self._nodes:
            for other in self._nodes:
                node.state.members.put(other.state.config.member())
        self._publish_input()
        for service in world.backends:
            self.publish_backends(service)
        for node in self._nodes:
            node.tick()

    def publish_backends(self, service: str) -> None:
        """Let every node know the backends of a service."""
        specs: list[Backend] = []
        for backend in self.world.backends[service]:
            self.backends[backend.spec.ip] = backend
            specs.append(backend.spec)
        body = BackendSet(tuple(specs))
        self._publish(model.BACKEND_PREFIX + service, body)

    def offer(self, request: Request) -> None:
        """Send the SYN of a request to a node."""
        template = self.world.templates[request.template]
        host, port = divmod(request.number, PORTS)
        where = (
            CALLERS + host,
            FIRST_PORT + port,
            FIRST_WORKSPACE + request.workspace,
            template.port,
        )
        self._requests[packet.build_flow_key(*_swap(where))] = request
        options = packet.encode_timestamps(1, 0)
        inner = packet.build(*where, 100, 0, packet.SYN, options)
        latency = self.world.deployment.caller_latency_s
        self._send_to_node(GATEWAY, inner, latency)

    def send(self, source: str, effect: SendPacket, delay: float) -> None:
        """Deliver a packet that a node sends."""
        deployment = self.world.deployment
        if effect.dest == GATEWAY:
            if effect.payload[FLAGS] == _SYN_ACK:
                self._accept(effect.payload, delay)
            return
        latency = delay + deployment.latency_s
        node = self.nodes.get(effect.dest[0])
        if node is not None:
            hop = source, addresses.PACKET_PORT
            self.world.clock.after(latency, node.receive, hop, effect.payload)
        elif effect.payload[FLAGS] == packet.SYN:
            backend = self.backends[effect.dest[0]]
            self.world.clock.after(latency, self._ask, backend, effect.payload)

    def send_peer(self, source: str, effect: SendPeer) -> None:
        """Deliver a datagram between nodes."""
        node = self.nodes.get(effect.dest[0])
        if node is not None:
            latency = self.world.deployment.latency_s
            clock = self.world.clock
            clock.after(latency, node.receive_peer, source, effect.payload)

    def total(self, name: str) -> int:
        """Return a counter summed over all nodes."""
        return sum(node.state.counters.total(name) for node in self._nodes)

    def _accept(self, payload: bytes, delay: float) -> None:
        """Note when the caller gets its SYN-ACK."""
        request = self._requests[packet.read_caller_key(payload, START)]
        latency = self.world.deployment.caller_latency_s + delay
        if request.started is None:
            request.started = self.world.clock.now + latency

    def _ask(self, backend: FakeBackend, payload: bytes) -> None:
        request = self._requests[packet.read_reply_key(payload, START)]
        reply = _Reply(self, backend, payload)
        backend.offer(request.run_s, reply.tell)

    def _send_to_node(
        self,
        source: addresses.Endpoint,
        inner: bytes,
        latency: float,
    ) -> None:
        node = self.world.rng.choice(self._nodes)
        payload = gue.encode(inner)
        self.world.clock.after(latency, node.receive, source, payload)

    def reply(self, backend: FakeBackend, inner: bytes) -> None:
        """Send a backend's packet to a node."""
        source = backend.spec.ip, addresses.PACKET_PORT
        self._send_to_node(source, inner, self.world.deployment.latency_s)

    def _publish_input(self) -> None:
        templates = self.world.templates
        for name, template in templates.items():
            self._publish(model.TEMPLATE_PREFIX + name, template)
        shares = dict.fromkeys(templates, float(1))
        for index in range(self.world.workspaces):
            address = addresses.format_ip(FIRST_WORKSPACE + index)
            body = Workspace(address, shares)
            self._publish(f'{model.WORKSPACE_PREFIX}w{index}', body)

    def _publish(
        self,
        key: str,
        body: model.Template | Workspace | BackendSet,
    ) -> None:
        self._versions += 1
        version = self._versions
        value = model.encode_document(f'op{version}', 'bench', body)
        records = (Record(key, version, value),)
        now = self.world.clock.now
        for node in self._nodes:
            event = RecordsReceived(now, records, version, complete=False)
            node.carry_out(reduce(node.state, event), 0)


class _Reply:
    """A backend's packets of one flow."""

    def __init__(
        self,
        owners: CoreBalancer,
        backend: FakeBackend,
        payload: bytes,
    ) -> None:
        self._owners = owners
        self._backend = backend
        segment = packet.parse(payload, START)
        self._ends = (
            segment.dst_ip,
            segment.dst_port,
            segment.src_ip,
            segment.src_port,
        )

    def tell(self, event: str) -> None:
        """Send the packet for an event at the backend."""
        options = packet.encode_timestamps(8192, 1)
        # A reset that answers a SYN has sequence 0.
        seq = 0 if event == 'shed' else 7
        inner = packet.build(*self._ends, seq, 101, _FLAGS[event], options)
        self._owners.reply(self._backend, inner)


def _swap(where: tuple[int, int, int, int]) -> tuple[int, int, int, int]:
    """Return the ends of a flow as seen in packets to its caller."""
    return where[2], where[3], where[0], where[1]

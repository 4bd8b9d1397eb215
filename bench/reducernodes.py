"""Nodes that run apricottally's reducer in virtual time, one per zone."""

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
from bench.simulation import Environment, FakeBackend, NodeCpu, Request

GATEWAY = '127.9.0.1', 6080
FIRST_CALLER_IP = addresses.parse_ip('10.64.0.0')
FIRST_WORKSPACE_IP = addresses.parse_ip('10.9.0.1')
# Ports used per caller address; further requests use the next address.
PORTS_PER_IP = 50_000
FIRST_PORT = 1024
TICK_S = 0.1
POLL_DELAY_S = 0.002
UNIX_START_S = 1_800_000_000
# Offsets in a plain GUE datagram: the inner packet, and its TCP flags.
INNER_OFFSET = gue.PLAIN_LENGTH
FLAGS_OFFSET = INNER_OFFSET + packet.IP_LENGTH + 13
_SYN_ACK = packet.SYN | packet.ACK
_EVENT_FLAGS = {
    'accepted': _SYN_ACK,
    'shed': packet.RST | packet.ACK,
    'done': packet.FIN | packet.ACK,
}


class ReducerNode:
    """A node: the reducer's state, a simulated CPU and effects."""

    def __init__(
        self, balancer: 'ReducerBalancer', index: int, zone: str
    ) -> None:
        self._balancer = balancer
        self._env = balancer.env
        config = NodeConfig(
            f'node{index}',
            zone,
            f'127.1.0.{index + 1}',
            addresses.PACKET_PORT,
            addresses.PEER_PORT,
            GATEWAY,
            strict=True,
        )
        self.state = NodeState(config, self._env.rng)
        costs = self._env.costs
        self.state.admissions.budget = SynBudget(costs.syns_per_s)
        self._cpu = NodeCpu(self._env.clock)

    def receive(self, source: addresses.Endpoint, payload: bytes) -> None:
        """Queue a datagram for the CPU."""
        self._cpu.submit(self._process, source, payload)

    def tick(self) -> None:
        """Pass a tick to the reducer and schedule the next one."""
        now = self._env.clock.now
        self.execute(reduce(self.state, Ticked(now, UNIX_START_S + now)), 0)
        self._env.clock.after(TICK_S, self.tick)

    def execute(self, effects: list[Effect], delay: float) -> None:
        """Carry out effects; packets are sent `delay` seconds later."""
        for effect in effects:
            if isinstance(effect, SendPacket):
                self._balancer.send(self.state.config.ip, effect, delay)
            elif isinstance(effect, SendPeer):
                self._balancer.send_peer(self.state.config.ip, effect)
            elif isinstance(effect, PollLoad):
                self._env.clock.after(POLL_DELAY_S, self._report, effect.ips)

    def receive_peer(self, source: str, payload: bytes) -> None:
        """Handle another node's control datagram, ahead of queued packets."""
        now = self._env.clock.now
        event = PeerReceived(now, (source, addresses.PEER_PORT), payload)
        self.execute(reduce(self.state, event), 0)

    def _process(self, source: addresses.Endpoint, payload: bytes) -> float:
        counts = self.state.counters
        shed = counts.total('refused', 'node_overload')
        event = PacketReceived(self._env.clock.now, source, payload)
        effects = reduce(self.state, event)
        costs = self._env.costs
        cost = costs.other_s
        if counts.total('refused', 'node_overload') > shed:
            cost = costs.shed_s
        elif payload[FLAGS_OFFSET] == packet.SYN and not self._is_handed_over(
            effects
        ):
            cost = costs.syn_s
        self.execute(effects, cost)
        return cost

    def _is_handed_over(self, effects: list[Effect]) -> bool:
        """Tell whether the packet was handed over to another node."""
        return any(
            isinstance(effect, SendPacket)
            and effect.dest[0] in self._balancer.nodes
            for effect in effects
        )

    def _report(self, ips: tuple[str, ...]) -> None:
        for ip in ips:
            backend = self._balancer.backends[ip]
            number = backend.spec.number
            busy = self._env.report_busy(number, backend.busy)
            report = LoadReport(busy, backend.busy, 'ready')
            now = self._env.clock.now
            self.execute(
                reduce(self.state, LoadReported(now, ip, report)),
                0,
            )


class ReducerBalancer:
    """The nodes of a deployment and the simulated network between them."""

    def __init__(self, env: Environment) -> None:
        self.env = env
        self.backends: dict[str, FakeBackend] = {}
        self.nodes: dict[str, ReducerNode] = {}
        self._requests: dict[bytes, Request] = {}
        self._last_version = 0
        for index, zone in enumerate(env.deployment.zones):
            node = ReducerNode(self, index, zone)
            self.nodes[node.state.config.ip] = node
        self._nodes = list(self.nodes.values())
        for node in self._nodes:
            for other in self._nodes:
                node.state.members.put(other.state.config.build_member())
        self._publish_configuration()
        for service in env.backends:
            self.publish_backends(service)
        for node in self._nodes:
            node.tick()

    def publish_backends(self, service: str) -> None:
        """Publish the backends of a service to every node."""
        specs: list[Backend] = []
        for backend in self.env.backends[service]:
            self.backends[backend.spec.ip] = backend
            specs.append(backend.spec)
        body = BackendSet(tuple(specs))
        self._publish(model.BACKEND_PREFIX + service, body)

    def offer(self, request: Request) -> None:
        """Send the SYN of a request to a random node."""
        template = self.env.templates[request.template]
        host, port = divmod(request.number, PORTS_PER_IP)
        flow = (
            FIRST_CALLER_IP + host,
            FIRST_PORT + port,
            FIRST_WORKSPACE_IP + request.workspace,
            template.port,
        )
        self._requests[packet.build_flow_key(*_reverse_flow(flow))] = request
        options = packet.encode_timestamps(1, 0)
        inner = packet.build(*flow, 100, 0, packet.SYN, options)
        latency = self.env.deployment.caller_latency_s
        self._send_to_node(GATEWAY, inner, latency)

    def send(self, source: str, effect: SendPacket, delay: float) -> None:
        """Deliver a node's packet `delay` seconds plus the latency later."""
        deployment = self.env.deployment
        if effect.dest == GATEWAY:
            if effect.payload[FLAGS_OFFSET] == _SYN_ACK:
                self._record_syn_ack(effect.payload, delay)
            return
        latency = delay + deployment.latency_s
        node = self.nodes.get(effect.dest[0])
        if node is not None:
            endpoint = source, addresses.PACKET_PORT
            self.env.clock.after(
                latency, node.receive, endpoint, effect.payload
            )
        elif effect.payload[FLAGS_OFFSET] == packet.SYN:
            backend = self.backends[effect.dest[0]]
            self.env.clock.after(
                latency, self._offer_to_backend, backend, effect.payload
            )

    def send_peer(self, source: str, effect: SendPeer) -> None:
        """Deliver a control datagram between nodes."""
        node = self.nodes.get(effect.dest[0])
        if node is not None:
            latency = self.env.deployment.latency_s
            clock = self.env.clock
            clock.after(latency, node.receive_peer, source, effect.payload)

    def total(self, name: str) -> int:
        """Return a counter summed over all nodes."""
        return sum(node.state.counters.total(name) for node in self._nodes)

    def _record_syn_ack(self, payload: bytes, delay: float) -> None:
        """Record when the caller gets its first SYN-ACK."""
        request = self._requests[packet.read_caller_key(payload, INNER_OFFSET)]
        latency = self.env.deployment.caller_latency_s + delay
        if request.started is None:
            request.started = self.env.clock.now + latency

    def _offer_to_backend(self, backend: FakeBackend, payload: bytes) -> None:
        request = self._requests[packet.read_reply_key(payload, INNER_OFFSET)]
        reply = _BackendReplies(self, backend, payload)
        backend.offer(request.run_s, reply.notify)

    def _send_to_node(
        self,
        source: addresses.Endpoint,
        inner: bytes,
        latency: float,
    ) -> None:
        node = self.env.rng.choice(self._nodes)
        payload = gue.encode(inner)
        self.env.clock.after(latency, node.receive, source, payload)

    def reply(self, backend: FakeBackend, inner: bytes) -> None:
        """Send a backend's packet to a random node."""
        source = backend.spec.ip, addresses.PACKET_PORT
        self._send_to_node(source, inner, self.env.deployment.latency_s)

    def _publish_configuration(self) -> None:
        templates = self.env.templates
        for name, template in templates.items():
            self._publish(model.TEMPLATE_PREFIX + name, template)
        shares = dict.fromkeys(templates, float(1))
        for index in range(self.env.workspaces):
            address = addresses.format_ip(FIRST_WORKSPACE_IP + index)
            body = Workspace(address, shares)
            self._publish(f'{model.WORKSPACE_PREFIX}w{index}', body)

    def _publish(
        self,
        key: str,
        body: model.Template | Workspace | BackendSet,
    ) -> None:
        self._last_version += 1
        version = self._last_version
        value = model.encode_document(f'op{version}', 'bench', body)
        records = (Record(key, version, value),)
        now = self.env.clock.now
        for node in self._nodes:
            event = RecordsReceived(now, records, version, complete=False)
            node.execute(reduce(node.state, event), 0)


class _BackendReplies:
    """Sends a backend's packets of one flow."""

    def __init__(
        self,
        balancer: ReducerBalancer,
        backend: FakeBackend,
        payload: bytes,
    ) -> None:
        self._balancer = balancer
        self._backend = backend
        segment = packet.parse(payload, INNER_OFFSET)
        self._flow = (
            segment.dst_ip,
            segment.dst_port,
            segment.src_ip,
            segment.src_port,
        )

    def notify(self, event: str) -> None:
        """Send the packet for `accepted`, `shed` or `done`."""
        options = packet.encode_timestamps(8192, 1)
        # A reset in reply to a SYN has sequence number 0.
        seq = 0 if event == 'shed' else 7
        inner = packet.build(
            *self._flow, seq, 101, _EVENT_FLAGS[event], options
        )
        self._balancer.reply(self._backend, inner)


def _reverse_flow(flow: tuple[int, int, int, int]) -> tuple[int, int, int, int]:
    """Swap source and destination, as in packets to the caller."""
    return flow[2], flow[3], flow[0], flow[1]

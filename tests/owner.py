"""Test helper: one owner, driven by events and packets of both sides."""

import random
from collections.abc import Sequence

from apricottally import addresses, gue, model, packet
from apricottally.effects import Effect, PollLoad, SendPacket
from apricottally.events import (
    LoadReport,
    LoadReported,
    PacketReceived,
    Record,
    RecordsReceived,
    Ticked,
)
from apricottally.flows import Phase
from apricottally.model import (
    Backend,
    BackendSet,
    BackendState,
    Holding,
    Template,
    Urgency,
    Workspace,
)
from apricottally.reducer import reduce
from apricottally.state import NodeConfig, NodeState

GATEWAY = '127.9.0.1', 6080
SYN_ACK = packet.SYN | packet.ACK
RST_ACK = packet.RST | packet.ACK
CALLER = addresses.parse_ip('10.1.0.1')
PORTS = {'hold': 443, 'sheet': 444, 'feed': 445}
WALL_S = 1_800_000_000
TEMPLATES = {
    'hold': Template('desk', Urgency.urgent, 443, Holding.slot),
    'sheet': Template('desk', Urgency.background, 444, Holding.slot),
    'feed': Template('desk', Urgency.normal, 445, Holding.connection),
}


def build_backends(count: int, **changes) -> tuple[Backend, ...]:
    fields = {
        'zone': 'a',
        'slots': 2,
        'connections': 2000,
        'state': BackendState.active,
        **changes,
    }
    return tuple(
        Backend(number, f'b{number}', f'127.2.0.{number + 1}', **fields)
        for number in range(count)
    )


TWO_BACKENDS = build_backends(2)


class Owner:
    """A node that owns the only shard of service `desk`."""

    def __init__(
        self,
        backends: Sequence[Backend] = TWO_BACKENDS,
        templates: dict[str, Template] = TEMPLATES,
        workspaces: int = 2,
        past_takeover: bool = True,
    ) -> None:
        config = NodeConfig(
            'n1', 'a', '127.1.0.1', 6080, 6081, GATEWAY, strict=True
        )
        self.state = NodeState(config, random.Random(1))
        self.now = float(0)
        self.version = 0
        self.isn = 100
        records = [
            self.record(model.TEMPLATE_PREFIX + name, template)
            for name, template in templates.items()
        ]
        for workspace in range(workspaces):
            shares = dict.fromkeys(templates, float(1))
            body = Workspace(f'10.9.0.{workspace + 1}', shares)
            records.append(
                self.record(f'{model.WORKSPACE_PREFIX}s{workspace}', body)
            )
        self.send(RecordsReceived(self.now, tuple(records), 1, False))
        self.put_backends(backends)
        if past_takeover:
            # End the takeover, in which a new owner admits by reports only.
            self.tick(3)

    def record(self, key: str, body) -> Record:
        self.version += 1
        value = model.encode_document(f'op{self.version}', 'test', body)
        return Record(key, self.version, value)

    def put_backends(self, backends: Sequence[Backend]) -> None:
        body = BackendSet(tuple(backends))
        record = self.record(f'{model.BACKEND_PREFIX}desk', body)
        self.send(RecordsReceived(self.now, (record,), self.version, False))
        self.tick(0)

    def send(self, event) -> list[Effect]:
        return reduce(self.state, event)

    def tick(self, seconds: float) -> list[tuple]:
        effects = []
        for _ in range(max(round(seconds * 10), 1)):
            self.now += 0.1 if seconds else 0
            effects += self.send(Ticked(self.now, WALL_S + self.now))
        self.polled = [
            effect for effect in effects if isinstance(effect, PollLoad)
        ]
        return describe(effects)

    def jump_wall_clock(self, wall_s: float) -> None:
        """Tick for 2 s with a wall clock that has jumped to `wall_s`."""
        for _ in range(20):
            self.now += 0.1
            self.send(Ticked(self.now, wall_s + self.now))

    def report(self, number: int, busy: int, opened=0, state='ready'):
        report = LoadReport(busy, opened, state)
        ip = f'127.2.0.{number + 1}'
        return describe(self.send(LoadReported(self.now, ip, report)))

    def syn(self, port: int, kind='hold', workspace=0, seq=100, options=None):
        if options is None:
            options = packet.encode_timestamps(1, 0)
        return self.send_from_caller(
            port, kind, workspace, seq, 0, packet.SYN, options
        )

    def end_by_caller(self, port: int, number: int, flags: int, **flow_args):
        options = packet.encode_timestamps(1, 4096 | number)
        return self.send_from_caller(
            port, seq=101, ack=1, flags=flags, options=options, **flow_args
        )

    def send_from_caller(
        self, port, kind='hold', workspace=0, seq=0, ack=0, flags=0, options=b''
    ):
        service = addresses.parse_ip(f'10.9.0.{workspace + 1}'), PORTS[kind]
        inner = packet.build(CALLER, port, *service, seq, ack, flags, options)
        source = '127.8.0.1', 6080
        event = PacketReceived(self.now, source, gue.encode(inner))
        return describe(self.send(event))

    def answer(
        self,
        port: int,
        number: int,
        flags: int = SYN_ACK,
        kind='hold',
        workspace=0,
        ack=101,
        options=None,
        seq=None,
    ):
        if seq is None:
            # A reset that answers a SYN has sequence 0 (RFC 9293).
            seq = 0 if flags == packet.RST | packet.ACK else 7
        service = addresses.parse_ip(f'10.9.0.{workspace + 1}'), PORTS[kind]
        if options is None:
            options = packet.encode_timestamps(8192, 1)
        inner = packet.build(*service, CALLER, port, seq, ack, flags, options)
        source = f'127.2.0.{number + 1}', 6080
        event = PacketReceived(self.now, source, gue.encode(inner))
        return describe(self.send(event))

    def admit(self, port: int, kind='hold', workspace=0) -> int:
        """Send a SYN that must be admitted; return the backend number."""
        sent = self.syn(port, kind, workspace)
        assert [kind for _, kind in sent] == ['syn']
        return sent[0][0]

    def open(self, port: int, kind='hold', workspace=0) -> int:
        """Open a flow with SYN and SYN-ACK; return the backend number."""
        number = self.admit(port, kind, workspace)
        assert self.answer(port, number, kind=kind, workspace=workspace)
        return number

    def close(self, port: int, number: int, kind='hold', workspace=0):
        flags = packet.FIN | packet.ACK
        return self.answer(port, number, flags, kind, workspace)

    def finish_one(self) -> None:
        """Answer and close the first flow whose SYN is still unanswered."""
        flows = self.state.admissions.flows.values()
        flow = next(
            candidate for candidate in flows if candidate.phase is Phase.sent
        )
        workspace = flow.segment.dst_ip - addresses.parse_ip('10.9.0.1')
        port_and_number = flow.segment.src_port, flow.number
        self.answer(*port_and_number, workspace=workspace)
        self.close(*port_and_number, workspace=workspace)

    def count(self, name: str, reason: str | None = None) -> int:
        return self.state.counters.total(name, reason)

    def load(self, number: int):
        return self.state.admissions.loads['desk', number]

    def rules(
        self, port: int, kind='hold', workspace=0
    ) -> list[tuple[str, str]]:
        """Return (action, rule) of each decision about a flow."""
        service = addresses.parse_ip(f'10.9.0.{workspace + 1}'), PORTS[kind]
        key = packet.build_flow_key(CALLER, port, *service)
        found = self.state.decisions.find(key)
        return [(decision.action, decision.rule) for decision in found]


def describe(effects: Sequence[Effect]) -> list[tuple]:
    """Return (destination, kind) of each packet among the effects.

    The destination is a backend number or `caller`. The kind is `syn`,
    `syn_ack`, `fin`, `rst` (sent to a backend or forwarded) or `refusal`.
    """
    return [
        _describe_packet(effect)
        for effect in effects
        if isinstance(effect, SendPacket)
    ]


def _describe_packet(effect: SendPacket) -> tuple:
    segment = packet.parse(effect.payload, gue.decode(effect.payload)[0])
    assert packet.is_valid(effect.payload[segment.start :])
    names = {packet.SYN: 'syn', packet.FIN: 'fin', packet.RST: 'rst'}
    name = names[segment.flags & packet.SYN_FIN_RST]
    if name == 'syn' and segment.flags & packet.ACK:
        name = 'syn_ack'
    if effect.dest == GATEWAY:
        is_refusal = name == 'rst' and not segment.timestamps
        return 'caller', 'refusal' if is_refusal else name
    return int(effect.dest[0].rsplit('.', 1)[1]) - 1, name

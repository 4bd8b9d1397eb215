"""Long random runs of one owner with its invariants checked."""

import random
from collections import Counter

import msgspec
import pytest

from apricottally import packet
from apricottally.effects import Effect, SendPacket
from apricottally.flows import FLOW_RETENTION_S, Phase
from apricottally.model import BackendState, Holding
from tests.owner import GATEWAY, RST_ACK, SYN_ACK, Owner, build_backends

STEPS = 4000
PORTS = range(1, 60)
BACKENDS = build_backends(4)
# Time of the last forwarded SYN-ACK by caller port, service port and
# acknowledged sequence number.
ACCEPTED: dict[tuple[int, int, int], float] = {}
FIN_ACK = packet.FIN | packet.ACK


class CheckedOwner(Owner):
    """An owner whose packets to callers are checked."""

    def send(self, event) -> list[Effect]:
        effects = super().send(event)
        for effect in effects:
            if isinstance(effect, SendPacket) and effect.dest == GATEWAY:
                self.check_sent(packet.parse(effect.payload, 4))
        return effects

    def check_sent(self, sent: packet.Segment) -> None:
        """Fail if a SYN is refused after its SYN-ACK was forwarded."""
        key = sent.dst_port, sent.src_port, sent.ack
        if sent.flags == SYN_ACK:
            ACCEPTED[key] = self.now
        elif sent.flags == RST_ACK and not sent.seq and not sent.timestamps:
            accepted = ACCEPTED.get(key, float('-inf'))
            assert self.now - accepted >= FLOW_RETENTION_S


class Run:
    """Sends random packets, reports, ticks and record changes to one owner."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        ACCEPTED.clear()
        self.owner = CheckedOwner(BACKENDS, workspaces=3)
        self.isn = dict.fromkeys(PORTS, 100)

    def step(self) -> None:
        port = self.rng.choice(PORTS)
        flow_args = {
            'kind': ('hold', 'sheet', 'feed')[port % 3],
            'workspace': port % 2,
        }
        number = self.rng.randrange(len(BACKENDS))
        flow = self.find(port)
        if flow is not None and self.rng.randrange(3):
            number = max(flow.number, 0)
        action = self.rng.choice(
            [
                'syn',
                'syn',
                'syn',
                'answer',
                'answer',
                'shed',
                'fin',
                'fin',
                'reset',
                'tick',
                'report',
            ],
        )
        getattr(self, action)(port, number, flow_args)
        self.check()

    def syn(self, port, number, flow_args) -> None:
        if self.rng.randrange(4) == 0:
            self.isn[port] += 1000
        self.owner.syn(port, seq=self.isn[port], **flow_args)

    def answer(self, port, number, flow_args, flags=None) -> None:
        options = {'ack': self.isn[port] + 1, **flow_args}
        if flags is not None:
            options['flags'] = flags
        self.owner.answer(port, number, **options)

    def shed(self, port, number, flow_args) -> None:
        self.answer(port, number, flow_args, RST_ACK)

    def fin(self, port, number, flow_args) -> None:
        for _ in range(self.rng.randrange(1, 3)):
            self.answer(port, number, flow_args, FIN_ACK)

    def reset(self, port, number, flow_args) -> None:
        self.owner.end_by_caller(port, number, packet.RST, **flow_args)

    def tick(self, port, number, flow_args) -> None:
        self.owner.tick(self.rng.choice((0.1, 0.1, 0.4, 2)))
        if self.rng.randrange(20) == 0:
            state = self.rng.choice(list(BackendState)[:2])
            changed = msgspec.structs.replace(BACKENDS[number], state=state)
            rest = [backend for backend in BACKENDS if backend.number != number]
            self.owner.put_backends([changed, *rest])

    def report(self, port, number, flow_args) -> None:
        state = self.rng.choice(('ready', 'ready', 'draining'))
        busy = self.rng.randrange(4)
        self.owner.report(number, busy, self.rng.randrange(100), state)

    def find(self, port):
        flows = self.owner.state.admissions.flows.values()
        return next(
            (flow for flow in flows if flow.segment.src_port == port), None
        )

    def check(self) -> None:
        """Compare the owner's counts with the flows that hold slots."""
        held = Counter(
            flow.number
            for flow in self.owner.state.admissions.flows.values()
            if flow.phase in {Phase.sent, Phase.established}
            and flow.holds is Holding.slot
        )
        for backend in BACKENDS:
            load = self.owner.load(backend.number)
            assert load.busy == held[backend.number]
            assert load.busy <= backend.slots
            assert load.open >= 0
        shard = next(iter(self.owner.state.admissions.shards.values()))
        assert sum(shard.reserve.slots_in_use) == held.total()


@pytest.mark.parametrize('seed', range(6))
def test_counts_match_flows(seed: int) -> None:
    """Guards against slots that leak or are freed twice in some event order."""
    run = Run(seed)
    for _ in range(STEPS):
        run.step()
    refused = run.owner.count('refused')
    assert refused > 50
    assert len(ACCEPTED) > 50
    assert run.owner.count('retried') > 5
    run.owner.tick(100)
    admissions = run.owner.state.admissions
    assert not admissions.flows
    assert not len(admissions.foreign_syn_acks) + len(admissions.recent_closes)
    assert run.owner.load(0).busy == 0

"""Broken flows through three successive changes, against baselines.

Backends drain and are retired, nodes are replaced and backends are added.
Each change reaches the nodes one by one; after every step flows are opened
and every open flow sends a packet, each to a random node. A flow is broken
when it is reset, when another backend gets its payload, or when it has not
got through once all nodes know the change.
"""

from dataclasses import dataclass

import msgspec

from apricottally import packet
from apricottally.events import Record
from apricottally.members import MemberState
from apricottally.model import Backend, BackendState
from apricottally.packet import ACK, FIN, RST, SYN, Segment
from bench import fleet
from bench.hashing import Baseline, choose_modulo, choose_rendezvous
from bench.network import REQUEST, Caller, Flow, Network
from bench.rows import Row

COMMAND = 'python -m bench flows'
NODES = 8
REPLACED = (1, 2, 3, 4)
KILLED = 4
BACKENDS = 70
ADDED = 20
DRAINED = frozenset(range(10))
FLOWS_PER_STEP = 20
STEP_S = 0.2
# Longer than 30 s, so that open flows then go by way of their trackers.
IDLE_S = 40.0
WARM_S = 20.0
# Packets that a node without any records gets as its first.
FIRST_PACKETS = 20


@dataclass
class Totals:
    """Flows of the product."""

    opened: int = 0
    not_opened: int = 0
    broken: int = 0
    delayed: int = 0


class Trial:
    """The product and the baselines through the same changes."""

    def __init__(self, seed: int) -> None:
        self.totals = Totals()
        self.baselines = {
            'modulo hash': Baseline(seed, choose_modulo),
            'rendezvous hash': Baseline(seed, choose_rendezvous),
            'local table': Baseline(seed, choose_rendezvous, tables=True),
        }
        self._seed = seed
        self._network = Network(seed)
        self._flows: dict[Caller, Flow] = {}
        self._lost: set[Caller] = set()
        self._callers = 0
        self._version = 1
        self._backends = tuple(
            fleet.build_backend(number) for number in range(BACKENDS)
        )
        self._records = fleet.list_records(BACKENDS)
        for index in range(1, NODES + 1):
            self._start_node(index, self._records)
        for node in self._network.nodes.values():
            for index in range(1, NODES + 1):
                node.members.put(fleet.build_member(index))

    def run(self) -> None:
        """Run all changes."""
        self._network.run_until(WARM_S)
        self._step()
        self._retire_backends()
        self._idle()
        for index in REPLACED:
            self._replace_node(index)
        self._idle()
        self._add_backends()
        self._idle()

    def _retire_backends(self) -> None:
        self._roll_out(self._with_state(BackendState.draining))
        self._idle()
        self._close_on_drained()
        self._roll_out(self._with_state(BackendState.retired))
        self._settle()

    def _replace_node(self, index: int) -> None:
        """Stop a node, or kill it, and start another one in its place."""
        network = self._network
        state = MemberState.dead if index == KILLED else MemberState.leaving
        network.entries.remove(index)
        if index == KILLED:
            network.remove_node(index)
        for baseline in self.baselines.values():
            baseline.remove_node(index)
        fresh = NODES + index
        self._start_node(fresh, ())
        for caller in list(self._flows)[:FIRST_PACKETS]:
            self._send(caller, entry=fresh)
        fleet.apply_records(network.nodes[fresh], self._records)
        self._step()
        for node in list(network.nodes.values()):
            gone = msgspec.structs.replace(
                fleet.build_member(index),
                state=state,
            )
            node.members.put(gone)
            node.members.put(fleet.build_member(fresh))
            self._step()
        if index != KILLED:
            network.remove_node(index)
        self._settle()

    def _add_backends(self) -> None:
        added = (
            fleet.build_backend(number)
            for number in range(BACKENDS, BACKENDS + ADDED)
        )
        self._roll_out((*self._backends, *added))
        self._settle()

    def _start_node(self, index: int, records: tuple[Record, ...]) -> None:
        network = self._network
        members = tuple(fleet.build_member(known) for known in network.nodes)
        node = fleet.build_node(index, members, records, self._seed + index)
        network.add_node(index, node)
        self._show_baselines(index)

    def _roll_out(self, backends: tuple[Backend, ...]) -> None:
        """Have the nodes learn of backends one by one."""
        self._version += 1
        self._backends = backends
        record = fleet.record_backends(fleet.SERVICE, self._version, backends)
        self._records = (*self._records, record)
        for index, node in list(self._network.nodes.items()):
            fleet.apply_records(node, (record,))
            self._show_baselines(index)
            self._step()

    def _with_state(self, state: BackendState) -> tuple[Backend, ...]:
        return tuple(
            fleet.build_backend(backend.number, state)
            if backend.number in DRAINED
            else backend
            for backend in self._backends
        )

    def _show_baselines(self, index: int) -> None:
        view = tuple(
            backend.number
            for backend in self._backends
            if backend.state is BackendState.active
        )
        for baseline in self.baselines.values():
            baseline.set_view(index, view)

    def _step(self) -> None:
        """Open flows and have every open flow send a packet."""
        self._network.run_until(self._network.now + STEP_S)
        for _ in range(FLOWS_PER_STEP):
            self._callers += 1
            caller = fleet.CALLER[0] + self._callers, 40_000
            self._open(caller)
            for baseline in self.baselines.values():
                baseline.open_flow(caller)
        for baseline in self.baselines.values():
            baseline.send_all()
        for caller in list(self._flows):
            self._send(caller)

    def _idle(self) -> None:
        self._network.run_until(self._network.now + IDLE_S)
        self._settle()

    def _settle(self) -> None:
        """Send once more; what does not get through now is broken."""
        self._step()
        self._step()
        self.totals.broken += len(self._lost)
        for caller in self._lost:
            del self._flows[caller]
        self._lost.clear()

    def _open(self, caller: Caller) -> None:
        syn = fleet.build_request(SYN, caller=caller)
        answers = self._network.send(syn).answers
        replies = [answer for answer in answers if answer.flags & SYN]
        if not replies:
            self.totals.not_opened += 1
            return
        number = replies[0].ts_val & packet.NUMBER_MASK
        ip = fleet.build_backend(number).ip
        self._flows[caller] = Flow(ip, replies[0].ts_val)
        self.totals.opened += 1

    def _send(self, caller: Caller, entry: int | None = None) -> None:
        flow = self._flows[caller]
        flow.sent += 1
        request = fleet.build_request(
            ACK,
            ts_val=flow.sent,
            ts_ecr=flow.ts_ecr,
            payload=REQUEST,
            caller=caller,
        )
        delivery = self._network.send(request, entry)
        if _is_broken(flow, delivery.served, delivery.answers):
            self.totals.broken += 1
            self._lost.discard(caller)
            del self._flows[caller]
        elif delivery.answers:
            flow.ts_ecr = delivery.answers[-1].ts_val
            self._lost.discard(caller)
        else:
            self.totals.delayed += 1
            self._lost.add(caller)

    def _close_on_drained(self) -> None:
        drained = {fleet.build_backend(number).ip for number in DRAINED}
        for caller, flow in list(self._flows.items()):
            if flow.backend in drained:
                last = fleet.build_request(
                    FIN | ACK,
                    ts_ecr=flow.ts_ecr,
                    caller=caller,
                )
                self._network.send(last)
                del self._flows[caller]
        for baseline in self.baselines.values():
            baseline.close_on(DRAINED)


def _is_broken(flow: Flow, served: list[str], answers: list[Segment]) -> bool:
    wrong = any(ip != flow.backend for ip in served)
    return wrong or any(answer.flags & RST for answer in answers)


def measure(seed: int) -> list[Row]:
    """Measure broken flows of the product and of the baselines."""
    trial = Trial(seed)
    trial.run()
    totals = trial.totals
    baselines = ', '.join(
        f'{name} {baseline.broken}'
        for name, baseline in trial.baselines.items()
    )
    return [
        Row(
            f'flows broken of {totals.opened} by three changes',
            COMMAND,
            seed,
            str(totals.broken),
            '0',
            baselines,
        ),
        Row(
            'packets delayed to a retransmission, SYNs left to one',
            COMMAND,
            seed,
            f'{totals.delayed}, {totals.not_opened}',
        ),
    ]

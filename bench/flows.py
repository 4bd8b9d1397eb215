"""Flows broken by three successive changes, compared with baselines.

Backends drain and are retired, nodes are replaced and backends are added.
Each change reaches the nodes one by one. After every step some flows are
opened, and every open flow sends a packet through a random node. A flow is
broken if it is reset, if its payload reaches another backend, or if its
packets still get no reply once all nodes know the change.
"""

from dataclasses import dataclass

import msgspec

from apricottally import packet
from apricottally.events import Record
from apricottally.members import MemberState
from apricottally.model import Backend, BackendState
from apricottally.packet import ACK, FIN, RST, SYN, Segment
from bench import fixtures
from bench.flowbaselines import HashBaseline, choose_modulo, choose_rendezvous
from bench.network import REQUEST_PAYLOAD, Caller, Flow, Network
from bench.rows import Row

COMMAND = 'python -m bench flows'
NODES = 8
REPLACED_NODES = (1, 2, 3, 4)
KILLED_NODE = 4
BACKENDS = 70
ADDED_BACKENDS = 20
DRAINED_BACKENDS = frozenset(range(10))
FLOWS_PER_STEP = 20
STEP_S = 0.2
# Longer than the 30 s after which nodes send the packets of an open flow by way
# of the node that tracks it for silence.
IDLE_S = 40.0
WARMUP_S = 20.0
# Flows that send a packet to a new node before it has any records.
EARLY_PACKETS = 20


@dataclass
class FlowTotals:
    """Counts of flows through apricottally nodes.

    `delayed` counts packets without a reply, which need a retransmission.
    """

    opened: int = 0
    not_opened: int = 0
    broken: int = 0
    delayed: int = 0


class FlowScenario:
    """Runs apricottally and the baselines through the same changes."""

    def __init__(self, seed: int) -> None:
        self.totals = FlowTotals()
        self.baselines = {
            'modulo hash': HashBaseline(seed, choose_modulo),
            'rendezvous hash': HashBaseline(seed, choose_rendezvous),
            'local table': HashBaseline(seed, choose_rendezvous, tables=True),
        }
        self._seed = seed
        self._network = Network(seed)
        self._flows: dict[Caller, Flow] = {}
        self._undelivered: set[Caller] = set()
        self._callers = 0
        self._version = 1
        self._backends = tuple(
            fixtures.build_backend(number) for number in range(BACKENDS)
        )
        self._records = fixtures.build_records(BACKENDS)
        for index in range(1, NODES + 1):
            self._start_node(index, self._records)
        for node in self._network.nodes.values():
            for index in range(1, NODES + 1):
                node.members.put(fixtures.build_member(index))

    def run(self) -> None:
        """Make all changes, each followed by idle time."""
        self._network.run_until(WARMUP_S)
        self._step()
        self._retire_backends()
        self._wait_idle()
        for index in REPLACED_NODES:
            self._replace_node(index)
        self._wait_idle()
        self._add_backends()
        self._wait_idle()

    def _retire_backends(self) -> None:
        self._roll_out(self._set_drained_state(BackendState.draining))
        self._wait_idle()
        self._close_drained_flows()
        self._roll_out(self._set_drained_state(BackendState.retired))
        self._count_undelivered()

    def _replace_node(self, index: int) -> None:
        """Shut down or kill a node and start a new one in its place."""
        network = self._network
        state = (
            MemberState.dead if index == KILLED_NODE else MemberState.leaving
        )
        network.entry_nodes.remove(index)
        if index == KILLED_NODE:
            network.remove_node(index)
        for baseline in self.baselines.values():
            baseline.remove_node(index)
        new_index = NODES + index
        self._start_node(new_index, ())
        for caller in list(self._flows)[:EARLY_PACKETS]:
            self._send(caller, entry_node=new_index)
        fixtures.apply_records(network.nodes[new_index], self._records)
        self._step()
        for node in list(network.nodes.values()):
            departed = msgspec.structs.replace(
                fixtures.build_member(index),
                state=state,
            )
            node.members.put(departed)
            node.members.put(fixtures.build_member(new_index))
            self._step()
        if index != KILLED_NODE:
            network.remove_node(index)
        self._count_undelivered()

    def _add_backends(self) -> None:
        added = (
            fixtures.build_backend(number)
            for number in range(BACKENDS, BACKENDS + ADDED_BACKENDS)
        )
        self._roll_out((*self._backends, *added))
        self._count_undelivered()

    def _start_node(self, index: int, records: tuple[Record, ...]) -> None:
        network = self._network
        members = tuple(fixtures.build_member(known) for known in network.nodes)
        node = fixtures.build_node(index, members, records, self._seed + index)
        network.add_node(index, node)
        self._update_baselines(index)

    def _roll_out(self, backends: tuple[Backend, ...]) -> None:
        """Publish the backends to one node after the other."""
        self._version += 1
        self._backends = backends
        record = fixtures.build_backends_record(
            fixtures.SERVICE, self._version, backends
        )
        self._records = (*self._records, record)
        for index, node in list(self._network.nodes.items()):
            fixtures.apply_records(node, (record,))
            self._update_baselines(index)
            self._step()

    def _set_drained_state(self, state: BackendState) -> tuple[Backend, ...]:
        return tuple(
            fixtures.build_backend(backend.number, state)
            if backend.number in DRAINED_BACKENDS
            else backend
            for backend in self._backends
        )

    def _update_baselines(self, index: int) -> None:
        numbers = tuple(
            backend.number
            for backend in self._backends
            if backend.state is BackendState.active
        )
        for baseline in self.baselines.values():
            baseline.set_backends(index, numbers)

    def _step(self) -> None:
        """Open flows, then send a packet of every open flow."""
        self._network.run_until(self._network.now + STEP_S)
        for _ in range(FLOWS_PER_STEP):
            self._callers += 1
            caller = fixtures.CALLER[0] + self._callers, 40_000
            self._open(caller)
            for baseline in self.baselines.values():
                baseline.open_flow(caller)
        for baseline in self.baselines.values():
            baseline.send_all()
        for caller in list(self._flows):
            self._send(caller)

    def _wait_idle(self) -> None:
        self._network.run_until(self._network.now + IDLE_S)
        self._count_undelivered()

    def _count_undelivered(self) -> None:
        """Send twice more; flows that still get no reply count as broken."""
        self._step()
        self._step()
        self.totals.broken += len(self._undelivered)
        for caller in self._undelivered:
            del self._flows[caller]
        self._undelivered.clear()

    def _open(self, caller: Caller) -> None:
        syn = fixtures.build_caller_packet(SYN, caller=caller)
        replies = self._network.send(syn).replies
        syn_acks = [reply for reply in replies if reply.flags & SYN]
        if not syn_acks:
            self.totals.not_opened += 1
            return
        number = syn_acks[0].ts_val & packet.NUMBER_MASK
        ip = fixtures.build_backend(number).ip
        self._flows[caller] = Flow(ip, syn_acks[0].ts_val)
        self.totals.opened += 1

    def _send(self, caller: Caller, entry_node: int | None = None) -> None:
        flow = self._flows[caller]
        flow.sent += 1
        request = fixtures.build_caller_packet(
            ACK,
            ts_val=flow.sent,
            ts_ecr=flow.ts_ecr,
            payload=REQUEST_PAYLOAD,
            caller=caller,
        )
        delivery = self._network.send(request, entry_node)
        if _is_broken(flow, delivery.serving_ips, delivery.replies):
            self.totals.broken += 1
            self._undelivered.discard(caller)
            del self._flows[caller]
        elif delivery.replies:
            flow.ts_ecr = delivery.replies[-1].ts_val
            self._undelivered.discard(caller)
        else:
            self.totals.delayed += 1
            self._undelivered.add(caller)

    def _close_drained_flows(self) -> None:
        drained = {
            fixtures.build_backend(number).ip for number in DRAINED_BACKENDS
        }
        for caller, flow in list(self._flows.items()):
            if flow.backend in drained:
                fin_packet = fixtures.build_caller_packet(
                    FIN | ACK,
                    ts_ecr=flow.ts_ecr,
                    caller=caller,
                )
                self._network.send(fin_packet)
                del self._flows[caller]
        for baseline in self.baselines.values():
            baseline.close_flows_to(DRAINED_BACKENDS)


def _is_broken(
    flow: Flow, serving_ips: list[str], replies: list[Segment]
) -> bool:
    is_misdelivered = any(ip != flow.backend for ip in serving_ips)
    return is_misdelivered or any(reply.flags & RST for reply in replies)


def measure(seed: int) -> list[Row]:
    """Count the flows broken by apricottally and by the baselines."""
    trial = FlowScenario(seed)
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

"""Packet path throughput on one core, and memory per open flow."""

import asyncio
import gc
import resource
import sys
import time
from collections.abc import Callable, Iterator
from functools import cache, partial
from pathlib import Path
from statistics import median

from apricottally import gue, packet
from apricottally.addresses import PACKET_PORT, Endpoint
from apricottally.effects import Effect
from apricottally.events import PacketReceived, Ticked
from apricottally.packet import ACK, FIN, SYN
from apricottally.reducer import reduce
from apricottally.state import NodeState
from bench import fixtures, loopback
from bench.rows import Row

COMMAND = 'python -m bench packets'
ROUNDS = 9
PACKETS_PER_ROUND = 8000
FLOWS_PER_ROUND = 1500
OPEN_FLOWS = 300_000
# Enough for the connections of all open flows, at 2,000 per backend.
MEMORY_BACKENDS = 256
# Time at which every backend is past its slow start, and the tick period.
WARMUP_S = 20.0
TICK_S = 0.1
# Flows opened between two ticks.
FLOWS_PER_TICK = 100
# Time after which the owner has discarded the state of a handshake.
SETTLE_S = 5.0
# Within a node's limit of 5,000 SYNs per second.
OPENED_PER_S = 4000
PAGE_BYTES = resource.getpagesize()
PAYLOAD = bytes(200)


def measure(seed: int) -> list[Row]:
    """Measure parsing, forwarding, new flows and memory per open flow."""
    return [
        *_measure_decision(seed),
        *_measure_loopback(seed),
        _measure_new_flows(seed),
        _measure_memory(seed),
    ]


def build_warm_node(seed: int, backends: int) -> NodeState:
    """Return a single node whose backends are past their slow start."""
    node = fixtures.build_node(1, (), fixtures.build_records(backends), seed)
    run_ticks(node, 0, WARMUP_S)
    return node


def run_ticks(node: NodeState, start: float, end: float) -> None:
    """Pass ticks from `start` to `end` to a node."""
    for step in range(int((end - start) / TICK_S)):
        reduce(node, Ticked(start + step * TICK_S, 0))


def _measure_decision(seed: int) -> list[Row]:
    node = build_warm_node(seed, loopback.BACKENDS)
    events = _build_data_events()
    parse_all = partial(_parse_all, events)
    reduce_all = partial(_reduce_all, node, events)
    rounds = [
        (_measure_cpu_s(parse_all), _measure_cpu_s(reduce_all))
        for _ in range(ROUNDS)
    ]
    parse_us = median(parsed for parsed, _ in rounds) / len(events) * 1e6
    rate = len(events) / median(reduced for _, reduced in rounds)
    ratio = median((reduced - parsed) / parsed for parsed, reduced in rounds)
    return [
        Row('reducer, data packets', COMMAND, seed, f'{rate:,.0f}/s a core'),
        Row(
            'decision and rewrite against parsing alone',
            COMMAND,
            seed,
            f'{ratio:.2f}',
            'at most 1.00',
            f'parse {parse_us:.2f} us',
        ),
    ]


def _build_data_events() -> list[PacketReceived]:
    """Return data packets of callers and of backends in turn."""
    events = []
    for number in range(loopback.BACKENDS):
        request = fixtures.build_caller_packet(number=number, payload=PAYLOAD)
        reply = fixtures.build_backend_packet(payload=PAYLOAD)
        source = (fixtures.build_backend(number).ip, PACKET_PORT)
        events += [
            PacketReceived(WARMUP_S, fixtures.FABRIC, gue.encode(request)),
            PacketReceived(WARMUP_S, source, gue.encode(reply)),
        ]
    return events * (PACKETS_PER_ROUND // len(events))


def _parse_all(events: list[PacketReceived]) -> None:
    for event in events:
        start, _handover = gue.decode(event.payload)
        packet.parse(event.payload, start)


def _reduce_all(node: NodeState, events: list[PacketReceived]) -> None:
    for event in events:
        reduce(node, event)


def _measure_loopback(seed: int) -> list[Row]:
    rounds = [asyncio.run(_run_loopback()) for _ in range(ROUNDS)]
    apricottally_rate = median(rates[0] for rates in rounds)
    endpoint_rate = median(rates[1] for rates in rounds)
    batch_rate = median(rates[2] for rates in rounds)
    endpoint_ratio = median(rates[0] / rates[1] for rates in rounds)
    batch_ratio = median(rates[0] / rates[2] for rates in rounds)
    name = 'loopback forwarding against'
    return [
        Row(
            f'{name} bare asyncio endpoint',
            COMMAND,
            seed,
            f'{endpoint_ratio:.2f} ({apricottally_rate:,.0f}/s)',
            'at least 1.00',
            f'{endpoint_rate:,.0f}/s',
        ),
        Row(
            f'{name} bare drained socket',
            COMMAND,
            seed,
            f'{batch_ratio:.2f}',
            'at least 0.35',
            f'{batch_rate:,.0f}/s',
        ),
    ]


async def _run_loopback() -> tuple[float, float, float]:
    apricottally_rate = await loopback.time_apricottally()
    endpoint_rate = await loopback.time_endpoint()
    return apricottally_rate, endpoint_rate, await loopback.time_batch_reader()


def list_callers(count: int) -> Iterator[tuple[int, int]]:
    """Yield the addresses and ports of `count` different callers."""
    for index in range(count):
        yield fixtures.CALLER[0] + index // 50_000, 10_000 + index % 50_000


class FlowDriver:
    """Opens, uses and closes flows with little CPU time of its own.

    It writes the caller's address and port into prepared packets and leaves
    their checksums as they are, because nodes do not verify them.
    """

    def __init__(self, node: NodeState) -> None:
        self._node = node
        self._syn = fixtures.build_caller_packet(SYN)
        self._syn_ack = fixtures.build_backend_packet(SYN | ACK)

    def open_flow(self, caller: tuple[int, int], now: float) -> int:
        """Open a flow with a handshake; return its backend's number."""
        dest, _ = fixtures.get_sent_packet(
            self._send_as_caller(self._syn, caller, now)
        )
        replies = self._send_as_backend(self._syn_ack, caller, dest, now)
        _, datagram = fixtures.get_sent_packet(replies)
        ts_val = int.from_bytes(datagram[48:52], 'big')
        number = ts_val & packet.NUMBER_MASK
        self._send_as_caller(_build_request(ACK, number), caller, now)
        return number

    def run_flow(self, caller: tuple[int, int], now: float) -> None:
        """Open a flow, send a request and its reply, and close the flow."""
        number = self.open_flow(caller, now)
        source = (fixtures.build_backend(number).ip, PACKET_PORT)
        for flags in (ACK, FIN | ACK):
            self._send_as_caller(_build_request(flags, number), caller, now)
            self._send_as_backend(_build_reply(flags), caller, source, now)

    def _send_as_caller(
        self,
        inner: bytes,
        caller: tuple[int, int],
        now: float,
    ) -> list[Effect]:
        ip, port = caller
        addressed = b''.join(
            (
                inner[:12],
                ip.to_bytes(4, 'big'),
                inner[16:20],
                port.to_bytes(2, 'big'),
                inner[22:],
            )
        )
        return fixtures.deliver_packet(self._node, addressed, now=now)

    def _send_as_backend(
        self,
        inner: bytes,
        caller: tuple[int, int],
        source: Endpoint,
        now: float,
    ) -> list[Effect]:
        ip, port = caller
        addressed = b''.join(
            (
                inner[:16],
                ip.to_bytes(4, 'big'),
                inner[20:22],
                port.to_bytes(2, 'big'),
                inner[24:],
            )
        )
        return fixtures.deliver_packet(self._node, addressed, source, now)


@cache
def _build_request(flags: int, number: int) -> bytes:
    return fixtures.build_caller_packet(flags, number, payload=PAYLOAD)


@cache
def _build_reply(flags: int) -> bytes:
    return fixtures.build_backend_packet(flags, payload=PAYLOAD)


def _measure_new_flows(seed: int) -> Row:
    node = build_warm_node(seed, loopback.BACKENDS)
    driver = FlowDriver(node)
    callers = list(list_callers(FLOWS_PER_ROUND * ROUNDS))
    elapsed = median(
        _measure_cpu_s(
            partial(_run_flows, driver, node, callers[first:], start)
        )
        for first, start in _list_rounds()
    )
    return Row(
        'flows opened, used and closed, seven packets each',
        COMMAND,
        seed,
        f'{FLOWS_PER_ROUND / elapsed:,.0f}/s a core',
        'at least 3,000/s',
    )


def _list_rounds() -> list[tuple[int, float]]:
    """Return the first caller and the start of each round."""
    spacing = FLOWS_PER_ROUND / OPENED_PER_S
    return [
        (index * FLOWS_PER_ROUND, WARMUP_S + index * spacing)
        for index in range(ROUNDS)
    ]


def _run_flows(
    driver: FlowDriver,
    node: NodeState,
    callers: list[tuple[int, int]],
    start: float,
) -> None:
    """Run flows at `OPENED_PER_S`, passing ticks to the node."""
    for index, caller in enumerate(callers[:FLOWS_PER_ROUND]):
        now = start + index / OPENED_PER_S
        if not index % FLOWS_PER_TICK:
            reduce(node, Ticked(now, 0))
        driver.run_flow(caller, now)


def _measure_memory(seed: int) -> Row:
    node = build_warm_node(seed, MEMORY_BACKENDS)
    driver = FlowDriver(node)
    now = _open_flows(driver, node, OPEN_FLOWS // 50, WARMUP_S)
    before = _read_memory()
    _open_flows(driver, node, OPEN_FLOWS, now)
    after = _read_memory()
    size = (after[0] - before[0]) / OPEN_FLOWS
    blocks = (after[1] - before[1]) / OPEN_FLOWS
    return Row(
        f'memory per open flow at {OPEN_FLOWS:,} flows that hold a connection',
        COMMAND,
        seed,
        f'{size:.1f} bytes resident, {blocks:.3f} allocated blocks',
        '0 bytes',
    )


def _open_flows(
    driver: FlowDriver,
    node: NodeState,
    count: int,
    start: float,
) -> float:
    """Open flows at `OPENED_PER_S`; return the time after `SETTLE_S`."""
    now = start
    for index, caller in enumerate(list_callers(count)):
        now = start + index / OPENED_PER_S
        if not index % 1000:
            reduce(node, Ticked(now, 0))
        driver.open_flow(caller, now)
    run_ticks(node, now, now + SETTLE_S)
    return now + SETTLE_S


def _read_memory() -> tuple[int, int]:
    """Return resident bytes and the blocks that Python has allocated."""
    gc.collect()
    pages = int(Path('/proc/self/statm').read_text().split()[1])
    return pages * PAGE_BYTES, sys.getallocatedblocks()


def _measure_cpu_s(action: Callable[[], None]) -> float:
    started = time.process_time()
    action()
    return time.process_time() - started

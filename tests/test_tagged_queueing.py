"""Tests of the queue of SYNs that wait until a backend has room."""

import itertools
import random
from collections import Counter

import pytest

from apricottally.effects import Exit
from apricottally.tagged import effects, events, packets, selection
from apricottally.tagged.queueing import admission, lane
from apricottally.tagged.queueing.lane import Lane
from apricottally.tagged.queueing.slidingcounts import SlidingCounts
from apricottally.tagged.queueing.waitingflow import WaitingFlow
from apricottally.tagged.records import (
    ConfigurationChange,
    Repetition,
    Target,
)
from tests.taggednode import (
    FEED_PORT,
    TICK_S,
    TaggedNode,
    build_backend,
    build_configuration,
    build_route,
    rev,
)

URGENT_PORT = 9000
FULL = 20


def build_node(busy=FULL, backends=1, **config) -> TaggedNode:
    node = TaggedNode(0, **({'max_wait_s': 1.2} | config))
    urgent = build_route(URGENT_PORT, Repetition.once, priority=0)
    records = [build_backend(index + 1) for index in range(backends)]
    node.load_records(10, records, build_configuration(1, (urgent,)))
    set_busy(node, busy)
    return node


def set_busy(node: TaggedNode, busy: int) -> None:
    """Set the requests in progress at all backends, as others report them."""
    for entry in node.state.catalog.entries():
        tag = entry.backend.tag
        own = node.state.occupancy.get_own_count(tag)
        node.state.occupancy.add_busy(tag, busy - own.busy)


def list_outcomes(found) -> list[type]:
    outcomes = (effects.Forward, effects.Reset)
    return [type(effect) for effect in found if isinstance(effect, outcomes)]


def send_syn(node: TaggedNode, number: int, copy=0, **fields) -> list[type]:
    return list_outcomes(
        node.send(number, packets.SYN, acknowledged=copy, **fields)
    )


def list_ports(node: TaggedNode, found) -> list[int]:
    """Return the client ports of the flows that were forwarded, in order."""
    return [
        int(effect.fields['flow'].split('>')[0].rpartition(':')[2])
        for effect in node.select_effects(effects.WriteLog, found)
        if effect.event == 'chosen'
    ]


def count_waiting(node: TaggedNode) -> int:
    return len(node.state.waiting.by_key)


def test_waiting_syn_is_forwarded() -> None:
    """Guards against a reset of a SYN that gets a backend 0.1 s later."""
    node = build_node()
    assert send_syn(node, 1) == []
    assert list_outcomes(node.run(0.1)) == []
    set_busy(node, 0)
    found = node.run(TICK_S)
    assert list_outcomes(found) == [effects.Forward]
    logs = node.select_effects(effects.WriteLog, found)
    assert logs[-1].fields['waited_ms'] >= 100
    assert not count_waiting(node)
    assert node.state.durations.queue_wait.sum_s >= 0.1


@pytest.mark.parametrize(
    ('copies', 'is_reset'),
    [
        ('012', True),
        ('0112', True),
        ('01', False),
        ('02', False),
        ('0', False),
        ('12', False),
        ('1', False),
        ('2', False),
    ],
)
def test_end_of_wait(copies, is_reset) -> None:
    """Guards against a reset of a flow that another node has opened.

    Each copy that this node lacks may have gone through another node.
    """
    node = build_node()
    found = []
    begin = node.now
    for copy in copies:
        delay_s = (0, 0.2, 0.6)[int(copy)]
        found += node.run(begin + delay_s - node.now)
        send_syn(node, 1, int(copy))
    found += node.run(1.4 - (node.now - begin))
    resets = node.select_effects(effects.Reset, found)
    assert [bool(reset.packet.acknowledged) for reset in resets] == (
        [True] if is_reset else []
    )
    moved = node.state.counters.total('dropped', 'waiting_moved')
    assert moved == (0 if is_reset else 1)


@pytest.mark.parametrize(
    ('age_s', 'copies', 'is_reset'),
    [
        (0, 1, True),
        (0.14, 1, True),
        (0.16, 1, False),
        (0.3, 3, True),
        (0.54, 3, True),
        (0.56, 3, False),
        (0.56, 7, True),
        (0.3, 2, False),
        (1.3, 6, False),
    ],
)
def test_reset_before_copy_is_due(age_s, copies, is_reset) -> None:
    """Guards against a reset that meets a copy on its way to another node."""
    packet = build_node().send(1, packets.SYN)
    route = build_route(FEED_PORT, Repetition.once)
    flow = WaitingFlow(packet, route, ((), ()), 1, 100, 100, 101, 102)
    flow.copies = copies
    assert flow.may_reset(100 + age_s) is is_reset
    flow.is_backlog = True
    assert not flow.may_reset(100 + age_s)


@pytest.mark.parametrize(('copy', 'is_reset'), [(0, 1), (1, 0), (2, 0), (9, 0)])
@pytest.mark.parametrize('case', ['no_backend', 'queue_full'])
def test_unknown_copy_is_not_refused(monkeypatch, case, copy, is_reset) -> None:
    """Guards against a reset by a node that did not get the first SYN.

    Without room, the first SYN is refused at once, and a copy is dropped.
    """
    monkeypatch.setattr(admission, 'MIN_WAITING_FLOWS', 0)
    node = build_node(backends=int(case == 'queue_full'))
    assert send_syn(node, 1, copy) == [effects.Reset] * is_reset
    assert node.state.counters.total('refused', case) == is_reset
    assert not count_waiting(node)


def test_copy_after_forwarding() -> None:
    """Guards against a suspicion when a copy follows the forwarded SYN.

    The SYN has waited for 0.19 s, so that its backend had no time to answer.
    """
    node = build_node(backends=2)
    send_syn(node, 1)
    node.run(0.19)
    set_busy(node, 0)
    assert len(node.select_effects(effects.Forward, node.run(TICK_S))) == 1
    assert send_syn(node, 1, 1) == []
    assert not node.state.suspicion.suspects
    node.run(0.4)
    assert send_syn(node, 1, 2) == [effects.Forward]


@pytest.mark.parametrize('ticks', range(115, 125))
def test_room_at_end_of_wait(ticks) -> None:
    """Guards against a reset of a flow that was forwarded in the same tick."""
    node = build_node()
    send_syn(node, 1)
    node.run(0.2)
    send_syn(node, 1, 1)
    node.run(0.4)
    send_syn(node, 1, 2)
    found = node.run(TICK_S * ticks - 0.6)
    set_busy(node, 0)
    found += node.run(0.05)
    outcomes = list_outcomes(found)
    assert outcomes[0] is (effects.Forward if ticks < 119 else effects.Reset)
    assert len(outcomes) == 1


@pytest.mark.parametrize('flags', [packets.ACK, packets.RST, packets.FIN])
def test_packet_of_flow_opened_elsewhere(flags) -> None:
    """Guards against a wait, and a reset, of a flow that is open or over."""
    node = build_node()
    for copy, delay_s in enumerate((0.2, 0.4, 0.1)):
        send_syn(node, 1, copy)
        node.run(delay_s)
    node.send(1, flags, tag=1, acknowledged=501, sequence=1)
    assert not count_waiting(node)
    assert effects.Reset not in list_outcomes(node.run(1))


def test_port_is_used_again() -> None:
    """Guards against an old wait that resets the client's new flow."""
    node = build_node()
    send_syn(node, 1, sequence=5)
    node.run(1)
    send_syn(node, 1, sequence=77)
    node.run(0.3)
    assert count_waiting(node) == 1
    set_busy(node, 0)
    node.run(TICK_S)
    assert node.state.flows.by_key[b'\0\0\0\1\x20\xfb'].initial_sequence == 77


class Clients:
    """Clients whose SYNs and copies mostly go to the same of three nodes.

    `opened` has when each flow was first forwarded, `resets` when resets
    arrived. Datagrams take up to 20 ms.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.sends: list[list] = [[], [], []]
        self.opened: dict[int, float] = {}
        self.resets: list[tuple[float, int]] = []
        for flow in range(300):
            home, start = rng.randrange(3), 100 + rng.random() * 3
            for copy, delay_s in enumerate((0, 0.2, 0.6)):
                index = home if rng.random() < 0.8 else rng.randrange(3)
                at = start + delay_s + rng.random() * 0.02
                self.sends[index].append((at, flow, copy))
        for sends in self.sends:
            sends.sort(reverse=True)

    def run_tick(self, index: int, node: TaggedNode) -> None:
        sends = self.sends[index]
        while sends and sends[-1][0] < node.now:
            _, flow, copy = sends.pop()
            self._receive(node, node.send(flow, packets.SYN, acknowledged=copy))
        self._receive(node, node.submit(events.Ticked(node.now)))

    def _receive(self, node: TaggedNode, found) -> None:
        for reset in node.select_effects(effects.Reset, found):
            at = node.now + self.rng.random() * 0.02
            self.resets.append((at, reset.packet.client_port))
        for flow in list_ports(node, found):
            at = self.opened.get(flow, node.now)
            self.opened[flow] = min(node.now, at)


@pytest.mark.parametrize('seed', range(12))
def test_no_reset_of_open_flow(seed) -> None:
    """Guards against resets of open flows when flows change their nodes.

    Some flows wait at two nodes. The nodes have room at random times and pause
    for up to 1 s.
    """
    rng = random.Random(seed)
    clients = Clients(rng)
    nodes = [build_node(name=f'n{index}') for index in range(3)]
    paused_until = [0] * 3
    for step, index in itertools.product(range(1, 600), range(3)):
        node = nodes[index]
        if rng.random() < 0.002:
            paused_until[index] = step + rng.randrange(100)
        if step >= paused_until[index]:
            node.now = 100 + step * TICK_S
            set_busy(node, rng.choice((5, *[FULL] * 9)))
            clients.run_tick(index, node)
    opened = clients.opened
    assert clients.resets
    assert opened
    assert [
        flow for at, flow in clients.resets if opened.get(flow, at) < at
    ] == []


def test_urgent_flow_is_first_in_flood() -> None:
    """Guards against urgent flows that wait behind a flood of others."""
    node = build_node(busy=0)
    for number in range(300):
        send_syn(node, number, client=number)
        if number % 10 == 0:
            send_syn(node, 1000 + number, port=URGENT_PORT, client=number)
    found = []
    for _ in range(40):
        set_busy(node, 5)
        found += list_ports(node, node.run(TICK_S))
    urgent = [port for port in found if port >= 1000]
    assert len(urgent) >= 16
    assert found[: len(urgent)] == urgent
    assert node.state.counters.total('refused', 'queue_full') > 200


def test_caller_with_many_flows() -> None:
    """Guards against callers with one flow that wait behind one's thousand."""
    node = build_node()
    for number in range(1000):
        send_syn(node, number, client=7)
        if number % 100 == 50:
            send_syn(node, 2000 + number, client=number)
    found = []
    for _ in range(20):
        set_busy(node, 5)
        found += list_ports(node, node.run(TICK_S))
    assert sum(port >= 2000 for port in found[:12]) >= 10


def test_order_of_lane() -> None:
    """Guards against an order that differs from the described one."""
    rng = random.Random(3)
    counts = SlidingCounts(5, 100)
    lane = Lane((('core',), ()), counts)
    flows = []
    node = build_node()
    for number in range(3000):
        now = number / 50
        changed = counts.expire(now)
        if rng.random() < 0.3:
            caller = rng.randrange(20)
            counts.record(caller, now)
            changed.add(caller)
        for caller in changed:
            lane.update(caller)
        if flows and rng.random() < 0.45:
            flow = flows.pop(rng.randrange(len(flows)))
            lane.remove(flow)
        send_syn(node, number, client=rng.randrange(20))
        packet = next(reversed(node.state.waiting.by_key.values())).packet
        priority = rng.randrange(3)
        route = build_route(1, Repetition.once, priority=priority)
        flow = WaitingFlow(packet, route, ((), ()), number, 0, 0, 0, 0)
        flow.is_late = rng.random() < 0.5
        flows.append(flow)
        lane.add(flow)
        assert lane.get_first() is min(flows, key=lane.rank)
        assert lane.size == len(flows)
        assert lane.get_last() is find_last(lane, counts, flows)


def find_last(lane: Lane, counts: SlidingCounts[int], flows):
    """Return the flow of the last class that leaves most to the others."""
    last_class = max(lane.rank(flow)[:2] for flow in flows)
    found = [flow for flow in flows if lane.rank(flow)[:2] == last_class]
    totals = Counter(flow.packet.client for flow in found)
    for caller in totals:
        totals[caller] += counts.count(caller)
    return max(found, key=lambda one: (totals[one.packet.client], one.number))


@pytest.mark.parametrize(
    ('rate', 'served'), [(0, 16), (10, 16), (50, 60), (100, 120)]
)
def test_flow_that_cannot_be_served(rate, served) -> None:
    """Guards against clients that wait for nothing behind a long queue."""
    node = build_node()
    for _ in range(rate):
        node.state.waiting.admitted.record((('core',), ()), node.now)
    outcomes = [send_syn(node, number, client=number) for number in range(130)]
    assert outcomes == [[]] * served + [[effects.Reset]] * (130 - served)
    send_syn(node, 500, port=URGENT_PORT)
    assert node.list_forwarded() == []
    resets = node.select_effects(effects.Reset)
    assert [reset.packet.client_port for reset in resets] == [served - 1]


def test_urgent_flows_before_it_leave_no_time() -> None:
    """Guards against a wait behind urgent flows that take all the time."""
    node = build_node()
    for number in range(16):
        assert send_syn(node, number, port=URGENT_PORT, client=number) == []
    assert send_syn(node, 99, client=99) == [effects.Reset]


def test_new_syn_does_not_overtake() -> None:
    """Guards against a new SYN that takes the room of a waiting one."""
    node = build_node()
    send_syn(node, 1)
    set_busy(node, 5)
    assert send_syn(node, 2) == []
    assert list_ports(node, node.run(2 * TICK_S)) == [1]


@pytest.mark.parametrize('urgent_first', [True, False])
def test_order_over_routes_with_common_service(urgent_first) -> None:
    """Guards against a less urgent flow of a split route that goes first."""
    node = build_node()
    both = (Target('core', 1), Target('other', 1))
    split = build_route(9001, Repetition.once, priority=2, targets=both)
    urgent = build_route(URGENT_PORT, Repetition.once, priority=0)
    change = ConfigurationChange(
        rev(20), build_configuration(2, (urgent, split))
    )
    node.apply_changes(20, change)
    for number in (0, 1):
        port = URGENT_PORT if (number == 0) is urgent_first else 9001
        send_syn(node, number, port=port)
    assert len(node.state.waiting.lanes) == 2
    set_busy(node, 2)
    assert list_ports(node, node.run(TICK_S)) == [0 if urgent_first else 1]
    assert count_waiting(node) == 1


def test_end_of_request_admits_next() -> None:
    """Guards against a slot that stays free until the next tick."""
    node = build_node(busy=0)
    tag = node.open_flow(1)
    node.send_request(1, tag)
    set_busy(node, 6)
    send_syn(node, 2)
    node.run(0.05)
    node.send(1, packets.ACK, sequence=1101, acknowledged=900, tag=tag)
    assert list_ports(node, node.effects) == [2]
    mean_s = node.state.waiting.run_times.get_mean_s(f'route-{FEED_PORT}')
    assert mean_s == pytest.approx(0.05)


def test_late_flow_is_after_others() -> None:
    """Guards against a room for a flow that will miss its latency target.

    The newer flow can still meet the target of 150 ms.
    """
    node = build_node()
    send_syn(node, 1, client=1)
    node.run(0.2)
    send_syn(node, 2, client=2)
    set_busy(node, 5)
    assert list_ports(node, node.run(TICK_S)) == [2]


@pytest.mark.parametrize(
    ('overload_s', 'outcome'),
    [(0.2, effects.Forward), (1.0, effects.Reset)],
)
def test_late_flow_in_overload(overload_s, outcome) -> None:
    """Guards against waits that make all of a client's tries late.

    In an overload that lasts, newer flows take each place, and a client that is
    refused at once can still be served in time by another try. After a short
    one, the late flow is served.
    """
    node = build_node()
    found = []
    for number in range(round(overload_s / TICK_S)):
        send_syn(node, number, client=number)
        found = node.run(TICK_S)
    send_syn(node, 9999, client=9999)
    found += node.run(0.1)
    assert (effects.Reset in list_outcomes(found)) is (overload_s >= 1)
    set_busy(node, -FULL)
    found += node.run(TICK_S)
    ends = [
        effect
        for effect in found
        if isinstance(effect, effects.WriteLog)
        and ':9999>' in str(effect.fields.get('flow'))
    ]
    kinds = {'chosen': effects.Forward, 'refused': effects.Reset}
    assert kinds[ends[-1].event] is outcome


def test_waiting_does_not_count_as_demand() -> None:
    """Guards against attempts in each tick that make a rare class active."""
    node = build_node()
    send_syn(node, 1, port=URGENT_PORT)
    node.run(0.5)
    assert node.state.demand.count_recent('core').total() == 1


@pytest.mark.parametrize(('at_s', 'grace_s'), [(0, 6), (1, 6), (1, 1)])
def test_stop_empties_queue(at_s, grace_s) -> None:
    """Guards against SYNs that a stopping node takes with it.

    Some SYNs arrive before the node stops being ready, others after it.
    """
    node = build_node(leave_s=min(1.4, grace_s / 2), grace_s=grace_s)
    send_syn(node, 1)
    node.run(at_s)
    node.submit(events.ShutdownRequested(node.now))
    found = []
    for number in range(2, 300):
        found += node.run(TICK_S)
        if any(isinstance(effect, Exit) for effect in found):
            break
        send_syn(node, number, client=number)
        found += node.effects
    assert number < 299
    # One more SYN may have arrived since the last tick.
    assert not count_waiting(node)


@pytest.mark.parametrize(('pause_s', 'left'), [(0.3, 1), (0.7, 0)])
def test_pause_of_process(pause_s, left) -> None:
    """Guards against resets after a pause, in which clients have moved.

    Without a pause, the end of this wait would reset the flow.
    """
    node = build_node()
    for copy, delay_s in enumerate((0.2, 0.4, 0)):
        send_syn(node, 1, copy)
        node.run(delay_s)
    node.now += pause_s
    assert list_outcomes(node.submit(events.Ticked(node.now))) == []
    assert count_waiting(node) == left


def test_syn_that_was_unread_during_pause(monkeypatch) -> None:
    """Guards against a reset of a SYN that is older than it looks."""
    monkeypatch.setattr(admission, 'MIN_WAITING_FLOWS', 0)
    node = build_node()
    node.now += 0.3
    assert send_syn(node, 1) == []
    node.submit(events.Ticked(node.now))
    assert send_syn(node, 2) == []
    node.run(admission.BACKLOG_DURATION_S + TICK_S)
    assert send_syn(node, 3) == [effects.Reset]


@pytest.mark.parametrize(('unread_s', 'is_reset'), [(0, True), (0.14, False)])
def test_syn_that_was_unread_for_a_while(
    monkeypatch, unread_s, is_reset
) -> None:
    """Guards against a reset of an old SYN after a pause too short to count.

    An urgent flow takes its place while the client's copy may be on its way.
    """
    monkeypatch.setattr(admission, 'MIN_WAITING_FLOWS', 1)
    node = build_node()
    node.now += unread_s
    send_syn(node, 1)
    node.run(0.03)
    found = send_syn(node, 2, port=URGENT_PORT)
    assert found == [effects.Reset] * is_reset
    assert count_waiting(node) == 1


def test_flood_uses_bounded_memory(monkeypatch) -> None:
    """Guards against memory that grows with a flood of SYNs.

    Each of 6,000 flows has another caller and replaces a less urgent one.
    """
    monkeypatch.setattr(admission, 'MAX_WAITING_FLOWS', 400)
    monkeypatch.setattr(admission, 'MIN_WAITING_FLOWS', 10_000)
    # No flow leaves the queue for being late, so that it stays full.
    monkeypatch.setattr(lane, 'OVERLOAD_S', 60)
    node = build_node()
    queue = node.state.waiting
    queue.callers = SlidingCounts(5, 500)
    for number in range(6000):
        port = URGENT_PORT if number > 3000 else FEED_PORT
        send_syn(node, number, client=number, port=port)
        if number % 50 == 0:
            set_busy(node, 0)
            node.run(TICK_S)
            set_busy(node, FULL)
    assert count_waiting(node) == 400
    assert len(queue.callers) <= 550
    assert len(queue._timers) <= 2 * 400 + 65
    for order in queue.lanes[('core',), ()]._orders.values():
        assert len(order._first) + len(order._last) <= 4 * 400 + 130


def test_tick_does_not_try_the_whole_queue(monkeypatch) -> None:
    """Guards against a tick whose cost grows with the number of waiting SYNs.

    Once a flow has no room, no other flow of these services is tried.
    """
    monkeypatch.setattr(admission, 'MIN_WAITING_FLOWS', 10_000)
    tried = []
    select = selection.select_backend
    monkeypatch.setattr(
        selection,
        'select_backend',
        lambda *args, **options: tried.append(1) or select(*args, **options),
    )
    node = build_node()
    for number in range(2000):
        send_syn(node, number, client=number)
    assert (len(tried), count_waiting(node)) == (1, 2000)
    node.run(TICK_S)
    assert len(tried) == 2
    set_busy(node, 3)
    node.run(TICK_S)
    assert (len(tried), count_waiting(node)) == (6, 1997)

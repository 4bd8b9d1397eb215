"""New flows get a backend, open ones keep theirs, the rest is refused."""

import pytest

from apricottally.tagged import demand, effects, events, packets
from apricottally.tagged.records import (
    BackendChange,
    ConfigurationChange,
    Repetition,
)
from tests.taggednode import (
    FEED_PORT,
    ORDER_PORT,
    TaggedNode,
    build_backend,
    build_configuration,
    build_route,
)

URGENT_PORT = 9000


def test_least_busy_backend() -> None:
    """Guards against a backend that gets work while another one is idle."""
    node = TaggedNode(3)
    tags = {node.open_flow(port) for port in (1, 2, 3)}
    assert tags == {1, 2, 3}


def test_tag_is_written_into_first_packet_only() -> None:
    """Guards against a changed tag in packets of an open flow."""
    node = TaggedNode(1)
    node.send(1, packets.SYN, sequence=5)
    assert node.forwarded()[0].tag == 1
    node.send(1, packets.ACK, sequence=6, acknowledged=9, tag=1)
    assert node.forwarded()[0].tag is None


def test_open_flow_without_state() -> None:
    """Guards against flows that break when another node gets their packets."""
    node = TaggedNode(3)
    node.send(7, packets.ACK, sequence=50, acknowledged=9, length=5, tag=2)
    assert node.forwarded()[0].backend.tag == 2
    assert node.state.occupancy.busy(2) == 1


def test_late_syn_ack_does_not_move_flow() -> None:
    """Guards against a flow that follows the tag of a second SYN-ACK."""
    node = TaggedNode(3)
    tag = node.open_flow(1)
    node.request(1, tag % 3 + 1)
    assert node.forwarded()[0].backend.tag == tag


def test_copy_of_first_packet() -> None:
    """Guards against a client whose copies all go to a unreachable backend."""
    node = TaggedNode(3)
    node.send(1, packets.SYN, sequence=5)
    first = node.forwarded()[0].backend.tag
    node.now += 0.02
    node.send(1, packets.SYN, sequence=5, acknowledged=1)
    assert node.forwarded()[0].backend.tag != first


def test_late_copy_of_open_flow() -> None:
    """Guards against a second backend for a flow that is open."""
    node = TaggedNode(3)
    node.open_flow(1, sequence=5)
    assert node.send(1, packets.SYN, sequence=5) == []


def test_unanswered_first_packet_goes_on_by_itself() -> None:
    """Guards against a client that waits 200 ms for its own copy."""
    node = TaggedNode(3)
    node.send(1, packets.SYN, sequence=5)
    first = node.forwarded()[0].backend.tag
    found = node.run(0.15)
    tried = [effect.backend.tag for effect in node.pick(effects.Forward, found)]
    assert tried
    assert first not in tried[:1]
    assert node.state.counters.total('retried', 'no_answer') >= 1


def test_one_miss_avoids_backend() -> None:
    """Guards against new flows at a backend that has just been silent."""
    node = TaggedNode(3)
    node.send(1, packets.SYN, sequence=5)
    silent = node.forwarded()[0].backend.tag
    node.run(0.1)
    tags = set()
    for port in range(10, 16):
        node.send(port, packets.SYN, sequence=5)
        tags.add(node.forwarded()[0].backend.tag)
    assert silent not in tags


def test_no_route() -> None:
    """Guards against silence for an address that is not in use."""
    node = TaggedNode(3)
    node.send(1, packets.SYN, port=9)
    assert node.pick(effects.Reset)


def test_no_route_with_old_records() -> None:
    """Guards against a refusal of a route that this node has not heard of."""
    node = TaggedNode(3)
    node.now += 5
    assert node.send(1, packets.SYN, port=9) == []


def test_dropped_route_ends_flow() -> None:
    """Guards against flows that go on after their route was removed."""
    node = TaggedNode(3)
    tag = node.open_flow(1)
    configuration = build_configuration(2)
    kept = tuple(
        route for route in configuration.routes if route.port != FEED_PORT
    )
    node.change(
        20, ConfigurationChange(20, type(configuration)(2, kept, 15_000))
    )
    node.request(1, tag)
    assert node.pick(effects.Reset)


def test_configuration_never_goes_back() -> None:
    """Guards against an older version that arrives with a newer revision."""
    node = TaggedNode(3)
    node.change(20, ConfigurationChange(20, build_configuration(5)))
    node.change(21, ConfigurationChange(21, build_configuration(4)))
    assert node.state.configuration_version == 5


def test_draining_backend_gets_no_new_flow() -> None:
    """Guards against new work at a backend that is leaving."""
    node = TaggedNode(2)
    tag = node.open_flow(1)
    draining = build_backend(tag, draining=True)
    node.change(20, BackendChange(draining.name, 20, draining))
    for port in range(10, 14):
        node.send(port, packets.SYN)
        assert node.forwarded()[0].backend.tag != tag
    node.request(1, tag)
    assert node.forwarded()[0].backend.tag == tag


@pytest.mark.parametrize(
    ('since_outage_s', 'usable'),
    [(1, True), (100, False)],
)
def test_lapsed_registration(since_outage_s, usable) -> None:
    """Guards against an empty service right after an outage of the store.

    Registrations lapse during an outage though their backends live; without
    an outage a removal is the truth.
    """
    node = TaggedNode(1)
    node.state.freshness.last_outage_at = node.now - since_outage_s
    node.change(20, BackendChange('i-00000001', 20, None))
    node.send(1, packets.SYN)
    assert bool(node.forwarded()) is usable
    node.run(2.5)
    node.confirm()
    node.send(2, packets.SYN)
    assert not node.forwarded()
    assert node.pick(effects.Reset)


def test_reused_address_ends_grace() -> None:
    """Guards against new flows to an address that another service has."""
    node = TaggedNode(1)
    node.state.freshness.last_outage_at = node.now
    node.change(20, BackendChange('i-00000001', 20, None))
    other = build_backend(9, service='other', port=8001)
    node.change(21, BackendChange(other.name, 21, other))
    node.send(1, packets.SYN)
    assert not node.forwarded()


def test_flow_of_removed_backend() -> None:
    """Guards against a client that waits for a backend that has left."""
    node = TaggedNode(2)
    tag = node.open_flow(1)
    node.change(20, BackendChange(f'i-{tag:08x}', 20, None))
    node.request(1, tag)
    assert node.forwarded()
    node.run(2.6)
    node.confirm()
    node.request(1, tag, sequence=1101)
    assert node.pick(effects.Reset)


def test_unreadable_record_keeps_flows() -> None:
    """Guards against resets at a live backend whose record was overwritten."""
    node = TaggedNode(2)
    tag = node.open_flow(1)
    name = f'i-{tag:08x}'
    node.change(20, BackendChange(name, 20, None, readable=False))
    node.run(3)
    node.confirm()
    node.request(1, tag)
    assert node.forwarded()
    node.send(2, packets.SYN)
    assert node.forwarded()[0].backend.tag != tag


def test_restart_under_same_name() -> None:
    """Guards against suspicion in a backend that has started anew."""
    node = TaggedNode(1)
    suspicion = node.state.suspicion
    suspicion.note_unreachable(1, node.now, node.now)
    reborn = build_backend(1, born_ms=9)
    node.change(20, BackendChange(reborn.name, 20, reborn))
    assert not suspicion.is_suspect(1, 'a', node.now)


@pytest.mark.parametrize('uptime_s', [0.5, 3])
def test_unknown_tag(uptime_s) -> None:
    """Guards against a reset by a node that cannot know the backend yet."""
    node = TaggedNode(1)
    for _ in range(int(uptime_s / 0.5)):
        node.run(0.5)
        node.confirm()
    node.send(1, packets.ACK, tag=77, length=3)
    assert bool(node.pick(effects.Reset)) is (uptime_s > 2.5)


def test_colliding_tags() -> None:
    """Guards against two backends that answer to one tag."""
    node = TaggedNode(1)
    twin = build_backend(500, tag=1)
    node.change(20, BackendChange(twin.name, 20, twin))
    for port in range(4):
        node.send(port, packets.SYN)
        assert node.forwarded()[0].backend.number == 1


def test_full_service_is_refused_at_once() -> None:
    """Guards against a wait for backends that would all shed the flow."""
    node = TaggedNode(1)
    answers = []
    for port in range(12):
        tag = node.open_flow(port) if port < 10 else 1
        if port < 10:
            node.request(port, tag)
        else:
            node.send(port, packets.SYN)
            answers.append(bool(node.pick(effects.Reset)))
    assert answers == [True, True]
    assert node.state.counters.total('refused', 'full') == 2


def test_burst_of_one_class_is_queued() -> None:
    """Guards against refusals of a burst that the queues can take.

    Pattern: 40 short requests at once at 4 backends of 2 slots (the fault soak,
    seed 1 on a busy machine: 5 refused).
    """
    node = TaggedNode(4)
    for port in range(40):
        node.send(port, packets.SYN)
        assert not node.pick(effects.Reset)


@pytest.mark.parametrize(
    ('busy', 'port', 'admitted'),
    [
        (2, URGENT_PORT, True),
        (2, ORDER_PORT, True),
        (3, ORDER_PORT, False),
        (3, URGENT_PORT, True),
        (13, URGENT_PORT, True),
        (14, URGENT_PORT, False),
    ],
)
def test_queue_is_left_to_urgent_flows(busy, port, admitted) -> None:
    """Guards against urgent work that a flood of other work crowds out.

    Pattern: all classes of a service come at one and a half times what its
    backends can do; requests on open flows cannot be refused and fill them.
    """
    node = TaggedNode(0)
    urgent = build_route(URGENT_PORT, Repetition.once, priority=0)
    node.list_records(10, [build_backend(1)], build_configuration(1, (urgent,)))
    for number, other in enumerate((URGENT_PORT, ORDER_PORT)):
        node.send(number, packets.SYN, port=other)
    node.state.occupancy.own[1].busy = busy
    node.send(100, packets.SYN, port=port)
    assert bool(node.forwarded()) is admitted
    assert bool(node.pick(effects.Reset)) is not admitted


def test_unused_route_defers_nobody() -> None:
    """Guards against flows that leave a queue to a class without traffic."""
    node = TaggedNode(0)
    urgent = build_route(URGENT_PORT, Repetition.once, priority=0)
    node.list_records(10, [build_backend(1)], build_configuration(1, (urgent,)))
    for port in range(40):
        node.send(port, packets.SYN, port=ORDER_PORT)
        node.state.occupancy.own[1].busy = 0
    node.send(100, packets.SYN, port=URGENT_PORT)
    node.state.occupancy.own[1].busy = 9
    node.send(101, packets.SYN, port=ORDER_PORT)
    assert node.forwarded()


@pytest.mark.parametrize(
    ('after_s', 'priorities'), [(1, [0, 2]), (7, [0, 2]), (20, [2])]
)
def test_class_is_known_by_its_traffic(after_s, priorities) -> None:
    """Guards against a class that defers others long after its last work."""
    held = demand.Demand()
    for step in range(100):
        held.note('core', 2 * (step % 2), now=step / 100)
    held.note('core', 2, now=after_s)
    assert held.list_priorities('core') == priorities


def test_reset_is_not_answered() -> None:
    """Guards against resets that two ends send each other."""
    node = TaggedNode(1)
    assert node.send(1, packets.RST, port=9) == []


@pytest.mark.parametrize('port', [FEED_PORT, ORDER_PORT])
def test_probe_decides_on_open_flows(port) -> None:
    """Guards against resets of flows whose request may have run.

    A client whose request may be repeated is told at once; one whose request
    may run once only keeps its flow.
    """
    node = TaggedNode(2)
    node.state.suspicion.note_proof(2, node.now)
    tag = node.open_flow(1, port=port)
    node.request(1, tag, port=port)
    probes = node.pick(effects.ProbeBackend, node.run(0.2))
    assert [probe.backend.tag for probe in probes] == [tag]
    node.submit(events.ProbeEnded(node.now, node.now - 0.1, tag, reached=False))
    assert bool(node.pick(effects.Reset)) is (port == FEED_PORT)


def test_overloaded_backend_keeps_flows() -> None:
    """Guards against resets of flows at a backend that is only slow.

    Pattern: three requests queue for more than 200 ms, so that their clients
    send their data again.
    """
    node = TaggedNode(1)
    other = build_backend(2, service='other')
    node.change(20, BackendChange(other.name, 20, other))
    node.state.suspicion.note_proof(2, node.now)
    for port in (1, 2, 3):
        node.open_flow(port)
        node.request(port, 1)
    found = node.run(0.2)
    assert len(node.pick(effects.ProbeBackend, found)) == 1
    node.submit(events.ProbeEnded(node.now, node.now - 0.1, 1, reached=True))
    for port in (1, 2, 3):
        node.request(port, 1)
        assert not node.pick(effects.Reset)
        assert node.forwarded()


def test_slow_node_ends_no_flow() -> None:
    """Guards against resets of flows by a node whose own link is full.

    Pattern: a configuration of 1,700 routes keeps the link and the processor
    of a small machine busy; connections to any backend time out.
    """
    node = TaggedNode(2)
    node.state.suspicion.note_proof(2, node.now)
    tag = node.open_flow(1)
    node.request(1, tag)
    probes = node.pick(effects.ProbeBackend, node.run(0.2))
    assert probes[0].reference.tag != tag
    node.submit(
        events.ProbeEnded(
            node.now, node.now - 0.1, tag, reached=False, conclusive=False
        )
    )
    assert not node.pick(effects.Reset)
    assert not node.state.suspicion.is_unreachable(tag, node.now)


def test_no_probe_without_reference() -> None:
    """Guards against a verdict that rests on this node's word alone."""
    node = TaggedNode(1)
    node.open_flow(1)
    node.request(1, 1)
    assert not node.pick(effects.ProbeBackend, node.run(0.2))


def test_split_route_draws_by_weight() -> None:
    """Guards against a weight of zero that still gets flows."""
    node = TaggedNode(0)
    configuration = build_configuration()
    route = configuration.routes[0]
    target = type(route.targets[0])
    split = type(route)(
        route.name,
        route.address,
        route.port,
        (target('core', 3), target('other', 0)),
        route.repetition,
        1,
        1500,
        150,
    )
    backends = [build_backend(1), build_backend(2, service='other')]
    node.list_records(10, backends, type(configuration)(1, (split,), 15_000))
    for port in range(20):
        node.send(port, packets.SYN)
        assert not node.forwarded() or node.forwarded()[0].backend.tag == 1

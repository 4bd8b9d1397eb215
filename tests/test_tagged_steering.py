"""Tests of the handling of client packets: forwarding, retries and refusals."""

import pytest

from apricottally.tagged import (
    catalog,
    demand,
    effects,
    events,
    packets,
    probing,
)
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
    rev,
)

URGENT_PORT = 9000


def test_least_busy_backend() -> None:
    """A busy backend must not get a flow while another one is idle."""
    node = TaggedNode(3)
    tags = {node.open_flow(port) for port in (1, 2, 3)}
    assert tags == {1, 2, 3}


def test_tag_is_written_into_first_packet_only() -> None:
    """The tag in packets of an established flow must not be changed."""
    node = TaggedNode(1)
    node.send(1, packets.SYN, sequence=5)
    assert node.list_forwarded()[0].tag == 1
    node.send(1, packets.ACK, sequence=6, acknowledged=9, tag=1)
    assert node.list_forwarded()[0].tag is None


def test_open_flow_without_state() -> None:
    """Flows must continue when another node receives their packets."""
    node = TaggedNode(3)
    node.send(7, packets.ACK, sequence=50, acknowledged=9, length=5, tag=2)
    assert node.list_forwarded()[0].backend.tag == 2
    assert node.state.occupancy.count_busy(2) == 1


def test_late_syn_ack_does_not_move_flow() -> None:
    """A flow must not move to another backend after a second SYN-ACK.

    If a SYN went to two backends, the later SYN-ACK changes the client's tag.
    """
    node = TaggedNode(3)
    tag = node.open_flow(1)
    node.send_request(1, tag % 3 + 1)
    assert node.list_forwarded()[0].backend.tag == tag


def test_late_syn_ack_does_not_change_the_tag() -> None:
    """Guards against a flow that carries the tag of another backend for good.

    Its own backend repeats the last tag that it was sent, and after a restart
    the next node sends its packets where that tag says.
    """
    node = TaggedNode(3)
    tag = node.open_flow(1)
    node.send_request(1, tag % 3 + 1)
    assert node.list_forwarded()[0].tag == tag
    node.send_request(1, tag, sequence=1101)
    assert node.list_forwarded()[0].tag is None


def test_retransmitted_syn_goes_elsewhere() -> None:
    """Retransmitted SYNs must not all go to the same unreachable backend."""
    node = TaggedNode(3)
    node.send(1, packets.SYN, sequence=5)
    first = node.list_forwarded()[0].backend.tag
    node.now += 0.02
    node.send(1, packets.SYN, sequence=5, acknowledged=1)
    assert node.list_forwarded()[0].backend.tag != first


def test_late_syn_of_established_flow() -> None:
    """A late copy of the SYN must not reach a second backend."""
    node = TaggedNode(3)
    node.open_flow(1, sequence=5)
    assert node.send(1, packets.SYN, sequence=5) == []


def test_unanswered_syn_is_retried() -> None:
    """A lost SYN must be retried before the client retransmits at 200 ms."""
    node = TaggedNode(3)
    node.send(1, packets.SYN, sequence=5)
    first = node.list_forwarded()[0].backend.tag
    found = node.run(0.15)
    tried = [
        effect.backend.tag
        for effect in node.select_effects(effects.Forward, found)
    ]
    assert tried
    assert first not in tried[:1]
    assert node.state.counters.total('retried', 'no_answer') >= 1


def test_one_miss_avoids_backend() -> None:
    """New flows must avoid a backend that has just left a SYN unanswered."""
    node = TaggedNode(3)
    node.send(1, packets.SYN, sequence=5)
    silent = node.list_forwarded()[0].backend.tag
    node.run(0.1)
    tags = set()
    for port in range(10, 16):
        node.send(port, packets.SYN, sequence=5)
        tags.add(node.list_forwarded()[0].backend.tag)
    assert silent not in tags


def test_no_route() -> None:
    """A SYN to a port without a route must be reset, not ignored."""
    node = TaggedNode(3)
    node.send(1, packets.SYN, port=9)
    assert node.select_effects(effects.Reset)


def test_no_route_with_old_records() -> None:
    """With stale records, a SYN to an unknown route must not be refused.

    The route may have been added since.
    """
    node = TaggedNode(3)
    node.now += 5
    assert node.send(1, packets.SYN, port=9) == []


def test_dropped_route_ends_flow() -> None:
    """A flow must be reset when its route has been removed."""
    node = TaggedNode(3)
    tag = node.open_flow(1)
    configuration = build_configuration(2)
    kept = tuple(
        route for route in configuration.routes if route.port != FEED_PORT
    )
    node.apply_changes(
        20, ConfigurationChange(rev(20), type(configuration)(2, kept, 15_000))
    )
    node.send_request(1, tag)
    assert node.select_effects(effects.Reset)


def test_configuration_never_goes_back() -> None:
    """An older version with a newer revision must not come into force."""
    node = TaggedNode(3)
    node.apply_changes(20, ConfigurationChange(rev(20), build_configuration(5)))
    node.apply_changes(21, ConfigurationChange(rev(21), build_configuration(4)))
    assert node.state.configuration_version == 5


def test_draining_backend_gets_no_new_flow() -> None:
    """A draining backend must get no new flows, but keep its open ones."""
    node = TaggedNode(2)
    tag = node.open_flow(1)
    draining = build_backend(tag, draining=True)
    node.apply_changes(20, BackendChange(draining.name, rev(20), draining))
    for port in range(10, 14):
        node.send(port, packets.SYN)
        assert node.list_forwarded()[0].backend.tag != tag
    node.send_request(1, tag)
    assert node.list_forwarded()[0].backend.tag == tag


@pytest.mark.parametrize(
    ('since_outage_s', 'usable'),
    [(1, True), (100, False)],
)
def test_lapsed_registration(since_outage_s, usable) -> None:
    """A service must not lose its backends right after a store outage.

    During an outage, registrations of running backends expire. Without an
    outage, a removed registration means that the backend has gone.
    """
    node = TaggedNode(1)
    node.state.freshness.last_outage_at = node.now - since_outage_s
    node.apply_changes(20, BackendChange('i-00000001', rev(20), None))
    node.send(1, packets.SYN)
    assert bool(node.list_forwarded()) is usable
    node.run(2.5)
    node.confirm()
    node.send(2, packets.SYN)
    assert not node.list_forwarded()
    assert node.select_effects(effects.Reset)


def test_reused_address_ends_grace() -> None:
    """An address that another service reuses must get no new flows.

    The removed backend would otherwise stay usable for a grace period.
    """
    node = TaggedNode(1)
    node.state.freshness.last_outage_at = node.now
    node.apply_changes(20, BackendChange('i-00000001', rev(20), None))
    other = build_backend(9, service='other', port=8001)
    node.apply_changes(21, BackendChange(other.name, rev(21), other))
    node.send(1, packets.SYN)
    assert not node.list_forwarded()


@pytest.mark.parametrize('is_draining', [True, False])
def test_flow_of_removed_backend(is_draining) -> None:
    """A client must not wait for a backend that has been removed for long.

    A backend that had drained has left. Any other one is probed first, as its
    registration may only be missing.
    """
    node = TaggedNode(2)
    tag = node.open_flow(1)
    node.state.suspicion.record_response(3 - tag, node.now)
    known = build_backend(tag, draining=is_draining)
    node.apply_changes(15, BackendChange(known.name, rev(15), known))
    node.apply_changes(20, BackendChange(known.name, rev(20), None))
    node.send_request(1, tag)
    assert node.list_forwarded()
    node.run(2.6)
    node.confirm()
    node.send_request(1, tag, sequence=1101)
    if not is_draining:
        assert node.select_effects(effects.ProbeBackend)
        node.submit(events.ProbeEnded(node.now, node.now, tag, reached=False))
        assert node.select_effects(effects.Reset)
        node.send_request(1, tag, sequence=1201)
    assert node.select_effects(effects.Reset)


def test_unreadable_record_keeps_flows() -> None:
    """Flows must survive if a running backend's record becomes unreadable."""
    node = TaggedNode(2)
    tag = node.open_flow(1)
    name = f'i-{tag:08x}'
    node.apply_changes(20, BackendChange(name, rev(20), None, readable=False))
    node.run(3)
    node.confirm()
    node.send_request(1, tag)
    assert node.list_forwarded()
    node.send(2, packets.SYN)
    assert node.list_forwarded()[0].backend.tag != tag


def test_restart_under_same_name() -> None:
    """A backend that has been restarted must not be suspect."""
    node = TaggedNode(1)
    suspicion = node.state.suspicion
    suspicion.record_failed_probe(1, node.now, node.now)
    restarted = build_backend(1, born_ms=9)
    node.apply_changes(20, BackendChange(restarted.name, rev(20), restarted))
    assert not suspicion.is_suspect(1, 'a', node.now)


@pytest.mark.parametrize('uptime_s', [0.5, 3, 59, 61])
def test_unknown_tag(uptime_s) -> None:
    """A node that has just started must not reset flows of unknown backends.

    It may not have received their records yet, or their registrations may be
    missing since before its start.
    """
    node = TaggedNode(1)
    for _ in range(int(uptime_s / 0.5)):
        node.run(0.5)
        node.confirm()
    node.send(1, packets.ACK, tag=77, length=3)
    assert bool(node.select_effects(effects.Reset)) is (uptime_s > 60)


def test_colliding_tags() -> None:
    """Two backends with the same tag must get flows with different tags."""
    node = TaggedNode(1)
    twin = build_backend(500, tag=1)
    node.apply_changes(20, BackendChange(twin.name, rev(20), twin))
    found = {}
    for port in range(20):
        node.send(port, packets.SYN)
        sent = node.list_forwarded()[0]
        found.setdefault(sent.backend.number, set()).add(sent.tag)
    assert found[1] == {1}
    assert len(found[500]) == 1
    assert found[500] != {1}


def test_full_service_is_refused_at_once() -> None:
    """A flow must be refused at once if every backend would shed it."""
    node = TaggedNode(1)
    answers = []
    for port in range(12):
        tag = node.open_flow(port) if port < 10 else 1
        if port < 10:
            node.send_request(port, tag)
        else:
            node.send(port, packets.SYN)
            answers.append(bool(node.select_effects(effects.Reset)))
    assert answers == [True, True]
    assert node.state.counters.total('refused', 'full') == 2


def test_burst_of_one_priority_is_queued() -> None:
    """A burst that fits into the queues must not be refused.

    40 short requests arrive at once at 4 backends of 2 slots. In the fault
    soak with seed 1 on a busy machine, 5 of them were refused.
    """
    node = TaggedNode(4)
    for port in range(40):
        node.send(port, packets.SYN)
        assert not node.select_effects(effects.Reset)


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
    """Less urgent requests must not take the queue from urgent ones.

    The requests of all priorities arrive at 1.5 times the capacity of the
    service. Requests on established flows cannot be refused and fill it.
    """
    node = TaggedNode(0)
    urgent = build_route(URGENT_PORT, Repetition.once, priority=0)
    node.load_records(10, [build_backend(1)], build_configuration(1, (urgent,)))
    for number, other in enumerate((URGENT_PORT, ORDER_PORT)):
        node.send(number, packets.SYN, port=other)
    node.state.occupancy.own[1].busy = busy
    node.send(100, packets.SYN, port=port)
    assert bool(node.list_forwarded()) is admitted
    assert bool(node.select_effects(effects.Reset)) is not admitted


def test_unused_route_defers_nobody() -> None:
    """A priority without significant traffic must not defer other flows."""
    node = TaggedNode(0)
    urgent = build_route(URGENT_PORT, Repetition.once, priority=0)
    node.load_records(10, [build_backend(1)], build_configuration(1, (urgent,)))
    for port in range(40):
        node.send(port, packets.SYN, port=ORDER_PORT)
        node.state.occupancy.own[1].busy = 0
    node.send(100, packets.SYN, port=URGENT_PORT)
    node.state.occupancy.own[1].busy = 9
    node.send(101, packets.SYN, port=ORDER_PORT)
    assert node.list_forwarded()


@pytest.mark.parametrize(
    ('after_s', 'priorities'), [(1, [0, 2]), (7, [0, 2]), (20, [2])]
)
def test_old_requests_do_not_keep_priority_active(after_s, priorities) -> None:
    """A priority must not defer others long after its last request."""
    requests = demand.Demand()
    for step in range(100):
        requests.count_request('core', 2 * (step % 2), now=step / 100)
    requests.count_request('core', 2, now=after_s)
    assert requests.list_active_priorities('core') == priorities


def test_many_priorities_of_equal_share() -> None:
    """Flows must be admitted if no priority reaches the minimum share.

    With 21 equally used priorities, each has less than 5% of the requests.
    """
    node = TaggedNode(0)
    extra = tuple(
        build_route(9000 + priority, Repetition.once, priority=priority)
        for priority in range(21)
    )
    node.load_records(10, [build_backend(1)], build_configuration(1, extra))
    for number, route in enumerate(extra * 2):
        node.send(number, packets.SYN, port=route.port)
        assert node.list_forwarded()
        node.state.occupancy.own[1].busy = 0


def test_upload_counts_as_one_request() -> None:
    """The packets of one upload must not count as requests of their own.

    Otherwise a few uploads push the other priorities below the minimum share.
    """
    node = TaggedNode(1)
    tag = node.open_flow(1)
    before = node.state.demand.count_recent('core').total()
    for step in range(60):
        node.send_request(1, tag, sequence=1001 + 100 * step)
    assert node.state.demand.count_recent('core').total() == before + 1


def test_reset_is_not_answered() -> None:
    """A reset must not be answered with a reset, or it could loop."""
    node = TaggedNode(1)
    assert node.send(1, packets.RST, port=9) == []


@pytest.mark.parametrize('port', [FEED_PORT, ORDER_PORT])
def test_probe_decides_on_open_flows(port) -> None:
    """After a failed probe, only flows with repeatable requests are reset.

    Any other request may have been executed, so its flow must be kept.
    """
    node = TaggedNode(2)
    node.state.suspicion.record_response(2, node.now)
    tag = node.open_flow(1, port=port)
    node.send_request(1, tag, port=port)
    probes = node.select_effects(effects.ProbeBackend, node.run(0.2))
    assert [probe.backend.tag for probe in probes] == [tag]
    node.submit(events.ProbeEnded(node.now, node.now - 0.1, tag, reached=False))
    assert bool(node.select_effects(effects.Reset)) is (port == FEED_PORT)


def test_overloaded_backend_keeps_flows() -> None:
    """Flows of a backend that is only slow must not be reset.

    Three requests wait in the queue for more than 200 ms, so that their
    clients retransmit the data.
    """
    node = TaggedNode(1)
    other = build_backend(2, service='other')
    node.apply_changes(20, BackendChange(other.name, rev(20), other))
    node.state.suspicion.record_response(2, node.now)
    for port in (1, 2, 3):
        node.open_flow(port)
        node.send_request(port, 1)
    found = node.run(0.2)
    assert len(node.select_effects(effects.ProbeBackend, found)) == 1
    node.submit(events.ProbeEnded(node.now, node.now - 0.1, 1, reached=True))
    for port in (1, 2, 3):
        node.send_request(port, 1)
        assert not node.select_effects(effects.Reset)
        assert node.list_forwarded()


@pytest.mark.parametrize(
    ('silent_s', 'refused', 'resets'),
    [(0.2, True, 0), (0.2, False, 1), (1.3, True, 1), (1.3, False, 1)],
)
def test_refused_probe_ends_no_open_flow(silent_s, refused, resets) -> None:
    """A live backend that refuses connections must keep its open flows.

    A backend at its limit of connections resets new ones, while it answers
    the flows that it has. Only one that has been silent for long is dead.
    """
    node = TaggedNode(2)
    node.state.suspicion.record_response(2, node.now)
    tag = node.open_flow(1)
    answered_at = node.now
    node.send_request(1, tag)
    node.run(0.2)
    node.now = answered_at + silent_s
    node.submit(
        events.ProbeEnded(
            node.now, node.now - 0.1, tag, reached=False, refused=refused
        )
    )
    assert len(node.select_effects(effects.Reset)) == resets
    assert node.state.suspicion.is_suspect(tag, 'a', node.now)


def test_refused_probe_is_repeated() -> None:
    """A backend that stops while it refuses probes must be found out.

    Its first refusal is no proof, so that another probe has to follow.
    """
    node = TaggedNode(2)
    node.state.suspicion.record_response(2, node.now)
    tag = node.open_flow(1)
    node.send_request(1, tag)
    node.run(0.2)
    node.submit(
        events.ProbeEnded(
            node.now, node.now - 0.1, tag, reached=False, refused=True
        )
    )
    probes = node.select_effects(effects.ProbeBackend, node.run(0.7))
    assert [probe.backend.tag for probe in probes] == [tag]


def test_slow_node_ends_no_flow() -> None:
    """A node whose own link or processor is overloaded must reset no flows.

    On a small machine, reading a configuration of 1,700 routes keeps both
    busy, so that connections to any backend time out.
    """
    node = TaggedNode(2)
    node.state.suspicion.record_response(2, node.now)
    tag = node.open_flow(1)
    node.send_request(1, tag)
    probes = node.select_effects(effects.ProbeBackend, node.run(0.2))
    assert probes[0].reference.tag != tag
    node.submit(
        events.ProbeEnded(
            node.now, node.now - 0.1, tag, reached=False, conclusive=False
        )
    )
    assert not node.select_effects(effects.Reset)
    assert not node.state.suspicion.is_unreachable(tag, node.now)


def test_no_probe_without_reference() -> None:
    """Without a second backend as reference, no probe must be made.

    Its failure could as well come from this node's own network.
    """
    node = TaggedNode(1)
    node.open_flow(1)
    node.send_request(1, 1)
    assert not node.select_effects(effects.ProbeBackend, node.run(0.2))


def test_probe_waits_for_reference() -> None:
    """A probe that lacks a reference must not delay the next one.

    The stalled request is probed as soon as another backend has answered.
    """
    node = TaggedNode(2)
    tag = node.open_flow(1)
    other = 3 - tag
    assert not probing.request_probe(node.state, tag, node.now, node.now)
    node.state.suspicion.record_response(other, node.now)
    assert probing.request_probe(node.state, tag, node.now, node.now)


def test_answer_ends_suspicion_of_failed_probe() -> None:
    """A backend that answers must get new flows at once.

    Its suspicion may come from a failed probe alone, without a miss.
    """
    node = TaggedNode(2)
    suspicion = node.state.suspicion
    suspicion.record_failed_probe(1, node.now, node.now)
    assert suspicion.is_suspect(1, 'a', node.now)
    suspicion.record_response(1, node.now)
    assert not suspicion.is_suspect(1, 'a', node.now)


def test_nothing_is_kept_of_purged_backends() -> None:
    """The memory of a node must not grow with each backend that has left."""
    node = TaggedNode(2)
    for port in range(6):
        node.open_flow(port)
        node.send(port, packets.FIN | packets.ACK, sequence=1001, tag=1)
    node.apply_changes(20, BackendChange(build_backend(1).name, rev(20), None))
    node.run(catalog.REMOVED_RETENTION_S + 3)
    state = node.state
    assert state.catalog.find_by_tag(1) is None
    assert 1 not in state.suspicion.health
    assert 1 not in state.occupancy.own


def test_split_route_draws_by_weight() -> None:
    """A service with weight zero must get no flows."""
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
    node.load_records(10, backends, type(configuration)(1, (split,), 15_000))
    for port in range(20):
        node.send(port, packets.SYN)
        assert (
            not node.list_forwarded()
            or node.list_forwarded()[0].backend.tag == 1
        )

"""Which backend serves a flow whose SYN went to several (review/5)."""

import pytest

from apricottally.tagged import effects, events, packets
from apricottally.tagged.reducer import reduce
from tests.taggedfleet import Fleet
from tests.taggednode import TICK_S, build_packet

PORT = 1
KEY = build_packet(PORT, packets.SYN).key


def start_fleet(nodes: int, zones: str, loss: float = 0) -> Fleet:
    fleet = Fleet(1, nodes, loss=loss, zones=zones)
    fleet.platform.put_configuration(1)
    for index in range(1, 4):
        fleet.platform.put_backend(index, present=True)
    fleet.start_all()
    fleet.run(2)
    return fleet


def open_retried(fleet: Fleet, name: str) -> tuple[int, int]:
    """Open a flow at the second backend that its SYN was sent to.

    Returns the tags of the first and the second.
    """
    fleet.send_syn(name, PORT)
    fleet.run(0.3)
    flows = fleet.nodes[name].flows
    first, second = flows.by_key[KEY].tried_tags[:2]
    send_data(fleet, name, second)
    return first, second


def send_data(fleet: Fleet, name: str, tag: int, **fields) -> effects.Forward:
    """Send a packet with data; return the effect that forwards it."""
    defaults = {'sequence': 1, 'acknowledged': 501, 'length': 9}
    packet = build_packet(PORT, packets.ACK, tag=tag, **(defaults | fields))
    event = events.PacketArrived(fleet.now, packet)
    found = reduce(fleet.nodes[name], event)
    return next(one for one in found if isinstance(one, effects.Forward))


@pytest.mark.parametrize('restarted', [False, True])
def test_other_nodes_know_which_backend_serves(restarted) -> None:
    """Guards against a reset when a flow moves to another node (review/5).

    The client sends the tag of the backend whose SYN-ACK came last, which is
    not the one that serves the flow. The node that the flow moves to may have
    started since it was opened.
    """
    fleet = start_fleet(4, 'a')
    wrong, tag = open_retried(fleet, 'n0')
    fleet.run(0.1)
    if restarted:
        fleet.kill('n1')
        fleet.run(2)
        fleet.start('n1')
        fleet.run(1)
    sent = send_data(fleet, 'n1', wrong)
    assert (sent.backend.tag, sent.tag) == (tag, tag)


@pytest.mark.parametrize('restarted', ['n0', 'n1'])
def test_flow_moves_to_another_zone(restarted) -> None:
    """Guards against a reset of a retried flow whose zone has a single node.

    While that node restarts, its clients' packets go to other zones; after
    that it has to learn from those zones which backend serves the flow.
    """
    fleet = start_fleet(2, 'ab')
    wrong, tag = open_retried(fleet, 'n0')
    fleet.run(0.1)
    fleet.kill(restarted)
    fleet.run(2)
    fleet.start(restarted)
    fleet.run(1)
    sent = send_data(fleet, 'n1', wrong)
    assert (sent.backend.tag, sent.tag) == (tag, tag)
    sent = send_data(fleet, 'n0', wrong)
    assert (sent.backend.tag, sent.tag) == (tag, tag)


@pytest.mark.parametrize(
    ('paused_s', 'is_known'), [(11, True), (24, True), (28, False)]
)
@pytest.mark.parametrize('relayed', [False, True])
def test_flow_whose_client_pauses(paused_s, is_known, relayed) -> None:
    """Guards against a reset of a retried flow after a pause of its client.

    The losing backend may send its SYN-ACK for 9.4 s, and the client may then
    be idle for 15 s. A node that is told of the flow by one that has only heard
    of it knows it no longer than the others.
    """
    fleet = start_fleet(3, 'a')
    wrong, tag = open_retried(fleet, 'n0')
    fleet.run(1)
    if relayed:
        fleet.kill('n0')
        fleet.kill('n1')
        fleet.run(9)
        fleet.start('n1')
        fleet.run(paused_s - 10)
    else:
        fleet.run(paused_s - 1)
    sent = send_data(fleet, 'n1', wrong)
    assert sent.backend.tag == (tag if is_known else wrong)


@pytest.mark.parametrize('restarted', [False, True])
def test_announcement_is_lost(restarted) -> None:
    """Guards against a reset where one datagram between nodes was lost."""
    fleet = start_fleet(2, 'a')
    wrong, tag = open_retried(fleet, 'n0')
    if restarted:
        fleet.run(0.1)
        fleet.kill('n1')
        fleet.run(2)
        fleet.start('n1')
    fleet.muted = {'n0'}
    fleet.run(0.05)
    fleet.muted = set()
    fleet.run(1)
    sent = send_data(fleet, 'n1', wrong)
    assert (sent.backend.tag, sent.tag) == (tag, tag)


def send_syn_copies(fleet: Fleet) -> tuple[int, int]:
    """Send a SYN to a node and its copy to another one.

    Returns the tags of the backends that they select.
    """
    tags = []
    for copy, name in enumerate(('n0', 'n1')):
        fleet.forwarded.clear()
        syn = build_packet(PORT, packets.SYN, acknowledged=copy)
        fleet._submit(name, events.PacketArrived(fleet.now, syn))
        tags.append(fleet.forwarded[0][1].tag)
        fleet.run(0.03)
    return tags[0], tags[1]


@pytest.mark.parametrize('name', ['n0', 'n2'])
def test_copy_of_a_syn_went_through_another_node(name) -> None:
    """Guards against a reset of a flow whose SYN moved to another node.

    Each of the two nodes selects a backend and knows of one only. The client
    opens the flow at one of them and sends the tag of the other.
    """
    fleet = start_fleet(3, 'a')
    tag, wrong = send_syn_copies(fleet)
    assert tag != wrong
    send_data(fleet, 'n1', tag)
    fleet.run(0.1)
    sent = send_data(fleet, name, wrong)
    assert (sent.backend.tag, sent.tag) == (tag, tag)


def test_late_copy_of_a_syn() -> None:
    """Guards against one more backend that answers the SYN of an open flow."""
    fleet = start_fleet(3, 'a')
    open_retried(fleet, 'n0')
    fleet.run(0.1)
    fleet.forwarded.clear()
    fleet.send_syn('n2', PORT)
    assert not fleet.forwarded


def test_later_flow_with_the_same_ports() -> None:
    """Guards against a packet that goes where an earlier flow was served."""
    fleet = start_fleet(3, 'a')
    other, _ = open_retried(fleet, 'n0')
    fleet.run(0.1)
    sent = send_data(fleet, 'n1', other, sequence=1 << 30)
    assert sent.backend.tag == other
    syn = build_packet(PORT, packets.SYN, sequence=1 << 30)
    fleet._submit('n2', events.PacketArrived(fleet.now, syn))
    sent = send_data(fleet, 'n2', other, sequence=(1 << 30) + 1)
    assert sent.backend.tag == other


def test_announcement_after_the_flow_has_moved() -> None:
    """Guards against a node that keeps the first tag it saw on a flow."""
    fleet = start_fleet(2, 'a')
    wrong, tag = open_retried(fleet, 'n0')
    send_data(fleet, 'n1', wrong)
    occupancy = fleet.nodes['n1'].occupancy
    assert occupancy.get_own_count(wrong).open == 1
    fleet.run(0.1)
    sent = send_data(fleet, 'n1', wrong)
    assert (sent.backend.tag, sent.tag) == (tag, tag)
    assert occupancy.get_own_count(wrong).open == 0
    assert occupancy.get_own_count(tag).open == 1


def list_corrected(fleet: Fleet, name: str, seconds: float):
    """Return the backend and tag of each SYN that a node sends on meanwhile."""
    found = []
    for _ in range(round(seconds / TICK_S)):
        fleet.now += TICK_S
        event = events.Ticked(fleet.now)
        found += reduce(fleet.nodes[name], event)
    return [
        (one.backend.tag, one.tag)
        for one in found
        if isinstance(one, effects.Forward)
    ]


@pytest.mark.parametrize('is_draining', [False, True])
def test_losing_backend_is_sent_the_tag(is_draining) -> None:
    """Guards against resets after all nodes that knew a flow were killed.

    The client sends the tag that came with the last SYN-ACK of the backend that
    lost the flow. A backend that drains gets no SYN any more.
    """
    fleet = start_fleet(2, 'a')
    losing, tag = open_retried(fleet, 'n0')
    flows = fleet.nodes['n0'].flows
    tried = set(flows.by_key[KEY].tried_tags)
    if is_draining:
        fleet.platform.put_backend(losing, present=True, draining=True)
        fleet.run(0.05)
        tried.discard(losing)
    expected = sorted((other, tag) for other in tried - {tag})
    assert sorted(list_corrected(fleet, 'n0', 1)) == sorted(expected * 2)


def test_flow_that_is_closed_is_not_corrected() -> None:
    """Guards against SYNs for flows of one request, which are over by then."""
    fleet = start_fleet(2, 'a')
    _, tag = open_retried(fleet, 'n0')
    fin = build_packet(PORT, packets.FIN | packets.ACK, tag=tag, sequence=10)
    fleet._submit('n0', events.PacketArrived(fleet.now, fin))
    assert not list_corrected(fleet, 'n0', 1)


@pytest.mark.parametrize(('served', 'teller'), [(0, 'n1'), (1, 'n0')])
def test_backend_of_a_copied_syn_is_corrected(served, teller) -> None:
    """Guards against a losing backend that the opening node did not select.

    The node that selected it hears that another node has seen the flow open.
    """
    fleet = start_fleet(2, 'a')
    tags = send_syn_copies(fleet)
    send_data(fleet, 'n1', tags[served])
    fleet.forwarded.clear()
    fleet.run(3)
    sent = [(name, backend.tag) for name, backend in fleet.forwarded]
    # Two copies, although the announcement came three times.
    assert sent.count((teller, tags[1 - served])) == 2

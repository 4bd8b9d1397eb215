"""Which backend serves a flow whose SYN went to several (review/5)."""

import pytest

from apricottally.tagged import effects, events, packets
from apricottally.tagged.reducer import reduce
from tests.taggedfleet import Fleet
from tests.taggednode import build_packet

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

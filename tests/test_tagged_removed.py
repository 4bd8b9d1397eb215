"""Flows of backends whose registration is missing (docs/design.md)."""

import pytest

from apricottally.tagged import effects, events, packets
from apricottally.tagged.records import BackendChange
from apricottally.tagged.removedbackends import CONFIRMATION_S
from tests.taggednode import TaggedNode, build_backend, rev

TAG = 1
NAME = 'i-00000001'


class Case:
    """A node with an open flow whose backend is then removed."""

    def __init__(self, *, draining: bool = False, restored: bool = False):
        self.node = TaggedNode(3)
        self.node.state.started_at -= 100
        tag = None
        port = 0
        while tag != TAG:
            port += 1
            tag = self.node.open_flow(port)
        self.port = port
        self.sequence = 1001
        self.acknowledged = 501
        known = build_backend(TAG, draining=draining)
        self.node.apply_changes(15, BackendChange(NAME, rev(15), known))
        others = [build_backend(2), build_backend(3)]
        if restored:
            self.node.load_records(9, others, epoch=2)
        else:
            self.node.load_records(20, others)

    def wait(self, seconds: float, *, current: bool = True) -> None:
        self.node.run(seconds)
        if current:
            self.node.confirm()
        # Another backend has to answer for a probe to be conclusive.
        self.node.state.suspicion.record_response(2, self.node.now)

    def answer(self) -> None:
        """Let the client acknowledge an answer of the backend."""
        self.acknowledged += 100
        self.send()

    def fail_probe(self) -> None:
        now = self.node.now
        self.node.submit(events.ProbeEnded(now, now, TAG, reached=False))

    def reuse_address(self) -> None:
        other = build_backend(9, service='other', port=8000 + TAG)
        after = self.node.state.catalog.revision
        at = rev(after.number + 1, after.epoch)
        change = BackendChange(other.name, at, other)
        self.node.apply_changes(at.number, change)

    def send(self) -> str:
        """Send a packet with data on the flow; return what happened to it."""
        found = self.node.send(
            self.port,
            packets.ACK,
            sequence=self.sequence,
            acknowledged=self.acknowledged,
            length=100,
            tag=TAG,
        )
        self.sequence += 100
        kinds = {type(effect) for effect in found}
        if effects.Reset in kinds:
            return 'reset'
        if effects.ProbeBackend in kinds:
            return 'forward and probe'
        return 'forward' if effects.Forward in kinds else 'drop'


@pytest.mark.parametrize('restored', [False, True])
@pytest.mark.parametrize('draining', [False, True])
def test_removal_just_now(restored, draining) -> None:
    """Guards against a reset while a registration may only have lapsed."""
    case = Case(draining=draining, restored=restored)
    case.wait(CONFIRMATION_S - 0.1)
    assert case.send() == 'forward'


@pytest.mark.parametrize('restored', [False, True])
@pytest.mark.parametrize('draining', [False, True])
def test_node_is_cut_off(restored, draining) -> None:
    """Guards against a reset by a node that cannot know what is registered."""
    case = Case(draining=draining, restored=restored)
    case.wait(10, current=False)
    assert case.send().startswith('forward')


@pytest.mark.parametrize('restored', [False, True])
@pytest.mark.parametrize('draining', [False, True])
def test_backend_answers(restored, draining) -> None:
    """Guards against a reset of a flow that a living backend serves."""
    case = Case(draining=draining, restored=restored)
    for _ in range(4):
        case.wait(2)
        case.answer()
        assert case.send() == 'forward'


@pytest.mark.parametrize('restored', [False, True])
def test_silent_backend(restored) -> None:
    """Guards against a reset without evidence, and a client that waits on."""
    case = Case(restored=restored)
    case.wait(3)
    assert case.send() == 'forward and probe'
    case.fail_probe()
    assert case.send() == 'reset'


def test_silent_backend_that_accepts_connections() -> None:
    """Guards against a reset of flows at a backend that is only slow."""
    case = Case()
    case.wait(3)
    assert case.send() == 'forward and probe'
    now = case.node.now
    case.node.submit(events.ProbeEnded(now, now, TAG, reached=True))
    assert case.send() == 'forward'


@pytest.mark.parametrize('restored', [False, True])
def test_backend_that_had_drained(restored) -> None:
    """Guards against a client that waits for a backend that has left."""
    case = Case(draining=True, restored=restored)
    case.wait(3)
    assert case.send() == 'reset'


@pytest.mark.parametrize('restored', [False, True])
@pytest.mark.parametrize('answered', [False, True])
@pytest.mark.parametrize(
    ('current', 'expected'), [(True, 'reset'), (False, 'drop')]
)
def test_address_of_another_backend(
    restored, answered, current, expected
) -> None:
    """Guards against packets for a backend that another one gets."""
    case = Case(restored=restored)
    if answered:
        case.answer()
    case.reuse_address()
    case.wait(0.1 if current else 10, current=current)
    assert case.send() == expected


@pytest.mark.parametrize(
    ('uptime_s', 'current', 'restored', 'resets'),
    [
        (61, True, False, True),
        (59, True, False, False),
        (61, False, False, False),
        (61, True, True, False),
    ],
)
def test_backend_in_no_record(uptime_s, current, restored, resets) -> None:
    """Guards against a reset of a flow whose backend was never heard of.

    It may be registered no longer since before this node started, or since the
    store was restored.
    """
    node = TaggedNode(1)
    if restored:
        node.load_records(9, [build_backend(1)], epoch=2)
    for _ in range(round(uptime_s)):
        node.run(1)
        node.confirm()
    if not current:
        node.run(3)
    node.send(1, packets.ACK, tag=77, length=3)
    assert bool(node.select_effects(effects.Reset)) is resets

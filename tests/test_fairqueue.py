"""Order and limits of the queue of waiting SYNs."""

import random

import pytest

from apricottally.fairqueue import FairQueue, QueueEntry
from apricottally.model import Urgency

CLASSES = {urgency.value[0]: urgency for urgency in Urgency}


def build_entry(text: str, share=1, deadline=10, limit=100) -> QueueEntry[str]:
    """Return an entry; `u-a-1` is of class urgent and workspace a."""
    letter, workspace, _ = text.split('-')
    return QueueEntry(text, CLASSES[letter], workspace, share, deadline, limit)


def drain(queue: FairQueue[str]) -> list[str]:
    return [queue.pop().item for _ in range(len(queue))]


@pytest.mark.parametrize(
    ('pushed', 'served'),
    [
        ('b-a-1 n-a-1 u-a-1', 'u-a-1 n-a-1 b-a-1'),
        ('u-a-1 u-a-2 u-a-3 u-b-1', 'u-a-1 u-b-1 u-a-2 u-a-3'),
        ('u-a-1 u-b-1 u-a-2 u-b-2', 'u-a-1 u-b-1 u-a-2 u-b-2'),
    ],
)
def test_order(pushed: str, served: str) -> None:
    """A class or workspace must not cause head-of-line blocking."""
    queue: FairQueue[str] = FairQueue(10)
    for text in pushed.split():
        assert not queue.push(build_entry(text)).refused
    assert drain(queue) == served.split()


def test_shares() -> None:
    """A workspace must get its share: twice the share, twice the service."""
    queue: FairQueue[str] = FairQueue(1000)
    for index in range(90):
        queue.push(build_entry(f'u-a-{index}', share=1))
        queue.push(build_entry(f'u-b-{index}', share=2))
    first = [queue.pop().workspace for _ in range(60)]
    assert first.count('b') == 40


def test_idle_workspace_saves_no_credit() -> None:
    """A burst after an idle time must not be served before its fair turn."""
    queue: FairQueue[str] = FairQueue(1000)
    for index in range(50):
        queue.push(build_entry(f'u-a-{index}'))
    for _ in range(40):
        queue.pop()
    for index in range(10):
        queue.push(build_entry(f'u-b-{index}'))
    first = [queue.pop().workspace for _ in range(8)]
    assert first.count('b') == 4


def test_expired_entries_cost_nothing() -> None:
    """A workspace must not pay for entries that expired unserved."""
    queue: FairQueue[str] = FairQueue(1000)
    for index in range(20):
        queue.push(build_entry(f'u-a-{index}', deadline=1))
    queue.push(build_entry('u-b-1', deadline=9))
    queue.push(build_entry('u-b-2', deadline=9))
    assert [entry.item for entry in queue.expire(0.9)] == []
    assert len(queue.expire(1)) == 20
    queue.push(build_entry('u-a-20', deadline=9))
    assert drain(queue) == ['u-b-1', 'u-a-20', 'u-b-2']


def test_refusals_are_charged() -> None:
    """A flood with many refusals must not delay short bursts of others."""
    queue: FairQueue[str] = FairQueue(100)
    for index in range(3):
        queue.push(build_entry(f'u-a-{index}'))
        for _ in range(10):
            queue.charge_refusal(Urgency.urgent, 'a')
    for index in range(9):
        queue.push(build_entry(f'u-b-{index}'))
    order = [item[2] for item in drain(queue)]
    # An entry costs at most five: one plus MAX_REFUSAL_CHARGE.
    assert ''.join(order) == 'ababbbbbabbb'


@pytest.mark.parametrize(
    ('queued', 'pushed', 'refused', 'displaced'),
    [
        ('u-a-1 u-b-1', 'u-c-1', 'queue_full', []),
        ('u-a-1 b-b-1', 'u-a-2', '', [('b-b-1', 'shed_class')]),
        ('u-a-1 b-b-1', 'n-a-1', '', [('b-b-1', 'shed_class')]),
        ('u-a-1 n-b-1', 'b-a-1', 'queue_full', []),
        ('u-a-1 u-a-2', 'u-b-1', '', [('u-a-2', 'queue_full')]),
        ('n-a-1 b-a-1', 'u-b-1', '', [('b-a-1', 'shed_class')]),
    ],
)
def test_full_queue(queued, pushed, refused, displaced) -> None:
    """A full queue must not keep out more urgent work."""
    queue: FairQueue[str] = FairQueue(2)
    for text in queued.split():
        queue.push(build_entry(text))
    outcome = queue.push(build_entry(pushed))
    removed = [(entry.item, reason) for entry, reason in outcome.displaced]
    assert (outcome.refused, removed) == (refused, displaced)
    assert len(queue) == 2


def test_workspace_bound() -> None:
    """One workspace must not fill the whole queue."""
    queue: FairQueue[str] = FairQueue(100)
    answers = [
        queue.push(build_entry(f'u-a-{index}', limit=3)).refused
        for index in range(5)
    ]
    assert answers == ['', '', '', 'queue_full', 'queue_full']
    assert not queue.push(build_entry('b-a-1', limit=3)).refused
    queue.pop()
    assert not queue.push(build_entry('u-a-9', limit=3)).refused


@pytest.mark.parametrize('seed', range(5))
def test_counts_ahead_match_the_order(seed: int) -> None:
    """The predicted number of entries ahead must match the service order."""
    rng = random.Random(seed)
    queue: FairQueue[str] = FairQueue(1000)
    for index in range(300):
        text = f'{rng.choice("unb")}-{rng.choice("abcde")}-{index}'
        entry = build_entry(text, deadline=rng.uniform(0, 10))
        if rng.randrange(10) < 4 and queue:
            queue.pop()
        ahead = sum(queue.count_ahead(entry.urgency, entry.workspace))
        queue.push(entry)
        queue.expire(index / 60)
    text = 'n-a-1000'
    ahead = sum(queue.count_ahead(Urgency.normal, 'a'))
    queue.push(build_entry(text))
    assert drain(queue).index(text) == ahead

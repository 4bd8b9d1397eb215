"""Tests of hedged SYNs: their limit, their delay and their accounting."""

import heapq
import random

import pytest

from apricottally.tagged import effects, events, packets
from apricottally.tagged.hedging import percentiles
from apricottally.tagged.hedging.limits import WINDOW_S, HedgeLimit
from apricottally.tagged.hedging.percentiles import AnswerPercentile
from apricottally.tagged.messages import Heartbeat, Load, Peer, encode
from tests.taggednode import (
    ORDER_PORT,
    TICK_S,
    TaggedNode,
    build_backend,
    rev,
)


def list_broken(openings, hedges, share, *, strict) -> list[float]:
    """Return the starts of windows of 10 s that break the limit.

    The windows that start or end with a hedge are checked: others do not have
    fewer openings for their hedges. Unless `strict`, windows with one hedge
    and those after the last opening are checked for several hedges only.
    """
    broken = []
    starts = hedges + [at - WINDOW_S for at in hedges]
    for start in starts:
        end = start + WINDOW_S
        count = sum(start - 1e-6 < at < end + 1e-6 for at in hedges)
        opened = sum(start + 1e-6 < at < end + 1e-6 for at in openings)
        exempt = count == 1 and not (strict and end < openings[-1])
        if count > share * opened and not exempt:
            broken.append(start)
    return broken


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('share', [0.02, 0.3, 1])
@pytest.mark.parametrize(
    ('rates', 'strict'),
    [
        ((40,) * 8, True),
        ((15, 20, 40, 80, 80), True),
        ((90, 1, 40, 0.3, 1, 120, 2, 1, 1, 1), False),
    ],
)
def test_limit_in_any_window(seed, share, rates, strict) -> None:
    """Hedges must stay within the share in any 10 s, also after a burst.

    A hedge is wanted after each opening. If the demand falls by more than
    half, a window may have one hedge and too few openings, which no
    rule can foresee; more than one hedge must not happen even then.
    """
    rng = random.Random(seed)
    limit = HedgeLimit(share)
    openings, hedges = [], []
    at = 0.0
    while at < 5 * len(rates):
        limit.record_opening(at)
        openings.append(at)
        if limit.allows_hedge(at):
            limit.record_hedge(at)
            hedges.append(at)
        at += rng.expovariate(rates[int(at / 5)])
    assert hedges
    assert list_broken(openings, hedges, share, strict=strict) == []


def test_no_minimum_allowance() -> None:
    """With few openings at each of many nodes, the sum must be in the share."""
    limit = HedgeLimit(0.05)
    for at in range(0, 1000, 2):
        limit.record_opening(at)
        assert not limit.allows_hedge(at)


@pytest.mark.parametrize(
    ('values_ms', 'age_s', 'expected_ms'),
    [
        ([5] * 19, 0, None),
        ([5] * 19 + [80], 0, 5),
        ([5] * 18 + [80, 90], 0, 80),
        (range(1, 101), 0, 95),
        ([90] * 600 + [5] * percentiles.MAX_SAMPLES, 0, 5),
        ([5] * 100, 31, None),
    ],
)
def test_percentile(values_ms, age_s, expected_ms) -> None:
    """Too few or old samples must not give a delay."""
    recent = AnswerPercentile()
    for value in values_ms:
        recent.add(value / 1000, 0)
    found = recent.estimate_s(age_s)
    assert found == (expected_ms and expected_ms / 1000)


def answer(node: TaggedNode, port: int, tag: int) -> None:
    """Open the flow at a backend, and close it at once."""
    flags = packets.FIN | packets.ACK
    node.send(port, flags, sequence=6, acknowledged=9, tag=tag)


def learn(node: TaggedNode, flows=30, answer_s=0.005) -> TaggedNode:
    """Give a node as many answer times of the service."""
    for _ in range(flows):
        port = 5000 + len(node.state.flows.by_key)
        node.send(port, packets.SYN, sequence=5)
        tag = node.list_forwarded()[0].backend.tag
        node.now += answer_s
        answer(node, port, tag)
        node.run(0.01)
    return node


def hedge(node: TaggedNode, port=1) -> tuple[int, int]:
    """Send a SYN that is hedged; return the tags of both backends."""
    node.send(port, packets.SYN, sequence=5)
    first = node.list_forwarded()[0].backend.tag
    found = node.run(0.02)
    sent = node.select_effects(effects.Forward, found)
    assert [effect.tag for effect in sent] == [sent[0].backend.tag]
    return first, sent[0].tag


def list_counts(node: TaggedNode, *tags) -> list[tuple[int, int]]:
    occupancy = node.state.occupancy
    return [
        (occupancy.count_busy(tag), occupancy.count_open(tag)) for tag in tags
    ]


def load_neighbour(node: TaggedNode, *busy: int) -> None:
    """Receive a heartbeat with the requests of another node by backend."""
    loads = tuple(Load(tag + 1, count, 0) for tag, count in enumerate(busy))
    sequence = int(node.now * 1000)
    sender = Peer('n2', 'a', '10.1.0.2', 7720, 7)
    heartbeat = Heartbeat(sender, sequence, False, rev(10), 1, 0, loads, (), ())
    source = (sender.ip, sender.port)
    node.submit(events.PeerArrived(node.now, source, encode(heartbeat)))


def drive(node: TaggedNode, seed, rate, draw_delay, busy=()):
    """Run seeded random flows for 12 s; return the opening and hedge times.

    The first backend answers each after a drawn delay. A neighbour reports its
    `busy` requests at the backends every 0.5 s.
    """
    rng = random.Random(seed)
    openings, hedges, pending = [], [], []
    next_at = node.now
    for step in range(1200):
        node.now += TICK_S
        if busy and step % 50 == 0:
            load_neighbour(node, *busy)
        while next_at <= node.now:
            next_at += rng.expovariate(rate)
            port = len(openings) + 1
            openings.append(node.now)
            node.send(port, packets.SYN, sequence=5)
            for sent in node.list_forwarded():
                at = node.now + draw_delay(rng)
                heapq.heappush(pending, (at, port, sent.tag))
        while pending and pending[0][0] <= node.now:
            answer(node, *heapq.heappop(pending)[1:])
        found = node.submit(events.Ticked(node.now))
        hedges += [
            node.now
            for effect in node.select_effects(effects.WriteLog, found)
            if effect.event == 'hedged'
        ]
    return openings, hedges


def draw_tail(rng: random.Random) -> float:
    """Draw an answer time of which every tenth is long."""
    return rng.choice([0.005] * 9 + [rng.uniform(0.02, 0.1)])


def count_hedges(node: TaggedNode) -> dict[str, int]:
    counts = node.state.counters.counts
    return {
        reason: counts[name, reason]
        for name, reason in list(counts)
        if name == 'hedge'
    }


@pytest.mark.parametrize('outcome', ['won', 'lost'])
def test_client_decides_between_backends(outcome) -> None:
    """Both backends must be counted until the client opens at one of them.

    The answer of the first backend must count for its time-out, and that of
    the second one must not.
    """
    node = learn(TaggedNode(3, hedge_share=1))
    first, second = hedge(node)
    assert list_counts(node, first, second) == [(1, 1), (1, 1)]
    assert next(iter(node.state.flows.busy.values())).tag == first
    mean_s = node.state.answer_time.mean_s
    winner, loser = (second, first) if outcome == 'won' else (first, second)
    node.send(1, packets.ACK, sequence=6, acknowledged=9, tag=winner)
    assert list_counts(node, winner, loser) == [(1, 1), (0, 0)]
    assert count_hedges(node) == {'sent': 1, outcome: 1}
    assert (node.state.answer_time.mean_s > mean_s) is (outcome == 'lost')
    # A late SYN-ACK of the other backend changes the client's tag.
    node.send_request(1, loser, sequence=6, acknowledged=9)
    assert [sent.backend.tag for sent in node.list_forwarded()] == [winner]
    node.run(0.3)
    assert list_counts(node, winner, loser) == [(1, 1), (0, 0)]


@pytest.mark.parametrize(('paused', 'expected_ms'), [(False, 20), (True, 5)])
def test_percentile_follows_slow_answers(paused, expected_ms) -> None:
    """The delay must not fall because slow flows open at second backends.

    It must not rise because of answers that were read after a pause.
    """
    node = learn(TaggedNode(3, hedge_share=1), 20)
    for port in (1, 2):
        _, second = hedge(node, port)
        if paused:
            node.now += 0.3
            node.submit(events.Ticked(node.now))
        answer(node, port, second)
        learn(node, 1)
    found = node.state.hedging.services['core'].answers
    assert found.estimate_s(node.now) == pytest.approx(expected_ms / 1000)


@pytest.mark.parametrize('cause', ['silence', 'new_syn'])
def test_second_backend_is_released(cause) -> None:
    """Backends at which no flow was opened must not count it for ever."""
    node = learn(TaggedNode(3, hedge_share=1))
    _, second = hedge(node)
    if cause == 'silence':
        node.run(0.26)
    else:
        node.state.suspicion.record_miss(second, b'k', node.now, node.now)
        node.send(1, packets.SYN, sequence=99)
    assert list_counts(node, second) == [(0, 0)]


def test_hedge_is_no_miss() -> None:
    """A hedge must not make the first backend suspect before its time-out.

    The retry at the time-out must go to a third backend and count one miss.
    """
    node = learn(TaggedNode(3, hedge_share=1))
    first, second = hedge(node)
    assert not node.state.suspicion.suspects
    retried = node.select_effects(effects.Forward, node.run(0.03))
    assert {first, second, retried[0].tag} == {1, 2, 3}
    assert list(node.state.suspicion.suspects) == [first]


def make_suspect(node: TaggedNode) -> None:
    for tag in (1, 2, 3):
        node.state.suspicion.record_failed_probe(tag, node.now, node.now)


def make_cold(node: TaggedNode) -> None:
    node.load_records(
        20, [build_backend(tag, cold_ms=9000, sequence=2) for tag in (1, 2, 3)]
    )


@pytest.mark.parametrize(
    ('config', 'flows', 'prepare', 'fields', 'expected'),
    [
        ({'hedge_share': 0}, 30, None, {}, {}),
        ({'hedge_share': 1}, 19, None, {}, {}),
        ({'hedge_share': 1}, 30, None, {'port': ORDER_PORT}, {}),
        ({'hedge_share': 0.01}, 30, None, {}, {'over_limit': 1}),
        ({'hedge_share': 1}, 30, make_suspect, {}, {'busy': 1}),
        ({'hedge_share': 1}, 30, make_cold, {}, {'no_backend': 1}),
        ({'hedge_share': 1, 'backends': 1}, 30, None, {}, {'no_backend': 1}),
    ],
)
def test_syn_is_not_hedged(config, flows, prepare, fields, expected) -> None:
    """A SYN must go to one backend only where hedging is not allowed."""
    node = learn(TaggedNode(**config), flows)
    if prepare is not None:
        prepare(node)
    node.send(1, packets.SYN, sequence=5, **fields)
    found = node.run(0.03)
    assert count_hedges(node) == expected
    assert node.select_effects(effects.Forward, found) == []


@pytest.mark.parametrize(
    ('busy', 'hedged'),
    [((2, 2, 2), False), ((2, 2, 0), False), ((1, 1, 1), True)],
)
def test_no_hedge_for_busy_service(busy, hedged) -> None:
    """A service at full load must get no additional SYNs.

    Its slow answers may come from its load, which they would increase.
    """
    node = learn(TaggedNode(3, hedge_share=1))
    openings, hedges = drive(node, 1, 20, draw_tail, busy)
    assert len(openings) > 150
    assert bool(hedges) is hedged
    assert hedged or count_hedges(node)['busy']


@pytest.mark.parametrize('delay_s', [0.03, 0.1, 0.4])
def test_slow_service_is_not_doubled(delay_s) -> None:
    """Hedges must stop soon if all answers of a service become slow."""
    node = learn(TaggedNode(9, hedge_share=1))
    openings, hedges = drive(node, 2, 20, lambda _: delay_s)
    assert len(openings) > 150
    assert len(hedges) <= 5


def test_limit_of_cut_off_nodes() -> None:
    """The sum over many nodes must stay within the share of their openings.

    Half of 195 nodes are cut off from the others and know only their own
    openings. Each node has its own load.
    """
    share = 0.1
    totals = {True: [0, 0], False: [0, 0]}
    for index in range(195):
        cut_off = index % 2 == 0
        node = TaggedNode(3, hedge_share=share, name=f'n{index + 10}')
        busy = () if cut_off else (0, 1, 0)
        rate = 1 + index % 20
        openings, hedges = drive(node, index, rate, draw_tail, busy)
        assert list_broken(openings, hedges, share, strict=False) == []
        totals[cut_off][0] += len(openings)
        totals[cut_off][1] += len(hedges)
    for opened, hedged in totals.values():
        assert 0 < hedged <= share * opened

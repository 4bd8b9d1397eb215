"""Tests of hedged SYNs: their limit, their delay and their accounting."""

import random
from itertools import accumulate

import pytest

from apricottally.tagged.hedging import percentiles
from apricottally.tagged.hedging.limits import WINDOW_S, HedgeLimit
from apricottally.tagged.hedging.percentiles import AnswerPercentile


def list_arrivals(seed: int, rates) -> list[float]:
    """Return random times of openings, with a rate for each period of 5 s."""
    rng = random.Random(seed)
    times = []
    for period, rate in enumerate(rates):
        gaps = (rng.expovariate(rate) for _ in range(int(rate * 8) + 20))
        end = 5 * period + 5
        times += [at for at in accumulate(gaps, initial=end - 5) if at < end]
    return times


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


@pytest.mark.parametrize('seed', range(5))
@pytest.mark.parametrize('share', [0.01, 0.05, 0.3, 1])
@pytest.mark.parametrize(
    ('rates', 'strict'),
    [
        ((40,) * 10, True),
        ((5, 10, 20, 40, 80, 80), True),
        ((200, 0.1, 90, 0.1, 0.1, 300, 1, 1, 1, 1), False),
    ],
)
def test_limit_in_any_window(seed, share, rates, strict) -> None:
    """Hedges must stay within the share in any 10 s, also after a burst.

    A hedge is wanted after each opening. If the demand falls by more than
    half, a window may have one hedge and too few openings, which no
    rule can foresee; more than one hedge must not happen even then.
    """
    limit = HedgeLimit(share)
    openings = list_arrivals(seed, rates)
    hedges = []
    for at in openings:
        limit.record_opening(at)
        if limit.allows_hedge(at):
            limit.record_hedge(at)
            hedges.append(at)
    assert hedges or share < 0.05
    assert list_broken(openings, hedges, share, strict=strict) == []


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

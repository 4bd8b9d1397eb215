"""The handshake keeps its promises in every order of events."""

import pytest

from checking import explorer
from checking.__main__ import BROKEN, check
from checking.handshake import Rules

LANDMARKS = {
    'accepted_again',
    'both_owners_retried',
    'refused',
    'reset',
    'served_0',
    'served_1',
    'two_half_open',
}


def test_every_order_of_events_keeps_the_promises() -> None:
    """Guards against a doubled submission or a refusal of work that ran.

    The landmarks guard against a model that never gets that far.
    """
    outcome = check(Rules())
    assert not outcome.violations
    assert outcome.reached == LANDMARKS
    assert outcome.states > 10_000


@pytest.mark.parametrize(('rules', 'wanted'), BROKEN)
def test_broken_rule_is_found(rules: Rules, wanted: str) -> None:
    """Guards against a property that cannot fail."""
    assert wanted in check(rules, wanted).violations


def test_exploration_is_bounded() -> None:
    """Guards against a model change that no longer ends."""
    with pytest.raises(explorer.TooManyStatesError):
        explorer.explore(
            0,
            lambda state: [('next', state + 1)],
            lambda state: (),
            lambda state: (),
            limit=100,
        )


def test_shortest_run_is_reported() -> None:
    """Guards against a trace that does not lead to the violation."""
    outcome = explorer.explore(
        0,
        lambda state: [('one', state + 1), ('two', state + 2)],
        lambda state: ['over'] if state > 4 else [],
        lambda state: (),
        limit=100,
    )
    assert len(outcome.violations['over']) == 3

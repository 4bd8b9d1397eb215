"""Model check: the handshake's guarantees hold in every order of events."""

import pytest

from checking import explorer
from checking.__main__ import BROKEN_RULES, check
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


def test_all_event_orders_keep_the_guarantees() -> None:
    """Guards against a submission run twice or refused although it ran.

    The landmarks guard against a model that never reaches the situations in
    which this can happen.
    """
    outcome = check(Rules())
    assert not outcome.violations
    assert outcome.landmarks == LANDMARKS
    assert outcome.states > 10_000


@pytest.mark.parametrize(('rules', 'expected_violation'), BROKEN_RULES)
def test_broken_rule_is_found(rules: Rules, expected_violation: str) -> None:
    """Breaking a rule has to violate its property.

    Otherwise a property that can never be violated would pass unnoticed.
    """
    assert expected_violation in check(rules, expected_violation).violations


def test_exploration_is_bounded() -> None:
    """A model with infinitely many states must not run forever."""
    with pytest.raises(explorer.TooManyStatesError):
        explorer.explore(
            0,
            lambda state: [('next', state + 1)],
            lambda state: (),
            lambda state: (),
            max_states=100,
        )


def test_shortest_run_is_reported() -> None:
    """The reported trace has to be a shortest run to the violation."""
    outcome = explorer.explore(
        0,
        lambda state: [('one', state + 1), ('two', state + 2)],
        lambda state: ['over'] if state > 4 else [],
        lambda state: (),
        max_states=100,
    )
    assert len(outcome.violations['over']) == 3

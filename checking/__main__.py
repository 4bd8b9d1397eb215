"""Check the handshake model, then show that each property can be violated."""

import sys

from checking import handshake
from checking.explorer import Outcome, explore
from checking.handshake import Model, Rules, State, SynCancel

# The whole model has about 11,000 states; exceeding this limit is an error.
MAX_STATES = 100_000

# In each entry, one rule is broken, which has to violate the property.
BROKEN_RULES: tuple[tuple[Rules, str], ...] = (
    (Rules(strip_syn_payload=False), 'one_backend_gets_payload'),
    (Rules(strip_syn_payload=False), 'refused_means_not_run'),
    (Rules(route_by_number=False), 'one_backend_gets_payload'),
    (Rules(refuse_only_syn=False), 'refused_means_not_run'),
    (Rules(refuse_only_syn=False), 'syn_reset_ends_no_flow'),
    (Rules(gone_is_unknown=False), 'refused_means_not_run'),
    (Rules(cancel=SynCancel.exact), 'syn_reset_ends_no_flow'),
    (Rules(cancel=SynCancel.in_window), 'syn_reset_ends_no_flow'),
)


def check(rules: Rules, expected_violation: str = '') -> Outcome[State]:
    """Explore the model under the given rules.

    The exploration ends early once `expected_violation` is found.
    """
    model = Model(rules)
    return explore(
        handshake.START,
        model.list_transitions,
        handshake.find_violations,
        handshake.find_landmarks,
        MAX_STATES,
        expected_violation,
    )


def main() -> int:
    """Print the results; return 1 if the unbroken rules violate a property."""
    outcome = check(Rules())
    print(
        f'{outcome.states} states, {outcome.transitions} transitions, '
        f'depth {outcome.depth}, broken: {sorted(outcome.violations)}',
    )
    for rules, expected_violation in BROKEN_RULES:
        trace = check(rules, expected_violation).violations.get(
            expected_violation, ['not broken']
        )
        print(f'{rules}\n  {expected_violation}: {"; ".join(trace)}')
    return 1 if outcome.violations else 0


if __name__ == '__main__':
    sys.exit(main())

"""Check the handshake, then show that each property can fail."""

import sys

from checking import handshake
from checking.explorer import Outcome, explore
from checking.handshake import Cancel, Model, Rules, State

# The whole model has about 11,000 states.
MAX_STATES = 100_000

# A rule broken on purpose, and the property that has to fail then.
BROKEN: tuple[tuple[Rules, str], ...] = (
    (Rules(strip_syn_payload=False), 'one_backend_gets_payload'),
    (Rules(strip_syn_payload=False), 'refused_means_not_run'),
    (Rules(route_by_number=False), 'one_backend_gets_payload'),
    (Rules(refuse_only_syn=False), 'refused_means_not_run'),
    (Rules(refuse_only_syn=False), 'syn_reset_ends_no_flow'),
    (Rules(gone_is_unknown=False), 'refused_means_not_run'),
    (Rules(cancel=Cancel.exact), 'syn_reset_ends_no_flow'),
    (Rules(cancel=Cancel.in_window), 'syn_reset_ends_no_flow'),
)


def check(rules: Rules, wanted: str = '') -> Outcome[State]:
    """Explore the model under some rules; end early if `wanted` fails."""
    model = Model(rules)
    return explore(
        handshake.START,
        model.list_steps,
        handshake.find_violations,
        handshake.find_landmarks,
        MAX_STATES,
        wanted,
    )


def main() -> int:
    """Print what was found; return 1 if a property fails by the rules."""
    outcome = check(Rules())
    print(
        f'{outcome.states} states, {outcome.transitions} transitions, '
        f'depth {outcome.depth}, broken: {sorted(outcome.violations)}',
    )
    for rules, wanted in BROKEN:
        run = check(rules, wanted).violations.get(wanted, ['not broken'])
        print(f'{rules}\n  {wanted}: {"; ".join(run)}')
    return 1 if outcome.violations else 0


if __name__ == '__main__':
    sys.exit(main())

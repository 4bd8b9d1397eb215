"""Run the program under seeded faults: `python -m soak --seed N --steps N`.

A step is a tenth of a second of simulated time. The exit status is 1 if a
check failed; the line printed then names seed and step. A run with the same
seed repeats the failure.
"""

import argparse
import sys

from soak.arguments import parse_count
from soak.faults import FAULTS_BY_NAME
from soak.runs import Run, RunError

STEP_S = 0.1


def main() -> None:
    """Run one seed, or several consecutive seeds."""
    parser = argparse.ArgumentParser(prog='soak', description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument(
        '--seeds',
        type=parse_count,
        default=1,
        help='number of consecutive seeds',
    )
    parser.add_argument('--steps', type=parse_count, default=600)
    parser.add_argument(
        '--faults',
        nargs='*',
        choices=sorted(FAULTS_BY_NAME),
        default=sorted(FAULTS_BY_NAME),
    )
    options = parser.parse_args()
    seeds = range(options.seed, options.seed + options.seeds)
    failed = sum(
        not run_seed(seed, options.faults, options.steps) for seed in seeds
    )
    print(f'{options.seeds - failed} passed, {failed} failed')
    sys.exit(1 if failed else 0)


def run_seed(seed: int, names: list[str], steps: int) -> bool:
    """Run one seed and print its counts; return whether it passed."""
    run = Run(seed, names)
    try:
        findings = run.execute(steps * STEP_S)
    except RunError as error:
        print(f'FAILED {error}', flush=True)
        return False
    counts = {name: count for name, count in findings.tally.items() if count}
    print(f'seed {seed}: {counts}', flush=True)
    return True


if __name__ == '__main__':
    main()

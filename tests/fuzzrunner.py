"""Fuzzes all decoders for longer: `python -m tests.fuzzrunner --cases 100000`.

It draws payloads without hypothesis, which is slower but shortens a failure.
"""

import argparse
import random
from contextlib import suppress

from soak.arguments import parse_count
from tests.test_fuzz_decoders import DECODERS, FRAGMENTS


def main() -> None:
    parser = argparse.ArgumentParser(prog='fuzzrunner', description=__doc__)
    parser.add_argument('--seed', type=parse_count, default=1)
    parser.add_argument('--cases', type=parse_count, default=100_000)
    options = parser.parse_args()
    for name, (decode, errors, samples) in DECODERS.items():
        rng = random.Random(f'{options.seed} {name}')
        for _ in range(options.cases):
            with suppress(errors):
                decode(mutate(rng, rng.choice(samples)))
        print(f'{name}: {options.cases} cases')


def mutate(rng: random.Random, payload: bytes) -> bytes:
    """Return a payload with up to four parts replaced."""
    for _ in range(rng.randint(1, 4)):
        start = rng.randint(0, len(payload))
        end = start + rng.randint(0, 12)
        noise = rng.randbytes(rng.randint(0, 8))
        part = rng.choice([rng.choice(FRAGMENTS), noise])
        payload = payload[:start] + part + payload[end:]
    return payload


if __name__ == '__main__':
    main()

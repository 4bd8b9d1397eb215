"""Run every measurement and write docs/BENCH.md."""

import argparse
import importlib
import subprocess
from pathlib import Path

from bench.rows import Row

# Modules with a function `measure(seed) -> list[Row]`, in table order.
MODULES: tuple[str, ...] = ('packets', 'flows', 'flood', 'control', 'memory')

PAGE = Path('docs/BENCH.md')
HEADER = """# Measurements

Written by `make bench`; do not edit. Absolute times are noisy, ratios come
from one run.

| measurement | figure | target | baseline | command | seed | commit |
| --- | --- | --- | --- | --- | --- | --- |
"""


def main() -> None:
    """Run the benchmarks named on the command line, or all of them."""
    parser = argparse.ArgumentParser(prog='bench', description=__doc__)
    parser.add_argument('modules', nargs='*', default=list(MODULES))
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--page', type=Path, default=PAGE)
    options = parser.parse_args()
    commit = find_commit()
    lines = []
    for name in options.modules:
        module = importlib.import_module(f'bench.{name}')
        for row in module.measure(options.seed):
            line = format_row(row, commit)
            print(line, flush=True)
            lines.append(line)
    options.page.write_text(HEADER + '\n'.join(lines) + '\n')


def find_commit() -> str:
    """Return the short hash of the checked-out commit."""
    command = ('git', 'rev-parse', '--short', 'HEAD')
    answer = subprocess.run(command, capture_output=True, check=True, text=True)
    return answer.stdout.strip()


def format_row(row: Row, commit: str) -> str:
    """Return one line of the table."""
    cells = (
        row.name,
        row.figure,
        row.target,
        row.baseline,
        f'`{row.command}`',
        str(row.seed),
        commit,
    )
    return f'| {" | ".join(cells)} |'


if __name__ == '__main__':
    main()

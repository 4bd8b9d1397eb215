"""Compares docs/OPERATIONS.md, section on the platform, with the code."""

import re
from pathlib import Path

import pytest

from apricottally.tagged.exposition import render
from tests.taggednode import TaggedNode

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / 'docs/OPERATIONS.md').read_text()
SECTION = PAGE.split("\n## On the users' platform\n", 1)[1]
CODE = ''.join(
    path.read_text()
    for folder in ('apricottally/tagged', 'platform/fleetnode')
    for path in sorted((ROOT / folder).rglob('*.py'))
)
COUNTERS = set(re.findall(r"counters\.add\(\s*'(\w+)'", CODE)) | {
    'invariant_broken'
}


def list_cells(heading: str) -> set[str]:
    """Return the words in backquotes in the first column of a table."""
    table = SECTION.split(f'\n| {heading} |', 1)[1].split('\n\n', 1)[0]
    rows = [line.split(' | ')[0] for line in table.splitlines()[2:]]
    return {word for row in rows for word in re.findall('`([^`]+)`', row)}


def test_metrics_exist() -> None:
    """Alarms must not use a metric that no node exports."""
    node = TaggedNode()
    exported = render(node.state, node.now).body.decode()
    documented = set(re.findall(r'apricottally_(\w+)', SECTION))
    known = set(re.findall(r'^apricottally_(\w+)', exported, re.M))
    known |= {f'{name}_total' for name in COUNTERS}
    assert documented
    assert documented <= known


@pytest.mark.parametrize(
    'heading',
    ['event', 'reason of `refused`', 'reason of `apricottally_hedge_total`'],
)
def test_words_of_log_lines_exist(heading) -> None:
    """The page must not list log events or reasons missing in the code."""
    words = {word.removeprefix('retried_') for word in list_cells(heading)}
    assert words
    assert {word for word in words if f"'{word}'" not in CODE} == set()

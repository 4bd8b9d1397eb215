"""The operations page of the users' platform agrees with the code."""

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
    for path in sorted((ROOT / folder).glob('*.py'))
)
COUNTERS = set(re.findall(r"counters\.add\(\s*'(\w+)'", CODE)) | {
    'invariant_broken'
}


def list_cells(heading: str) -> set[str]:
    """Code words in the first column of a table of the section."""
    table = SECTION.split(f'\n| {heading} |', 1)[1].split('\n\n', 1)[0]
    rows = [line.split(' | ')[0] for line in table.splitlines()[2:]]
    return {word for row in rows for word in re.findall('`([^`]+)`', row)}


def test_metrics_exist() -> None:
    """Guards against an alarm on a metric that no node has."""
    node = TaggedNode()
    shown = render(node.state, node.now).body.decode()
    named = set(re.findall(r'apricottally_(\w+)', SECTION))
    known = set(re.findall(r'^apricottally_(\w+)', shown, re.M))
    known |= {f'{name}_total' for name in COUNTERS}
    assert named
    assert named <= known


@pytest.mark.parametrize('heading', ['event', 'reason of `refused`'])
def test_words_of_log_lines_exist(heading) -> None:
    """Guards against log lines and reasons that the code no longer has."""
    words = {word.removeprefix('retried_') for word in list_cells(heading)}
    assert words
    assert {word for word in words if f"'{word}'" not in CODE} == set()

"""Modules, tests and test files that the pages name exist in the tree."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = (
    'README.md',
    'CONTRIBUTING.md',
    'docs/CAPACITY.md',
    'docs/OPERATIONS.md',
    'docs/PROOFS.md',
    'docs/design.md',
    'docs/glossary.md',
    'docs/platform.md',
)
SOURCES = [
    path
    for folder in ('apricottally', 'platform', 'soak', 'checking', 'tests')
    for path in sorted((ROOT / folder).rglob('*.py'))
]
TESTS = set(
    re.findall(
        r'def (test_\w+)',
        ''.join(path.read_text() for path in SOURCES),
    )
)
# Words in backticks of the module tables of `docs/design.md`.
LAYERS = ('wire', 'core', 'shell', 'root', 'all')


def read_page(page: str) -> str:
    return (ROOT / page).read_text()


@pytest.mark.parametrize('page', PAGES)
def test_named_tests_exist(page) -> None:
    """Guards against a page that cites a renamed or removed test."""
    named = set(re.findall(r'`(test_\w+)`', read_page(page)))
    assert named - TESTS == set()


@pytest.mark.parametrize('page', PAGES)
def test_named_files_exist(page) -> None:
    """Guards against a page that cites a renamed or removed source file."""
    named = set(re.findall(r'`((?:\w+/)*\w+\.py)`', read_page(page)))
    known = {path.relative_to(ROOT).as_posix() for path in SOURCES}
    known |= {path.name for path in SOURCES}
    assert named - known == set()


def test_module_table_is_complete() -> None:
    """Guards against a module table that differs from the package.

    Entry points of the package are described in the table's last rows.
    """
    rows = re.findall(
        rf'^\| (`.+`) \| (?:{"|".join(LAYERS)}) \|',
        read_page('docs/design.md'),
        re.MULTILINE,
    )
    listed = {name for row in rows for name in re.findall('`([^`]+)`', row)}
    package = {path.stem for path in (ROOT / 'apricottally').glob('*.py')}
    assert listed == package - {'__init__', '__main__'}

"""Collects texts of the code that operators see, from its syntax tree.

These are the names of counters, their reasons, the rules of explanations and
the names of log events.
"""

import ast
import itertools
from pathlib import Path

import apricottally

PACKAGE = Path(apricottally.__file__).parent
# Names of parameters and variables that hold a reason or a rule.
_REASON_NAMES = ('reason', 'rule')
# Position of the reason or rule among the arguments of a call. Functions of
# the code with a parameter named in _REASON_NAMES are added to these.
_REASON_POSITIONS = {'WireError': 0, 'Explanation': 0}
_LOGGING_CALLS = frozenset(('WriteLog', '_emit'))


def read_nodes() -> list[ast.AST]:
    trees = [
        ast.parse(path.read_text())
        for path in sorted(PACKAGE.glob('*.py'))
        if not path.stem.endswith(('_pb2', '_grpc'))
    ]
    return list(itertools.chain.from_iterable(map(ast.walk, trees)))


def list_counters() -> set[str]:
    """Return the names of all counters."""
    counts = filter(None, map(_find_count, read_nodes()))
    return {text for name, _ in counts for text in _list_texts(name)}


def list_reasons() -> set[str]:
    """Return the reasons of counters and the rules of the `why` command.

    This includes texts that are passed to functions which count them.
    """
    nodes = read_nodes()
    positions = dict(_REASON_POSITIONS)
    for node in nodes:
        positions.update(_find_position(node))
    found = [_find_words(node, positions) for node in nodes]
    words = list(itertools.chain.from_iterable(found))
    words += [reason for _, reason in filter(None, map(_find_count, nodes))]
    return {text for word in words for text in _list_texts(word)}


def list_events() -> set[str]:
    """Return the names of all log events."""
    calls = [node for node in read_nodes() if isinstance(node, ast.Call)]
    words = [
        call.args[0]
        for call in calls
        if _get_last_name(call.func) in _LOGGING_CALLS
    ]
    return {text for word in words for text in _list_texts(word)}


def _find_count(node: ast.AST) -> tuple[ast.expr, ast.expr] | None:
    """Return counter and reason if the syntax node increments a counter."""
    if isinstance(node, ast.Call):
        counts = ast.unparse(node.func).endswith('counters.add')
        return (node.args[0], node.args[1]) if counts else None
    if isinstance(node, ast.Subscript) and isinstance(node.slice, ast.Tuple):
        counts = ast.unparse(node.value).endswith('counters.counts')
        words = node.slice.elts
        return (words[0], words[1]) if counts else None
    return None


def _find_words(node: ast.AST, positions: dict[str, int]) -> list[ast.expr]:
    """Return what a call or an assignment uses as a reason or rule."""
    if (
        isinstance(node, ast.Assign)
        and _get_last_name(node.targets[0]) in _REASON_NAMES
    ):
        return [node.value]
    if not isinstance(node, ast.Call):
        return []
    words = [word.value for word in node.keywords if word.arg in _REASON_NAMES]
    position = positions.get(_get_last_name(node.func))
    if position is not None:
        words += node.args[position : position + 1]
    return words


def _find_position(node: ast.AST) -> dict[str, int]:
    """Return the position of a function's reason or rule, by its name."""
    if not isinstance(node, ast.FunctionDef) or node.name == '__init__':
        return {}
    names = [each.arg for each in node.args.args if each.arg != 'self']
    held = [name for name in names if name in _REASON_NAMES]
    return {node.name: names.index(held[0])} if held else {}


def _list_texts(node: ast.expr) -> list[str]:
    """Return the texts of a constant or of a conditional expression."""
    if isinstance(node, ast.IfExp):
        return _list_texts(node.body) + _list_texts(node.orelse)
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return [node.value]
    return []


def _get_last_name(node: ast.expr) -> str:
    """Return the last part of a dotted name."""
    if isinstance(node, ast.Attribute):
        return node.attr
    return node.id if isinstance(node, ast.Name) else ''

"""Words that stand in the code and that operators meet: read by its syntax."""

import ast
import itertools
from pathlib import Path

import apricottally

PACKAGE = Path(apricottally.__file__).parent
# Names of parameters and variables that hold such a word.
_HOLDERS = ('reason', 'rule')
# Position of the word among the arguments of calls that take one; functions
# of the code with a parameter of such a name are added to these.
_CALLS = {'WireError': 0, 'Explanation': 0}
_LOGGING_CALLS = frozenset(('WriteLog', '_emit'))


def read_nodes() -> list[ast.AST]:
    trees = [
        ast.parse(path.read_text())
        for path in sorted(PACKAGE.glob('*.py'))
        if not path.stem.endswith(('_pb2', '_grpc'))
    ]
    return list(itertools.chain.from_iterable(map(ast.walk, trees)))


def list_counters() -> set[str]:
    """Names of counters."""
    counts = filter(None, map(_find_count, read_nodes()))
    return {text for name, _ in counts for text in _texts(name)}


def list_reasons() -> set[str]:
    """Reasons of counters and rules of `why`, counted here or passed on."""
    nodes = read_nodes()
    positions = dict(_CALLS)
    for node in nodes:
        positions.update(_find_position(node))
    found = [_find_words(node, positions) for node in nodes]
    words = list(itertools.chain.from_iterable(found))
    words += [reason for _, reason in filter(None, map(_find_count, nodes))]
    return {text for word in words for text in _texts(word)}


def list_events() -> set[str]:
    """Names of log events."""
    calls = [node for node in read_nodes() if isinstance(node, ast.Call)]
    words = [
        call.args[0] for call in calls if _name_of(call.func) in _LOGGING_CALLS
    ]
    return {text for word in words for text in _texts(word)}


def _find_count(node: ast.AST) -> tuple[ast.expr, ast.expr] | None:
    """Return counter and reason if the node counts."""
    if isinstance(node, ast.Call):
        counts = ast.unparse(node.func).endswith('counters.add')
        return (node.args[0], node.args[1]) if counts else None
    if isinstance(node, ast.Subscript) and isinstance(node.slice, ast.Tuple):
        counts = ast.unparse(node.value).endswith('counters.counts')
        words = node.slice.elts
        return (words[0], words[1]) if counts else None
    return None


def _find_words(node: ast.AST, positions: dict[str, int]) -> list[ast.expr]:
    """Return what a call or an assignment gives for a reason or rule."""
    if isinstance(node, ast.Assign) and _name_of(node.targets[0]) in _HOLDERS:
        return [node.value]
    if not isinstance(node, ast.Call):
        return []
    words = [word.value for word in node.keywords if word.arg in _HOLDERS]
    position = positions.get(_name_of(node.func))
    if position is not None:
        words += node.args[position : position + 1]
    return words


def _find_position(node: ast.AST) -> dict[str, int]:
    """Return where a function takes a reason or rule, by its name."""
    if not isinstance(node, ast.FunctionDef) or node.name == '__init__':
        return {}
    names = [each.arg for each in node.args.args if each.arg != 'self']
    held = [name for name in names if name in _HOLDERS]
    return {node.name: names.index(held[0])} if held else {}


def _texts(node: ast.expr) -> list[str]:
    """Texts that an expression may be: a constant or a choice of two."""
    if isinstance(node, ast.IfExp):
        return _texts(node.body) + _texts(node.orelse)
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return [node.value]
    return []


def _name_of(node: ast.expr) -> str:
    """Return the last name of a dotted one."""
    if isinstance(node, ast.Attribute):
        return node.attr
    return node.id if isinstance(node, ast.Name) else ''

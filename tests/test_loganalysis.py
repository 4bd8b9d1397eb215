"""Tests of the command `analyze`, which summarizes the logs of nodes."""

import json
import tracemalloc

import pytest

from apricottally import commands, loganalysis
from apricottally.loganalysis import LogAnalysis
from apricottally.loglines import parse_line
from tests.asyncruns import run

FLOW = '100.64.0.4:1055>198.18.0.5:8443'


def build_line(at: float, event: str, node: str = 'n1', **fields) -> bytes:
    line = {'time': at, 'node': node, 'event': event, **fields}
    return json.dumps(line).encode() + b'\n'


DAY = [
    build_line(100, 'started', zone='a'),
    build_line(100, 'started', node='n2', zone='b'),
    build_line(101, 'chosen', flow=FLOW, age_ms=20),
    build_line(101.5, 'refused', flow=FLOW, reason='full', age_ms=90),
    build_line(102, 'retried_no_answer', node='n2'),
    build_line(102, 'backend_unreachable', node='n2', tag=5),
    build_line(103, 'suppressed', rate_chosen=40),
]


@pytest.fixture
def log(tmp_path):
    path = tmp_path / 'day.log'
    path.write_bytes(b''.join(DAY))
    return str(path)


def analyze(capsys, *arguments: str) -> dict:
    assert run(commands.run(['--output', 'json', 'analyze', *arguments])) == 0
    return json.loads(capsys.readouterr().out)


@pytest.mark.parametrize(
    'line',
    [
        b'\n',
        b'no object',
        b'{"time": 5}',
        b'{"time": "x", "node": "n", "event": "e"}',
        b'{"time": 1e999, "node": "n", "event": "e"}',
        b'{"time": 1, "node": "n", "event": "\xff"}',
        b'{"time": 1, "node": "n", "event": "e"',
    ],
)
def test_malformed_line(line) -> None:
    """A line that is cut off or of another program must not end the run."""
    assert parse_line(line) is None


def test_malformed_lines_are_shown(capsys, tmp_path) -> None:
    """Lines that were not understood must be counted, and some be shown."""
    path = tmp_path / 'day.log'
    path.write_bytes(b''.join([*DAY, *(b'garbage %d\n' % i for i in range(9))]))
    found = analyze(capsys, str(path))
    assert (found['lines'], found['malformed']) == (7, 9)
    assert found['malformed_examples'] == [
        'garbage 0',
        'garbage 1',
        'garbage 2',
    ]


def test_prefix_is_ignored() -> None:
    """Lines of a collector that adds a time and a node must be readable."""
    line = parse_line(b'  22.9013 front-a-1 ' + DAY[2])
    assert line is not None
    assert (line.event, line.flow) == ('chosen', FLOW)


@pytest.mark.parametrize(
    ('group', 'refused', 'unreachable'),
    [('', [''], ['']), ('zone', ['a'], ['b']), ('node', ['n1'], ['n2'])],
)
def test_timeline(capsys, log, group, refused, unreachable) -> None:
    """A refusal must be counted in its second and for its zone and node."""
    by = ('--by', group) if group else ()
    rows = analyze(capsys, log, *by)['timeline']
    for name, start, groups in (
        ('refused', 1, refused),
        ('unreachable', 2, unreachable),
    ):
        found = [row for row in rows if row['activity'][name]]
        assert [row['start_s'] for row in found] == [start]
        assert [row['group'] for row in found] == groups
    assert max(row['activity']['max_age_ms'] for row in rows) == 90


def test_flow_over_all_nodes(capsys, tmp_path) -> None:
    """The story of a flow must have its lines of each node, in order."""
    paths = [str(tmp_path / name) for name in ('a.log', 'b.log')]
    for node, path in zip(('n1', 'n2'), paths, strict=True):
        lines = [
            build_line(1 if node == 'n2' else 3, 'chosen', node, flow=FLOW),
            build_line(2, 'chosen', node=node, flow='other'),
        ]
        with open(path, 'wb') as stream:
            stream.writelines(lines)
    found = analyze(capsys, '--flow', FLOW, *paths)['flow']
    assert [line['node'] for line in found] == ['n2', 'n1']


def test_lines_left_out_are_reported(capsys, log) -> None:
    """Counts must not look complete where nodes dropped log lines."""
    assert analyze(capsys, log)['suppressed'] == {'rate_chosen': 40}
    assert run(commands.run(['analyze', log])) == 0
    assert 'not logged: 40 of rate_chosen' in capsys.readouterr().out


def test_node_that_differs_comes_first(capsys, tmp_path) -> None:
    """The one node that refuses flows must stand out among 50."""
    path = tmp_path / 'day.log'
    with path.open('wb') as stream:
        for index in range(50):
            for step in range(20):
                stream.write(build_line(step, 'chosen', node=f'n{index}'))
        for step in range(15):
            stream.write(build_line(step, 'refused', 'n7', reason='full'))
    first = analyze(capsys, str(path), '--top', '1')['deviations'][0]
    assert (first['node'], first['event']) == ('n7', 'refused')


def test_memory_is_bounded(monkeypatch) -> None:
    """Memory must not grow with the length of a log of many nodes."""
    monkeypatch.setattr(loganalysis, 'MAX_CELLS', 500)
    analysis = LogAnalysis()
    tracemalloc.start()
    peaks = []
    for part in range(2):
        for step in range(10_000):
            at = 10 * (10_000 * part + step)
            analysis.read([build_line(at, 'chosen', node=f'n{step % 100}')])
        peaks.append(tracemalloc.get_traced_memory()[0])
    tracemalloc.stop()
    rows = analysis.list_intervals()
    assert sum(row.activity.chosen for row in rows) == 20_000
    assert peaks[1] < 1.5 * peaks[0]


@pytest.mark.parametrize(
    ('suffix', 'start'), [('png', b'\x89PNG'), ('svg', b'<?xml')]
)
def test_plot(capsys, log, tmp_path, suffix, start) -> None:
    """The plot must be written in the format that its suffix names."""
    path = tmp_path / f'day.{suffix}'
    analyze(capsys, log, '--by', 'zone', '--plot', str(path))
    head = path.read_bytes()[:200]
    assert head.startswith(start)


@pytest.mark.parametrize(
    ('arguments', 'status'),
    [(('missing.log',), 3), (('LOG', '--plot', 'day.unknown'), 2)],
)
def test_faulty_arguments(capsys, log, arguments, status) -> None:
    """A file that cannot be read or drawn must be named in the error."""
    words = [log if word == 'LOG' else word for word in arguments]
    assert run(commands.run(['analyze', *words])) == status
    assert words[-1] in capsys.readouterr().err

"""Tests of the demonstration: its audit, inputs and child processes."""

import contextlib
import signal
import subprocess
import sys
import time
import tomllib
from pathlib import Path

import msgspec
import pytest

from apricottally import model
from apricottally.model import MachineState
from demo import metrics, plans, processes, toml
from demo.audit import audit
from demo.deployments import DEPLOYMENTS, ETIKETTVERKET, Deployment
from demo.network import make_layouts
from demo.scenario import RunResults
from standins.protocol import Kind
from standins.server import Entry, JournalReport
from standins.workload import ClientReport, Tally, WorkReport

LAYOUT = make_layouts(4711, 2)[1]
EXPOSITION = """\
# HELP apricottally_refused_total Count of refused by reason.
# TYPE apricottally_refused_total counter
apricottally_refused_total{reason="queue_full"} 3
apricottally_refused_total{reason="deadline"} 2.0
apricottally_record_version{key="/apricottally/templates/a-b"} 17
apricottally_ready 1
"""


def make_results(
    *,
    tally: Tally | None = None,
    entries: tuple[tuple[str, str, int], ...] = (),
    shed_draining: int = 0,
    refused: tuple[str, ...] = (),
    propagation_s: float | None = 1,
    stop_status: int | None = 0,
) -> RunResults:
    """Return results of a run; `entries` hold request id, service and port."""
    report = WorkReport(Kind.submission, tally or Tally(completed=1), 0, 1, 1)
    results = RunResults()
    results.propagation_s['change'] = propagation_s
    results.stop_status = stop_status
    results.callers = ClientReport(
        {'w': report}, 0, ['a'], list(refused), [], []
    )
    results.journals = [
        JournalReport(
            'etikett-core-0',
            'etikett-core',
            0,
            {'shed_draining': shed_draining},
            [
                Entry(
                    name, Kind.submission, service, 'b', f'10.0.0.1:{port}', 0
                )
                for name, service, port in entries
            ],
        ),
    ]
    return results


# Arguments of a program that runs until it is killed.
IDLE = ('http.server', '--bind', '127.0.0.1', '0')
RUN = ('a', 'etikett-core', 4102)


@pytest.mark.parametrize(
    ('results', 'violations'),
    [
        (make_results(entries=(RUN,)), ()),
        (
            make_results(entries=(RUN,), tally=Tally(completed=1, broken=2)),
            ('broken: 2',),
        ),
        (
            make_results(entries=(RUN,), tally=Tally(completed=1, crossed=1)),
            ('crossed: 1',),
        ),
        (make_results(entries=(RUN, RUN)), ('doubled: 1',)),
        (
            make_results(entries=(('a', 'proof-store', 4102),)),
            ('misrouted: 1',),
        ),
        (
            make_results(entries=(RUN,), refused=('a',)),
            ('ran though refused: 1',),
        ),
        (make_results(), ('completed without a run: 1',)),
        (
            make_results(entries=(RUN,), shed_draining=4),
            ('new work after the drain: 4',),
        ),
        (
            make_results(entries=(RUN,), propagation_s=7.5),
            ('change: not in force within 7 s',),
        ),
        (
            make_results(entries=(RUN,), propagation_s=None),
            ('change: not in force within 7 s',),
        ),
        (
            make_results(entries=(RUN,), stop_status=1),
            ('planned stop: exit status 1',),
        ),
        (
            make_results(entries=(RUN,), stop_status=None),
            ('planned stop: exit status None',),
        ),
    ],
)
def test_violated_guarantee_is_reported(
    results: RunResults,
    violations: tuple[str, ...],
) -> None:
    """Guards against a run that passes although it violated a guarantee."""
    assert audit(ETIKETTVERKET, results).violations == violations


def test_metrics_are_read() -> None:
    """A float, a label with slashes or a missing label must be parsed."""
    sample = metrics.parse(EXPOSITION)
    assert sample == {
        ('apricottally_refused_total', 'queue_full'): 3,
        ('apricottally_refused_total', 'deadline'): 2,
        ('apricottally_record_version', '/apricottally/templates/a-b'): 17,
        ('apricottally_ready', ''): 1,
    }


@pytest.mark.parametrize('deployment', DEPLOYMENTS)
def test_published_input_is_valid(deployment: Deployment) -> None:
    """Guards against demo records and settings that the balancer rejects.

    Two backend servers with the same address would break the run as well.
    """
    for planned in deployment.template_traffic.values():
        text = toml.encode(planned.template)
        body = model.decode_json(
            msgspec.json.encode(tomllib.loads(text)),
            model.Template,
        )
        assert body == planned.template
        assert not model.list_faults(body)
    for workspace in plans.plan_workspaces(deployment).values():
        assert not model.list_faults(workspace)
    settings = plans.format_balancer_settings(deployment, LAYOUT, 1)
    node = tomllib.loads(settings)['node']
    assert node['gateway'] == f'{LAYOUT.fabric_ip}:6092'
    machines = [
        plan.to_machine(MachineState.live)
        for plan in plans.plan_backends(deployment, LAYOUT)
    ]
    assert len({machine.ip for machine in machines}) == len(machines)


def is_running(pid: int) -> bool:
    """Return whether a process runs; a zombie does not count."""
    with contextlib.suppress(OSError):
        state = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2]
        return state.split()[0] != 'Z'
    return False


def test_process_ends_on_error(tmp_path: Path) -> None:
    """A child process must not outlive a run that ends with an exception."""
    starting = processes.start('http', tmp_path, *IDLE)
    with pytest.raises(RuntimeError), starting as process:
        assert is_running(process.pid)
        raise RuntimeError
    assert not is_running(process.pid)


LAUNCHER = """
import pathlib, sys, time
from demo import processes
logs, *idle = sys.argv[1:]
with processes.start('idle', pathlib.Path(logs), *idle) as it:
    print(it.pid, flush=True)
    time.sleep(60)
"""


def test_process_ends_when_the_launcher_is_killed(tmp_path: Path) -> None:
    """Guards against child processes that outlive a killed parent process.

    SIGKILL leaves the parent no chance to end its children itself.
    """
    command = (sys.executable, '-c', LAUNCHER, str(tmp_path), *IDLE)
    with subprocess.Popen(command, stdout=subprocess.PIPE) as launcher:
        assert launcher.stdout is not None
        pid = int(launcher.stdout.readline())
        launcher.send_signal(signal.SIGKILL)
    limit = time.monotonic() + 5
    while is_running(pid) and time.monotonic() < limit:
        time.sleep(0.02)
    assert not is_running(pid)

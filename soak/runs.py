"""One run: a simulation, faults at random times, and the final checks."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from apricottally.errors import InvariantError
from soak.audit import Findings, audit
from soak.faults import FAULTS_BY_NAME, EndFault, Fault
from soak.simulation import STARTUP_S, Simulation

# A published change is in force on all nodes within this time.
IN_FORCE_S = 7.0
# Within this time after the last fault, the views of all nodes agree.
CONVERGENCE_S = 20.0
# Within this time after the callers stop, all flows have ended.
FLOW_END_S = 30.0
MIN_FAULT_S = 2.0
MAX_FAULT_S = 8.0
MIN_GAP_S = 1.0
MAX_GAP_S = 5.0


class RunError(Exception):
    """A failed check; the message names the seed, the step and the check."""


@dataclass(slots=True)
class FaultSchedule:
    """The faults that a run chooses from, and those that are active.

    `max_active` limits the number of faults at one time.
    """

    faults: Sequence[Fault]
    max_active: int = 2
    active: dict[str, EndFault] = field(default_factory=dict)


class Run:
    """A seeded run; raises `RunError` at the first failed check."""

    def __init__(self, seed: int, names: Sequence[str]) -> None:
        self.seed = seed
        self.simulation = Simulation(seed)
        self._schedule = FaultSchedule([FAULTS_BY_NAME[name] for name in names])
        self._may_break = any(
            fault.may_break for fault in self._schedule.faults
        )

    def execute(self, duration_s: float) -> Findings:
        """Start up, inject faults for `duration_s`, recover, and audit."""
        self._advance(STARTUP_S)
        self._check_start()
        self.simulation.start_callers()
        self._advance(2)
        end = self.simulation.now + duration_s
        while self.simulation.now < end:
            self._begin_fault()
            self._advance(self.simulation.rng.uniform(MIN_GAP_S, MAX_GAP_S))
        for name in list(self._schedule.active):
            self._end_fault(name)
        self._advance(CONVERGENCE_S)
        self._check_agreement()
        for client in self.simulation.clients.values():
            client.stop(self.simulation.now)
        self._advance(FLOW_END_S)
        findings = audit(self.simulation, may_break=self._may_break)
        if findings.violations:
            detail = '; '.join(findings.violations + findings.caller_errors[:5])
            raise self._fail(detail)
        return findings

    def _begin_fault(self) -> None:
        schedule = self._schedule
        inactive = [
            each for each in schedule.faults if each.name not in schedule.active
        ]
        if not inactive or len(schedule.active) >= schedule.max_active:
            return
        fault = self.simulation.rng.choice(inactive)
        schedule.active[fault.name] = fault.begin(self.simulation)
        duration_s = self.simulation.rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
        self.simulation.mesh.timeline.schedule(
            duration_s,
            lambda: self._end_fault(fault.name),
        )

    def _end_fault(self, name: str) -> None:
        end = self._schedule.active.pop(name, None)
        if end is not None:
            end()

    def _advance(self, duration_s: float) -> None:
        """Advance the simulation; a violated invariant ends the run."""
        try:
            self.simulation.run(duration_s)
        except InvariantError as error:
            raise self._fail(f'invariant {error}') from error

    def _check_start(self) -> None:
        if len(self.simulation.fabric.nodes) != len(
            self.simulation.mesh.configs
        ):
            raise self._fail('some nodes are not ready after startup')

    def _check_agreement(self) -> None:
        """Check that all nodes have the same records and members."""
        states = self.simulation.mesh.list_states()
        digests = {state.records.digest() for state in states}
        if len(digests) != 1:
            raise self._fail('records differ after recovery')
        counts = {len(state.members.list_active()) for state in states}
        if counts != {len(self.simulation.mesh.configs)}:
            raise self._fail(f'members differ after recovery: {counts}')

    def _fail(self, detail: str) -> RunError:
        step = round(self.simulation.now * 10)
        return RunError(f'seed {self.seed}, step {step}: {detail}')

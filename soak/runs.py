"""One run: a world, faults at random times, and what must hold."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from apricottally.errors import InvariantError
from soak.audit import Findings, audit
from soak.faults import BY_NAME, End, Fault
from soak.world import START_S, World

# A published change is in force everywhere within this time.
IN_FORCE_S = 7.0
# Time after the last fault for views to agree and flows to end.
HEAL_S = 20.0
FINISH_S = 30.0
MIN_FAULT_S = 2.0
MAX_FAULT_S = 8.0
MIN_GAP_S = 1.0
MAX_GAP_S = 5.0


class RunError(Exception):
    """A promise that did not hold; the text names seed, time and promise."""


@dataclass(slots=True)
class Plan:
    """The faults that a run draws from, and how many at a time."""

    faults: Sequence[Fault]
    at_a_time: int = 2
    active: dict[str, End] = field(default_factory=dict)


class Run:
    """A seeded run; raises `RunError` at the first broken promise."""

    def __init__(self, seed: int, names: Sequence[str]) -> None:
        self.seed = seed
        self.world = World(seed)
        self._plan = Plan([BY_NAME[name] for name in names])
        self._may_break = any(fault.may_break for fault in self._plan.faults)

    def play(self, duration_s: float) -> Findings:
        """Start, bring faults about for some time, heal, and audit."""
        self._advance(START_S)
        self._check_start()
        self.world.start_callers()
        self._advance(2)
        end = self.world.now + duration_s
        while self.world.now < end:
            self._begin_fault()
            self._advance(self.world.rng.uniform(MIN_GAP_S, MAX_GAP_S))
        for name in list(self._plan.active):
            self._end_fault(name)
        self._advance(HEAL_S)
        self._check_agreement()
        for client in self.world.clients.values():
            client.stop(self.world.now)
        self._advance(FINISH_S)
        findings = audit(self.world, may_break=self._may_break)
        if findings.broken:
            detail = '; '.join(findings.broken + findings.faults[:5])
            raise self._fail(detail)
        return findings

    def _begin_fault(self) -> None:
        plan = self._plan
        free = [each for each in plan.faults if each.name not in plan.active]
        if not free or len(plan.active) >= plan.at_a_time:
            return
        fault = self.world.rng.choice(free)
        plan.active[fault.name] = fault.begin(self.world)
        lasts = self.world.rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
        self.world.mesh.timeline.schedule(
            lasts,
            lambda: self._end_fault(fault.name),
        )

    def _end_fault(self, name: str) -> None:
        end = self._plan.active.pop(name, None)
        if end is not None:
            end()

    def _advance(self, duration_s: float) -> None:
        """Run on; an invariant of the program that breaks ends the run."""
        try:
            self.world.run(duration_s)
        except InvariantError as error:
            raise self._fail(f'invariant {error}') from error

    def _check_start(self) -> None:
        if len(self.world.fabric.nodes) != len(self.world.mesh.configs):
            raise self._fail('not every node is ready at the start')

    def _check_agreement(self) -> None:
        """Every node holds the same records and members once healed."""
        states = self.world.mesh.list_states()
        digests = {state.records.digest() for state in states}
        if len(digests) != 1:
            raise self._fail('records differ after healing')
        counts = {len(state.members.list_active()) for state in states}
        if counts != {len(self.world.mesh.configs)}:
            raise self._fail(f'members differ after healing: {counts}')

    def _fail(self, detail: str) -> RunError:
        step = round(self.world.now * 10)
        return RunError(f'seed {self.seed}, step {step}: {detail}')

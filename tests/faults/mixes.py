"""The faults of a soak run, and which of them are injected together."""

from collections.abc import Awaitable, Callable

from tests.faults import faults, scenarios
from tests.faults.deployment import Deployment

Fault = Callable[[Deployment], Awaitable[None]]
FAULTS: tuple[Fault, ...] = (
    faults.kill,
    faults.kill_all,
    faults.stop,
    faults.reload,
    faults.freeze,
    faults.cut,
    faults.lose_packets,
    faults.fail_store,
    faults.cut_store_one_way,
    faults.slow_store,
    faults.reset_store_connections,
    faults.drop_history,
    faults.restore_store,
    faults.configure,
    faults.crash_backend,
    faults.replace_backend,
    faults.write_garbage,
    faults.stop_in_turn,
    faults.lose_answers,
    faults.move_route,
    scenarios.cut_reader,
    scenarios.write_hostile_entries,
    scenarios.restore_without_zone,
    scenarios.lose_answers_before_stops,
    scenarios.start_twins,
    scenarios.release_while_reader_is_cut,
)
# Faults that are injected together, so that machines stay in touch often enough
# for the rules to be judged. The seed selects one.
MIXES: tuple[tuple[Fault, ...], ...] = (
    FAULTS,
    (scenarios.cut_reader, faults.replace_backend, faults.move_route),
    (
        scenarios.write_hostile_entries,
        faults.replace_backend,
        faults.move_route,
        faults.stop,
    ),
    (scenarios.restore_without_zone, faults.replace_backend),
    (scenarios.lose_answers_before_stops, faults.replace_backend),
    (scenarios.start_twins, faults.replace_backend),
)

"""The faults of a long run: functions that begin and end each of them."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import TypeAlias

from apricottally import model
from apricottally.model import MachineState, Workspace
from soak.deployment import BACKEND_SPECS, NODES_PER_ZONE, WORKSPACES
from soak.simulation import Simulation
from standins.fakeplatform import FakePlatform
from standins.mesh import DatagramFaults

# Returned by the function that begins a fault; a call ends that fault.
EndFault: TypeAlias = Callable[[], None]


@dataclass(frozen=True, slots=True)
class Fault:
    """A kind of fault.

    `may_break` says that the fault may break open flows, as a crash of a
    backend or the isolation of a zone does. `may_delay` says that published
    changes may take longer to be in force.
    """

    name: str
    begin: Callable[[Simulation], EndFault]
    may_break: bool = False
    may_delay: bool = False


def kill_node(simulation: Simulation) -> EndFault:
    """Kill a node; it restarts without its state."""
    name = choose_node(simulation)
    simulation.mesh.kill(name)
    return lambda: restart_when_ended(simulation, name)


def shut_down_node(simulation: Simulation) -> EndFault:
    """Shut a node down gracefully; it restarts without its state."""
    name = choose_node(simulation)
    simulation.stop_node(name)
    return lambda: restart_when_ended(simulation, name)


def pause_node(simulation: Simulation) -> EndFault:
    """Pause a node's process; it keeps its state."""
    name = choose_node(simulation)
    simulation.mesh.pause(name)
    return lambda: resume_if_running(simulation, name)


def isolate_zone(simulation: Simulation) -> EndFault:
    """Isolate a zone from the other zones and from the platform."""
    return simulation.isolate_zones(
        frozenset((simulation.rng.choice(sorted(NODES_PER_ZONE)),))
    )


def stop_platform(simulation: Simulation) -> EndFault:
    """Start an outage of the platform."""
    platform = simulation.mesh.platform
    platform.begin_outage()
    return partial(setattr, platform, 'down', False)


def lose_platform_replies(simulation: Simulation) -> EndFault:
    """Lose the answers to the next two writes, and one write itself."""
    platform = simulation.mesh.platform
    platform.lose_answers = 2
    platform.lose_calls = 1
    return partial(restore_platform_replies, platform)


def impair_peer_links(simulation: Simulation) -> EndFault:
    """Lose, duplicate and delay datagrams between nodes."""
    mesh = simulation.mesh
    mesh.faults = DatagramFaults(loss=0.3, duplication=0.2, max_delay_s=0.5)
    return partial(setattr, mesh, 'faults', DatagramFaults())


def drain_backend(simulation: Simulation) -> EndFault:
    """Drain a backend: the platform lists it as leaving for some time."""
    spec = simulation.rng.choice(BACKEND_SPECS)
    simulation.publish_machine(spec, MachineState.leaving)
    return lambda: simulation.publish_machine(spec, MachineState.live)


def publish_new_shares(simulation: Simulation) -> EndFault:
    """Publish new shares for a workspace."""
    name = simulation.rng.choice(sorted(WORKSPACES))
    workspace = WORKSPACES[name]
    shares = dict.fromkeys(workspace.templates, simulation.rng.uniform(1, 5))
    body = Workspace(workspace.address, shares)
    simulation.publish(f'{model.WORKSPACE_PREFIX}{name}', body)
    return do_nothing


def send_flood(simulation: Simulation) -> EndFault:
    """Start a flood of flows of the lowest urgency."""
    simulation.start_flood()
    return simulation.stop_flood


def crash_backend(simulation: Simulation) -> EndFault:
    """Crash a backend; it restarts at once without its state."""
    simulation.start_backend(simulation.rng.choice(BACKEND_SPECS))
    return do_nothing


FAULTS = (
    Fault('kill', kill_node),
    Fault('stop', shut_down_node),
    Fault('freeze', pause_node),
    Fault('cut', isolate_zone, may_break=True, may_delay=True),
    Fault('outage', stop_platform, may_delay=True),
    Fault('lost_answer', lose_platform_replies),
    Fault('stale', impair_peer_links, may_delay=True),
    Fault('drain', drain_backend),
    Fault('change', publish_new_shares),
    Fault('flood', send_flood),
    Fault('crash', crash_backend, may_break=True),
)
FAULTS_BY_NAME = {fault.name: fault for fault in FAULTS}


def choose_node(simulation: Simulation) -> str:
    """Return a random running node; at least three keep running."""
    running = sorted(
        name for name, node in simulation.mesh.nodes.items() if not node.paused
    )
    name: str = simulation.rng.choice(running)
    return name


def restart_when_ended(simulation: Simulation, name: str) -> None:
    """Start a node once its former process has ended."""
    if name in simulation.mesh.nodes:
        simulation.mesh.timeline.schedule(
            1, lambda: restart_when_ended(simulation, name)
        )
    else:
        simulation.mesh.start(name)


def resume_if_running(simulation: Simulation, name: str) -> None:
    """Resume a paused node, unless it was killed in the meantime."""
    if name in simulation.mesh.nodes:
        simulation.mesh.resume(name)


def restore_platform_replies(platform: FakePlatform) -> None:
    """Stop losing calls to the platform and their answers."""
    platform.lose_answers = 0
    platform.lose_calls = 0


def do_nothing() -> None:
    """Do nothing: the end of a fault that is over at once."""

"""Faults of a long run, as a table: how each begins and how it ends."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import TypeAlias

from apricottally import model
from apricottally.model import MachineState, Workspace
from soak.deployment import BACKENDS, WORKSPACES, ZONES
from soak.world import World
from standins.fakeplatform import FakePlatform
from standins.mesh import DatagramFaults

# Ends the fault that its beginning returned it for.
End: TypeAlias = Callable[[], None]


@dataclass(frozen=True, slots=True)
class Fault:
    """A kind of fault.

    `may_break` says that open flows may break by it: a backend's death, or a
    zone cut off from the rest. `may_delay` says that changes may take longer
    to be in force.
    """

    name: str
    begin: Callable[[World], End]
    may_break: bool = False
    may_delay: bool = False


def kill(world: World) -> End:
    """Kill a node; it starts again with nothing."""
    name = choose_node(world)
    world.mesh.kill(name)
    return lambda: restart(world, name)


def stop(world: World) -> End:
    """Stop a node as planned; it starts again with nothing."""
    name = choose_node(world)
    world.stop_node(name)
    return lambda: restart(world, name)


def freeze(world: World) -> End:
    """Pause a node's process."""
    name = choose_node(world)
    world.mesh.pause(name)
    return lambda: resume(world, name)


def cut(world: World) -> End:
    """Cut a zone off from the others and from the platform."""
    return world.cut_zones(frozenset((world.rng.choice(sorted(ZONES)),)))


def stop_platform(world: World) -> End:
    """Start an outage of the platform."""
    platform = world.mesh.platform
    platform.begin_outage()
    return partial(setattr, platform, 'down', False)


def lose_answers(world: World) -> End:
    """Lose the answers of the next writes, and one write itself."""
    platform = world.mesh.platform
    platform.lose_answers = 2
    platform.lose_calls = 1
    return partial(answer_again, platform)


def delay_updates(world: World) -> End:
    """Lose, double and delay datagrams between nodes."""
    mesh = world.mesh
    mesh.faults = DatagramFaults(loss=0.3, duplication=0.2, max_delay_s=0.5)
    return partial(setattr, mesh, 'faults', DatagramFaults())


def drain(world: World) -> End:
    """Take a backend out of service for a time."""
    plan = world.rng.choice(BACKENDS)
    world.list_machine(plan, MachineState.leaving)
    return lambda: world.list_machine(plan, MachineState.live)


def change(world: World) -> End:
    """Publish a workspace's shares anew."""
    name = world.rng.choice(sorted(WORKSPACES))
    workspace = WORKSPACES[name]
    shares = dict.fromkeys(workspace.templates, world.rng.uniform(1, 5))
    body = Workspace(workspace.address, shares)
    world.publish(f'{model.WORKSPACE_PREFIX}{name}', body)
    return finish_nothing


def flood(world: World) -> End:
    """Start a rush of the least urgent work."""
    world.start_flood()
    return world.stop_flood


def crash(world: World) -> End:
    """Restart a backend that forgets everything."""
    world.start_backend(world.rng.choice(BACKENDS))
    return finish_nothing


FAULTS = (
    Fault('kill', kill),
    Fault('stop', stop),
    Fault('freeze', freeze),
    Fault('cut', cut, may_break=True, may_delay=True),
    Fault('outage', stop_platform, may_delay=True),
    Fault('lost_answer', lose_answers),
    Fault('stale', delay_updates, may_delay=True),
    Fault('drain', drain),
    Fault('change', change),
    Fault('flood', flood),
    Fault('crash', crash, may_break=True),
)
BY_NAME = {fault.name: fault for fault in FAULTS}


def choose_node(world: World) -> str:
    """Return a running node at random; at least three stay running."""
    running = sorted(
        name for name, node in world.mesh.nodes.items() if not node.paused
    )
    name: str = world.rng.choice(running)
    return name


def restart(world: World, name: str) -> None:
    """Start a node again once it has ended."""
    if name in world.mesh.nodes:
        world.mesh.timeline.schedule(1, lambda: restart(world, name))
    else:
        world.mesh.start(name)


def resume(world: World, name: str) -> None:
    """Let a frozen node go on, unless it was killed meanwhile."""
    if name in world.mesh.nodes:
        world.mesh.resume(name)


def answer_again(platform: FakePlatform) -> None:
    """End the loss of calls and answers."""
    platform.lose_answers = 0
    platform.lose_calls = 0


def finish_nothing() -> None:
    """End a fault that ends by itself."""

"""Faults of a soak run, each over after some seconds."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

from tests.faults.proxy import DIRECTIONS, Link
from tests.faults.world import World


async def kill(world: World) -> None:
    node = world.rng.choice(world.nodes)
    node.signal(signal.SIGKILL)
    await asyncio.sleep(1.5)


async def kill_all(world: World) -> None:
    for node in world.nodes:
        node.signal(signal.SIGKILL)
    await asyncio.sleep(2)


async def stop(world: World) -> None:
    node = world.rng.choice(world.nodes)
    if not (node.stopping or node.frozen):
        await node.stop(world.ledger)


async def reload(world: World) -> None:
    for node in world.nodes:
        node.signal(signal.SIGHUP)


async def freeze(world: World) -> None:
    node = world.rng.choice(world.nodes)
    if node.stopping or node.frozen:
        return
    node.frozen = True
    node.signal(signal.SIGSTOP)
    await asyncio.sleep(world.rng.uniform(0.3, 3))
    node.signal(signal.SIGCONT)
    node.frozen = False


async def cut(world: World) -> None:
    node = world.rng.choice(world.nodes)
    node.cut = True
    await asyncio.sleep(world.rng.uniform(0.5, 3))
    node.cut = False


async def lose_packets(world: World) -> None:
    world.loss = world.rng.uniform(0.02, 0.1)
    await asyncio.sleep(3)
    world.loss = 0


async def fail_store(world: World) -> None:
    world.store.mode = world.rng.choice(['503', '429', 'silent', 'reset'])
    await asyncio.sleep(world.rng.uniform(0.5, 5))
    world.store.mode = 'good'


async def cut_store_one_way(world: World) -> None:
    links = _pick_links(world)
    direction = world.rng.choice(DIRECTIONS)
    for link in links:
        link.cut(direction)
    await _mend_later(world, links)


async def slow_store(world: World) -> None:
    links = _pick_links(world)
    for link in links:
        link.delay_s = world.rng.uniform(0.02, 0.8)
    await _mend_later(world, links)


async def reset_store_connections(world: World) -> None:
    for _ in range(world.rng.randint(1, 5)):
        for link in _pick_links(world):
            link.reset()
        await asyncio.sleep(world.rng.uniform(0, 0.5))


def _pick_links(world: World) -> list[Link]:
    count = world.rng.randint(1, len(world.nodes))
    return [node.link for node in world.rng.sample(world.nodes, count)]


async def _mend_later(world: World, links: list[Link]) -> None:
    await asyncio.sleep(world.rng.uniform(0.5, 5))
    for link in links:
        link.mend()


async def drop_history(world: World) -> None:
    world.store.mode = 'no_such_history'
    world.store.history.clear()
    await asyncio.sleep(0.5)
    world.store.mode = 'good'


async def configure(world: World) -> None:
    for _ in range(world.rng.randint(1, 4)):
        world.extra_routes = world.rng.randint(0, 300)
        world.publish()
        await asyncio.sleep(0.3)


async def crash_backend(world: World) -> None:
    backend = world.rng.choice(list(world.backends.values()))
    if not backend.alive:
        return
    backend.alive = False
    await asyncio.sleep(1.5)
    world.store.put(f'servers/i-{backend.ident:08x}', None)
    await world.add_backend(backend.service)


async def replace_backend(world: World) -> None:
    backend = world.rng.choice(list(world.backends.values()))
    if not backend.alive:
        return
    await world.add_backend(backend.service)
    world.put_backend(backend, state='draining')
    await asyncio.sleep(4)
    backend.alive = False
    world.store.put(f'servers/i-{backend.ident:08x}', None)


async def write_garbage(world: World) -> None:
    world.store.put('servers/i-00000001', b'\xff{')
    world.store.put('servers/nobody', {'state': 7})


FAULTS: tuple[Callable[[World], Awaitable[None]], ...] = (
    kill,
    kill_all,
    stop,
    reload,
    freeze,
    cut,
    lose_packets,
    fail_store,
    cut_store_one_way,
    slow_store,
    reset_store_connections,
    drop_history,
    configure,
    crash_backend,
    replace_backend,
    write_garbage,
)

"""The faults of a soak run; each ends by itself within seconds."""

import asyncio
import signal
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

from tests.faults.deployment import Deployment, Node
from tests.faults.proxy import DIRECTIONS


async def kill(deployment: Deployment) -> None:
    node = deployment.rng.choice(deployment.nodes)
    with node.disturbances.last():
        node.signal(signal.SIGKILL)
        await asyncio.sleep(1.5)


async def kill_all(deployment: Deployment) -> None:
    with disturb_all(deployment.nodes):
        for node in deployment.nodes:
            node.signal(signal.SIGKILL)
        await asyncio.sleep(2)


async def stop(deployment: Deployment) -> None:
    """Shut down one node gracefully."""
    node = deployment.rng.choice(deployment.nodes)
    if not (node.stopping or node.frozen):
        await node.stop(deployment.results)


async def stop_in_turn(deployment: Deployment) -> None:
    """Shut down all nodes as planned work, one after the other."""
    for node in deployment.nodes:
        if node.has_settled():
            await node.stop(deployment.results)
        await asyncio.sleep(1.5)


async def reload(deployment: Deployment) -> None:
    for node in deployment.nodes:
        node.signal(signal.SIGHUP)


async def freeze(deployment: Deployment) -> None:
    node = deployment.rng.choice(deployment.nodes)
    await freeze_node(node, deployment.rng.uniform(0.3, 3))


async def freeze_node(node: Node, seconds: float) -> None:
    if node.stopping or node.frozen:
        return
    with node.disturbances.last():
        node.frozen = True
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        node.signal(signal.SIGCONT)
        node.frozen = False


async def cut(deployment: Deployment) -> None:
    """Drop all packets of clients to one node."""
    node = deployment.rng.choice(deployment.nodes)
    with node.disturbances.last():
        node.drops_client_packets = True
        await asyncio.sleep(deployment.rng.uniform(0.5, 3))
        node.drops_client_packets = False


async def lose_packets(deployment: Deployment) -> None:
    with deployment.checks.links.last():
        deployment.loss = deployment.rng.uniform(0.02, 0.1)
        await asyncio.sleep(3)
        deployment.loss = 0


async def lose_answers(deployment: Deployment) -> None:
    """Lose SYN+ACKs of backends, which send them again.

    The client then hears of two backends for one SYN.
    """
    with deployment.checks.links.last():
        deployment.results.answer_loss = deployment.rng.uniform(0.1, 0.4)
        await asyncio.sleep(deployment.rng.uniform(2, 4))
        deployment.results.answer_loss = 0


async def fail_store(deployment: Deployment) -> None:
    with deployment.checks.store.last():
        deployment.store.mode = deployment.rng.choice(
            ['503', '429', 'silent', 'reset']
        )
        await asyncio.sleep(deployment.rng.uniform(0.5, 5))
        deployment.store.mode = 'good'


async def cut_store_one_way(deployment: Deployment) -> None:
    nodes = _pick_nodes(deployment)
    direction = deployment.rng.choice(DIRECTIONS)
    with disturb_all(nodes):
        for node in nodes:
            node.store_proxy.pause(direction)
        await _restore_later(deployment, nodes)


async def slow_store(deployment: Deployment) -> None:
    nodes = _pick_nodes(deployment)
    with disturb_all(nodes):
        for node in nodes:
            node.store_proxy.delay_s = deployment.rng.uniform(0.02, 0.8)
        await _restore_later(deployment, nodes)


async def reset_store_connections(deployment: Deployment) -> None:
    for _ in range(deployment.rng.randint(1, 5)):
        nodes = _pick_nodes(deployment)
        with disturb_all(nodes):
            for node in nodes:
                node.store_proxy.reset()
        await asyncio.sleep(deployment.rng.uniform(0, 0.5))


@contextmanager
def disturb_all(nodes: list[Node]) -> Iterator[None]:
    with ExitStack() as stack:
        for node in nodes:
            stack.enter_context(node.disturbances.last())
        yield


def _pick_nodes(deployment: Deployment) -> list[Node]:
    count = deployment.rng.randint(1, len(deployment.nodes))
    return deployment.rng.sample(deployment.nodes, count)


async def _restore_later(deployment: Deployment, nodes: list[Node]) -> None:
    await asyncio.sleep(deployment.rng.uniform(0.5, 5))
    for node in nodes:
        node.store_proxy.restore()


async def drop_history(deployment: Deployment) -> None:
    """Compact the store's history, so that watches must list again."""
    with deployment.checks.store.last():
        deployment.store.mode = 'no_such_history'
        deployment.store.history.clear()
        await asyncio.sleep(0.5)
        deployment.store.mode = 'good'


async def restore_store(deployment: Deployment) -> None:
    """Bring the store back from an older copy.

    It loses some configurations. The operator and the backends then write again
    what it lost, and the operator publishes one more.
    """
    store = deployment.store
    older = store.take_copy()
    for _ in range(deployment.rng.randint(0, 4)):
        deployment.publish_configuration()
        await asyncio.sleep(deployment.rng.uniform(0.2, 1))
    with deployment.checks.store.last():
        store.mode = deployment.rng.choice(['503', 'silent', 'reset'])
        await asyncio.sleep(deployment.rng.uniform(0, 2))
        store.restore(older)
        store.mode = 'good'
        await asyncio.sleep(deployment.rng.uniform(0, 1))
        deployment.write_again()
    await asyncio.sleep(deployment.rng.uniform(0, 2))
    deployment.publish_configuration()


async def configure(deployment: Deployment) -> None:
    """Publish several configurations with up to 300 additional routes."""
    for _ in range(deployment.rng.randint(1, 4)):
        deployment.extra_routes = deployment.rng.randint(0, 300)
        deployment.publish_configuration()
        await asyncio.sleep(0.3)


async def move_route(deployment: Deployment) -> None:
    """Move a route to another service, or drop it."""
    services = ['core', 'proof', None]
    services.remove(deployment.moved_service)
    deployment.moved_service = deployment.rng.choice(services)
    deployment.publish_configuration()
    await asyncio.sleep(4)


async def crash_backend(deployment: Deployment) -> None:
    """Stop a backend, then remove its record and add another backend."""
    backend = deployment.rng.choice(list(deployment.backends.values()))
    if not backend.alive:
        return
    backend.alive = False
    await asyncio.sleep(1.5)
    deployment.store.put(f'servers/{backend.name}', None)
    await deployment.add_backend(backend.service)


async def replace_backend(deployment: Deployment) -> None:
    """Add a backend, drain another one of its service and remove it."""
    backend = deployment.rng.choice(list(deployment.backends.values()))
    if not backend.alive:
        return
    await deployment.add_backend(backend.service)
    backend.state = 'draining'
    deployment.put_backend(backend)
    await asyncio.sleep(4)
    backend.alive = False
    deployment.store.put(f'servers/{backend.name}', None)


async def write_garbage(deployment: Deployment) -> None:
    """Write two backend records that cannot be decoded."""
    deployment.store.put('servers/i-00000001', b'\xff{')
    deployment.store.put('servers/nobody', {'state': 7})

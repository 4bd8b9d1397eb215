"""Faults of several steps, each for a rule that single faults rarely test."""

import asyncio

from tests.faults.deployment import SERVICES, Deployment, Node
from tests.faults.faults import (
    configure,
    disturb_all,
    freeze_node,
    kill_all,
    lose_answers,
    move_route,
    replace_backend,
    stop_in_turn,
)
from tests.faults.touch import CONTACT_S

# How long the reader of the store is cut off.
CUT_S = 5.5
LONG_FLOWS = 60
LONG_FLOW_S = 22
LONG_PAUSES_S = (1, 5)
# Ids that no backend has, and a key that is no id.
STRANGE_NAMES = ('i-00000001', 'i-0000000f', 'nobody')
# Two ids that hash to the same 32 bits.
TWIN_NUMBERS = (0xD332EB03F, 0x369D590034)


async def lose_answers_before_stops(deployment: Deployment) -> None:
    """Stop all nodes in turn some time after answers were lost.

    The packets of open flows go to other nodes, which know a flow by its echo.
    """
    if deployment.busy_with_one:
        return
    deployment.busy_with_one = True
    # A client that pauses for longer sends a wrong echo for longer.
    pause_s = deployment.rng.choice(LONG_PAUSES_S)
    flows = asyncio.create_task(_open_long_flows(deployment, pause_s))
    await lose_answers(deployment)
    await asyncio.sleep(CONTACT_S)
    await stop_in_turn(deployment)
    await flows
    deployment.busy_with_one = False


async def _open_long_flows(deployment: Deployment, pause_s: float) -> None:
    """Open flows within 2 s that last for `LONG_FLOW_S`."""
    flows = []
    for index in range(LONG_FLOWS):
        client = deployment.clients[index % len(deployment.clients)]
        name = f'long-{index}'
        count = round(LONG_FLOW_S / pause_s)
        flow = client.run_flow(SERVICES['core'], name, count, pause_s)
        flows.append(asyncio.create_task(flow))
        await asyncio.sleep(2 / LONG_FLOWS)
    await asyncio.gather(*flows)


async def cut_reader(deployment: Deployment) -> None:
    """Cut the reader of the store off while others stand still by turns.

    A backend drains and a route moves meanwhile.
    """
    reader = await find_reader(deployment)
    others = [node for node in deployment.nodes if node is not reader]
    stopping = deployment.rng.sample(others, 2)
    with reader.disturbances.last():
        reader.store_proxy.pause('answers')
        changes = [
            asyncio.create_task(replace_backend(deployment)),
            asyncio.create_task(move_route(deployment)),
        ]
        await _freeze_by_turns(deployment, stopping)
        reader.store_proxy.restore()
    await asyncio.gather(*changes)


async def _freeze_by_turns(deployment: Deployment, nodes: list[Node]) -> None:
    """Freeze nodes one after the other for `CUT_S`."""
    ends_at = deployment.loop.time() + CUT_S
    while deployment.loop.time() < ends_at:
        for node in nodes:
            await freeze_node(node, 0.6)


async def release_while_reader_is_cut(deployment: Deployment) -> None:
    """Replace three backends while the reader of the store is cut off.

    Two other nodes stand still by turns, a route moves, and configurations come
    in quick succession. This follows the users' record of DRAIN.
    """
    if deployment.busy_with_one:
        return
    deployment.busy_with_one = True
    # What disturbed the start is over when machines are in touch.
    await asyncio.sleep(CONTACT_S)
    reader = await find_reader(deployment)
    others = [node for node in deployment.nodes if node is not reader]
    stopping = deployment.rng.sample(others, 2)
    with reader.disturbances.last():
        reader.store_proxy.pause('answers')
        changes = asyncio.create_task(_release(deployment))
        await _freeze_by_turns(deployment, stopping)
        reader.store_proxy.restore()
    await changes
    deployment.busy_with_one = False


async def _release(deployment: Deployment) -> None:
    """Replace three backends and change the configuration meanwhile."""
    changes = []
    for _ in range(3):
        changes += [
            asyncio.create_task(replace_backend(deployment)),
            asyncio.create_task(configure(deployment)),
        ]
        await asyncio.sleep(0.3)
    changes.append(asyncio.create_task(move_route(deployment)))
    await asyncio.gather(*changes)


async def find_reader(deployment: Deployment) -> Node:
    """Return the node that has sent the store most requests lately."""
    before = [node.store_proxy.requests for node in deployment.nodes]
    await asyncio.sleep(1.5)
    counts = [
        node.store_proxy.requests - count
        for node, count in zip(deployment.nodes, before, strict=True)
    ]
    return deployment.nodes[counts.index(max(counts))]


async def restore_without_zone(deployment: Deployment) -> None:
    """Restore the store from a copy that lacks the backends of a cut zone.

    Their registrations have lapsed, and they live on without them for a while.
    """
    if deployment.busy_with_one:
        return
    deployment.busy_with_one = True
    store = deployment.store
    cut_off = [node for node in deployment.nodes if node.zone == 'b']
    # The flows pause until the nodes are in touch again.
    flows = asyncio.create_task(_open_long_flows(deployment, CONTACT_S + 3))
    with disturb_all(cut_off):
        for node in cut_off:
            node.store_proxy.pause('answers')
        await asyncio.sleep(2)
        with deployment.checks.store.last():
            store.mode = '503'
            older = store.take_copy()
            for backend in deployment.backends.values():
                if backend.number % 2:
                    older.items.pop(f'servers/{backend.name}', None)
            await asyncio.sleep(1)
            store.restore(older)
            # The operator writes at once what the store has lost.
            deployment.write_configuration()
            store.mode = 'good'
        for node in cut_off:
            node.store_proxy.restore()
    await asyncio.sleep(9)
    deployment.write_again()
    await flows
    deployment.busy_with_one = False


async def write_hostile_entries(deployment: Deployment) -> None:
    """Write entries of another writer, under new ids and under a living one.

    Backends drain meanwhile. A backend writes its own entry again with its next
    heartbeat.
    """
    rng = deployment.rng
    living = [
        backend
        for backend in deployment.backends.values()
        if backend.alive and backend.state == 'ready'
    ]
    drain = asyncio.create_task(replace_backend(deployment))
    for _ in range(rng.randint(2, 5)):
        backend = rng.choice(living)
        name = rng.choice(STRANGE_NAMES)
        values = _build_hostile(backend)
        deployment.store.put(f'servers/{name}', rng.choice(values))
        # Most often the one that is nearly good.
        value = rng.choice([values[0], rng.choice(values)])
        deployment.store.put(f'servers/{backend.name}', value)
        await asyncio.sleep(rng.uniform(0.3, 1))
        if backend.state == 'ready':
            deployment.put_backend(backend)
    await drain
    for name in STRANGE_NAMES:
        deployment.store.put(f'servers/{name}', None)


def _build_hostile(backend) -> list[bytes | dict]:
    """Return values that name no backend.

    Fields are missing, mistyped or out of range; the service is not that of the
    backend.
    """
    ip, port = backend.transport.get_extra_info('sockname')
    entry = {
        'service': 'proof' if backend.service == 'core' else 'core',
        'address': f'{ip}:{port}',
        'zone': 'a',
        'slots': 2,
        'state': 'ready',
    }
    nested = b'{"x":' + b'[' * 1500 + b']' * 1500 + b'}'
    return [
        entry,
        nested,
        b'\xff{',
        b'{"x":"' + b'y' * 1_000_000 + b'"}',
        entry | {'version': 'v1', 'seq-no': 'first', 'cold-left-ms': 0},
        entry | {'version': 'v1', 'seq-no': 10**30, 'cold-left-ms': 0},
    ]


async def start_twins(deployment: Deployment) -> None:
    """Start a backend whose id hashes like that of one with open flows.

    All nodes are killed then, and read the store anew.
    """
    if deployment.busy_with_one or TWIN_NUMBERS[0] in deployment.backends:
        return
    deployment.busy_with_one = True
    await deployment.add_backend('core', TWIN_NUMBERS[0])
    await asyncio.sleep(1)
    # After the kill, flows pause until the nodes are in touch again.
    flows = asyncio.create_task(_open_long_flows(deployment, CONTACT_S + 7))
    await asyncio.sleep(3)
    await deployment.add_backend('core', TWIN_NUMBERS[1])
    await asyncio.sleep(1)
    await kill_all(deployment)
    await flows
    deployment.busy_with_one = False

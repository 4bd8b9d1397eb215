"""Builders of node states and records for tests."""

import os
import random

import msgspec

from apricottally import model
from apricottally.events import Record, RecordsReceived
from apricottally.model import (
    Backend,
    BackendSet,
    BackendState,
    Holding,
    Template,
    Urgency,
    Workspace,
)
from apricottally.reducer import reduce
from apricottally.state import NodeConfig, NodeState

GATEWAY = ('127.0.0.9', 6090)
FEED_PORT = 8001
SUBMISSION_PORT = 8002
WORKSPACE_IP = '10.9.0.1'


def loopback_ip() -> str:
    """Return a loopback IP unique to this process, for parallel runs."""
    high, low = divmod(os.getpid(), 250)
    return f'127.{high % 200 + 40}.{low + 1}.1'


def build_state(
    name: str = 'n1', zone: str = 'sv-a', seed: int = 1
) -> NodeState:
    """Return a node that knows no other nodes, with strict invariants."""
    number = int(name[1:])
    config = NodeConfig(
        name,
        zone,
        f'127.0.1.{number}',
        6080,
        6081,
        GATEWAY,
        strict=True,
    )
    return NodeState(config, random.Random(seed))


def build_backend(number: int, zone: str = 'sv-a', **changes) -> Backend:
    """Return an active backend at 127.0.2.NUMBER."""
    fields = {
        'name': f'core-{number}',
        'ip': f'127.0.2.{number}',
        'zone': zone,
        'slots': 2,
        'connections': 2000,
        'state': BackendState.active,
        **changes,
    }
    return Backend(number, **fields)


def build_records(
    backends: tuple[Backend, ...], version: int = 10
) -> tuple[Record, ...]:
    """Return records of a service, its two templates and a workspace."""
    bodies = {
        f'{model.TEMPLATE_PREFIX}feed': Template(
            'etikett-core', Urgency.urgent, FEED_PORT, Holding.connection
        ),
        f'{model.TEMPLATE_PREFIX}submission': Template(
            'etikett-core', Urgency.urgent, SUBMISSION_PORT, Holding.slot
        ),
        f'{model.WORKSPACE_PREFIX}balm': Workspace(
            WORKSPACE_IP, {'feed': 1, 'submission': 1}
        ),
        f'{model.BACKEND_PREFIX}etikett-core': BackendSet(
            backends, len(backends)
        ),
    }
    return tuple(
        Record(
            key,
            version + index,
            model.encode_document(f'op{index}', 'ann', body),
        )
        for index, (key, body) in enumerate(bodies.items())
    )


def install(
    state: NodeState, records: tuple[Record, ...], now: float = 0
) -> None:
    """Deliver a complete list of records to a node."""
    revision = max(record.version for record in records)
    reduce(state, RecordsReceived(now, records, revision, complete=True))


def encode_json(body: object) -> bytes:
    """Return a body as JSON."""
    return msgspec.json.encode(body)

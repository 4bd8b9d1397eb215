"""Nodes with a control service but no sockets of their own, for tests."""

import contextlib
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from apricottally import model
from apricottally.addresses import Endpoint
from apricottally.controlservice import Hooks, open_control
from apricottally.events import Event, Record, RecordsReceived, Ticked
from apricottally.model import Backend, BackendState
from apricottally.reducer import reduce
from apricottally.state import NodeConfig, NodeState
from tests.asyncruns import LISTEN

FEED = model.Template(
    'etikett-core',
    model.Urgency.urgent,
    443,
    model.Holding.connection,
)
SHOP = model.Workspace('10.9.0.1', {'feed': 1})
BACKENDS = model.BackendSet(
    tuple(
        Backend(
            number,
            f'core-{number}',
            f'127.0.5.{number}',
            'sv-a',
            2,
            2000,
            state,
        )
        for number, state in enumerate(
            (BackendState.active, BackendState.active, BackendState.retired),
            start=1,
        )
    ),
)
CONTENT = {
    '/apricottally/templates/feed': FEED,
    '/apricottally/workspaces/shop': SHOP,
    '/apricottally/backends/etikett-core': BACKENDS,
}


@dataclass
class Node:
    state: NodeState
    endpoint: Endpoint = LISTEN
    submitted: list[Event] = field(default_factory=list)
    when_submitted: Callable[[Event], object] = bool

    def submit(self, event: Event) -> None:
        self.submitted.append(event)
        reduce(self.state, event)
        self.when_submitted(event)

    def receive(self, *received: Record) -> None:
        revision = max(record.version for record in received)
        self.submit(RecordsReceived(0, received, revision, complete=False))
        # Ownership of shards is brought up to date by the tick.
        reduce(self.state, Ticked(0, 0))


def build_records() -> list[Record]:
    return [
        Record(key, version, model.encode_document('op', 'me', body))
        for version, (key, body) in enumerate(CONTENT.items(), start=2)
    ]


@contextlib.asynccontextmanager
async def open_control_of(name: str):
    config = NodeConfig(name, 'sv-a', '127.0.1.1', 6080, 6081, ('127.0.9.1', 1))
    node = Node(NodeState(config, random.Random(1)))
    hooks = Hooks(
        submit=node.submit,
        read_clock=time.monotonic,
        is_ready=lambda: node.state.records.revision > 0,
        is_watching=lambda: node.state.stopping,
    )
    async with open_control(node.state, hooks, LISTEN) as endpoint:
        node.endpoint = endpoint
        yield node

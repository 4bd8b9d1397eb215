"""Test helper: nodes with a control service but no UDP sockets."""

import contextlib
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from apricottally import model
from apricottally.addresses import Endpoint
from apricottally.controlservice import ControlCallbacks, open_control_service
from apricottally.events import Event, Record, RecordsReceived, Ticked
from apricottally.model import Backend, BackendState
from apricottally.reducer import reduce
from apricottally.state import NodeConfig, NodeState
from tests.asyncruns import LOOPBACK_ANY_PORT

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
    endpoint: Endpoint = LOOPBACK_ANY_PORT
    submitted: list[Event] = field(default_factory=list)
    on_submit: Callable[[Event], object] = bool

    def submit(self, event: Event) -> None:
        self.submitted.append(event)
        reduce(self.state, event)
        self.on_submit(event)

    def receive(self, *records: Record) -> None:
        revision = max(record.version for record in records)
        self.submit(RecordsReceived(0, records, revision, complete=False))
        # The tick recomputes the ownership of shards.
        reduce(self.state, Ticked(0, 0))


def build_records() -> list[Record]:
    return [
        Record(key, version, model.encode_document('op', 'me', body))
        for version, (key, body) in enumerate(CONTENT.items(), start=2)
    ]


@contextlib.asynccontextmanager
async def open_control_node(name: str):
    config = NodeConfig(name, 'sv-a', '127.0.1.1', 6080, 6081, ('127.0.9.1', 1))
    node = Node(NodeState(config, random.Random(1)))
    callbacks = ControlCallbacks(
        submit=node.submit,
        read_clock=time.monotonic,
        is_ready=lambda: node.state.records.revision > 0,
        is_watching=lambda: node.state.stopping,
    )
    async with open_control_service(
        node.state, callbacks, LOOPBACK_ANY_PORT
    ) as endpoint:
        node.endpoint = endpoint
        yield node

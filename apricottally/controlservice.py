"""The control service of a node."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from apricottally.addresses import Endpoint
from apricottally.state import NodeState


@asynccontextmanager
async def open_control_service(
    endpoint: Endpoint,
    state: NodeState,
    shut_down: Callable[[], None],
) -> AsyncIterator[None]:
    """Serve the control endpoint until the block ends."""
    yield

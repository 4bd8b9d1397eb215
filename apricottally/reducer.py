"""The reducer: applies an event to the state and returns effects.

It does no I/O. Time comes from the events and randomness from the generator
in the state, so a run can be reproduced from its seed.
"""

from collections.abc import Callable
from typing import Any

from apricottally import (
    admission,
    dissemination,
    forwarding,
    membership,
    numbering,
    outboundchecks,
    peerdispatch,
    shardhandover,
    shutdown,
    silentflows,
    watcherrole,
)
from apricottally.effects import Effect
from apricottally.events import (
    Event,
    LoadReported,
    PacketReceived,
    PeerReceived,
    PlatformLost,
    RecordsReceived,
    ShutdownRequested,
    SwapCompleted,
    Ticked,
)
from apricottally.state import NodeState


def reduce(state: NodeState, event: Event) -> list[Effect]:
    """Apply one event to the state and return the effects to execute."""
    return _HANDLERS[type(event)](state, event)


def _tick(state: NodeState, event: Ticked) -> list[Effect]:
    silentflows.tick(state, event.now)
    admitted = admission.tick(state, event.now, event.wall_s)
    return [
        *membership.tick(state, event),
        *dissemination.tick(state, event),
        *peerdispatch.tick(state, event.now),
        *numbering.tick(state, event),
        *outboundchecks.drop_invalid(state, admitted),
        *shardhandover.tick(state, event.now),
        *shutdown.tick(state, event.now),
    ]


_HANDLERS: dict[type, Callable[[NodeState, Any], list[Effect]]] = {
    PacketReceived: forwarding.receive_packet,
    PeerReceived: peerdispatch.receive_datagram,
    Ticked: _tick,
    RecordsReceived: dissemination.receive_records,
    PlatformLost: watcherrole.handle_platform_loss,
    SwapCompleted: numbering.complete_swap,
    LoadReported: admission.receive_load,
    ShutdownRequested: shutdown.request,
}

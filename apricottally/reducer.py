"""The reducer: one function over all events that returns effects.

It does no I/O. Time comes in with the events and random numbers from the
generator in the state, so that a run can be repeated from its seed.
"""

from collections.abc import Callable
from typing import Any

from apricottally import admission, dissemination, forwarding, membership
from apricottally.effects import Effect, Exit, WriteLog
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
    """Apply one event to the state and return what has to be done."""
    return _HANDLERS[type(event)](state, event)


def _tick(state: NodeState, event: Ticked) -> list[Effect]:
    return [
        *membership.tick(state, event),
        *dissemination.tick(state, event),
        *admission.tick(state, event.now, event.wall_s),
    ]


def _receive_peer(state: NodeState, event: PeerReceived) -> list[Effect]:
    return []


def _lose_platform(state: NodeState, event: PlatformLost) -> list[Effect]:
    state.counters.add('platform_lost', event.reason)
    return [WriteLog('platform_lost', {'reason': event.reason})]


def _complete_swap(state: NodeState, event: SwapCompleted) -> list[Effect]:
    state.counters.add('swap', event.outcome)
    return []


def _shut_down(state: NodeState, event: ShutdownRequested) -> list[Effect]:
    state.stopping = True
    return [Exit(0)]


_HANDLERS: dict[type, Callable[[NodeState, Any], list[Effect]]] = {
    PacketReceived: forwarding.receive_packet,
    PeerReceived: _receive_peer,
    Ticked: _tick,
    RecordsReceived: dissemination.receive_records,
    PlatformLost: _lose_platform,
    SwapCompleted: _complete_swap,
    LoadReported: admission.receive_load,
    ShutdownRequested: _shut_down,
}

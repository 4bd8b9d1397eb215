"""Measures the clocks of neighbours, and places what their messages say."""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally.addresses import Endpoint
from apricottally.tagged import messages
from apricottally.tagged.clocks.asof import AsOf
from apricottally.tagged.clocks.bounds import Sender
from apricottally.tagged.effects import Effect, SendPeer
from apricottally.tagged.messages import (
    ClockReply,
    ClockRequest,
    Delta,
    Heartbeat,
)
from apricottally.tagged.neighbours import ALIVE_TIMEOUT_S, Neighbour

if TYPE_CHECKING:
    from apricottally.tagged.state import NodeState

# A bound is measured again after this time, which keeps its drift to 5 ms.
RENEWAL_PERIOD_S = 5.0
# A request or reply that was lost is repeated after this time.
RETRY_PERIOD_S = 0.2
# A bound is too high by the round trip at most. Replies that took longer are
# not used.
MAX_ROUND_TRIP_S = 0.5
# A heartbeat that was sent longer ago lay unread somewhere: its sender may be
# gone. The round trip is added because the age is too high by it.
MAX_MESSAGE_AGE_S = ALIVE_TIMEOUT_S + MAX_ROUND_TRIP_S


def request_if_due(
    state: NodeState, neighbour: Neighbour, now: float
) -> list[Effect]:
    """Ask a neighbour to read its clock unless its bound is recent."""
    if now - neighbour.clock_requested_at < RETRY_PERIOD_S:
        return []
    bound = state.clock_bounds.find(_get_sender(neighbour), now)
    if bound is not None and now - bound.measured_at < RENEWAL_PERIOD_S:
        return []
    neighbour.clock_requested_at = now
    request = ClockRequest(
        state.neighbours.own.incarnation, state.clock.read(now)
    )
    return [SendPeer((neighbour.endpoint,), messages.encode(request))]


def answer(
    state: NodeState, request: ClockRequest, source: Endpoint, now: float
) -> list[Effect]:
    """Return the reply with a reading of this node's clock."""
    own = state.neighbours.own
    reply = ClockReply(
        request.incarnation,
        request.sent_ms,
        own.name,
        own.incarnation,
        state.clock.read_up(now),
    )
    return [SendPeer((source,), messages.encode(reply))]


def receive_reply(state: NodeState, reply: ClockReply, now: float) -> None:
    """Record the bound that a reply proves.

    A reply to an earlier process of this node proves nothing, and a slow one
    little.
    """
    sent_at = state.clock.locate(reply.sent_ms)
    is_own = reply.requester == state.neighbours.own.incarnation
    if not is_own or not 0 <= now - sent_at <= MAX_ROUND_TRIP_S:
        state.counters.add('peer_dropped', 'clock_reply')
        return
    sender = Sender(reply.name, reply.incarnation)
    lead_s = reply.received_ms / 1000 - sent_at
    state.clock_bounds.record(sender, lead_s, now)


def place_heartbeat(
    state: NodeState, heartbeat: Heartbeat, now: float
) -> AsOf | None:
    """Return a time that is not after a heartbeat was sent.

    Returns None if the sender's clock has not been measured.
    """
    peer = heartbeat.sender
    sender = Sender(peer.name, peer.incarnation)
    return _place(state, sender, heartbeat.sent_ms, 'heartbeat', now)


def place_delta(state: NodeState, delta: Delta, now: float) -> AsOf | None:
    """Return the same time for a delta."""
    sender = Sender(delta.sender, delta.incarnation)
    return _place(state, sender, delta.sent_ms, 'delta', now)


def is_late(as_of: AsOf | None, now: float) -> bool:
    """Tell whether a message was sent too long ago to show what is now."""
    return as_of is not None and now - as_of.at > MAX_MESSAGE_AGE_S


def _place(
    state: NodeState,
    sender: Sender,
    sent_ms: int | None,
    kind: str,
    now: float,
) -> AsOf | None:
    if sent_ms is None:
        return None
    source = f'{kind} {sender.name}'
    return state.clock_bounds.place(sender, sent_ms, source, now)


def _get_sender(neighbour: Neighbour) -> Sender:
    return Sender(neighbour.peer.name, neighbour.peer.incarnation)

"""Dispatch of datagrams from other nodes to their protocol handlers."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from apricottally import (
    chunktransfer,
    memberlist,
    membership,
    messages,
    repair,
    shardhandover,
)
from apricottally.addresses import Endpoint
from apricottally.effects import Effect
from apricottally.errors import WireError
from apricottally.events import PeerReceived

if TYPE_CHECKING:
    from apricottally.state import NodeState


def receive_datagram(state: NodeState, event: PeerReceived) -> list[Effect]:
    """Handle a datagram of another node; count and drop an invalid one."""
    try:
        message = messages.decode(event.payload)
    except WireError as error:
        state.counters.add('peer_dropped', error.reason)
        return []
    handle = _HANDLERS[type(message)]
    return handle(state, event.now, event.source, message)


def tick(state: NodeState, now: float) -> list[Effect]:
    """Repeat queries that other nodes have not answered."""
    return [*repair.tick(state, now), *chunktransfer.tick(state, now)]


_Handler = Callable[['NodeState', float, Endpoint, Any], list[Effect]]

_HANDLERS: dict[type, _Handler] = {
    messages.Ping: membership.receive_ping,
    messages.Ack: membership.receive_ack,
    messages.PingRequest: membership.receive_ping_request,
    messages.Gossip: membership.receive_gossip,
    messages.MemberQuery: memberlist.receive_query,
    messages.MemberPage: memberlist.receive_page,
    messages.Push: repair.receive_push,
    messages.Offer: chunktransfer.receive_offer,
    messages.ChunkQuery: chunktransfer.receive_query,
    messages.Chunk: chunktransfer.receive_chunk,
    messages.DigestQuery: repair.receive_digest_query,
    messages.DigestReply: repair.receive_digests,
    messages.ListQuery: repair.receive_list_query,
    messages.ListReply: repair.receive_list,
    messages.FetchQuery: repair.receive_fetch_query,
    messages.OccupancyReport: shardhandover.receive_report,
}

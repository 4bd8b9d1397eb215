"""Sums of zones in heartbeats: what is sent to whom, and what is received.

Nodes of other zones get the sums of this node's zone. Nodes of this zone get
the sums of other zones. A fleet in which all nodes hear each other needs
neither.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from apricottally.addresses import Endpoint
from apricottally.tagged import messages
from apricottally.tagged.clocks.asof import AsOf
from apricottally.tagged.effects import SendPeer
from apricottally.tagged.messages import Heartbeat
from apricottally.tagged.zoneloads.counts import SUM_LIFETIME_S
from apricottally.tagged.zoneloads.forwarding import HeardSums
from apricottally.tagged.zoneloads.wire import (
    BACKEND_BYTES,
    FRAME_BYTES,
    MAX_BACKENDS,
    MAX_ZONES,
    ZoneLoads,
    pack,
    unpack,
)

if TYPE_CHECKING:
    from apricottally.tagged.state import NodeState

# A node that has just started has not heard from all nodes of its zone: their
# heartbeats are up to 0.25 s apart, and the first one may be lost.
WARM_UP_S = 0.5
# Minimum time between heartbeats with sums to other zones. It is longer than
# without sums because traffic between zones is expensive and the sums that the
# nodes of a zone send replace one another.
SUM_PERIOD_S = 0.2


@dataclass(frozen=True, slots=True)
class Outgoing:
    """Datagrams of one heartbeat, and the sums of other zones in them."""

    datagrams: tuple[SendPeer, ...]
    forwarded: tuple[ZoneLoads, ...] = ()

    @property
    def size(self) -> int:
        """Bytes in all datagrams."""
        return sum(
            len(sent.payload) * len(sent.dests) for sent in self.datagrams
        )


def get_remote_period(state: NodeState, usual_s: float, now: float) -> float:
    """Return the minimum time between heartbeats to other zones, in seconds.

    `usual_s` is that of heartbeats without sums.
    """
    return SUM_PERIOD_S if _has_sums(state, now) else usual_s


def address(
    state: NodeState,
    heartbeat: Heartbeat,
    near: list[Endpoint],
    partners: list[Endpoint],
    now: float,
) -> Outgoing:
    """Return the datagrams with a heartbeat for this and for other zones."""
    payload = messages.encode(heartbeat)
    max_backends = _count_room(len(payload))
    own = _sum_zone(state, max_backends, now) if partners else ()
    others = state.zone_forwarding.list_due(now, max_backends)
    if others and state.neighbours.is_small(now):
        others = ()
    if not (own or others):
        return Outgoing((SendPeer((*near, *partners), payload),))
    groups = ((near, others), (partners, own))
    datagrams = [
        SendPeer(tuple(dests), _encode_with(heartbeat, sums))
        for dests, sums in groups
        if dests
    ]
    return Outgoing(tuple(datagrams), others if near else ())


def mark_sent(state: NodeState, outgoing: Outgoing, now: float) -> None:
    """Record that the datagrams of a heartbeat were sent."""
    state.zone_forwarding.mark_forwarded(outgoing.forwarded, now)
    for _ in outgoing.forwarded:
        state.counters.add('zone_loads', 'forwarded')


def receive(
    state: NodeState, heartbeat: Heartbeat, sent: AsOf | None, now: float
) -> None:
    """Count the sums in a heartbeat; sums of this node's zone are ignored.

    `sent` is a time that is not after the heartbeat was sent; None if that is
    unknown, so that the age of the sums is, too.
    """
    for sums in heartbeat.zone_loads:
        if sent is None:
            state.counters.add('zone_loads', 'unknown_age')
            continue
        made_at = sent.earlier(sums.age_ms).at
        if sums.zone == state.config.zone:
            state.counters.add('zone_loads', 'own_zone')
        elif now - made_at > SUM_LIFETIME_S:
            state.counters.add('zone_loads', 'expired')
        else:
            _record(state, heartbeat.sender.zone, sums, made_at)


def _record(
    state: NodeState, sender_zone: str, sums: ZoneLoads, made_at: float
) -> None:
    state.counters.add('zone_loads', 'received')
    state.occupancy.record_sums(sums.zone, made_at, unpack(sums.loads))
    if sender_zone == state.config.zone:
        state.zone_forwarding.record_shared(sums.zone, made_at)
    elif sender_zone == sums.zone:
        heard = HeardSums(sums.zone, made_at, sums.loads)
        state.zone_forwarding.record_heard(heard)


def _count_room(size: int) -> int:
    """Return how many backends fit into a heartbeat of a size in bytes."""
    room = messages.MAX_DATAGRAM_BYTES - size - MAX_ZONES * FRAME_BYTES
    return max(0, min(MAX_BACKENDS, room // BACKEND_BYTES))


def _encode_with(heartbeat: Heartbeat, sums: tuple[ZoneLoads, ...]) -> bytes:
    return messages.encode(msgspec.structs.replace(heartbeat, zone_loads=sums))


def _sum_zone(
    state: NodeState, max_backends: int, now: float
) -> tuple[ZoneLoads, ...]:
    """Return the sums of this node's zone, none if no backend is full.

    After the last full backend, empty sums are sent for as long as receivers
    keep the previous ones.
    """
    if now - state.started_at < WARM_UP_S:
        return ()
    full = [
        (tag, busy)
        for tag, busy in state.occupancy.list_zone_busy()
        if busy >= _get_slots(state, tag)
    ]
    if full:
        state.zone_full_at = now
    elif not _has_sums(state, now):
        return ()
    loads = pack(heapq.nlargest(max_backends, full, key=_get_busy))
    return (ZoneLoads(state.config.zone, 0, loads),)


def _has_sums(state: NodeState, now: float) -> bool:
    return now - state.zone_full_at <= SUM_LIFETIME_S


def _get_slots(state: NodeState, tag: int) -> float:
    """Return a backend's slots, at least 1; infinity if it is unknown."""
    entry = state.catalog.find_by_tag(tag)
    if entry is None or entry.backend is None:
        return float('inf')
    return max(entry.backend.slots, 1)


def _get_busy(load: tuple[int, int]) -> int:
    return load[1]

"""Configuration of a node."""

from __future__ import annotations

import msgspec

from apricottally.addresses import Endpoint
from apricottally.tagged.messages import Peer


class NodeConfig(msgspec.Struct, frozen=True):
    """Configuration of a node, fixed at its start.

    `peer_port` is the port for datagrams and snapshot requests of other nodes;
    `seeds` are peer endpoints of other nodes. Records older than `stale_s`
    count as stale. A watch waits up to `watch_wait_s` for changes. On shutdown
    the node exits `leave_s` after it stops being ready; it is killed `grace_s`
    after the stop request. `zone_regions` has pairs of a zone and its region.
    A SYN for which no backend has room waits up to `max_wait_s` for one; 0
    refuses it at once. Heartbeats that are not urgent are limited to
    `heartbeat_bytes_per_s`. At most `hedge_share` of a service's openings may
    be hedged SYNs, 0 to 1; steady demand uses half of it. `strict` makes a
    violated invariant raise `InvariantError`.
    """

    name: str
    zone: str
    ip: str
    peer_port: int
    seeds: tuple[Endpoint, ...] = ()
    stale_s: float = 1.65
    watch_wait_s: float = 1.0
    leave_s: float = 1.4
    grace_s: float = 6.0
    max_wait_s: float = 0
    heartbeat_bytes_per_s: float = 60_000
    hedge_share: float = 0
    strict: bool = False
    zone_regions: tuple[tuple[str, str], ...] = ()

    def build_peer(self, incarnation: int) -> Peer:
        """Return what other nodes know of a process of this node."""
        return Peer(self.name, self.zone, self.ip, self.peer_port, incarnation)

"""Checks of the users' rules by what clients and backends see.

The bounds are those of RULES.md on the small sites. Only what machines in touch
have sent on is judged, while the store is stable.
"""

import asyncio
from dataclasses import dataclass, field

from tests.faults.touch import Disturbances

DRAIN_S = 3.0
CONFIG_APPLY_S = 3.0
FLOW_REORDER_S = 2.0
MIN_MISDIRECTED = 3
# The port of a route that moves from one service to another.
MOVED_PORT = 500


@dataclass
class Opening:
    """The opening packet that a backend took.

    `sent_at` is when the client sent it, `node` the IP of the node that sent it
    on; `judged` is set if that node was in touch and the store stable.
    """

    port: int
    sent_at: float
    node: str
    judged: bool


@dataclass
class Checks:
    """Judges openings and resets; `violations` describes what broke a rule.

    `services` has, for each port, the times of acknowledgement of its services;
    None stands for no route.
    """

    violations: list[str]
    store: Disturbances = field(default_factory=Disturbances)
    links: Disturbances = field(default_factory=Disturbances)
    nodes: dict[str, Disturbances] = field(default_factory=dict)
    # Stops and starts of nodes, after which a reset still counts.
    planned_work: dict[str, Disturbances] = field(default_factory=dict)
    services: dict[int, list[tuple[float, str | None]]] = field(
        default_factory=dict
    )

    def record_route(self, port: int, service: str | None) -> None:
        """Record that the store has acknowledged the service of a route."""
        now = asyncio.get_running_loop().time()
        known = self.services.setdefault(port, [])
        if not known or known[-1][1] != service:
            known.append((now, service))

    def is_in_touch(self, node: str) -> bool:
        """Tell whether a node is in touch and the store is stable."""
        return self.is_calm(node) and self.planned_work[node].is_calm()

    def is_calm(self, node: str) -> bool:
        """Tell the same with the exception of planned work."""
        if node not in self.nodes:
            return False
        parts = (self.nodes[node], self.links, self.store)
        return all(part.is_calm() for part in parts)

    def check_opening(self, backend, opening: Opening, request_id: str) -> None:
        """Check a request that runs on a flow that a backend has opened."""
        allowed = [service for _, service in self.services[opening.port]]
        if backend.service not in allowed:
            self.violations.append(
                f'ROUTE: {request_id} ran at {backend.service}'
            )
        if not opening.judged:
            return
        if backend.drained_at is not None:
            late_s = opening.sent_at - backend.drained_at - DRAIN_S
            if late_s > 0:
                self.violations.append(
                    f'DRAIN: {request_id} was sent {late_s:.2f} s too late '
                    f'to {backend.name} by {opening.node}'
                )
        in_force = self._list_in_force(opening)
        if backend.service not in in_force:
            self.violations.append(
                f'CONFIG: {request_id} ran at {backend.service} by '
                f'{opening.node}, in force: {in_force}'
            )

    def check_reset(
        self, backend, node: str | None, opened: tuple[int, float], name: str
    ) -> None:
        """Check a reset of an open flow that its backend did not send.

        `opened` are the flow's port and the time of its first packet.
        `node` is the IP of the node that has sent it, or that has sent the
        flow's last packet on if another backend has sent the reset.
        """
        if self._is_flow_judged(backend, node, opened):
            self.violations.append(
                f'FLOW: {name}: open flow at {backend.name} reset, '
                f'by way of {node}'
            )

    def check_direction(
        self,
        backend,
        node: str | None,
        opened: tuple[int, float],
        name: str,
        misdirected: list[float],
    ) -> None:
        """Check when a flow's packets reached other backends than its own.

        The rule is broken if that lasts for `FLOW_REORDER_S`.
        """
        if len(misdirected) < MIN_MISDIRECTED:
            return
        if misdirected[-1] - misdirected[0] < FLOW_REORDER_S:
            return
        if self._is_flow_judged(backend, node, opened):
            self.violations.append(
                f'FLOW: {name}: {len(misdirected)} packets of an open flow at '
                f'{backend.name} reached other backends, by way of {node}'
            )

    def _is_flow_judged(
        self, backend, node: str | None, opened: tuple[int, float]
    ) -> bool:
        if not backend.alive or not backend.disturbances.is_calm():
            return False
        if self._was_dropped(*opened):
            return False
        return node is not None and self.is_calm(node)

    def _was_dropped(self, port: int, since: float) -> bool:
        """Tell whether a configuration has dropped a route since a time.

        Flows of such a route are not counted.
        """
        known = self.services[port]
        later = [service for at, service in known if at > since]
        return None in later or known[-1][1] is None

    def _list_in_force(self, opening: Opening) -> list[str | None]:
        """Return the services that a route may have had for a packet."""
        known = self.services[opening.port]
        since = opening.sent_at - CONFIG_APPLY_S
        started = [index for index, (at, _) in enumerate(known) if at <= since]
        first = started[-1] if started else 0
        return [service for _, service in known[first:]]

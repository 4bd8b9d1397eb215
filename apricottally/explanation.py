"""Recent decisions of a node, and explanations of them to operators."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from apricottally import packet

if TYPE_CHECKING:
    from apricottally.routes import Service
    from apricottally.shards import Shard
    from apricottally.state import NodeState

# At about 200 bytes each, the decisions take less than 1 MB.
MAX_KEPT_DECISIONS = 4096


@dataclass(frozen=True, slots=True)
class Decision:
    """One decision about a flow.

    `action` is `admit`, `refuse`, `retry` or `reset`; `rule` is the reason.
    `number` is the backend number, -1 if no backend was chosen. `version` is
    that of the service's set of backends.
    """

    now: float
    key: bytes
    action: str
    rule: str
    workspace: str
    service: str
    number: int
    version: int


class DecisionLog:
    """The latest decisions, at most `MAX_KEPT_DECISIONS`."""

    __slots__ = ('_decisions',)

    def __init__(self) -> None:
        self._decisions: deque[Decision] = deque(maxlen=MAX_KEPT_DECISIONS)

    def add(self, decision: Decision) -> None:
        """Add a decision; a full log drops its oldest one."""
        self._decisions.append(decision)

    def find(self, key: bytes) -> list[Decision]:
        """Return the logged decisions about a flow, oldest first."""
        return [decision for decision in self._decisions if decision.key == key]


@dataclass(frozen=True, slots=True)
class Explanation:
    """How this node handles a flow.

    Names are empty and `number` is -1 where they do not apply. `version` is
    that of the service's set of backends. `rule` names how the backend is
    found, or why there is none.
    """

    rule: str
    workspace: str = ''
    template: str = ''
    service: str = ''
    version: int = 0
    shard: str = ''
    owner: str = ''
    number: int = -1
    backend: str = ''
    decisions: tuple[Decision, ...] = ()


def explain_flow(
    state: NodeState,
    key: bytes,
    service_ip: int,
    service_port: int,
    ts_ecr: int,
) -> Explanation:
    """Explain how a flow is handled; `ts_ecr` is 0 for its first packet."""
    route = state.routes.find(service_ip, service_port)
    if route is None:
        return Explanation('unknown_address')
    decisions = tuple(state.decisions.find(key))
    if ts_ecr:
        shard, number, rule = _find_by_number(route.service, ts_ecr)
    else:
        shard, number, rule = _find_by_shard(
            state,
            route.service,
            key,
            decisions,
        )
    backend = route.service.backends.get(number)
    owner = (
        state.owners.find_owner(shard.name, shard.zone).name if shard else ''
    )
    return Explanation(
        rule=rule,
        workspace=route.workspace,
        template=route.template_name,
        service=route.service.name,
        version=route.service.version,
        shard=shard.name if shard else '',
        owner=owner,
        number=number,
        backend=backend.name if backend else '',
        decisions=decisions,
    )


def _find_by_number(
    service: Service,
    ts_ecr: int,
) -> tuple[Shard | None, int, str]:
    """Return the route of a packet of an established flow.

    The low bits of its TSecr are the number of the backend.
    """
    number = ts_ecr & packet.NUMBER_MASK
    shard = service.shard_by_number.get(number)
    if number in service.endpoints:
        return shard, number, 'by_number'
    known = number in service.backends
    return shard, number, 'backend_gone' if known else 'unknown_number'


def _find_by_shard(
    state: NodeState,
    service: Service,
    key: bytes,
    decisions: tuple[Decision, ...],
) -> tuple[Shard | None, int, str]:
    """Return the shard of a first packet and the backend chosen last."""
    shard = state.owners.choose_shard(service.name, service.shards, key)
    if shard is None:
        return None, -1, 'no_backend'
    if decisions:
        return shard, decisions[-1].number, decisions[-1].rule
    return shard, -1, 'by_shard'

"""Tells the backends that lost a flow the tag of the one that serves it.

A backend that waits for the end of a handshake repeats its SYN-ACK with the
last tag that it was sent. One more copy of the SYN brings it the right one, so
that the client has it as well, also if all nodes that know the flow are gone.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from apricottally.tagged import retrying
from apricottally.tagged.effects import Effect, Forward
from apricottally.tagged.packets import FlowPacket
from apricottally.tagged.records import Route

if TYPE_CHECKING:
    from apricottally.tagged.flows import Flow
    from apricottally.tagged.state import NodeState

# Times after the opening at which a copy is sent. Most flows of one request
# are closed before the first one; the second one is for a loss.
COPY_DELAYS_S = (0.1, 0.5)


@dataclass(frozen=True, slots=True)
class Correction:
    """The SYN of a flow and the tags of the backends that lost it."""

    syn: FlowPacket
    route: Route
    losing_tags: tuple[int, ...]
    serving_tag: int


def schedule(
    state: NodeState, flow: Flow, syn: FlowPacket, serving_tag: int, now: float
) -> None:
    """Send copies of an opened flow's SYN to the other backends soon."""
    losing_tags = tuple(tag for tag in flow.tried_tags if tag != serving_tag)
    if not losing_tags:
        return
    correction = Correction(syn, flow.route, losing_tags, serving_tag)
    for delay_s in COPY_DELAYS_S:
        state.flows.corrections.add(correction, now + delay_s)


def tick(state: NodeState, now: float) -> list[Effect]:
    """Send the copies that are due, unless the flow is closed."""
    effects: list[Effect] = []
    for correction in state.flows.corrections.take_due(now):
        flow = state.flows.by_key.get(correction.syn.key)
        if flow is None or flow.closed:
            continue
        if flow.initial_sequence == correction.syn.sequence:
            effects += _send(state, correction, now)
    return effects


def _send(state: NodeState, correction: Correction, now: float) -> list[Effect]:
    effects: list[Effect] = []
    for tag in correction.losing_tags:
        entry = state.catalog.find_by_tag(tag)
        if entry is None or entry.backend is None:
            continue
        if not retrying.may_get_copy(state, correction.route, entry, now):
            continue
        state.counters.add('corrected', 'losing_backend')
        effects.append(
            Forward(entry.backend, correction.syn.raw, correction.serving_tag)
        )
    return effects

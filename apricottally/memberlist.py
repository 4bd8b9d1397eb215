"""Transfer of the whole member list, by pages, at the requester's own pace.

A node that joins, or whose member digest stays different from its peers'
digests, requests the member list of one peer. A known member that the list
has as dead is only suspected, so that it can refute after a network partition
has healed.
"""

from __future__ import annotations

import bisect
import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from apricottally import messages
from apricottally.addresses import Endpoint
from apricottally.effects import Effect, SendPeer
from apricottally.members import Member, MemberState
from apricottally.messages import MemberPage, MemberQuery
from apricottally.swim import apply_updates
from apricottally.tokenbucket import TokenBucket

if TYPE_CHECKING:
    from apricottally.state import NodeState

# A digest must differ for this long before a list is requested: digests also
# differ while updates are being disseminated, and a list is large.
MIN_DIFFERENCE_S = 5.0
# If no digest has differed for this long, the next difference starts a new
# period.
DIFFERENCE_RESET_S = 3.0
# With 1,500 members, allows about four lists in a burst, then one per minute.
LIST_BYTES_PER_S = 1200
LIST_BURST_BYTES = 300_000
ESTIMATED_MEMBER_BYTES = 50
RETRY_S = 0.5
MAX_TRIES = 3
# A node that reaches no seed within this time counts as joined, and serves
# alone.
JOIN_TIMEOUT_S = 3.0


@dataclass(slots=True)
class ListTransfer:
    """A list being requested; `after` is the last member name received."""

    peer: Endpoint
    requested_at: float
    after: str = ''
    tries: int = 1


@dataclass(slots=True)
class MemberListSync:
    """State of this node's member list transfers.

    `joined` is set once the node has the member list, or has reached no seed
    in time. `differing_since` and `last_differed_at` are the first and the
    last time at which a peer's digest differed, in the current period.
    `names` are the sorted member names at table version `names_version`.
    """

    joined: bool = False
    started_at: float | None = None
    transfer: ListTransfer | None = None
    differing_since: float = -math.inf
    last_differed_at: float = -math.inf
    names: list[str] = field(default_factory=list)
    names_version: int = 0
    budget: TokenBucket = field(
        default_factory=lambda: TokenBucket(LIST_BYTES_PER_S, LIST_BURST_BYTES),
    )


def tick(state: NodeState, now: float) -> list[Effect]:
    """Repeat an unanswered page request, and time out the join."""
    sync = state.protocols.memberlist_sync
    if sync.started_at is None:
        sync.started_at = now
        sync.joined = not state.config.seeds
    transfer = sync.transfer
    if transfer is None:
        if now - sync.started_at >= JOIN_TIMEOUT_S:
            sync.joined = True
        return []
    if now - transfer.requested_at < RETRY_S:
        return []
    if transfer.tries >= MAX_TRIES:
        sync.transfer = None
        return []
    transfer.tries += 1
    return [_request_page(transfer, now)]


def compare_digest(
    state: NodeState,
    now: float,
    source: Endpoint,
    digest: int,
) -> list[Effect]:
    """Compare a peer's member digest with this node's.

    Requests the peer's list if the digests have differed for long enough.
    """
    sync = state.protocols.memberlist_sync
    if digest == state.protocols.swim.digest:
        sync.joined = True
        return []
    if sync.transfer is not None or not _should_request_list(state, now):
        return []
    sync.transfer = ListTransfer(source, now)
    state.counters.add('member', 'list_asked')
    return [_request_page(sync.transfer, now)]


def receive_query(
    state: NodeState,
    now: float,
    source: Endpoint,
    message: MemberQuery,
) -> list[Effect]:
    """Answer with as many members as fit a datagram."""
    names = _sort_names(state)
    start = bisect.bisect_right(names, message.after)
    page: list[Member] = []
    free_bytes = messages.MAX_CONTENT_BYTES
    for name in names[start:]:
        member = state.members.members[name]
        free_bytes -= messages.compute_size(member)
        if free_bytes < 0:
            break
        page.append(member)
    more = start + len(page) < len(names)
    answer = MemberPage(message.after, tuple(page), more)
    return [SendPeer(source, messages.encode(answer))]


def receive_page(
    state: NodeState,
    now: float,
    source: Endpoint,
    message: MemberPage,
) -> list[Effect]:
    """Apply the members of a page and request the next page."""
    sync = state.protocols.memberlist_sync
    transfer = sync.transfer
    if transfer is None or transfer.after != message.after:
        return []
    if source != transfer.peer:
        state.counters.add('transfer', 'foreign_page')
        return []
    effects: list[Effect] = []
    for member in message.members:
        accepted = _downgrade_dead(state, member)
        # Disseminate only new suspicions: other nodes request lists themselves.
        disseminate = accepted is not member
        effects += apply_updates(
            state, now, (accepted,), disseminate=disseminate
        )
    if message.more and message.members:
        transfer.after = message.members[-1].name
        transfer.tries = 1
        effects.append(_request_page(transfer, now))
        return effects
    sync.transfer = None
    sync.last_differed_at = -math.inf
    sync.joined = True
    return effects


def _should_request_list(state: NodeState, now: float) -> bool:
    """Tell whether to request a list; charges its size to the budget."""
    sync = state.protocols.memberlist_sync
    if not sync.joined:
        return True
    if now - sync.last_differed_at > DIFFERENCE_RESET_S:
        sync.differing_since = now
    sync.last_differed_at = now
    if now - sync.differing_since < MIN_DIFFERENCE_S:
        return False
    size = len(state.members.members) * ESTIMATED_MEMBER_BYTES
    return sync.budget.take(now, min(size, LIST_BURST_BYTES))


def _request_page(transfer: ListTransfer, now: float) -> SendPeer:
    transfer.requested_at = now
    query = MemberQuery(transfer.after)
    return SendPeer(transfer.peer, messages.encode(query))


def _sort_names(state: NodeState) -> list[str]:
    sync = state.protocols.memberlist_sync
    if sync.names_version != state.members.version:
        sync.names = sorted(state.members.members)
        sync.names_version = state.members.version
    return sync.names


def _downgrade_dead(state: NodeState, member: Member) -> Member:
    """Return a dead member that is known as suspect, others unchanged."""
    known = member.name in state.members.members
    if member.state is not MemberState.dead or not known:
        return member
    return msgspec.structs.replace(member, state=MemberState.suspect)

"""Transfer of the whole member list, page by page, on a node's own pace.

A node that joins, or whose digest of members keeps differing from those of
its peers, asks one peer for its list. A dead member on it is taken as a
suspect only, so that a node on the other side of a healed cut can refute.
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
from apricottally.swim import learn
from apricottally.tokenbucket import TokenBucket

if TYPE_CHECKING:
    from apricottally.state import NodeState

# Digests differ while changes spread; a list is large.
DIFFERENCE_S = 5.0
# Without a differing digest for so long, the next one counts as the first.
FORGET_S = 3.0
# Of 1,500 members about four lists at once, then one in a minute.
LIST_BYTES_PER_S = 1200
LIST_BURST_BYTES = 300_000
MEMBER_BYTES = 50
RETRY_S = 0.5
MAX_TRIES = 3
# A node that reaches no seed for so long serves alone.
JOIN_TIMEOUT_S = 3.0


@dataclass(slots=True)
class Transfer:
    """A list being asked for; `after` is the last name received."""

    peer: Endpoint
    asked: float
    after: str = ''
    tries: int = 1


@dataclass(slots=True)
class MemberList:
    """Progress of this node's transfers.

    `joined` says that the node knows the members, or reached nobody.
    `differs_since` is when a peer's digest first differed, `differed` when
    one did last.
    `names` are the sorted names at the version `names_version`.
    """

    joined: bool = False
    started: float | None = None
    transfer: Transfer | None = None
    differs_since: float = -math.inf
    differed: float = -math.inf
    names: list[str] = field(default_factory=list)
    names_version: int = 0
    budget: TokenBucket = field(
        default_factory=lambda: TokenBucket(LIST_BYTES_PER_S, LIST_BURST_BYTES),
    )


def tick(state: NodeState, now: float) -> list[Effect]:
    """Ask again for a page that did not come."""
    progress = state.control.memberlist
    if progress.started is None:
        progress.started = now
        progress.joined = not state.config.seeds
    transfer = progress.transfer
    if transfer is None:
        if now - progress.started >= JOIN_TIMEOUT_S:
            progress.joined = True
        return []
    if now - transfer.asked < RETRY_S:
        return []
    if transfer.tries >= MAX_TRIES:
        progress.transfer = None
        return []
    transfer.tries += 1
    return [_ask(transfer, now)]


def note_digest(
    state: NodeState,
    now: float,
    source: Endpoint,
    digest: int,
) -> list[Effect]:
    """Compare a peer's digest of members with this node's."""
    progress = state.control.memberlist
    if digest == state.control.swim.digest:
        progress.joined = True
        return []
    if progress.transfer is not None or not _is_due(state, now):
        return []
    progress.transfer = Transfer(source, now)
    state.counters.add('member', 'list_asked')
    return [_ask(progress.transfer, now)]


def receive_query(
    state: NodeState,
    now: float,
    source: Endpoint,
    message: MemberQuery,
) -> list[Effect]:
    """Answer with as many members as a datagram takes."""
    names = _sort_names(state)
    start = bisect.bisect_right(names, message.after)
    page: list[Member] = []
    room = messages.ROOM_BYTES
    for name in names[start:]:
        member = state.members.members[name]
        room -= messages.measure(member)
        if room < 0:
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
    """Take the members of a page and ask for the next one."""
    progress = state.control.memberlist
    transfer = progress.transfer
    if transfer is None or transfer.after != message.after:
        return []
    effects: list[Effect] = []
    for member in message.members:
        softened = _soften(state, member)
        # The others take what is no news from lists of their own.
        spread = softened is not member
        effects += learn(state, now, (softened,), spread=spread)
    if message.more and message.members:
        transfer.after = message.members[-1].name
        transfer.tries = 1
        effects.append(_ask(transfer, now))
        return effects
    progress.transfer = None
    progress.differed = -math.inf
    progress.joined = True
    return effects


def _is_due(state: NodeState, now: float) -> bool:
    """Tell whether to ask for a list; its whole size is budgeted."""
    progress = state.control.memberlist
    if not progress.joined:
        return True
    if now - progress.differed > FORGET_S:
        progress.differs_since = now
    progress.differed = now
    if now - progress.differs_since < DIFFERENCE_S:
        return False
    size = len(state.members.members) * MEMBER_BYTES
    return progress.budget.take(now, min(size, LIST_BURST_BYTES))


def _ask(transfer: Transfer, now: float) -> SendPeer:
    transfer.asked = now
    query = MemberQuery(transfer.after)
    return SendPeer(transfer.peer, messages.encode(query))


def _sort_names(state: NodeState) -> list[str]:
    progress = state.control.memberlist
    if progress.names_version != state.members.version:
        progress.names = sorted(state.members.members)
        progress.names_version = state.members.version
    return progress.names


def _soften(state: NodeState, member: Member) -> Member:
    """Return a known dead member as a suspect, any other as it is."""
    known = member.name in state.members.members
    if member.state is not MemberState.dead or not known:
        return member
    return msgspec.structs.replace(member, state=MemberState.suspect)

"""Repair of records that the push has missed, by digests and pulls.

Pings carry a digest of all records. If it keeps differing from a peer's,
this node asks that peer for the digests of its buckets, lists the buckets
that differ and fetches the records that are newer. One query is on its way
at a time, so the transfer runs at the pace of the network.
"""

from __future__ import annotations

import math
import struct
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from apricottally import dissemination, messages, transfer
from apricottally.addresses import Endpoint
from apricottally.effects import Effect, SendPeer
from apricottally.messages import (
    DigestQuery,
    DigestReply,
    Entry,
    FetchQuery,
    ListQuery,
    ListReply,
    Message,
    Push,
    View,
)
from apricottally.records import BUCKETS
from apricottally.tokenbucket import TokenBucket

if TYPE_CHECKING:
    from apricottally.state import NodeState

# A pushed record reaches nearly all nodes sooner.
DIFFERENCE_S = 1.0
# Without a differing digest for so long, the next one counts as the first.
FORGET_S = 3.0
RETRY_S = 0.3
MAX_TRIES = 4
# An hour's changes are repaired at once; the mean stays low.
REPAIR_BYTES_PER_S = 500
REPAIR_BURST_BYTES = 1_000_000

_DIGESTS = struct.Struct(f'!{BUCKETS}Q')


@dataclass(slots=True)
class Session:
    """A pull from one peer.

    `buckets` are those to be listed, the last one from key `after` on;
    `wants` are the records to be fetched and `waiting` the keys asked for.
    """

    peer: Endpoint
    asked: float
    tries: int = 0
    compared: bool = False
    buckets: list[int] = field(default_factory=list)
    after: str = ''
    wants: dict[str, Entry] = field(default_factory=dict)
    waiting: frozenset[str] = frozenset()


@dataclass(slots=True)
class Repair:
    """Whether this node is ready, and its present pull.

    `differs_since` is when a peer's digest first differed, `differed` when
    one did last. An equal digest does not reset them: two neighbours that
    have missed the same record would keep each other from asking for it.
    """

    ready: bool = False
    differs_since: float = -math.inf
    differed: float = -math.inf
    session: Session | None = None
    budget: TokenBucket = field(
        default_factory=lambda: TokenBucket(
            REPAIR_BYTES_PER_S, REPAIR_BURST_BYTES
        ),
    )


def note_view(
    state: NodeState,
    now: float,
    source: Endpoint,
    view: View,
) -> list[Effect]:
    """Compare a peer's digest of records with this node's."""
    repair = state.control.repair
    if not view.ready:
        return []
    if view.digest == state.records.digest():
        repair.ready = True
        return []
    if repair.session is not None or not _is_due(state, now, view):
        return []
    state.counters.add('repair', 'started')
    repair.session = Session(source, now)
    return _continue(state, now, repair.session)


def _is_due(state: NodeState, now: float, view: View) -> bool:
    """Tell whether a differing digest is reason enough to start a pull."""
    repair = state.control.repair
    if not repair.ready:
        return True
    if view.revision < state.records.revision:
        # The peer lacks something, and asks for it itself.
        return False
    if now - repair.differed > FORGET_S:
        repair.differs_since = now
    repair.differed = now
    return now - repair.differs_since >= DIFFERENCE_S


def tick(state: NodeState, now: float) -> list[Effect]:
    """Ask again, or give up a peer that does not answer."""
    session = state.control.repair.session
    if session is None or now - session.asked < RETRY_S:
        return []
    session.tries += 1
    if session.tries > MAX_TRIES:
        state.counters.add('repair', 'gave_up')
        state.control.repair.session = None
        return []
    return _continue(state, now, session)


def receive_push(
    state: NodeState,
    now: float,
    source: Endpoint,
    message: Push,
) -> list[Effect]:
    """Apply a neighbour's records; go on if they were asked for."""
    effects = dissemination.receive_push(state, now, source, message)
    session = state.control.repair.session
    if session is None or session.peer != source:
        return effects
    if session.waiting.isdisjoint(part.key for part in message.items):
        return effects
    session.waiting = frozenset()
    session.tries = 0
    # A record that was refused would otherwise be asked for for ever.
    for part in message.items:
        session.wants.pop(part.key, None)
    return effects + _continue(state, now, session)


def receive_digest_query(
    state: NodeState,
    now: float,
    source: Endpoint,
    message: DigestQuery,
) -> list[Effect]:
    """Answer with the digests of all buckets."""
    digests = _DIGESTS.pack(*state.records.bucket_digests())
    return [SendPeer(source, messages.encode(DigestReply(digests)))]


def receive_digests(
    state: NodeState,
    now: float,
    source: Endpoint,
    message: DigestReply,
) -> list[Effect]:
    """Find the buckets that differ."""
    session = state.control.repair.session
    if session is None or session.peer != source or session.compared:
        return []
    if len(message.digests) != _DIGESTS.size:
        state.counters.add('peer_dropped', 'invalid_digests')
        return []
    theirs = _DIGESTS.unpack(message.digests)
    own = state.records.bucket_digests()
    session.compared = True
    session.buckets = [
        bucket for bucket in range(BUCKETS) if theirs[bucket] != own[bucket]
    ]
    return _continue(state, now, session)


def receive_list_query(
    state: NodeState,
    now: float,
    source: Endpoint,
    message: ListQuery,
) -> list[Effect]:
    """Answer with as many entries of the bucket as a datagram takes."""
    if not 0 <= message.bucket < BUCKETS:
        state.counters.add('peer_dropped', 'invalid_bucket')
        return []
    held = state.records.list_bucket(message.bucket, message.after)
    entries: list[Entry] = []
    room = messages.ROOM_BYTES - messages.MAX_KEY_BYTES
    for record in held:
        entry = Entry(record.key, record.version, len(record.value or b''))
        room -= messages.measure(entry)
        if room < 0:
            break
        entries.append(entry)
    answer = ListReply(
        message.bucket,
        message.after,
        tuple(entries),
        len(entries) < len(held),
    )
    return [SendPeer(source, messages.encode(answer))]


def receive_list(
    state: NodeState,
    now: float,
    source: Endpoint,
    message: ListReply,
) -> list[Effect]:
    """Note the records that are newer at the peer."""
    session = state.control.repair.session
    if session is None or session.peer != source or not session.buckets:
        return []
    if (session.buckets[-1], session.after) != (message.bucket, message.after):
        return []
    effects: list[Effect] = []
    for entry in message.entries:
        if entry.size > messages.INLINE_BYTES:
            effects += transfer.fetch(state, now, source, entry)
        elif entry.version > state.records.version_of(entry.key):
            session.wants[entry.key] = entry
    if message.more and message.entries:
        session.after = message.entries[-1].key
    else:
        session.buckets.pop()
        session.after = ''
    session.tries = 0
    return effects + _continue(state, now, session)


def receive_fetch_query(
    state: NodeState,
    now: float,
    source: Endpoint,
    message: FetchQuery,
) -> list[Effect]:
    """Answer with as many of the records as one datagram takes."""
    held = [
        state.records.records[key]
        for key in message.keys
        if key in state.records.records
    ]
    packed: list[Message] = dissemination.pack(held)
    return [SendPeer(source, messages.encode(part)) for part in packed[:1]]


def _continue(
    state: NodeState,
    now: float,
    session: Session,
) -> list[Effect]:
    """Send the next query of a pull, or end it."""
    _drop_satisfied(state, session)
    query: Message
    if not session.compared:
        query = DigestQuery()
    elif session.wants:
        query = FetchQuery(_choose_keys(session))
        session.waiting = frozenset(query.keys)
    elif session.buckets:
        query = ListQuery(session.buckets[-1], session.after)
    else:
        state.control.repair.session = None
        state.control.repair.differed = -math.inf
        return []
    repair = state.control.repair
    session.asked = now
    if repair.ready and not repair.budget.take(
        now,
        messages.MAX_DATAGRAM_BYTES,
    ):
        # The timer asks again; it is not the peer that did not answer.
        session.tries = 0
        return []
    return [SendPeer(session.peer, messages.encode(query))]


def _choose_keys(session: Session) -> tuple[str, ...]:
    """Return wanted keys whose records together fill one datagram."""
    keys: list[str] = []
    room = messages.ROOM_BYTES
    for entry in session.wants.values():
        room -= messages.measure(entry) + entry.size
        if room < 0 and keys:
            break
        keys.append(entry.key)
    return tuple(keys)


def _drop_satisfied(state: NodeState, session: Session) -> None:
    """Drop wants that came by another way."""
    satisfied = [
        key
        for key, entry in session.wants.items()
        if state.records.version_of(key) >= entry.version
    ]
    for key in satisfied:
        session.wants.pop(key)

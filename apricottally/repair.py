"""Anti-entropy: recovery of records that were lost when pushed.

Pings carry a digest of all records. If a peer's digest stays different from
this node's, the node requests the peer's bucket digests, lists the buckets
that differ and fetches the records that are newer at the peer. Only one query
is outstanding at a time, so the pull adapts to the speed of the network.
"""

from __future__ import annotations

import math
import struct
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from apricottally import chunktransfer, dissemination, messages
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

# A digest must differ for this long before a pull starts: a pushed record
# reaches nearly all nodes sooner.
MIN_DIFFERENCE_S = 1.0
# If no digest has differed for this long, the next difference starts a new
# period.
DIFFERENCE_RESET_S = 3.0
RETRY_S = 0.3
MAX_TRIES = 4
# The burst covers the changes of an hour; the mean rate stays low.
REPAIR_BYTES_PER_S = 500
REPAIR_BURST_BYTES = 1_000_000

_DIGEST_FORMAT = struct.Struct(f'!{BUCKETS}Q')


@dataclass(slots=True)
class PullSession:
    """A pull from one peer.

    `buckets` are still to be listed; the last one is next, after key `after`.
    `wanted` are the records still to be fetched, `requested_keys` the keys of
    the outstanding query.
    """

    peer: Endpoint
    requested_at: float
    tries: int = 0
    buckets_compared: bool = False
    buckets: list[int] = field(default_factory=list)
    after: str = ''
    wanted: dict[str, Entry] = field(default_factory=dict)
    requested_keys: frozenset[str] = frozenset()


@dataclass(slots=True)
class RepairState:
    """Whether this node is ready, and its pull in progress.

    `differing_since` and `last_differed_at` are the first and the last time at
    which a peer's digest differed, in the current period. An equal digest does
    not reset them: otherwise two peers that missed the same record would keep
    each other from requesting it.
    """

    ready: bool = False
    differing_since: float = -math.inf
    last_differed_at: float = -math.inf
    session: PullSession | None = None
    budget: TokenBucket = field(
        default_factory=lambda: TokenBucket(
            REPAIR_BYTES_PER_S, REPAIR_BURST_BYTES
        ),
    )


def compare_view(
    state: NodeState,
    now: float,
    source: Endpoint,
    view: View,
) -> list[Effect]:
    """Compare a peer's record digest with this node's; maybe start a pull."""
    repair = state.protocols.repair
    if not view.ready:
        return []
    if view.digest == state.records.digest():
        repair.ready = True
        return []
    if repair.session is not None or not _should_start_pull(state, now, view):
        return []
    state.counters.add('repair', 'started')
    repair.session = PullSession(source, now)
    return _send_next_query(state, now, repair.session)


def _should_start_pull(state: NodeState, now: float, view: View) -> bool:
    """Tell whether to start a pull from a peer whose digest differs."""
    repair = state.protocols.repair
    if not repair.ready:
        return True
    if view.revision < state.records.revision:
        # The peer lacks records; it starts a pull itself.
        return False
    if now - repair.last_differed_at > DIFFERENCE_RESET_S:
        repair.differing_since = now
    repair.last_differed_at = now
    return now - repair.differing_since >= MIN_DIFFERENCE_S


def tick(state: NodeState, now: float) -> list[Effect]:
    """Repeat an unanswered query; end the pull after too many tries."""
    session = state.protocols.repair.session
    if session is None or now - session.requested_at < RETRY_S:
        return []
    session.tries += 1
    if session.tries > MAX_TRIES:
        state.counters.add('repair', 'gave_up')
        state.protocols.repair.session = None
        return []
    return _send_next_query(state, now, session)


def receive_push(
    state: NodeState,
    now: float,
    source: Endpoint,
    message: Push,
) -> list[Effect]:
    """Apply a peer's records; continue the pull if it requested them."""
    effects = dissemination.receive_push(state, now, source, message)
    session = state.protocols.repair.session
    if session is None or session.peer != source:
        return effects
    if session.requested_keys.isdisjoint(part.key for part in message.items):
        return effects
    session.requested_keys = frozenset()
    session.tries = 0
    # Otherwise a record that is rejected would be requested endlessly.
    for part in message.items:
        session.wanted.pop(part.key, None)
    return effects + _send_next_query(state, now, session)


def receive_digest_query(
    state: NodeState,
    now: float,
    source: Endpoint,
    message: DigestQuery,
) -> list[Effect]:
    """Answer with the digests of all buckets."""
    digests = _DIGEST_FORMAT.pack(*state.records.bucket_digests())
    return [SendPeer(source, messages.encode(DigestReply(digests)))]


def receive_digests(
    state: NodeState,
    now: float,
    source: Endpoint,
    message: DigestReply,
) -> list[Effect]:
    """Find the buckets whose digests differ."""
    session = state.protocols.repair.session
    if session is None or session.peer != source or session.buckets_compared:
        return []
    if len(message.digests) != _DIGEST_FORMAT.size:
        state.counters.add('peer_dropped', 'invalid_digests')
        return []
    peer_digests = _DIGEST_FORMAT.unpack(message.digests)
    own_digests = state.records.bucket_digests()
    session.buckets_compared = True
    session.buckets = [
        bucket
        for bucket in range(BUCKETS)
        if peer_digests[bucket] != own_digests[bucket]
    ]
    return _send_next_query(state, now, session)


def receive_list_query(
    state: NodeState,
    now: float,
    source: Endpoint,
    message: ListQuery,
) -> list[Effect]:
    """Answer with as many entries of the bucket as fit a datagram."""
    if not 0 <= message.bucket < BUCKETS:
        state.counters.add('peer_dropped', 'invalid_bucket')
        return []
    stored = state.records.list_bucket(message.bucket, message.after)
    entries: list[Entry] = []
    free_bytes = messages.MAX_CONTENT_BYTES - messages.MAX_KEY_BYTES
    for record in stored:
        entry = Entry(record.key, record.version, len(record.value or b''))
        free_bytes -= messages.compute_size(entry)
        if free_bytes < 0:
            break
        entries.append(entry)
    answer = ListReply(
        message.bucket,
        message.after,
        tuple(entries),
        len(entries) < len(stored),
    )
    return [SendPeer(source, messages.encode(answer))]


def receive_list(
    state: NodeState,
    now: float,
    source: Endpoint,
    message: ListReply,
) -> list[Effect]:
    """Select the listed records that are newer at the peer for fetching."""
    session = state.protocols.repair.session
    if session is None or session.peer != source or not session.buckets:
        return []
    if (session.buckets[-1], session.after) != (message.bucket, message.after):
        return []
    effects: list[Effect] = []
    for entry in message.entries:
        if entry.size > messages.MAX_INLINE_BYTES:
            effects += chunktransfer.fetch(state, now, source, entry)
        elif entry.version > state.records.version_of(entry.key):
            session.wanted[entry.key] = entry
    if message.more and message.entries:
        session.after = message.entries[-1].key
    else:
        session.buckets.pop()
        session.after = ''
    session.tries = 0
    return effects + _send_next_query(state, now, session)


def receive_fetch_query(
    state: NodeState,
    now: float,
    source: Endpoint,
    message: FetchQuery,
) -> list[Effect]:
    """Answer with as many of the records as fit one datagram."""
    stored = [
        state.records.records[key]
        for key in message.keys
        if key in state.records.records
    ]
    packed: list[Message] = dissemination.pack_records(stored)
    return [SendPeer(source, messages.encode(part)) for part in packed[:1]]


def _send_next_query(
    state: NodeState,
    now: float,
    session: PullSession,
) -> list[Effect]:
    """Send the next query of a pull, or end the pull if it is complete."""
    _drop_received(state, session)
    query: Message
    if not session.buckets_compared:
        query = DigestQuery()
    elif session.wanted:
        query = FetchQuery(_choose_keys(session))
        session.requested_keys = frozenset(query.keys)
    elif session.buckets:
        query = ListQuery(session.buckets[-1], session.after)
    else:
        state.protocols.repair.session = None
        state.protocols.repair.last_differed_at = -math.inf
        return []
    repair = state.protocols.repair
    session.requested_at = now
    if repair.ready and not repair.budget.take(
        now,
        messages.MAX_DATAGRAM_BYTES,
    ):
        # Over budget: `tick` tries again. The peer has not failed to answer.
        session.tries = 0
        return []
    return [SendPeer(session.peer, messages.encode(query))]


def _choose_keys(session: PullSession) -> tuple[str, ...]:
    """Return keys of wanted records that together fit one datagram.

    A record that is too large on its own is returned alone.
    """
    keys: list[str] = []
    free_bytes = messages.MAX_CONTENT_BYTES
    for entry in session.wanted.values():
        free_bytes -= messages.compute_size(entry) + entry.size
        if free_bytes < 0 and keys:
            break
        keys.append(entry.key)
    return tuple(keys)


def _drop_received(state: NodeState, session: PullSession) -> None:
    """Drop wanted records that have arrived from another source."""
    received = [
        key
        for key, entry in session.wanted.items()
        if state.records.version_of(key) >= entry.version
    ]
    for key in received:
        session.wanted.pop(key)

"""Applying record changes from any source and relaying them to other nodes.

A node that reads a change from the platform sends it to the nodes near it and
to its partners in other zones; each node that receives a change sends it once
to the nodes near it. A node that has missed a change sees a higher revision in
a heartbeat and pulls a snapshot.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricottally.effects import LogValue
from apricottally.tagged import applying, messages, recordlogs
from apricottally.tagged.clocks import exchange
from apricottally.tagged.clocks.asof import AsOf
from apricottally.tagged.effects import (
    Effect,
    PullSnapshot,
    SendPeer,
    WriteLog,
)
from apricottally.tagged.events import (
    RecordsChanged,
    RecordsListed,
    SnapshotPulled,
)
from apricottally.tagged.freshness import MAX_AGE_MS, PLATFORM
from apricottally.tagged.messages import (
    Delta,
    Heartbeat,
    Snapshot,
    SnapshotRequest,
)
from apricottally.tagged.neighbours import Neighbour
from apricottally.tagged.places import transitions
from apricottally.tagged.records import BackendChange, Change
from apricottally.tagged.revisions import NO_REVISION, Revision

if TYPE_CHECKING:
    from apricottally.tagged.state import NodeState

# After a heartbeat with a higher revision, a node waits PULL_DELAY_S for the
# changes to arrive by relay before it pulls a snapshot. A pull without a result
# is retried after PULL_RETRY_S.
PULL_DELAY_S = 0.03
PULL_RETRY_S = 0.5


def apply_list(state: NodeState, event: RecordsListed) -> list[Effect]:
    """Apply a complete list from the platform and relay what changed."""
    known_revision = state.catalog.revision
    effects = applying.start_epoch(state, event.revision, event.now)
    logs, applied = applying.apply_changes(
        state, event.changes, PLATFORM, event.now
    )
    effects += logs
    missing = applying.remove_missing(
        state, event.changes, event.revision, event.now
    )
    effects += [
        recordlogs.describe_missing(state, name, event.now) for name in missing
    ]
    ended = transitions.end_missing(
        state, event.changes, event.revision, event.now
    )
    effects += transitions.describe_all(state, ended, event.now)
    as_of = AsOf(event.requested_at, PLATFORM)
    applying.advance_revision(state, event.revision, as_of, event.now)
    if event.revision.epoch != known_revision.epoch:
        # Others cannot apply a difference between two epochs.
        state.heartbeat_due = True
        return effects
    if known_revision == NO_REVISION or not (applied or missing or ended):
        return effects
    # The receivers need all newer records, also those that repeat what this
    # node knew of an earlier epoch; the others are repairs.
    newer = [
        change for change in event.changes if change.revision > known_revision
    ]
    repairs = [
        change for change in applied if change.revision <= known_revision
    ]
    removed = [BackendChange(name, event.revision, None) for name in missing]
    changes = (*repairs, *newer, *removed, *ended)
    delta = _build_delta(
        state, known_revision, event.revision, changes, event.now
    )
    return effects + _announce(state, delta, event.now)


def apply_watched_changes(
    state: NodeState, event: RecordsChanged
) -> list[Effect]:
    """Apply the changes from a watch of the platform and relay them."""
    effects, _ = applying.apply_changes(
        state, event.changes, PLATFORM, event.now
    )
    known_revision = state.catalog.revision
    if event.after > known_revision:
        return effects
    if event.after.epoch != known_revision.epoch:
        return effects
    confirmed_at = event.requested_at
    if not event.changes:
        # Without changes, the platform answers only after the full wait.
        confirmed_at = min(confirmed_at + state.config.watch_wait_s, event.now)
    as_of = AsOf(confirmed_at, PLATFORM)
    applying.advance_revision(state, event.revision, as_of, event.now)
    if not event.changes:
        return effects
    delta = _build_delta(
        state, event.after, event.revision, event.changes, event.now
    )
    return effects + _announce(state, delta, event.now)


def receive_delta(state: NodeState, delta: Delta, now: float) -> list[Effect]:
    """Apply changes from another node and relay them if they are new.

    If changes between this node's revision and the delta are missing, a
    snapshot is pulled instead. They are if the delta is of a newer epoch.
    """
    known_revision = state.catalog.revision
    if delta.revision.epoch < known_revision.epoch:
        return []
    epochs = {known_revision.epoch, delta.after.epoch, delta.revision.epoch}
    if (
        known_revision == NO_REVISION
        or len(epochs) > 1
        or delta.after > known_revision
    ):
        sender = state.neighbours.by_name.get(delta.sender)
        return _pull(state, sender, now) if sender else []
    as_of = confirm_as_of(exchange.place_delta(state, delta, now), delta)
    if delta.revision <= known_revision:
        if delta.revision == known_revision:
            state.freshness.confirm(as_of, now)
        return []
    effects, _ = applying.apply_changes(
        state, delta.changes, f'delta {delta.sender}', now
    )
    applying.advance_revision(state, delta.revision, as_of, now)
    near = state.gossip_targets.list_near(now)
    relayed = _build_delta(
        state, delta.after, delta.revision, delta.changes, now
    )
    return effects + _relay(state, near, relayed)


def confirm_as_of(
    sent: AsOf | None, message: Heartbeat | Delta | Snapshot
) -> AsOf | None:
    """Return the time as of which a message confirms its sender's records.

    `sent` is a time that is not after the message was made. Returns None if
    that is unknown, or if the age is too high to be stated.
    """
    if sent is None or message.age_ms >= MAX_AGE_MS:
        return None
    return sent.earlier(message.age_ms)


def compare_records(
    state: NodeState,
    neighbour: Neighbour,
    as_of: AsOf | None,
    now: float,
) -> list[Effect]:
    """Compare a neighbour's records with those of this node.

    An equal revision confirms the records `as_of` the time when the neighbour's
    were confirmed; a higher revision, or a configuration with a higher version,
    leads to a pull.
    """
    known_revision = state.catalog.revision
    if neighbour.revision == NO_REVISION:
        return []
    if neighbour.revision == known_revision:
        state.freshness.confirm(as_of, now)
    if (
        neighbour.revision <= known_revision
        and neighbour.version <= state.configuration_version
    ):
        return []
    if state.behind_since is None:
        state.behind_since = now
    has_records = known_revision != NO_REVISION
    if has_records and now - state.behind_since < PULL_DELAY_S:
        return []
    return _pull(state, neighbour, now)


def apply_snapshot(state: NodeState, event: SnapshotPulled) -> list[Effect]:
    """Apply a snapshot pulled from a neighbour."""
    state.pulling_since = None
    snapshot = event.snapshot
    if snapshot is None:
        state.counters.add('pull_failed', 'no_answer')
        fields: dict[str, LogValue] = {
            'neighbour': event.peer,
            'problem': event.problem,
        }
        return [WriteLog('pull_failed', fields)]
    if not snapshot.complete and _is_other_epoch(state, snapshot.revision):
        # The node entered another epoch after it had requested the snapshot.
        return []
    effects = applying.start_epoch(state, snapshot.revision, event.now)
    as_of = AsOf(event.requested_at, f'snapshot {event.peer}')
    logs, _ = applying.apply_changes(
        state, snapshot.changes, as_of.source, event.now
    )
    effects += logs
    if snapshot.complete:
        applying.remove_missing(
            state, snapshot.changes, snapshot.revision, event.now
        )
        ended = transitions.end_missing(
            state, snapshot.changes, snapshot.revision, event.now
        )
        effects += transitions.describe_all(state, ended, event.now)
    if snapshot.revision > state.catalog.revision:
        state.heartbeat_due = True
    applying.advance_revision(
        state, snapshot.revision, confirm_as_of(as_of, snapshot), event.now
    )
    return effects


def build_snapshot(
    state: NodeState, request: SnapshotRequest, now: float
) -> Snapshot:
    """Return the records newer than those of a neighbour.

    The snapshot is complete if removals that the neighbour has not seen may be
    unknown here.
    """
    after = request.after
    complete = state.catalog.lacks_removals(after)
    return Snapshot(
        state.catalog.revision,
        state.freshness.age_ms(now),
        complete,
        state.catalog.list_changes(
            NO_REVISION if complete else after, request.version
        ),
    )


def _is_other_epoch(state: NodeState, revision: Revision) -> bool:
    return revision.epoch != state.catalog.revision.epoch


def _build_delta(
    state: NodeState,
    after: Revision,
    revision: Revision,
    changes: tuple[Change, ...],
    now: float,
) -> Delta:
    """Return the message with the changes after `after` up to `revision`."""
    age_ms = state.freshness.age_ms(now)
    return Delta(
        state.config.name,
        after,
        revision,
        age_ms,
        changes,
        state.neighbours.own.incarnation,
        state.clock.read(now),
    )


def _announce(state: NodeState, delta: Delta, now: float) -> list[Effect]:
    """Send changes from the platform to the nodes near and to all partners."""
    receivers = state.gossip_targets.list_near(now)
    receivers = receivers + state.gossip_targets.list_partners(now)
    return _relay(state, receivers, delta)


def _relay(
    state: NodeState, receivers: list[Neighbour], delta: Delta
) -> list[Effect]:
    """Send changes to those receivers that have an older revision.

    If they do not fit into a datagram, a heartbeat is sent instead, and the
    receivers then pull a snapshot. Nothing is sent if this node knows later
    changes: it has them from a node that sends them itself.
    """
    if delta.revision < state.catalog.revision:
        return []
    targets = [
        neighbour.endpoint
        for neighbour in receivers
        if neighbour.revision < delta.revision
    ]
    if not targets:
        return []
    payload = messages.encode(delta)
    if len(payload) > messages.MAX_DATAGRAM_BYTES:
        state.heartbeat_due = True
        return []
    state.counters.add('relayed', 'delta', len(targets))
    return [SendPeer(tuple(targets), payload)]


def _pull(
    state: NodeState,
    neighbour: Neighbour,
    now: float,
) -> list[Effect]:
    since = state.pulling_since
    if since is not None and now - since < PULL_RETRY_S:
        return []
    state.pulling_since = now
    state.counters.add('pulled', 'behind')
    return [PullSnapshot(neighbour.peer.name, neighbour.endpoint)]

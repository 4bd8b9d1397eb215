"""Seeded simulation of several nodes of tagged flows in virtual time.

Datagrams are lost, delayed and reordered; nodes are killed, frozen and
restarted; the platform's store drops its history, refuses requests and is
restored from an older copy.
"""

import collections
import copy
import heapq
import itertools
import random

import msgspec

from apricottally.tagged import dissemination, effects, events
from apricottally.tagged.nodeconfig import NodeConfig
from apricottally.tagged.packets import SYN
from apricottally.tagged.records import (
    BackendChange,
    ConfigurationChange,
    EvacuationChange,
)
from apricottally.tagged.reducer import reduce
from apricottally.tagged.revisions import Revision
from apricottally.tagged.state import NodeState
from tests.taggednode import (
    TICK_S,
    build_backend,
    build_configuration,
    build_packet,
    build_request,
)

PORT = 7720
HOSTS_PER_NET = 250


class FakePlatform:
    """The platform's store with its current records and their history."""

    def __init__(self) -> None:
        self.revision = Revision(1, 1)
        self.history = []
        # Changes up to this revision are no longer in the history.
        self.compacted_revision = Revision(1, 0)
        self.current = {}
        self.calls = 0
        # List requests per second above this rate are refused.
        self.lists_per_s = float('inf')
        self._list_times: list[float] = []

    def admit_list(self, now: float) -> bool:
        self._list_times = [at for at in self._list_times if now - at < 1]
        if len(self._list_times) >= self.lists_per_s:
            return False
        self._list_times.append(now)
        return True

    def restore(self, older: 'FakePlatform') -> None:
        """Go back to an older copy, except for the count of calls."""
        epoch = self.revision.epoch + 1
        self.revision = Revision(epoch, older.revision.number)
        self.history = [_move(change, epoch) for change in older.history]
        self.current = {
            name: _move(change, epoch) for name, change in older.current.items()
        }

    def write_again(self, newest: 'FakePlatform') -> None:
        """Write the records that differ from those before the restoration."""
        names = self.current.keys() | newest.current.keys()
        for name in sorted(names):
            change = newest.current.get(name)
            if change is None:
                change = _remove(self.current[name])
            if not _is_same(change, self.current.get(name)):
                at = self._next()
                self.put(name, msgspec.structs.replace(change, revision=at))

    def put(self, name, change) -> None:
        self.history.append(change)
        self.current[name] = change
        self.revision = change.revision

    def put_configuration(self, version: int, services=()) -> None:
        configuration = build_configuration(version, services=services)
        self.put('', ConfigurationChange(self._next(), configuration))

    def put_backend(self, index: int, *, present: bool, **changes) -> None:
        backend = build_backend(index, **changes)
        change = BackendChange(
            backend.name, self._next(), backend if present else None
        )
        self.put(backend.name, change)

    def put_evacuation(self, zone: str, *, active: bool = True) -> None:
        change = EvacuationChange(zone, self._next(), active)
        self.put(f'@{zone}', change)

    def list_evacuated(self) -> set[str]:
        return {
            change.zone
            for change in self.list_live()
            if isinstance(change, EvacuationChange)
        }

    def _next(self) -> Revision:
        return Revision(self.revision.epoch, self.revision.number + 1)

    def has_history(self, after: Revision) -> bool:
        """Tell whether a watch from a revision can be answered.

        A watch from another epoch gets an answer, but the adapter rejects it.
        """
        if after.epoch != self.revision.epoch:
            return False
        oldest = self.compacted_revision.number
        return oldest <= after.number <= self.revision.number

    def list_history(self, after: int):
        return tuple(
            change for change in self.history if change.revision > after
        )

    def list_live(self):
        return tuple(
            change for change in self.current.values() if _is_live(change)
        )


def _make_ip(index: int) -> str:
    return f'10.1.{index // HOSTS_PER_NET}.{index % HOSTS_PER_NET}'


def _find_name(ip: str) -> str:
    net, host = map(int, ip.split('.')[2:])
    return f'n{net * HOSTS_PER_NET + host}'


def _is_live(change) -> bool:
    if isinstance(change, EvacuationChange):
        return change.active
    return getattr(change, 'backend', change) is not None


def _remove(change):
    """Return the change that removes a record."""
    if isinstance(change, EvacuationChange):
        return msgspec.structs.replace(change, active=False)
    return BackendChange(change.name, change.revision, None)


def _is_same(change, other) -> bool:
    """Tell whether two changes leave the same record behind."""
    if other is None:
        return not _is_live(change)
    at = change.revision
    return change == msgspec.structs.replace(other, revision=at)


def _move(change, epoch: int):
    """Return a change as the platform shows it in another epoch."""
    number = change.revision.number
    return msgspec.structs.replace(change, revision=Revision(epoch, number))


class ForwardCounts:
    """SYNs that all nodes have forwarded, by the tag of their backend.

    `worst` is the highest count of one backend in any sliding second.
    """

    def __init__(self) -> None:
        self.total = 0
        self.worst = 0
        self._recent: dict[int, collections.deque[float]] = {}

    def count(self, effect, now: float) -> None:
        if effect.tag is None:
            return
        recent = self._recent.setdefault(effect.tag, collections.deque())
        while recent and now - recent[0] >= 1:
            recent.popleft()
        recent.append(now)
        self.total += 1
        self.worst = max(self.worst, len(recent))


class Fleet:  # noqa: WPS230
    """Nodes, the datagrams between them, and their calls to the platform.

    The platform refuses requests of the nodes in `refused`; the nodes in
    `frozen` handle no events, and their datagrams wait until they wake. Nodes
    of the zone `cut` reach only each other. `forwarded` has the node and the
    backend of each first packet of a flow, `revisions` the times of all changes
    of the platform.
    """

    def __init__(
        self, seed: int, nodes: int, loss: float = 0.05, zones: str = 'abc'
    ) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.zones = zones
        self.now = 0.0
        self.platform = FakePlatform()
        self.nodes: dict[str, NodeState] = {}
        self.refused: set[str] = set()
        self.frozen: set[str] = set()
        self.cut = ''
        # Datagrams between these nodes and the others are lost.
        self.cut_off: set[str] = set()
        # All datagrams that these nodes send are lost.
        self.muted: set[str] = set()
        self.forwarded: list = []
        self.forward_counts = ForwardCounts()
        self.revisions = [(0.0, self.platform.revision)]
        self._queue: list = []
        # Datagrams that frozen nodes have not read yet.
        self._unread: dict[str, list] = collections.defaultdict(list)
        self._event_ids = itertools.count()
        self._node_count = nodes
        self._client_ports = itertools.count(1)
        self._watches: dict[str, tuple[float, int]] = {}

    def start(self, name: str) -> None:
        index = int(name[1:])
        config = NodeConfig(
            name,
            self._get_zone(name),
            _make_ip(index),
            PORT,
            seeds=(('10.1.0.0', PORT), ('10.1.0.1', PORT)),
            strict=True,
        )
        self.nodes[name] = NodeState(
            config, random.Random(self.rng.random()), self.now
        )
        self._watches.pop(name, None)
        self._unread.pop(name, None)

    def start_all(self) -> None:
        for index in range(self._node_count):
            self.start(f'n{index}')

    def kill(self, name: str) -> None:
        self.nodes.pop(name, None)
        self._watches.pop(name, None)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_S)):
            if self.revisions[-1][1] != self.platform.revision:
                self.revisions.append((self.now, self.platform.revision))
            self.now += TICK_S
            self._read_unread()
            self._deliver()
            self._answer_watches()
            for name in sorted(self.nodes):
                self._submit(name, events.Ticked(self.now))

    def find_revision(self, at: float) -> Revision:
        """Return the platform's revision at a time."""
        return max(
            (revision for since, revision in self.revisions if since <= at),
            default=self.revisions[0][1],
        )

    def open_flows(self) -> None:
        """Send the first packet of a new flow to each node."""
        for name in sorted(self.nodes):
            self.send_syn(name, next(self._client_ports))

    def send_syn(self, name: str, client_port: int) -> None:
        """Deliver the first packet of a new flow to a node."""
        packet = build_packet(client_port, SYN)
        self._submit(name, events.PacketArrived(self.now, packet))

    def _is_reached(self, name: str, target: str) -> bool:
        if (name in self.cut_off) != (target in self.cut_off):
            return False
        zones = self._get_zone(name), self._get_zone(target)
        return zones[0] == zones[1] or self.cut not in zones

    def _is_refused(self, name: str) -> bool:
        return name in self.refused or self._get_zone(name) == self.cut

    def _get_zone(self, name: str) -> str:
        return self.zones[int(name[1:]) % len(self.zones)]

    def _submit(self, name: str, event) -> None:
        state = self.nodes.get(name)
        if state is None or name in self.frozen:
            return
        before = state.configuration_version
        for effect in reduce(state, event):
            if isinstance(effect, effects.Forward):
                self.forwarded.append((name, effect.backend))
                self.forward_counts.count(effect, self.now)
            self._apply_effect(name, effect)
        assert state.configuration_version >= before

    def _apply_effect(self, name: str, effect) -> None:
        if isinstance(effect, effects.SendPeer):
            for dest in effect.dests:
                self._send(name, dest, effect.payload)
        elif isinstance(effect, effects.ListRecords):
            self.platform.calls += 1
            self._schedule(0.004, self._answer_list, name, self.now)
        elif isinstance(effect, effects.WatchRecords):
            self.platform.calls += 1
            self._watches[name] = (self.now, effect.after)
        elif isinstance(effect, effects.PullSnapshot):
            self._schedule(0.004, self._answer_pull, name, effect, self.now)

    def _send(self, name: str, dest, payload: bytes) -> None:
        target = _find_name(dest[0])
        if self.rng.random() < self.loss or name in self.muted:
            return
        if not self._is_reached(name, target):
            return
        source = (_make_ip(int(name[1:])), PORT)
        delay = self.rng.uniform(0.0005, 0.03)
        self._schedule(delay, self._receive, target, source, payload)

    def _receive(self, target, source, payload) -> None:
        if target in self.frozen:
            self._unread[target].append((source, payload))
            return
        event = events.PeerArrived(self.now, source, payload)
        self._submit(target, event)

    def _read_unread(self) -> None:
        for name in self._unread.keys() - self.frozen:
            for source, payload in self._unread.pop(name):
                self._receive(name, source, payload)

    def _schedule(self, delay, action, *arguments) -> None:
        entry = (self.now + delay, next(self._event_ids), action, arguments)
        heapq.heappush(self._queue, entry)

    def _deliver(self) -> None:
        while self._queue and self._queue[0][0] <= self.now:
            _, _, action, arguments = heapq.heappop(self._queue)
            action(*arguments)

    def _answer_list(self, name: str, requested_at: float) -> None:
        if self._is_refused(name) or not self.platform.admit_list(self.now):
            self._submit(name, events.ReadFailed(self.now, 'status_503'))
            return
        event = events.RecordsListed(
            self.now,
            requested_at,
            self.platform.revision,
            self.platform.list_live(),
        )
        self._submit(name, event)

    def _answer_pull(self, name: str, effect, requested_at: float) -> None:
        source = self.nodes.get(effect.peer)
        state = self.nodes.get(name)
        snapshot = None
        is_reached = self._is_reached(name, effect.peer)
        if source is not None and state is not None and is_reached:
            snapshot = dissemination.build_snapshot(
                source, build_request(state), self.now
            )
        event = events.SnapshotPulled(
            self.now, requested_at, effect.peer, snapshot
        )
        self._submit(name, event)

    def _answer_watches(self) -> None:
        for name, (requested_at, after) in list(self._watches.items()):
            event = self._build_answer(name, requested_at, after)
            if event is not None:
                self._watches.pop(name)
                self._submit(name, event)

    def _build_answer(self, name: str, requested_at: float, after: int):
        """Return the answer to a watch, or None while it waits."""
        if self._is_refused(name):
            return events.ReadFailed(self.now, 'status_503')
        if not self.platform.has_history(after):
            return events.ReadFailed(self.now, 'compacted', compacted=True)
        found = self.platform.list_history(after)
        if not found and self.now - requested_at < 1:
            return None
        revision = max((one.revision for one in found), default=after)
        return events.RecordsChanged(
            self.now, requested_at, after, revision, found
        )

    def copy_platform(self) -> FakePlatform:
        """Return a copy of the platform to restore it from."""
        return copy.deepcopy(self.platform)

    def restore_platform(self, older: FakePlatform, away_s: float) -> None:
        """Take the platform away, and bring it back from an older copy."""
        refused = self.refused
        self.refused = set(self.nodes)
        self.run(away_s)
        self.refused = refused
        self.platform.restore(older)
        for name in list(self._watches):
            self._watches.pop(name)
            self._submit(name, events.ReadFailed(self.now, 'connection'))

    def drop_history(self) -> None:
        """Drop the history; watches in progress fail."""
        self.platform.history.clear()
        self.platform.compacted_revision = self.platform.revision
        for name in list(self._watches):
            self._watches.pop(name)
            event = events.ReadFailed(self.now, 'compacted', compacted=True)
            self._submit(name, event)

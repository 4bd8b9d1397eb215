"""Several nodes of tagged flows in one seeded run over simulated time.

Datagrams are lost, delayed and reordered; nodes are killed, frozen and
restarted; the store forgets its history and turns nodes away.
"""

import heapq
import itertools
import random

from apricottally.tagged import effects, events, spread
from apricottally.tagged.records import BackendChange, ConfigurationChange
from apricottally.tagged.reducer import reduce
from apricottally.tagged.state import NodeConfig, NodeState
from tests.taggednode import TICK_S, build_backend, build_configuration

PORT = 7720


class FakePlatform:
    """The store's records with their whole history."""

    def __init__(self) -> None:
        self.revision = 1
        self.history = []
        self.held = {}
        self.calls = 0
        # Lists that the store answers a second; those beyond are refused.
        self.lists_per_s = float('inf')
        self._listed: list[float] = []

    def admit_list(self, now: float) -> bool:
        self._listed = [at for at in self._listed if now - at < 1]
        if len(self._listed) >= self.lists_per_s:
            return False
        self._listed.append(now)
        return True

    def put(self, name, change) -> None:
        self.history.append(change)
        self.held[name] = change
        self.revision = change.revision

    def put_configuration(self, version: int) -> None:
        revision = self.revision + 1
        configuration = build_configuration(version)
        self.put('', ConfigurationChange(revision, configuration))

    def put_backend(self, index: int, *, present: bool, **changes) -> None:
        backend = build_backend(index, **changes)
        change = BackendChange(
            backend.name, self.revision + 1, backend if present else None
        )
        self.put(backend.name, change)

    def list_live(self):
        return tuple(
            change
            for change in self.held.values()
            if getattr(change, 'backend', change) is not None
        )


class Fleet:
    """Nodes, the datagrams between them, and their calls."""

    def __init__(self, seed: int, nodes: int, loss: float = 0.05) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.now = 0.0
        self.platform = FakePlatform()
        self.nodes: dict[str, NodeState] = {}
        self.refused: set[str] = set()
        self.frozen: set[str] = set()
        self._queue: list = []
        self._order = itertools.count()
        self._nodes = nodes
        self._watches: dict[str, tuple[float, int]] = {}

    def start(self, name: str) -> None:
        index = int(name[1:])
        config = NodeConfig(
            name,
            'abc'[index % 3],
            f'10.1.0.{index}',
            PORT,
            seeds=(('10.1.0.0', PORT), ('10.1.0.1', PORT)),
            strict=True,
        )
        self.nodes[name] = NodeState(
            config, random.Random(self.rng.random()), self.now
        )
        self._watches.pop(name, None)

    def start_all(self) -> None:
        for index in range(self._nodes):
            self.start(f'n{index}')

    def kill(self, name: str) -> None:
        self.nodes.pop(name, None)
        self._watches.pop(name, None)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            self._deliver()
            self._answer_watches()
            for name in sorted(self.nodes):
                self._submit(name, events.Ticked(self.now))

    def _submit(self, name: str, event) -> None:
        state = self.nodes.get(name)
        if state is None or name in self.frozen:
            return
        before = state.version
        for effect in reduce(state, event):
            self._act(name, effect)
        assert state.version >= before

    def _act(self, name: str, effect) -> None:
        if isinstance(effect, effects.SendPeer):
            for dest in effect.dests:
                self._send(name, dest, effect.payload)
        elif isinstance(effect, effects.ListRecords):
            self.platform.calls += 1
            self._later(0.004, self._answer_list, name, self.now)
        elif isinstance(effect, effects.WatchRecords):
            self.platform.calls += 1
            self._watches[name] = (self.now, effect.after)
        elif isinstance(effect, effects.PullSnapshot):
            self._later(0.004, self._answer_pull, name, effect, self.now)

    def _send(self, name: str, dest, payload: bytes) -> None:
        if self.rng.random() < self.loss:
            return
        target = 'n' + dest[0].rpartition('.')[2]
        source = ('10.1.0.' + name[1:], PORT)
        delay = self.rng.uniform(0.0005, 0.03)
        self._later(delay, self._receive, target, source, payload)

    def _receive(self, target, source, payload) -> None:
        event = events.PeerArrived(self.now, source, payload)
        self._submit(target, event)

    def _later(self, delay, action, *arguments) -> None:
        entry = (self.now + delay, next(self._order), action, arguments)
        heapq.heappush(self._queue, entry)

    def _deliver(self) -> None:
        while self._queue and self._queue[0][0] <= self.now:
            _, _, action, arguments = heapq.heappop(self._queue)
            action(*arguments)

    def _answer_list(self, name: str, asked_at: float) -> None:
        if name in self.refused or not self.platform.admit_list(self.now):
            self._submit(name, events.ReadFailed(self.now, 'status_503'))
            return
        event = events.RecordsListed(
            self.now,
            asked_at,
            self.platform.revision,
            self.platform.list_live(),
        )
        self._submit(name, event)

    def _answer_pull(self, name: str, effect, asked_at: float) -> None:
        source = self.nodes.get(effect.peer)
        state = self.nodes.get(name)
        snapshot = None
        if source is not None and state is not None:
            snapshot = spread.build_snapshot(
                source, state.catalog.revision, self.now
            )
        event = events.SnapshotPulled(self.now, asked_at, effect.peer, snapshot)
        self._submit(name, event)

    def _answer_watches(self) -> None:
        for name in list(self._watches):
            asked_at, after = self._watches[name]
            found = tuple(
                change
                for change in self.platform.history
                if change.revision > after
            )
            waited = self.now - asked_at >= 1
            if not (found or waited or name in self.refused):
                continue
            self._watches.pop(name)
            if name in self.refused:
                self._submit(name, events.ReadFailed(self.now, 'status_503'))
                continue
            revision = max((one.revision for one in found), default=after)
            event = events.RecordsChanged(
                self.now, asked_at, after, revision, found
            )
            self._submit(name, event)

    def drop_history(self) -> None:
        """Forget the history; waiting watches fail."""
        self.platform.history.clear()
        for name in list(self._watches):
            self._watches.pop(name)
            event = events.ReadFailed(self.now, 'compacted', compacted=True)
            self._submit(name, event)

"""Baselines for open flows: hashes without versions, and a local table."""

import random
from collections.abc import Callable
from typing import TypeAlias

import xxhash

Caller: TypeAlias = tuple[int, int]
View: TypeAlias = tuple[int, ...]
Choose: TypeAlias = Callable[[Caller, View], int]


def choose_modulo(caller: Caller, view: View) -> int:
    """Return the backend by the hash of the flow modulo their count."""
    return view[_hash(caller) % len(view)]


def choose_rendezvous(caller: Caller, view: View) -> int:
    """Return the backend with the highest hash with the flow."""
    seed = _hash(caller)
    return max(
        view,
        key=lambda number: xxhash.xxh3_64_intdigest(
            number.to_bytes(2, 'big'),
            seed,
        ),
    )


class Baseline:
    """Flows that a hash routes; with `tables`, nodes remember their SYNs."""

    def __init__(
        self,
        seed: int,
        choose: Choose,
        *,
        tables: bool = False,
    ) -> None:
        self.views: dict[int, View] = {}
        self.opened = 0
        self.broken = 0
        self._rng = random.Random(seed)
        self._choose = choose
        self._remembers = tables
        self._tables: dict[int, dict[Caller, int]] = {}
        self._flows: dict[Caller, int] = {}

    def set_view(self, node: int, view: View) -> None:
        """Tell a node which backends may get flows."""
        self.views[node] = view
        self._tables.setdefault(node, {})

    def remove_node(self, node: int) -> None:
        """Take a node away with what it remembers."""
        self.views.pop(node)
        self._tables.pop(node)

    def open_flow(self, caller: Caller) -> None:
        """Open a flow at a random node."""
        node = self._pick()
        number = self._choose(caller, self.views[node])
        self._flows[caller] = number
        self.opened += 1
        if self._remembers:
            self._tables[node][caller] = number

    def send_all(self) -> None:
        """Send a packet of each flow to a random node."""
        for caller, number in list(self._flows.items()):
            if self._route(caller) != number:
                self.broken += 1
                del self._flows[caller]

    def close_on(self, numbers: frozenset[int]) -> None:
        """End the flows of some backends from the caller's side."""
        self._flows = {
            caller: number
            for caller, number in self._flows.items()
            if number not in numbers
        }

    def _route(self, caller: Caller) -> int:
        node = self._pick()
        held = self._tables[node].get(caller)
        if held is not None:
            return held
        return self._choose(caller, self.views[node])

    def _pick(self) -> int:
        return self._rng.choice(sorted(self.views))


def _hash(caller: Caller) -> int:
    ip, port = caller
    return xxhash.xxh3_64_intdigest((ip << 16 | port).to_bytes(6, 'big'))

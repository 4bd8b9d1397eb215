"""Baselines that route open flows by hash or by a table per node."""

import random
from collections.abc import Callable
from typing import TypeAlias

import xxhash

# IP address as a number, and port.
Caller: TypeAlias = tuple[int, int]
BackendNumbers: TypeAlias = tuple[int, ...]
ChooseBackend: TypeAlias = Callable[[Caller, BackendNumbers], int]


def choose_modulo(caller: Caller, numbers: BackendNumbers) -> int:
    """Choose by the caller's hash modulo the number of backends."""
    return numbers[_hash(caller) % len(numbers)]


def choose_rendezvous(caller: Caller, numbers: BackendNumbers) -> int:
    """Choose the backend whose hash with the caller is highest."""
    seed = _hash(caller)
    return max(
        numbers,
        key=lambda number: xxhash.xxh3_64_intdigest(
            number.to_bytes(2, 'big'),
            seed,
        ),
    )


class HashBaseline:
    """Nodes that route flows by a hash of the caller.

    With `tables`, a node also remembers the backend of each flow whose SYN it
    got. A flow is broken if one of its packets goes to another backend.
    """

    def __init__(
        self,
        seed: int,
        choose: ChooseBackend,
        *,
        tables: bool = False,
    ) -> None:
        self.backends_by_node: dict[int, BackendNumbers] = {}
        self.opened = 0
        self.broken = 0
        self._rng = random.Random(seed)
        self._choose = choose
        self._has_tables = tables
        self._tables: dict[int, dict[Caller, int]] = {}
        self._flows: dict[Caller, int] = {}

    def set_backends(self, node: int, numbers: BackendNumbers) -> None:
        """Set the backends that a node may choose; adds an unknown node."""
        self.backends_by_node[node] = numbers
        self._tables.setdefault(node, {})

    def remove_node(self, node: int) -> None:
        """Remove a node and its table."""
        self.backends_by_node.pop(node)
        self._tables.pop(node)

    def open_flow(self, caller: Caller) -> None:
        """Open a flow at a random node."""
        node = self._pick_node()
        number = self._choose(caller, self.backends_by_node[node])
        self._flows[caller] = number
        self.opened += 1
        if self._has_tables:
            self._tables[node][caller] = number

    def send_all(self) -> None:
        """Send a packet of each flow through a random node."""
        for caller, number in list(self._flows.items()):
            if self._route(caller) != number:
                self.broken += 1
                del self._flows[caller]

    def close_flows_to(self, numbers: frozenset[int]) -> None:
        """Close the flows to these backends; they do not count as broken."""
        self._flows = {
            caller: number
            for caller, number in self._flows.items()
            if number not in numbers
        }

    def _route(self, caller: Caller) -> int:
        node = self._pick_node()
        recorded = self._tables[node].get(caller)
        if recorded is not None:
            return recorded
        return self._choose(caller, self.backends_by_node[node])

    def _pick_node(self) -> int:
        return self._rng.choice(sorted(self.backends_by_node))


def _hash(caller: Caller) -> int:
    ip, port = caller
    return xxhash.xxh3_64_intdigest((ip << 16 | port).to_bytes(6, 'big'))

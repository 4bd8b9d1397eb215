"""Flows admitted for a shard, as one owner reports them to the next."""

import msgspec


class SlotFlow(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A flow that holds a slot.

    `syn` is the SYN as sent to the backend. After `left_ms` the owner frees
    the slot even if the flow has not closed.
    """

    syn: bytes
    number: int
    left_ms: int


class BackendCount(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Open connections of one backend, without flows that hold a slot."""

    number: int
    open: int


class Occupancy(msgspec.Struct, frozen=True, array_like=True):
    """The flows that one owner has admitted for one shard.

    An occupancy too large for one message is split; `part` is the index of
    the part, from 0.
    """

    service: str
    shard: str
    counts: tuple[BackendCount, ...]
    flows: tuple[SlotFlow, ...]
    part: int = 0

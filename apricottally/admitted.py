"""What an owner has admitted, as it is handed to the next owner."""

import msgspec


class SlotFlow(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A flow that holds a slot.

    `syn` is its SYN, as sent to the backend; `left_ms` is the time until it
    is written off.
    """

    syn: bytes
    number: int
    left_ms: int


class BackendCount(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Open connections of one backend, without those of slot flows."""

    number: int
    open: int


class Occupancy(msgspec.Struct, frozen=True, array_like=True):
    """All that one owner has admitted for one shard.

    What does not fit one message comes in several; `part` counts them.
    """

    service: str
    shard: str
    counts: tuple[BackendCount, ...]
    flows: tuple[SlotFlow, ...]
    part: int = 0

"""Which machines are in touch, as the users' rules have it."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

# A machine is in touch if it, its links and the store were left alone for this
# time.
CONTACT_S = 4.0


class Disturbances:
    """Disturbances of one machine, of the links of all, or of the store."""

    def __init__(self) -> None:
        self._active = 0
        self._ended_at = float('-inf')

    @contextmanager
    def last(self) -> Iterator[None]:
        """Count a disturbance that lasts as long as the block."""
        self._active += 1
        try:
            yield
        finally:
            self._active -= 1
            self.mark()

    def mark(self) -> None:
        """Count a disturbance at this moment."""
        self._ended_at = asyncio.get_running_loop().time()

    def is_calm(self) -> bool:
        """Tell whether there was no disturbance for the contact time."""
        now = asyncio.get_running_loop().time()
        return not self._active and now - self._ended_at >= CONTACT_S

"""A SYN's second backend and its part in the occupancy."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from apricottally.tagged.occupancy import Occupancy


@dataclass(slots=True, eq=False)
class Hedge:
    """The second backend of a SYN, to which it was sent at `sent_at`.

    While the client may open the flow there, the backend is `counted` as
    having one more open flow and request, as the first backend is.
    """

    tag: int
    sent_at: float
    counted: bool = False

    def count(self, occupancy: Occupancy) -> None:
        """Start counting the flow at the second backend."""
        self.counted = True
        occupancy.add_busy(self.tag, 1)
        occupancy.add_open(self.tag, 1)

    def release(self, occupancy: Occupancy) -> None:
        """Stop counting the flow at the second backend, if it is counted."""
        if self.counted:
            self.counted = False
            occupancy.add_busy(self.tag, -1)
            occupancy.add_open(self.tag, -1)

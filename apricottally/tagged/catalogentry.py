"""The catalog's entry for one backend."""

from __future__ import annotations

from dataclasses import dataclass

from apricottally.tagged.records import Backend, BackendChange
from apricottally.tagged.revisions import Revision


@dataclass(slots=True, eq=False)
class Entry:
    """The catalog's entry for one backend name.

    `record` is the latest readable record and is kept after its removal.
    `backend` is the same with the tag that packets carry: another one if the
    tag in the record is another backend's, `tag_attempt` hashes further on.
    `removed_at` is when this node learned of the removal. Until
    `usable_until`, a removed backend may get new flows, because its
    registration may only have lapsed. A backend whose record is not
    `readable` keeps its open flows and gets no new ones. Until `cold_until`,
    the backend is slow after its start.
    """

    revision: Revision
    backend: Backend | None
    removed_at: float | None = None
    usable_until: float = 0
    readable: bool = True
    cold_until: float = 0
    record: Backend | None = None
    tag_attempt: int = 0

    @property
    def address(self) -> tuple[str, int]:
        """IP and port of the backend; an empty one if none was readable."""
        if self.backend is None:
            return '', 0
        return self.backend.ip, self.backend.port

    def excludes_new_flows(self, now: float) -> bool:
        """Tell whether the backend is removed and its grace period is over."""
        return self.removed_at is not None and now >= self.usable_until

    def is_registered(self) -> bool:
        """Tell whether the backend is registered."""
        return self.removed_at is None and self.backend is not None

    def mark_removed(self, now: float, grace_s: float) -> None:
        """Mark the backend as removed; it may stay usable for `grace_s`."""
        if self.removed_at is not None:
            return
        self.removed_at = now
        lapsed = self.backend is not None and not self.backend.draining
        self.usable_until = now + grace_s if lapsed and grace_s else 0

    def is_repeated_by(self, change: BackendChange) -> bool:
        """Tell whether a change has the registration that is known."""
        return self.is_registered() and change.backend == self.record

    def outdates(self, change: BackendChange) -> bool:
        """Tell whether a record of another epoch precedes what is known.

        A backend that drains writes nothing after it has left, so that its
        last record is outdated then as well.
        """
        known = self.backend
        restored = change.backend
        if known is None or restored is None:
            return False
        if self.removed_at is not None and known.draining:
            return restored.order <= known.order
        return restored.order < known.order

"""Index of the backends that may get new flows."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import TypeAlias

from apricottally.tagged.catalogentry import Entry

# A service name and a zone; None stands for all zones.
ServiceKey: TypeAlias = tuple[str, str | None]
_Groups: TypeAlias = dict[ServiceKey, tuple[Entry, ...]]


@dataclass(frozen=True, slots=True)
class Candidates:
    """Candidates for new flows by service and zone.

    `usable` has those outside evacuated zones, `evacuated` the others.
    `generation` is that of the evacuations that were taken into account.
    """

    usable: _Groups
    evacuated: _Groups
    generation: int


def build_candidates(
    entries: Iterable[Entry],
    evacuated_zones: Collection[str],
    generation: int,
) -> Candidates:
    """Group the entries of candidates by service and zone."""
    usable: dict[ServiceKey, list[Entry]] = {}
    evacuated: dict[ServiceKey, list[Entry]] = {}
    for entry in entries:
        backend = entry.backend
        if backend is None:
            continue
        groups = evacuated if backend.zone in evacuated_zones else usable
        groups.setdefault((backend.service, None), []).append(entry)
        groups.setdefault((backend.service, backend.zone), []).append(entry)
    return Candidates(_freeze(usable), _freeze(evacuated), generation)


def _freeze(groups: dict[ServiceKey, list[Entry]]) -> _Groups:
    return {key: tuple(found) for key, found in groups.items()}

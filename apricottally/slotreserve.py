"""Slots of a shard that are kept free for more urgent classes.

Running flows are not interrupted. If long runs of a less urgent class filled
all slots, urgent work would wait until one of them ends.
"""

import math

from apricottally.fairqueue import CLASS_RANKS, PRIORITY_CLASSES
from apricottally.model import Urgency

# Time constant of the exponential average of a class's arrival rate.
DEMAND_AVERAGING_S = 10.0
# Minimum time covered by the average, so that a single first arrival does not
# give a high rate.
MIN_AVERAGING_S = 1.0
# Run time assumed for a class until its first flow ends.
DEFAULT_RUN_S = 0.5
# No slots are reserved if one is expected to become free within this time.
NEGLIGIBLE_WAIT_S = 0.005
# Weight of the latest run in the mean run time of a class.
_RUN_WEIGHT = 0.02


class SlotReserve:
    """Slots in use, demand and mean run time by class.

    Demand is in slots: arrivals per second times the mean run time.
    """

    __slots__ = (
        '_arrivals',
        '_decayed_at',
        '_first_arrival_at',
        '_run_counts',
        'mean_run_s',
        'slots_in_use',
    )

    def __init__(self) -> None:
        self.slots_in_use = [0] * len(PRIORITY_CLASSES)
        self.mean_run_s: list[float] = [0] * len(PRIORITY_CLASSES)
        self._arrivals: list[float] = [0] * len(PRIORITY_CLASSES)
        self._run_counts = [0] * len(PRIORITY_CLASSES)
        self._first_arrival_at: float | None = None
        self._decayed_at = float(0)

    def record_arrival(self, urgency: Urgency, now: float) -> None:
        """Count a flow that requests a slot."""
        self._decay(now)
        if self._first_arrival_at is None:
            self._first_arrival_at = now
        self._arrivals[CLASS_RANKS[urgency]] += 1

    def record_run(self, urgency: Urgency, run_s: float) -> None:
        """Add a run to the mean run time of its class."""
        rank = CLASS_RANKS[urgency]
        self._run_counts[rank] += 1
        # The arithmetic mean at first, so that no single run dominates.
        weight = max(_RUN_WEIGHT, 1 / self._run_counts[rank])
        self.mean_run_s[rank] += weight * (run_s - self.mean_run_s[rank])

    def compute_limit(self, urgency: Urgency, slots: int, now: float) -> int:
        """Return how many slots a class and the less urgent ones may use.

        If the class is known to have short runs, they may use all slots,
        since one of them becomes free soon.
        """
        rank = CLASS_RANKS[urgency]
        is_short = self.mean_run_s[rank] <= NEGLIGIBLE_WAIT_S * slots
        if self._run_counts[rank] and is_short:
            return slots
        demands = self._estimate_demands(now)
        demand = sum(demands[:rank])
        needed = demand
        if sum(demands) > slots:
            # Slots for bursts of urgent work, which would otherwise wait for
            # the end of a long run.
            needed += math.sqrt(demand)
        return max(slots - math.ceil(needed), 0)

    def has_room(self, urgency: Urgency, slots: int, now: float) -> bool:
        """Return whether a flow of the class may take a slot."""
        rank = CLASS_RANKS[urgency]
        if not rank:
            return True
        return sum(self.slots_in_use[rank:]) < self.compute_limit(
            urgency, slots, now
        )

    def _estimate_demands(self, now: float) -> list[float]:
        """Return the demand of each class, in slots."""
        self._decay(now)
        first_arrival_at = (
            now if self._first_arrival_at is None else self._first_arrival_at
        )
        # The average covers less than its full time constant at first.
        age = max(now - first_arrival_at, MIN_AVERAGING_S)
        covered_s = DEMAND_AVERAGING_S * (
            1 - math.exp(-age / DEMAND_AVERAGING_S)
        )
        return [
            arrivals / covered_s * (run_s if runs else DEFAULT_RUN_S)
            for arrivals, run_s, runs in zip(
                self._arrivals,
                self.mean_run_s,
                self._run_counts,
                strict=True,
            )
        ]

    def _decay(self, now: float) -> None:
        elapsed = now - self._decayed_at
        if elapsed <= 0:
            return
        self._decayed_at = now
        decay = math.exp(-elapsed / DEMAND_AVERAGING_S)
        self._arrivals = [arrivals * decay for arrivals in self._arrivals]

"""Mean time from the data of a request to its answer, by route."""

from __future__ import annotations

# Weight of a new sample in the mean.
_GAIN = 0.1
# Names of routes that are no longer used are dropped with all others when
# there are this many.
MAX_ROUTES = 4096


class RunTimes:
    """Smoothed duration of requests, including their wait at the backend."""

    __slots__ = ('_means',)

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def add(self, route: str, sample_s: float) -> None:
        """Add the duration of one request."""
        mean_s = self._means.get(route)
        if mean_s is None:
            if len(self._means) >= MAX_ROUTES:
                self._means.clear()
            self._means[route] = sample_s
        else:
            self._means[route] = mean_s + _GAIN * (sample_s - mean_s)

    def get_mean_s(self, route: str) -> float:
        """Return the mean duration, 0 if no request has ended yet."""
        return self._means.get(route, 0)

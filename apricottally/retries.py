"""Retry budget per workspace, and when a SYN may be tried again.

A SYN is tried again only while nothing has run: the backend reset it, or did
not answer it. Each retry is paid for by ten first tries of its workspace, so
that a fleet that sheds everything is asked at most 1.1 times.
"""

import random

# Tokens that each first try adds to its workspace's budget.
BUDGET_PER_TRY = 0.1
# Retries that a workspace may save up; a larger burst would hit a backend
# fleet that has just begun to shed.
MAX_BURST = 5.0
MAX_RETRIES = 2
# Time without a SYN-ACK after which a backend is given up.
ANSWER_TIMEOUT_S = 0.3
# Bounds of the wait before a further retry. The first retry goes at once,
# since it goes to a backend that has not shed this flow.
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.25
# Ten tenths sum to less than one in binary fractions.
_WHOLE_TOKEN = 1 - 1e-9


class RetryBudgets:
    """Token buckets by workspace. They start empty."""

    __slots__ = ('_tokens',)

    def __init__(self) -> None:
        self._tokens: dict[str, float] = {}

    def earn(self, workspace: str) -> None:
        """Count a first try."""
        tokens = self._tokens.get(workspace, 0) + BUDGET_PER_TRY
        self._tokens[workspace] = min(tokens, MAX_BURST)

    def spend(self, workspace: str) -> bool:
        """Take a token for a retry; tell whether there was one."""
        tokens = self._tokens.get(workspace, 0)
        if tokens < _WHOLE_TOKEN:
            return False
        self._tokens[workspace] = tokens - 1
        return True


def find_obstacle(tries: int, start: float, deadline: float) -> str:
    """Return why a flow may not be tried again, empty if it may.

    `tries` counts those made so far and `start` is when the next would be.
    """
    if tries > MAX_RETRIES:
        return 'attempts'
    if start >= deadline:
        return 'deadline'
    return ''


def draw_backoff(tries: int, rng: random.Random) -> float:
    """Return the wait before the next retry, in seconds."""
    if tries < 2:
        return 0
    return rng.uniform(MIN_BACKOFF_S, MAX_BACKOFF_S)

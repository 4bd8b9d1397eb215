"""Retry budget per workspace, and the rules for retrying a SYN.

A SYN is retried only while no work has run for it: the backend reset it or did
not answer. A workspace earns one retry by ten first attempts, so that backends
that shed every SYN get at most 1.1 times the SYNs.
"""

import random

# Tokens that a first attempt adds to its workspace's budget.
TOKENS_PER_TRY = 0.1
# Retries that a workspace may save up. A larger burst would hit backends that
# have just begun to shed.
MAX_TOKENS = 5.0
MAX_RETRIES = 2
# Time without an answer to a SYN after which another backend is tried.
ANSWER_TIMEOUT_S = 0.3
# Bounds of the wait before a second retry. The first retry is immediate, since
# it goes to a backend that has not shed this flow.
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.25
# In floating point, ten times 0.1 sums to less than 1.
_WHOLE_TOKEN = 1 - 1e-9


class RetryBudgets:
    """Retry tokens by workspace, which starts with none."""

    __slots__ = ('_tokens',)

    def __init__(self) -> None:
        self._tokens: dict[str, float] = {}

    def earn(self, workspace: str) -> None:
        """Add the tokens that a first attempt earns."""
        tokens = self._tokens.get(workspace, 0) + TOKENS_PER_TRY
        self._tokens[workspace] = min(tokens, MAX_TOKENS)

    def spend(self, workspace: str) -> bool:
        """Take a token for a retry; return False if there is none."""
        tokens = self._tokens.get(workspace, 0)
        if tokens < _WHOLE_TOKEN:
            return False
        self._tokens[workspace] = tokens - 1
        return True


def find_obstacle(tries: int, start: float, deadline: float) -> str:
    """Return why a flow may not be retried, '' if it may.

    `tries` counts the attempts so far; `start` is the time of the next one.
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

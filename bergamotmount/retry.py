"""Limits on retries besides tokens: a ratio, and backoff with jitter.

Retry tokens bound the retries of one request. Under overload many requests
would each use up their tokens, so a ratio bounds the retries of a service in
relation to its first attempts.
"""

import random

#: Initial and maximum retry budget. It allows retries on a service with too
#: few requests for the ratio to be meaningful.
RATIO_BURST = 10

#: Maximum number of times that the backoff doubles.
MAX_DOUBLINGS = 6


class RetryRatio:
    """Retry budget of one service, earned by first attempts.

    With a ratio of 0.1, ten first attempts earn one retry::

        ratio = RetryRatio()
        ratio.record_first_attempt(0.1)
        allowed = ratio.take()
    """

    def __init__(self) -> None:
        """Start with a full budget."""
        self._budget: float = RATIO_BURST

    def record_first_attempt(self, ratio: float) -> None:
        """Add ``ratio`` retries to the budget."""
        self._budget = min(self._budget + ratio, RATIO_BURST)

    def take(self) -> bool:
        """Take one retry from the budget; return whether it allowed one."""
        if self._budget < 1:
            return False
        self._budget -= 1
        return True


def backoff_ms(base_ms: float, tries: int, rng: random.Random) -> float:
    """Return a random delay before the next attempt.

    ``tries`` is the number of attempts so far. The upper bound is ``base_ms``,
    doubled for each earlier retry. The delay is uniform between half of the
    bound and the bound, which spreads the retries of many callers.
    """
    doublings = min(max(tries - 1, 0), MAX_DOUBLINGS)
    max_ms = base_ms * (1 << doublings)
    return rng.uniform(max_ms / 2, max_ms)

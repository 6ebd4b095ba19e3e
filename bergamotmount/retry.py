"""Limits on retries beside the tokens: a ratio, and backoff with jitter.

The tokens bound the retries of one request. In overload many requests would
each spend theirs, so a ratio bounds the retries of a whole service against
its first tries.
"""

import random

#: Retries allowed on a quiet service, before the ratio has any meaning.
RATIO_BURST = 10

#: Greatest doubling of the backoff.
MAX_DOUBLINGS = 6


class RetryRatio:
    """Budget of retries earned by first tries, one for each service.

    With a ratio of 0.1, ten first tries earn one retry::

        ratio = RetryRatio()
        ratio.first_try(0.1)
        allowed = ratio.take()
    """

    def __init__(self) -> None:
        """Start with a full budget."""
        self._budget: float = RATIO_BURST

    def first_try(self, ratio: float) -> None:
        """Earn ``ratio`` of a retry."""
        self._budget = min(self._budget + ratio, RATIO_BURST)

    def take(self) -> bool:
        """Spend the budget of one retry; return whether it was there."""
        if self._budget < 1:
            return False
        self._budget -= 1
        return True


def backoff_ms(base_ms: float, tries: int, rng: random.Random) -> float:
    """Return a random wait before try number ``tries`` plus one.

    The wait is uniform between half and the whole of ``base_ms`` doubled for
    each earlier retry, so that retries of many callers spread out.
    """
    doublings = min(max(tries - 1, 0), MAX_DOUBLINGS)
    ceiling_ms = base_ms * (1 << doublings)
    return rng.uniform(ceiling_ms / 2, ceiling_ms)

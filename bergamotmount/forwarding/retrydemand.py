"""Retry demand: the ranks of the requests that wanted a retry lately.

Load pattern: all servers of a service shed half of their requests for some
seconds, and each root request needs several calls of that service in a row.
More retries are wanted than the budget allows. Spent in order of arrival, each
root request gets a few and hardly any gets all that it needs. The budget is
therefore kept for the most urgent ones: a request gets a retry only if enough
is left for those of lower rank at their present rate. Nodes see similar ranks,
so they favour the same root requests at each service of a chain::

    demand.record(0.2)
    reserve = demand.expected_before(1.5)
"""

import collections

from bergamotmount.clock import Clock

#: Time over which the demand is observed.
OBSERVED_MS = 2000

#: Time for which retries are kept for requests of lower rank.
RESERVED_MS = 5000


class RetryDemand:
    """Requests of one node to one service that wanted a retry."""

    def __init__(self, clock: Clock) -> None:
        """Start without any demand."""
        self._clock = clock
        self._wanted: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def record(self, rank: float) -> None:
        """Record that a request wants a retry, whether it gets one or not."""
        now_ms = self._clock.now_ms()
        self._forget_old(now_ms)
        self._wanted.append((now_ms, rank))

    def expected_before(self, rank: float) -> float:
        """Return the number of retries to keep for lower ranks."""
        self._forget_old(self._clock.now_ms())
        wanted = sum(each < rank for _, each in self._wanted)
        return wanted * RESERVED_MS / OBSERVED_MS

    def _forget_old(self, now_ms: float) -> None:
        wanted = self._wanted
        while wanted and now_ms - wanted[0][0] >= OBSERVED_MS:
            wanted.popleft()

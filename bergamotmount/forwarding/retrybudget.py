"""Retry budgets: bound the retries to a service over all nodes together.

Load pattern: all nodes see failures at the same moment and would retry each
request once, which doubles the load on a service that is already overloaded.
Each node may retry a fixed share of the requests that it sent itself, so the
retries of any set of nodes, partitioned or not, stay within the same share of
their requests.

Retrying a request that may have run also repeats its nested calls, on every
level of the call graph. Such retries have a small budget of their own.
Retries of requests that a server refused without running them have a larger
one.
"""

import collections
import dataclasses

from bergamotmount.clock import Clock

#: Number of slices into which the sliding window is divided.
WINDOW_SLICES = 10


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBudgetOptions:
    """Bounds on retries to a service, as shares of the requests in a window.

    ``refused_ratio`` is for requests that were refused without running,
    ``lost_ratio`` for those that may have run.
    """

    refused_ratio: float
    lost_ratio: float
    window_ms: float


class ServiceRetryBudget:
    """Retry budgets of one node for one service, one for each kind of retry."""

    def __init__(self, clock: Clock, options: RetryBudgetOptions) -> None:
        """Start without recorded requests."""
        self._refused = RetryBudget(
            clock, options.refused_ratio, options.window_ms
        )
        self._lost = RetryBudget(clock, options.lost_ratio, options.window_ms)

    def record_request(self) -> None:
        """Count a request that is sent for the first time."""
        self._refused.record_request()
        self._lost.record_request()

    def try_spend(self, may_have_run: bool) -> bool:
        """Spend one retry; return whether the budget allowed it."""
        return (
            self._lost.try_spend()
            if may_have_run
            else self._refused.try_spend()
        )


class RetryBudget:
    """Budget of one node for one kind of retry to one service.

    ::

        budget = RetryBudget(clock, ratio=0.04, window_ms=10_000)
        budget.record_request()
        if budget.try_spend():
            ...  # retry
    """

    def __init__(self, clock: Clock, ratio: float, window_ms: float) -> None:
        """Allow ``ratio`` retries for each request sent within the window."""
        self._clock = clock
        self._ratio = ratio
        self._slice_ms = window_ms / WINDOW_SLICES
        # Each slice holds its start, its requests and its retries.
        self._slices: collections.deque[list[float]] = collections.deque()

    def record_request(self) -> None:
        """Count a request that is sent for the first time."""
        self._current_slice()[1] += 1

    def try_spend(self) -> bool:
        """Spend one retry; return whether the budget allowed it."""
        current = self._current_slice()
        requests = sum(each[1] for each in self._slices)
        retries = sum(each[2] for each in self._slices)
        if retries + 1 > requests * self._ratio:
            return False
        current[2] += 1
        return True

    def _current_slice(self) -> list[float]:
        now_ms = self._clock.now_ms()
        slices = self._slices
        while slices and now_ms - slices[0][0] >= (
            self._slice_ms * WINDOW_SLICES
        ):
            slices.popleft()
        if not slices or now_ms - slices[-1][0] >= self._slice_ms:
            slices.append([now_ms, 0, 0])
        return slices[-1]

"""Budget of repeated sends to a service, held over all nodes together.

Load pattern: every node sees failures at the same moment and would repeat
each request once; the service then gets twice its load just when it can least
bear it. Each node may repeat a share of what it sent itself, so the sum over
any set of nodes, cut off or not, stays within the same share of the whole.
A request that may have run repeats its calls below as well, at every level of
the graph. Such repeats get a small share of their own; those of requests that
a server refused without running them get a larger one.
"""

import collections
import dataclasses

from bergamotmount.clock import Clock

#: Slices that a window is counted in.
SLICES = 10


@dataclasses.dataclass(frozen=True, slots=True)
class RetryTerms:
    """Bound on repeats to a service: shares of its requests in a window.

    ``refused_ratio`` is for requests that were refused without running,
    ``lost_ratio`` for those that may have run.
    """

    refused_ratio: float
    lost_ratio: float
    window_ms: float


class ServiceRetries:
    """Both budgets of one node for one service."""

    def __init__(self, clock: Clock, terms: RetryTerms) -> None:
        """Start with nothing sent."""
        self._refused = RetryBudget(clock, terms.refused_ratio, terms.window_ms)
        self._lost = RetryBudget(clock, terms.lost_ratio, terms.window_ms)

    def sent(self) -> None:
        """Count a first send."""
        self._refused.sent()
        self._lost.sent()

    def take(self, may_have_run: bool) -> bool:
        """Spend one repeat; return whether the budget allowed it."""
        return self._lost.take() if may_have_run else self._refused.take()


class RetryBudget:
    """Repeats of one kind, of one node to one service.

    ::

        budget = RetryBudget(clock, ratio=0.04, window_ms=10_000)
        budget.sent()
        if budget.take():
            ...  # send once more
    """

    def __init__(self, clock: Clock, ratio: float, window_ms: float) -> None:
        """Allow ``ratio`` repeats for each first send of a window."""
        self._clock = clock
        self._ratio = ratio
        self._slice_ms = window_ms / SLICES
        self._slices: collections.deque[list[float]] = collections.deque()

    def sent(self) -> None:
        """Count a first send."""
        self._current()[1] += 1

    def take(self) -> bool:
        """Spend one repeat; return whether the budget allowed it."""
        current = self._current()
        sent = sum(each[1] for each in self._slices)
        repeated = sum(each[2] for each in self._slices)
        if repeated + 1 > sent * self._ratio:
            return False
        current[2] += 1
        return True

    def _current(self) -> list[float]:
        now_ms = self._clock.now_ms()
        slices = self._slices
        while slices and now_ms - slices[0][0] >= self._slice_ms * SLICES:
            slices.popleft()
        if not slices or now_ms - slices[-1][0] >= self._slice_ms:
            slices.append([now_ms, 0, 0])
        return slices[-1]

"""Retry budgets: bound the retries to a service over all nodes together.

Load pattern: all nodes see failures at the same moment and would retry each
request once, which doubles the load on a service that is already overloaded.
Each node may retry a fixed share of the requests that it sent itself, so the
retries of any set of nodes, partitioned or not, stay within the same share of
their requests.

With many nodes each sends few requests, and a share of them is less than one
retry. A node therefore keeps the fraction that is left over, up to one retry.
It may spend that in a window in which its own share doesn't allow a retry, if
it is among as many nodes as the operators allow retries beyond the share. The
sum over all nodes then exceeds the share by that number at most.

A repeated run repeats its nested calls too, on every level of the call graph.
These spend the budgets of the services that they call, whether anything is
left there or not, so that fewer retries are allowed in return. Retries of
requests that may have run have a smaller budget of their own. A part of each
budget is kept for requests of lower rank that are likely to want it, see
:mod:`bergamotmount.forwarding.retrydemand`.
"""

import collections
import dataclasses
from collections.abc import Callable, Iterable

from bergamotmount.clock import Clock
from bergamotmount.forwarding.retrydemand import RetryDemand

#: Shares of the operators' ratio that nodes use: for all retries, and for
#: those of requests that may have run. The rest covers repeated nested calls
#: that gather at few nodes.
RETRY_SHARE = 0.85
LOST_RETRY_SHARE = 0.1

#: Number of slices into which the sliding window is divided.
WINDOW_SLICES = 10


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBudgetOptions:
    """Bounds on retries to a service, as shares of the requests in a window.

    ``ratio`` is for all retries, ``lost_ratio`` for those of requests that may
    have run. ``slack`` is the number of retries in a window, over all nodes,
    that are allowed beyond the shares.
    """

    ratio: float
    lost_ratio: float
    window_ms: float
    slack: float = 0

    @classmethod
    def within(
        cls, ratio: float, window_ms: float, slack: float
    ) -> 'RetryBudgetOptions':
        """Return the bounds for a ratio that the operators allow."""
        return cls(
            ratio * RETRY_SHARE, ratio * LOST_RETRY_SHARE, window_ms, slack
        )


def has_slack_share(node: str, nodes: Iterable[str], slack: float) -> bool:
    """Return whether a node is one of the ``slack`` first by name.

    All nodes that know each other agree on who they are. Nodes that are cut
    off or stopped keep their place, so that the others don't take it too.
    """
    return sum(other < node for other in nodes) < int(slack)


class SlackShare:
    """Right of one node to one retry beyond its share in each window."""

    def __init__(
        self, clock: Clock, window_ms: float, is_entitled: Callable[[], bool]
    ) -> None:
        """Take nothing while ``is_entitled`` returns false."""
        self._clock = clock
        self._window_ms = window_ms
        self._is_entitled = is_entitled
        self._taken_ms = float('-inf')

    def try_take(self) -> bool:
        """Take the retry of this window; return whether it was left."""
        now_ms = self._clock.now_ms()
        is_taken = now_ms - self._taken_ms < self._window_ms
        if is_taken or not self._is_entitled():
            return False
        self._taken_ms = now_ms
        return True


def _is_never_entitled() -> bool:
    return False


class ServiceRetryBudget:
    """Retry budgets of one node for one service, one for each kind of retry."""

    def __init__(
        self,
        clock: Clock,
        options: RetryBudgetOptions,
        is_entitled: Callable[[], bool] = _is_never_entitled,
    ) -> None:
        """Start without recorded requests.

        ``is_entitled`` tells whether this node has a share in the slack.
        """
        window_ms = options.window_ms
        slack = SlackShare(clock, window_ms, is_entitled)
        self._demand = RetryDemand(clock)
        self._all = RetryBudget(clock, options.ratio, window_ms, slack)
        self._lost = RetryBudget(clock, options.lost_ratio, window_ms, slack)

    def record_request(self, is_called_by_repeat: bool) -> None:
        """Count a request that is sent for the first time.

        A call of a repeated run counts as a retry instead.
        """
        if is_called_by_repeat:
            self._all.record_retry()
            return
        self._all.record_request()
        self._lost.record_request()

    def try_spend(self, may_have_run: bool, rank: float) -> bool:
        """Spend one retry on a request; return whether that was allowed."""
        self._demand.record(rank)
        reserve = self._demand.expected_before(rank)
        if not may_have_run:
            return self._all.try_spend(reserve)
        is_allowed = self._lost.try_spend(reserve)
        if is_allowed:
            self._all.record_retry()
        return is_allowed


class RetryBudget:
    """Budget of one node for one kind of retry to one service.

    ::

        budget = RetryBudget(clock, ratio=0.04, window_ms=10_000)
        budget.record_request()
        if budget.try_spend():
            ...  # retry
    """

    def __init__(
        self,
        clock: Clock,
        ratio: float,
        window_ms: float,
        slack: SlackShare | None = None,
    ) -> None:
        """Allow ``ratio`` retries for each request sent within the window.

        Fractions are kept if there is a share in the slack.
        """
        self._clock = clock
        self._ratio = ratio
        self._slack = slack
        self._kept: float = 0
        self._slice_ms = window_ms / WINDOW_SLICES
        # Each slice holds its start, its requests and its retries.
        self._slices: collections.deque[list[float]] = collections.deque()

    def record_request(self) -> None:
        """Count a request that is sent for the first time."""
        self._current_slice()[1] += 1
        self._kept = min(self._kept + self._ratio, 1)

    def record_retry(self) -> None:
        """Count a retry that doesn't need the budget's permission."""
        self._current_slice()[2] += 1

    def try_spend(self, reserve: float = 0) -> bool:
        """Spend one retry; return whether the budget allowed it.

        At least ``reserve`` retries are left of the share afterwards.
        """
        current = self._current_slice()
        requests = sum(each[1] for each in self._slices)
        retries = sum(each[2] for each in self._slices)
        is_allowed = retries + 1 + reserve <= requests * self._ratio
        if not is_allowed and not self._try_spend_kept():
            return False
        current[2] += 1
        if is_allowed:
            self._kept = max(self._kept - 1, 0)
        return True

    def _try_spend_kept(self) -> bool:
        if self._slack is None or self._kept < 1 or not self._slack.try_take():
            return False
        self._kept = 0
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

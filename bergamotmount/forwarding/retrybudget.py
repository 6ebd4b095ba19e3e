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
import math

from bergamotmount.clock import Clock
from bergamotmount.rank import LEVELS, OPEN_RANK
from bergamotmount.threshold import SLICES as RANK_SLICES

#: Slices that a window is counted in.
SLICES = 10

#: Time over which sheds and wanted repeats are remembered, and faded.
MEMORY_MS = 1000
UNSEEN_MEMORY_MS = 6000
FADE_STEP_MS = 50

#: Sheds in that time, and their share of all sends, from which a service
#: counts as shedding.
LEAST_SHEDS = 5
SHED_SHARE = 0.2


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
    """Both budgets of one node for one service, and who may use them.

    Load pattern: all servers of a service shed half of what they get, and a
    chain of eight calls ends well only if each of its calls is repeated until
    it runs. Spread over all chains, the budget lets hardly one of them end
    well. So the most important requests may repeat as often as they need, and
    :meth:`threshold` tells how far down the budget reaches.
    """

    def __init__(self, clock: Clock, terms: RetryTerms) -> None:
        """Start with nothing sent."""
        self._clock = clock
        self._terms = terms
        self._refused = RetryBudget(clock, terms.refused_ratio, terms.window_ms)
        self._lost = RetryBudget(clock, terms.lost_ratio, terms.window_ms)
        self._wanted = [float(0) for _ in range(LEVELS * RANK_SLICES)]
        self._sends: float = 0
        self._sheds: float = 0
        self._faded_ms = clock.now_ms()

    @property
    def is_shedding(self) -> bool:
        """Whether a good part of what is sent is shed now."""
        is_many = self._sheds >= LEAST_SHEDS
        return is_many and self._sheds >= SHED_SHARE * self._sends

    def sent(self) -> None:
        """Count a first send."""
        self._refused.sent()
        self._lost.sent()

    def tried(self) -> None:
        """Count any send that reached a server."""
        self._fade()
        self._sends += 1

    def take(self, rank: float, may_have_run: bool) -> bool:
        """Spend one repeat; return whether rank and budget allowed it."""
        if may_have_run:
            return self._lost.take()
        self._fade()
        self._sheds += 1
        self._wanted[
            min(int(rank * RANK_SLICES), LEVELS * RANK_SLICES - 1)
        ] += 1
        return rank <= self._reach() and self._refused.take()

    def threshold(self) -> float:
        """Return the rank up to which chains of calls can be carried through.

        It is open while few requests are shed.
        """
        self._fade()
        return self._threshold_now()

    def _threshold_now(self) -> float:
        """Return the threshold as it was when counts last faded."""
        return self._reach() if self.is_shedding else OPEN_RANK

    def _reach(self) -> float:
        allowed = self._refused.rate_per_ms() * MEMORY_MS
        for bucket, wanted in enumerate(self._wanted):
            if wanted > allowed:
                return (bucket + allowed / wanted) / RANK_SLICES
            allowed -= wanted
        return OPEN_RANK

    def _fade(self) -> None:
        now_ms = self._clock.now_ms()
        elapsed_ms = now_ms - self._faded_ms
        if elapsed_ms < FADE_STEP_MS:
            return
        self._faded_ms = now_ms
        kept = math.exp(-elapsed_ms / MEMORY_MS)
        self._sends *= kept
        self._sheds *= kept
        unseen_kept = math.exp(-elapsed_ms / UNSEEN_MEMORY_MS)
        # What is refused at the entries can not show that it wants repeats.
        seen = int(self._threshold_now() * RANK_SLICES)
        self._wanted = [
            wanted * (kept if bucket <= seen else unseen_kept)
            for bucket, wanted in enumerate(self._wanted)
        ]


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

    def rate_per_ms(self) -> float:
        """Return how many repeats the budget earns in a millisecond."""
        self._current()
        sent = sum(each[1] for each in self._slices)
        covered_ms = self._clock.now_ms() - self._slices[0][0]
        return sent * self._ratio / max(covered_ms, self._slice_ms)

    def _current(self) -> list[float]:
        now_ms = self._clock.now_ms()
        slices = self._slices
        while slices and now_ms - slices[0][0] >= self._slice_ms * SLICES:
            slices.popleft()
        if not slices or now_ms - slices[-1][0] >= self._slice_ms:
            slices.append([now_ms, 0, 0])
        return slices[-1]

"""Requests that the backend server works on, and whose calls it makes.

Load pattern: a request is let in, works through most of its calls, and one
call deep down is refused: all that work is lost. So calls of a running
request must be told from new requests, and must carry its rank.

The call graph tells which routes are called at all, and by which runs. A call
expires with its run at the latest; one that expires just with a run is taken
for its call, another one for the call of some run that lives long enough. The
answers to calls bring how far their routes are closed, so each answer can say
how far the whole path below it is closed::

    runs.add(run)
    parent = runs.take_call('look', expires_ms)
    threshold = runs.threshold_of('read', own_threshold)
    runs.answered('look')
    runs.remove(run)
"""

import bisect
import collections
import dataclasses
import random
from collections.abc import Collection

from bergamotmount.clock import Clock
from bergamotmount.forwarding.callgraph import CallGraph
from bergamotmount.threshold import ThresholdView

#: A call expires this much before its parent at most, and after it.
EARLIER_MS = 1.6
LATER_MS = 0.6

#: Moments beside the expiry at which a match can only be by chance.
CHANCE_OFFSETS_MS = (-17, -9, 9, 17)

#: Runs that are drawn to find a likely parent before all are looked at.
DRAWS = 4


@dataclasses.dataclass(eq=False, slots=True)
class Run:
    """One request at the server; ``deadline_ms`` is when it expires."""

    route: str
    rank: float
    deadline_ms: float


class RunsInHand:
    """Runs by deadline, and the routes that runs lead to."""

    def __init__(
        self,
        clock: Clock,
        view: ThresholdView,
        rng: random.Random,
    ) -> None:
        """Hold nothing; ``view`` has the thresholds of routes."""
        self.graph = CallGraph(clock)
        self._view = view
        self._rng = rng
        self._runs: list[Run] = []
        self._deadlines: list[float] = []

    def __len__(self) -> int:
        """Return the number of runs."""
        return len(self._runs)

    def add(self, run: Run) -> None:
        """Hold a run from the moment at which it is sent."""
        index = bisect.bisect_left(self._deadlines, run.deadline_ms)
        self._runs.insert(index, run)
        self._deadlines.insert(index, run.deadline_ms)

    def remove(self, run: Run) -> None:
        """Forget a run; one that is not held is no fault."""
        index = bisect.bisect_left(self._deadlines, run.deadline_ms)
        while index < len(self._runs):
            if self._runs[index] is run:
                self._runs.pop(index)
                self._deadlines.pop(index)
                return
            index += 1

    def ended(self, run: Run) -> None:
        """Take note that the server answered a run."""
        self.graph.ended(run.route)

    def answered(self, route: str) -> None:
        """Take note that a request of this host got its answer."""
        self.graph.answered(route)

    def take_call(self, route: str, expires_ms: float) -> Run | None:
        """Return the run that made this request, ``None`` for a new one.

        For a call whose expiry fits no run, some run that may have made it
        is returned, so that ranks are right on the whole.
        """
        at_expiry = self._runs_at(expires_ms)
        self.graph.requested(
            route,
            {run.route for run in at_expiry},
            self._routes_by_chance(expires_ms),
        )
        callers = self.graph.callers(route)
        if not callers:
            return None
        for run in at_expiry:
            if run.route in callers:
                return run
        return self._any_until(expires_ms, callers)

    def threshold_of(self, route: str, own: float) -> float:
        """Return how far a route is closed with all that it leads to.

        ``own`` is the threshold of the server on this host.
        """
        callees = self.graph.callees(route)
        return min((own, *map(self._view.current, callees)))

    def _runs_at(self, expires_ms: float) -> list[Run]:
        first = bisect.bisect_left(self._deadlines, expires_ms - LATER_MS)
        last = bisect.bisect_right(self._deadlines, expires_ms + EARLIER_MS)
        return self._runs[first:last]

    def _routes_by_chance(self, expires_ms: float) -> list[tuple[str, float]]:
        counts: collections.Counter[str] = collections.Counter()
        for offset_ms in CHANCE_OFFSETS_MS:
            counts.update(
                {run.route for run in self._runs_at(expires_ms + offset_ms)}
            )
        moments = len(CHANCE_OFFSETS_MS)
        return [(route, count / moments) for route, count in counts.items()]

    def _any_until(
        self,
        expires_ms: float,
        callers: Collection[str],
    ) -> Run | None:
        first = bisect.bisect_left(self._deadlines, expires_ms - LATER_MS)
        if first == len(self._runs):
            return None
        for _ in range(DRAWS):
            run = self._runs[self._rng.randrange(first, len(self._runs))]
            if run.route in callers:
                return run
        likely = [run for run in self._runs[first:] if run.route in callers]
        return self._rng.choice(likely) if likely else None

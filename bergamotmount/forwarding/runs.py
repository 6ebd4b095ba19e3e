"""Requests that the backend server works on, and what they lead to.

Nothing in a server's own call names the request on whose behalf it is made.
But a call expires with its parent at the latest, so the parent is found by
its deadline. From parents and children a node learns which routes lead to
which, and the answers to the children bring how far these are closed. So each
answer can say how far the whole path below it is closed::

    runs.add(run)
    parent = runs.parent_of(expires_ms)
    runs.called(parent, 'look')
    threshold = runs.threshold_of('read', own_threshold)
"""

import bisect
import dataclasses

from bergamotmount.clock import Clock
from bergamotmount.threshold import ThresholdView

#: Greatest difference between the expiry of a call and of its parent.
MATCH_MS = 4

#: Weight of one more run in the number of calls that a run makes.
RUN_WEIGHT = 0.02

#: Calls for each run below which a route counts as not needed.
LEAST_CALLS = 0.2

#: Time without a call after which a route no longer counts as needed.
FORGET_MS = 10_000


@dataclasses.dataclass(eq=False, slots=True)
class Run:
    """One request at the server; ``deadline_ms`` is when it expires."""

    route: str
    rank: float
    deadline_ms: float


@dataclasses.dataclass(slots=True)
class _Callee:
    """How often a run of one route calls another one."""

    calls_per_run: float
    seen_ms: float


class RunsInHand:
    """Runs by deadline, and the routes that runs lead to."""

    def __init__(self, clock: Clock, view: ThresholdView) -> None:
        """Hold nothing; ``view`` has the thresholds of routes."""
        self._clock = clock
        self._view = view
        self._runs: list[Run] = []
        self._callees_by_route: dict[str, dict[str, _Callee]] = {}

    def __len__(self) -> int:
        """Return the number of runs."""
        return len(self._runs)

    def add(self, run: Run) -> None:
        """Hold a run from the moment at which it is sent."""
        bisect.insort(self._runs, run, key=_deadline_of)
        for callee in self._callees_by_route.get(run.route, {}).values():
            callee.calls_per_run *= 1 - RUN_WEIGHT

    def remove(self, run: Run) -> None:
        """Forget a run; one that is not held is no fault."""
        index = bisect.bisect_left(
            self._runs,
            run.deadline_ms,
            key=_deadline_of,
        )
        while index < len(self._runs):
            if self._runs[index] is run:
                self._runs.pop(index)
                return
            index += 1

    def parent_of(self, expires_ms: float) -> Run | None:
        """Return the run whose deadline is nearest to a call's expiry.

        Return ``None`` when there is none within :data:`MATCH_MS`.
        """
        index = bisect.bisect_left(
            self._runs,
            expires_ms - MATCH_MS,
            key=_deadline_of,
        )
        best = None
        for run in self._runs[index:]:
            if run.deadline_ms > expires_ms + MATCH_MS:
                break
            if best is None or _is_nearer(run, best, expires_ms):
                best = run
        return best

    def latest_rank(self) -> float | None:
        """Return the greatest rank in hand, ``None`` without any run."""
        return max((run.rank for run in self._runs), default=None)

    def called(self, parent: Run, route: str) -> None:
        """Count a call that a run has made."""
        callees = self._callees_by_route.setdefault(parent.route, {})
        callee = callees.setdefault(route, _Callee(0, 0))
        callee.calls_per_run += RUN_WEIGHT
        callee.seen_ms = self._clock.now_ms()

    def threshold_of(self, route: str, own: float) -> float:
        """Return how far a route is closed with all that it leads to.

        ``own`` is the threshold of the server on this host.
        """
        callees = self._callees_by_route.get(route)
        if not callees:
            return own
        oldest_ms = self._clock.now_ms() - FORGET_MS
        threshold = own
        for name, callee in callees.items():
            is_needed = callee.calls_per_run >= LEAST_CALLS
            if is_needed and callee.seen_ms > oldest_ms:
                threshold = min(threshold, self._view.current(name))
        return threshold


def _deadline_of(run: Run) -> float:
    return run.deadline_ms


def _is_nearer(run: Run, other: Run, expires_ms: float) -> bool:
    distance_ms = abs(run.deadline_ms - expires_ms)
    return distance_ms < abs(other.deadline_ms - expires_ms)

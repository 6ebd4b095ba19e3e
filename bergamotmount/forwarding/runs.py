"""Requests that the backend server works on, and what they lead to.

Load pattern: a request is let in, works through most of its calls, and one
call deep down is refused: all that work is lost. So calls of a running
request must be told from new requests, and must carry its rank.

Nothing in a server's own call names the request on whose behalf it is made,
but a call expires with its parent at the latest. Many calls therefore expire
at the very moment at which a run does, far more than by chance. That tells
the routes that servers call, and for such a call its parent. From parents and
children a node learns which routes lead to which, and the answers to the
children bring how far these are closed. So each answer can say how far the
whole path below it is closed::

    runs.add(run)
    parent = runs.take_call('look', expires_ms)
    threshold = runs.threshold_of('read', own_threshold)
"""

import bisect
import dataclasses
import random

from bergamotmount.clock import Clock
from bergamotmount.threshold import ThresholdView

#: A call expires this much before its parent at most, and after it.
EARLIER_MS = 1.6
LATER_MS = 0.6

#: Moments beside the expiry at which a match can only be by chance.
CHANCE_OFFSETS_MS = (-17, -9, 9, 17)

#: Weight of one more request in the shares of matches.
MATCH_WEIGHT = 0.05

#: Excess of matches over those by chance that shows a route of calls.
LEAST_EXCESS = 0.12

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
class _Matches:
    """Share of a route's requests that expire with a run, and by chance."""

    found: float = 0
    by_chance: float = 0

    @property
    def shows_calls(self) -> bool:
        """Whether the route is one that the server here calls."""
        return self.found - self.by_chance > LEAST_EXCESS

    def add(self, found: bool, by_chance: float) -> None:
        """Take one more request into the shares."""
        self.found += MATCH_WEIGHT * (found - self.found)
        self.by_chance += MATCH_WEIGHT * (by_chance - self.by_chance)


@dataclasses.dataclass(slots=True)
class _Callee:
    """How often a run of one route calls another one."""

    calls_per_run: float
    seen_ms: float


class RunsInHand:
    """Runs by deadline, and the routes that runs lead to."""

    def __init__(
        self,
        clock: Clock,
        view: ThresholdView,
        rng: random.Random,
    ) -> None:
        """Hold nothing; ``view`` has the thresholds of routes."""
        self._clock = clock
        self._view = view
        self._rng = rng
        self._matches_by_route: dict[str, _Matches] = {}
        self._runs: list[Run] = []
        self._deadlines: list[float] = []
        self._callees_by_route: dict[str, dict[str, _Callee]] = {}

    def __len__(self) -> int:
        """Return the number of runs."""
        return len(self._runs)

    def add(self, run: Run) -> None:
        """Hold a run from the moment at which it is sent."""
        index = bisect.bisect_left(self._deadlines, run.deadline_ms)
        self._runs.insert(index, run)
        self._deadlines.insert(index, run.deadline_ms)
        for callee in self._callees_by_route.get(run.route, {}).values():
            callee.calls_per_run *= 1 - RUN_WEIGHT

    def remove(self, run: Run) -> None:
        """Forget a run; one that is not held is no fault."""
        index = bisect.bisect_left(self._deadlines, run.deadline_ms)
        while index < len(self._runs):
            if self._runs[index] is run:
                self._runs.pop(index)
                self._deadlines.pop(index)
                return
            index += 1

    def take_call(self, route: str, expires_ms: float) -> Run | None:
        """Return the run that made this request, ``None`` for a new one.

        For a call whose expiry fits no run, some run that lives long enough
        is returned, so that ranks are right on the whole.
        """
        matches = self._matches_by_route.setdefault(route, _Matches())
        parent = self._run_at(expires_ms)
        matches.add(parent is not None, self._chance_at(expires_ms))
        if not matches.shows_calls:
            return None
        if parent is None:
            parent = self._any_until(expires_ms)
        if parent is not None:
            self._count(parent, route)
        return parent

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

    def _run_at(self, expires_ms: float) -> Run | None:
        index = bisect.bisect_left(self._deadlines, expires_ms - LATER_MS)
        if index == len(self._runs):
            return None
        run = self._runs[index]
        is_match = run.deadline_ms <= expires_ms + EARLIER_MS
        return run if is_match else None

    def _chance_at(self, expires_ms: float) -> float:
        found = sum(
            self._run_at(expires_ms + offset_ms) is not None
            for offset_ms in CHANCE_OFFSETS_MS
        )
        return found / len(CHANCE_OFFSETS_MS)

    def _any_until(self, expires_ms: float) -> Run | None:
        index = bisect.bisect_left(self._deadlines, expires_ms)
        if index == len(self._runs):
            return None
        return self._runs[self._rng.randrange(index, len(self._runs))]

    def _count(self, parent: Run, route: str) -> None:
        callees = self._callees_by_route.setdefault(parent.route, {})
        callee = callees.setdefault(route, _Callee(0, 0))
        callee.calls_per_run += RUN_WEIGHT
        callee.seen_ms = self._clock.now_ms()

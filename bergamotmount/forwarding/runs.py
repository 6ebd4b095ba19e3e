"""Requests that the backend server works on, and whose calls it makes.

Load pattern: a request is let in, works through most of its calls, and one
call deep down is refused: all that work is lost. So calls of a running
request must be told from new requests, and must carry its rank.

The call graph tells which routes are called at all, and by which runs. Which
run made a call is told by what a run can do: its calls expire with it at the
latest, the next one comes right after the answer to the last, and the first
one from a run that has made none::

    runs.add(run)
    parent = runs.take_call('look', expires_ms)
    runs.answered('look', parent)
    runs.remove(run)
"""

import bisect
import collections
import dataclasses
import random
from collections.abc import Collection, Sequence

from bergamotmount.clock import Clock
from bergamotmount.forwarding.callgraph import CallGraph
from bergamotmount.rank import ADMIT_ALL_RANK

#: A call expires this much before its parent at most, and after it.
EARLIER_MS = 1.6
LATER_MS = 0.6

#: Moments beside the expiry at which a match can only be by chance.
CHANCE_OFFSETS_MS = (-17, -9, 9, 17)

#: Time after an answer within which a run's next call comes.
NEXT_CALL_MS = 3


@dataclasses.dataclass(eq=False, slots=True)
class Run:
    """One request at the server; ``deadline_ms`` is when it expires.

    ``request_id`` names it in logs, ``entry_threshold`` is the rank up to
    which the entry of its root let requests in. ``calls`` counts the calls
    that it has made, ``open_calls`` those without an answer, ``answered_ms``
    is when the last answer came.
    """

    route: str
    rank: float
    deadline_ms: float
    request_id: str = ''
    entry_threshold: float = ADMIT_ALL_RANK
    started_ms: float = 0
    calls: int = 0
    open_calls: int = 0
    answered_ms: float = float('-inf')


class RunsInHand:
    """Runs by deadline, and which of them made a call."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        """Hold nothing."""
        self.graph = CallGraph(clock)
        self._clock = clock
        self._rng = rng
        self._runs: list[Run] = []
        self._deadlines: list[float] = []

    def __len__(self) -> int:
        """Return the number of runs."""
        return len(self._runs)

    def add(self, run: Run) -> None:
        """Hold a run from the moment at which it is sent."""
        run.started_ms = self._clock.now_ms()
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

    def answered(self, route: str, parent: Run | None) -> None:
        """Take note that a request of this host got its answer.

        ``parent`` is the run that :meth:`take_call` returned for it.
        """
        self.graph.answered(route)
        if parent is not None:
            parent.open_calls -= 1
            parent.answered_ms = self._clock.now_ms()

    def take_call(self, route: str, expires_ms: float) -> Run | None:
        """Return the run that made this request, ``None`` for a new one."""
        at_expiry = self._runs_at(expires_ms)
        self.graph.requested(
            route,
            {run.route for run in at_expiry},
            self._routes_by_chance(expires_ms),
        )
        callers = self.graph.callers(route)
        if not callers:
            return None
        parent = self._parent_among(at_expiry, callers)
        if parent is None:
            first = bisect.bisect_left(self._deadlines, expires_ms - LATER_MS)
            parent = self._parent_among(self._runs[first:], callers)
        if parent is not None:
            parent.calls += 1
            parent.open_calls += 1
        return parent

    def abandoned(self, parent: Run | None) -> None:
        """Take note that the sender of a request no longer waits for it."""
        if parent is not None:
            parent.open_calls -= 1

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

    def _parent_among(
        self,
        runs: Sequence[Run],
        callers: Collection[str],
    ) -> Run | None:
        """Return the likeliest parent of a call that came just now."""
        likely = [run for run in runs if run.route in callers]
        in_turn = [run for run in likely if self._is_in_turn(run)]
        if in_turn:
            return max(in_turn, key=_answered_ms)
        without_calls = [run for run in likely if not run.calls]
        if without_calls:
            return min(without_calls, key=_started_ms)
        return self._rng.choice(likely) if likely else None

    def _is_in_turn(self, run: Run) -> bool:
        if run.open_calls:
            return False
        return self._clock.now_ms() - run.answered_ms <= NEXT_CALL_MS


def _answered_ms(run: Run) -> float:
    return run.answered_ms


def _started_ms(run: Run) -> float:
    return run.started_ms

"""Active requests of the backend server, and which of them made a call.

Load pattern: a request is admitted, most of its calls succeed, and one
downstream call is refused, so all work on the request is wasted. Calls made
by an active request must therefore be distinguished from new root requests
and carry the rank of their parent.

The call graph gives the routes that call a route, if there are any. The
parent of a call is inferred from timing: a call expires no later than its
parent, the next call of a request follows directly on the answer to the
previous one, and a first call comes from a request without any call so far
that isn't much older than requests of its route are at their first call. A call
of a route that has callers is never taken for a new root request while any
request is active: its caller may be one that hasn't been observed yet::

    active_requests.add(active)
    parent = active_requests.attribute_call('look', expires_ms)
    active_requests.record_answer('look', parent)
    active_requests.remove(active)
"""

import bisect
import collections
import dataclasses
import math
import random
from collections.abc import Collection, Sequence

from bergamotmount.clock import Clock
from bergamotmount.forwarding.callgraph import CallGraph
from bergamotmount.rank import ADMIT_ALL_RANK

#: Limits on how much earlier or later than its parent a call may expire to be
#: matched by its deadline.
MAX_EXPIRY_LEAD_MS = 1.6
MAX_EXPIRY_LAG_MS = 0.6

#: Weight of a new sample in the mean age of requests at their first call.
FIRST_CALL_AGE_WEIGHT = 0.1

#: Age up to which a request without calls may be making its first one: a
#: multiple of the mean age, and a minimum.
MAX_FIRST_CALL_AGE_FACTOR = 3
MIN_MAX_FIRST_CALL_AGE_MS = 50

#: Offsets from the expiry at which matching deadlines are coincidental.
BASELINE_OFFSETS_MS = (-17, -9, 9, 17)

#: Time after an answer within which the next call of a request is expected.
NEXT_CALL_WINDOW_MS = 3


@dataclasses.dataclass(eq=False, slots=True)
class ActiveRequest:
    """A request in flight at the server, which expires at ``deadline_ms``.

    ``request_id`` identifies it in logs. ``entry_threshold`` is the rank up to
    which the entry admitted requests when it admitted the root request.
    ``is_repeat`` tells that this run counts as a retry, with the calls that it
    makes. ``is_sent`` tells whether the server may have received it.
    ``calls_made`` counts the calls that the request has made,
    ``pending_calls`` those without an answer. ``last_answer_ms`` is the time
    of the last answer.
    """

    route: str
    rank: float
    deadline_ms: float
    request_id: str = ''
    entry_threshold: float = ADMIT_ALL_RANK
    is_repeat: bool = False
    is_sent: bool = False
    started_ms: float = 0
    calls_made: int = 0
    pending_calls: int = 0
    last_answer_ms: float = float('-inf')


class ActiveRequests:
    """Active requests ordered by deadline; attributes calls to them."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        """Start without active requests and with an empty call graph."""
        self.call_graph = CallGraph(clock)
        self._clock = clock
        self._rng = rng
        self._requests: list[ActiveRequest] = []
        self._deadlines: list[float] = []
        self._first_call_age_ms_by_route: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of active requests."""
        return len(self._requests)

    def add(self, active: ActiveRequest) -> None:
        """Add a request that is being sent to the server."""
        active.started_ms = self._clock.now_ms()
        index = bisect.bisect_left(self._deadlines, active.deadline_ms)
        self._requests.insert(index, active)
        self._deadlines.insert(index, active.deadline_ms)

    def remove(self, active: ActiveRequest) -> None:
        """Remove a request; do nothing if it was never added."""
        index = bisect.bisect_left(self._deadlines, active.deadline_ms)
        while index < len(self._requests):
            if self._requests[index] is active:
                self._requests.pop(index)
                self._deadlines.pop(index)
                return
            index += 1

    def record_completion(self, active: ActiveRequest) -> None:
        """Record that the server answered a request."""
        self.call_graph.record_completion(active.route)

    def record_answer(self, route: str, parent: ActiveRequest | None) -> None:
        """Record that a request sent by this host was answered.

        ``parent`` is what :meth:`attribute_call` returned for the request.
        """
        self.call_graph.record_answer(route)
        if parent is not None:
            parent.pending_calls -= 1
            parent.last_answer_ms = self._clock.now_ms()

    def attribute_call(
        self, route: str, expires_ms: float
    ) -> ActiveRequest | None:
        """Return the parent of a request, ``None`` for a root request.

        The call is counted as made and pending at its parent.
        """
        at_expiry = self._expiring_at(expires_ms)
        self.call_graph.record_request(
            route,
            {active.route for active in at_expiry},
            self._baseline_shares(expires_ms),
        )
        callers = self.call_graph.callers(route)
        if not callers:
            return None
        parent = self._select_parent(at_expiry, callers)
        if parent is None:
            first = bisect.bisect_left(
                self._deadlines, expires_ms - MAX_EXPIRY_LAG_MS
            )
            later = self._requests[first:]
            parent = self._select_parent(later, callers)
            if parent is None and later:
                parent = self._select_parent(
                    later, {active.route for active in later}
                )
        if parent is not None:
            parent.calls_made += 1
            parent.pending_calls += 1
        return parent

    def record_cancelled_call(self, parent: ActiveRequest | None) -> None:
        """Record that the sender of a request cancelled it."""
        if parent is not None:
            parent.pending_calls -= 1

    def _expiring_at(self, expires_ms: float) -> list[ActiveRequest]:
        first = bisect.bisect_left(
            self._deadlines, expires_ms - MAX_EXPIRY_LAG_MS
        )
        last = bisect.bisect_right(
            self._deadlines, expires_ms + MAX_EXPIRY_LEAD_MS
        )
        return self._requests[first:last]

    def _baseline_shares(self, expires_ms: float) -> list[tuple[str, float]]:
        """Return routes that expire near, but not at, a moment, with shares.

        The share is that of the offsets at which a request of the route
        expires.
        """
        counts: collections.Counter[str] = collections.Counter()
        for offset_ms in BASELINE_OFFSETS_MS:
            counts.update(
                {
                    active.route
                    for active in self._expiring_at(expires_ms + offset_ms)
                }
            )
        offsets = len(BASELINE_OFFSETS_MS)
        return [(route, count / offsets) for route, count in counts.items()]

    def _select_parent(
        self,
        candidates: Sequence[ActiveRequest],
        callers: Collection[str],
    ) -> ActiveRequest | None:
        """Return the most likely parent of a call that was just received.

        Preferred are requests whose last call was just answered, the latest
        answer first, then requests without calls, the oldest first.
        """
        likely = [active for active in candidates if active.route in callers]
        expected = [active for active in likely if self._expects_call(active)]
        if expected:
            return max(expected, key=_last_answer_ms)
        without_calls = [active for active in likely if not active.calls_made]
        if without_calls:
            return self._select_first_caller(without_calls)
        return self._rng.choice(likely) if likely else None

    def _select_first_caller(
        self, candidates: Sequence[ActiveRequest]
    ) -> ActiveRequest:
        """Return the oldest request that may be making its first call.

        A request that makes no calls would otherwise get those of all others.
        """
        now_ms = self._clock.now_ms()
        if len(candidates) == 1:
            self._record_first_call(candidates[0], now_ms)
            return candidates[0]
        young = [
            active
            for active in candidates
            if now_ms - active.started_ms <= self._max_first_call_age_ms(active)
        ]
        if young:
            return min(young, key=_started_ms)
        return max(candidates, key=_started_ms)

    def _max_first_call_age_ms(self, active: ActiveRequest) -> float:
        mean_ms = self._first_call_age_ms_by_route.get(active.route)
        if mean_ms is None:
            return math.inf
        return max(
            mean_ms * MAX_FIRST_CALL_AGE_FACTOR, MIN_MAX_FIRST_CALL_AGE_MS
        )

    def _record_first_call(self, active: ActiveRequest, now_ms: float) -> None:
        age_ms = now_ms - active.started_ms
        mean_ms = self._first_call_age_ms_by_route.get(active.route, age_ms)
        mean_ms += FIRST_CALL_AGE_WEIGHT * (age_ms - mean_ms)
        self._first_call_age_ms_by_route[active.route] = mean_ms

    def _expects_call(self, active: ActiveRequest) -> bool:
        """Return whether the last call was answered a moment ago."""
        if active.pending_calls:
            return False
        return (
            self._clock.now_ms() - active.last_answer_ms <= NEXT_CALL_WINDOW_MS
        )


def _started_ms(active: ActiveRequest) -> float:
    return active.started_ms


def _last_answer_ms(active: ActiveRequest) -> float:
    return active.last_answer_ms

"""Call graph: the routes that the local backend server calls, by caller route.

Load pattern: a chain of calls ends at a service with little capacity. A node
that mistakes these calls for new root requests refuses them there, and all
work done upstream is wasted. An entry that doesn't know that a route leads to
the service admits too many requests.

A call doesn't identify the active request that made it, but two coincidences
are far more frequent than chance:

- a call expires at the same moment as its parent, unless it has a shorter
  timeout of its own;
- a request completes directly after the answer to its last call.

The count of each is compared with that at unrelated moments: shortly before
and after the expiry, and directly before the answer. A significant excess
means that one route calls the other.

With many nodes, each of them sees too few calls to tell. What one node has
found holds for all servers of a service, so nodes tell each other which routes
call which. An observation is passed on once, and again when it is much newer::

    graph.record_request('look', at_expiry=['read'], at_baseline=[])
    graph.record_answer('look')
    graph.record_completion('read')
    graph.callers('look')    # {'read'} after some tens of these
"""

import collections
import dataclasses
from collections.abc import Collection, Iterable

from bergamotmount.clock import Clock
from bergamotmount.reports import ObservedCall

#: Time after an answer within which a completion may be due to it, and time
#: before the answer within which a completion is a coincidence.
COMPLETION_WINDOW_MS = 3

#: Minimum excess from which a call is inferred: in standard deviations, and as
#: a share of all samples.
MIN_EXCESS_DEVIATIONS = 5
MIN_EXCESS_SHARE = 0.06

#: Number of samples at which all counts are halved, to favour newer samples.
HALVING_SAMPLES = 2000

#: Time without new evidence after which a call is removed from the graph.
EDGE_LIFETIME_MS = 60_000

#: Interval at which a call that is still observed is passed on again, and the
#: time for which it is then passed on to all peers.
RENEWAL_MS = 20_000
RELAY_MS = 2500

#: Minimum time after which a node passes on again what it has learned: less
#: than the interval, as observations arrive with some delay.
MIN_RELAY_INTERVAL_MS = RENEWAL_MS / 2

#: Number of recent answers, and of recent completions, kept for pairing.
_MAX_RECENT_EVENTS = 64


@dataclasses.dataclass(slots=True)
class _CoOccurrence:
    """How often two events coincided, and how often they would by chance."""

    observed: float = 0
    by_chance: float = 0

    def is_significant(self, samples: float) -> bool:
        """Return whether the excess in ``samples`` is significant."""
        excess = self.observed - self.by_chance
        # Of the difference of two counts that both have the mean of chance.
        deviation = (2 * self.by_chance + 2) ** 0.5
        return excess > max(
            MIN_EXCESS_SHARE * samples, MIN_EXCESS_DEVIATIONS * deviation
        )


class _Evidence:
    """Co-occurrences of one called route with each possible caller route."""

    def __init__(self) -> None:
        self.samples: float = 0
        self.co_occurrence_by_caller: dict[str, _CoOccurrence] = {}

    def count_sample(self) -> None:
        self.samples += 1
        if self.samples < HALVING_SAMPLES:
            return
        self.samples /= 2
        for co_occurrence in self.co_occurrence_by_caller.values():
            co_occurrence.observed /= 2
            co_occurrence.by_chance /= 2

    def with_caller(self, caller: str) -> _CoOccurrence:
        return self.co_occurrence_by_caller.setdefault(caller, _CoOccurrence())

    def significant_callers(self) -> list[str]:
        return [
            caller
            for caller, co_occurrence in self.co_occurrence_by_caller.items()
            if co_occurrence.is_significant(self.samples)
        ]


@dataclasses.dataclass(slots=True)
class _Edge:
    """A call between two routes: when it was last observed and passed on."""

    observed_ms: float
    relayed_ms: float


class CallGraph:
    """Calls between routes, inferred for the backend server on this host."""

    def __init__(self, clock: Clock) -> None:
        """Start with an empty graph."""
        self._clock = clock
        self._expiry_evidence_by_route: dict[str, _Evidence] = {}
        self._completion_evidence_by_route: dict[str, _Evidence] = {}
        self._answers: collections.deque[tuple[float, str]] = collections.deque(
            maxlen=_MAX_RECENT_EVENTS
        )
        self._completions: collections.deque[tuple[float, str]] = (
            collections.deque(maxlen=_MAX_RECENT_EVENTS)
        )
        self._edge_by_caller_by_route: dict[str, dict[str, _Edge]] = {}

    def record_request(
        self,
        route: str,
        at_expiry: Iterable[str],
        at_baseline: Iterable[tuple[str, float]],
    ) -> None:
        """Record a request of a route that was sent from this host.

        ``at_expiry`` are the routes of active requests that expire at the
        same moment. ``at_baseline`` are the routes of those that expire at
        one of several unrelated moments, each with the share of these moments.
        """
        evidence = self._expiry_evidence_by_route.setdefault(route, _Evidence())
        evidence.count_sample()
        for caller in at_expiry:
            evidence.with_caller(caller).observed += 1
        for caller, share in at_baseline:
            evidence.with_caller(caller).by_chance += share
        self._confirm_callers(route, evidence)

    def record_answer(self, route: str) -> None:
        """Record that a request of a route was just answered.

        Events of the same event loop iteration have no known order and aren't
        paired.
        """
        now_ms = self._clock.loop_time_ms()
        evidence = self._completion_evidence_by_route.setdefault(
            route, _Evidence()
        )
        evidence.count_sample()
        for completed_ms, caller in reversed(self._completions):
            if completed_ms < now_ms - COMPLETION_WINDOW_MS:
                break
            if completed_ms < now_ms:
                evidence.with_caller(caller).by_chance += 1
        self._answers.append((now_ms, route))
        self._confirm_callers(route, evidence)

    def record_completion(self, caller: str) -> None:
        """Record that the server just completed a request of a route."""
        now_ms = self._clock.loop_time_ms()
        for answered_ms, route in reversed(self._answers):
            if answered_ms < now_ms - COMPLETION_WINDOW_MS:
                break
            if answered_ms < now_ms:
                self._completion_evidence_by_route[route].with_caller(
                    caller
                ).observed += 1
        self._completions.append((now_ms, caller))

    def callers(self, route: str) -> Collection[str]:
        """Return the routes whose requests call a route."""
        edge_by_caller = self._edge_by_caller_by_route.get(route)
        if not edge_by_caller:
            return ()
        oldest_ms = self._clock.now_ms() - EDGE_LIFETIME_MS
        for caller, edge in list(edge_by_caller.items()):
            if edge.observed_ms < oldest_ms:
                edge_by_caller.pop(caller)
        return edge_by_caller.keys()

    def callees(self, caller: str) -> list[str]:
        """Return the routes that requests of a route call."""
        return [
            route
            for route in self._edge_by_caller_by_route
            if caller in self.callers(route)
        ]

    def learn(self, calls: Iterable[ObservedCall]) -> None:
        """Add the calls that another node has observed."""
        now_ms = self._clock.now_ms()
        for call in calls:
            observed_ms = now_ms - call.age_ms
            if observed_ms > now_ms - EDGE_LIFETIME_MS:
                self._observe(
                    call.caller,
                    call.route,
                    observed_ms,
                    MIN_RELAY_INTERVAL_MS,
                )

    def calls_to_relay(self) -> list[ObservedCall]:
        """Return the calls that are new enough to be passed on."""
        now_ms = self._clock.now_ms()
        return [
            ObservedCall(caller, route, int(now_ms - edge.observed_ms))
            for route, edge_by_caller in self._edge_by_caller_by_route.items()
            for caller, edge in edge_by_caller.items()
            if now_ms - edge.relayed_ms < RELAY_MS
        ]

    def _confirm_callers(self, route: str, evidence: _Evidence) -> None:
        now_ms = self._clock.now_ms()
        for caller in evidence.significant_callers():
            self._observe(caller, route, now_ms, RENEWAL_MS)

    def _observe(
        self,
        caller: str,
        route: str,
        observed_ms: float,
        relay_interval_ms: float,
    ) -> None:
        edge_by_caller = self._edge_by_caller_by_route.setdefault(route, {})
        edge = edge_by_caller.get(caller)
        now_ms = self._clock.now_ms()
        if edge is None:
            edge_by_caller[caller] = _Edge(observed_ms, now_ms)
            return
        if observed_ms - edge.relayed_ms > relay_interval_ms:
            edge.relayed_ms = now_ms
        edge.observed_ms = max(edge.observed_ms, observed_ms)

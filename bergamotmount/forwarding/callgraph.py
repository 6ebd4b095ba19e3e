"""Call graph: which routes the backend server here calls, and from which runs.

Load pattern: a chain of calls runs into a scarce service at its end. Whoever
takes its calls for new requests refuses them there, and all the work above is
lost; whoever doesn't know that a route leads there lets too many in.

Nothing in a server's own call names the run that makes it, but two things
happen far more often than by chance:

- a call expires at the very moment at which its run does, unless it has a
  shorter timeout of its own;
- a run ends right after the answer to its last call.

Each is compared with the same count at moments that mean nothing: a little
beside the expiry, and right before the answer. What is in excess shows a call::

    graph.requested('look', at_expiry=['read'], by_chance=[])
    graph.answered('look')
    graph.ended('read')
    graph.callers('look')    # {'read'} after some tens of those
"""

import collections
import dataclasses
from collections.abc import Collection, Iterable

from bergamotmount.clock import Clock

#: Time after an answer within which the end of a run may be due to it, and
#: before it, within which an end is there by chance.
REACTION_MS = 3

#: Least excess, in standard deviations and as a share of all cases.
LEAST_DEVIATIONS = 5
LEAST_SHARE = 0.06

#: Cases after which older ones count half.
MAX_CASES = 2000

#: Time without new evidence after which a call is forgotten.
FORGET_MS = 60_000

#: Most events that are remembered for pairing.
_MAX_EVENTS = 64


@dataclasses.dataclass(slots=True)
class _Contrast:
    """How often two things fell together, and would have by chance."""

    together: float = 0
    by_chance: float = 0

    def is_clear(self, cases: float) -> bool:
        """Return whether the excess can't be chance in so many cases."""
        excess = self.together - self.by_chance
        deviation = (self.together + self.by_chance + 1) ** 0.5
        return excess > max(LEAST_SHARE * cases, LEAST_DEVIATIONS * deviation)


class _Evidence:
    """Contrasts of one called route, by the route of the run."""

    def __init__(self) -> None:
        self.cases: float = 0
        self.by_caller: dict[str, _Contrast] = {}

    def count(self) -> None:
        self.cases += 1
        if self.cases < MAX_CASES:
            return
        self.cases /= 2
        for contrast in self.by_caller.values():
            contrast.together /= 2
            contrast.by_chance /= 2

    def of(self, caller: str) -> _Contrast:
        return self.by_caller.setdefault(caller, _Contrast())

    def clear_callers(self) -> list[str]:
        return [
            caller
            for caller, contrast in self.by_caller.items()
            if contrast.is_clear(self.cases)
        ]


class CallGraph:
    """Learned calls of the backend server on this host."""

    def __init__(self, clock: Clock) -> None:
        """Know of no calls."""
        self._clock = clock
        self._expiry_by_route: dict[str, _Evidence] = {}
        self._ending_by_route: dict[str, _Evidence] = {}
        self._answers: collections.deque[tuple[float, str]] = collections.deque(
            maxlen=_MAX_EVENTS
        )
        self._ends: collections.deque[tuple[float, str]] = collections.deque(
            maxlen=_MAX_EVENTS
        )
        self._shown_ms_by_caller_by_route: dict[str, dict[str, float]] = {}

    def requested(
        self,
        route: str,
        at_expiry: Iterable[str],
        by_chance: Iterable[tuple[str, float]],
    ) -> None:
        """Take a request of a route into account.

        ``at_expiry`` are the routes of runs that expire with it, ``by_chance``
        those that expire at one of several other moments, each with the share
        of these moments.
        """
        evidence = self._expiry_by_route.setdefault(route, _Evidence())
        evidence.count()
        for caller in at_expiry:
            evidence.of(caller).together += 1
        for caller, share in by_chance:
            evidence.of(caller).by_chance += share
        self._note(route, evidence)

    def answered(self, route: str) -> None:
        """Take note that a request of a route was just answered."""
        now_ms = self._clock.loop_time_ms()
        evidence = self._ending_by_route.setdefault(route, _Evidence())
        evidence.count()
        for ended_ms, caller in reversed(self._ends):
            if ended_ms < now_ms - REACTION_MS:
                break
            if ended_ms < now_ms:
                evidence.of(caller).by_chance += 1
        self._answers.append((now_ms, route))
        self._note(route, evidence)

    def ended(self, caller: str) -> None:
        """Take note that the server just finished a run of a route."""
        now_ms = self._clock.loop_time_ms()
        for answered_ms, route in reversed(self._answers):
            if answered_ms < now_ms - REACTION_MS:
                break
            if answered_ms < now_ms:
                self._ending_by_route[route].of(caller).together += 1
        self._ends.append((now_ms, caller))

    def callers(self, route: str) -> Collection[str]:
        """Return the routes whose runs call a route."""
        shown_ms_by_caller = self._shown_ms_by_caller_by_route.get(route)
        if not shown_ms_by_caller:
            return ()
        oldest_ms = self._clock.now_ms() - FORGET_MS
        for caller, shown_ms in list(shown_ms_by_caller.items()):
            if shown_ms < oldest_ms:
                shown_ms_by_caller.pop(caller)
        return shown_ms_by_caller.keys()

    def callees(self, caller: str) -> list[str]:
        """Return the routes that runs of a route call."""
        return [
            route
            for route in self._shown_ms_by_caller_by_route
            if caller in self.callers(route)
        ]

    def _note(self, route: str, evidence: _Evidence) -> None:
        clear = evidence.clear_callers()
        if not clear:
            return
        shown = self._shown_ms_by_caller_by_route.setdefault(route, {})
        now_ms = self._clock.now_ms()
        for caller in clear:
            shown[caller] = now_ms

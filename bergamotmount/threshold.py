"""Thresholds: the rank above which a service refuses, and its spread.

Each ingress sets a threshold for its own backend server from the arrivals it
sees and the work it finishes. Answers and heartbeats carry thresholds, so the
entry node refuses at the door what would be refused deeper down, before any
work is spent on it. A threshold without fresh reports fades until it is open.
"""

import dataclasses

from bergamotmount.clock import Clock
from bergamotmount.rank import LEVELS, OPEN_RANK

#: Time over which arrivals and completions are compared.
WINDOW_MS = 100

#: Share of the counts that carries over from one window to the next.
CARRY_OVER = 0.5

#: Slices of one importance level in the count of arrivals.
SLICES = 32

#: Share of the queue in use above which a window counts as overloaded.
OVERLOADED_QUEUE = 0.5

#: Share of the queue in use below which a window counts as relaxed.
RELAXED_QUEUE = 0.25

#: Growth of the threshold in a relaxed window, and its least step.
GROWTH = 0.2
LEAST_STEP = 0.04

#: Growth after windows in which the queue stayed empty.
IDLE_GROWTH = 0.6

#: Share of completions that is let in when a threshold is set anew.
SAFETY = 0.98

#: Least rank to which a threshold falls, so that some requests always pass.
LEAST_RANK = 1 / SLICES

#: Age up to which a report holds as it is, and over which it then fades.
HOLD_MS = 500
FADE_MS = 2000

#: Time for which prepared reports are sent again.
REPORT_CACHE_MS = 20

_BUCKETS = LEVELS * SLICES


class ThresholdController:
    """Sets the threshold of one backend server."""

    def __init__(self, clock: Clock) -> None:
        """Start with an open threshold."""
        self._clock = clock
        self._rank = OPEN_RANK
        self._arrivals = [float(0) for _ in range(_BUCKETS)]
        self._completions: float = 0
        self._queue_share_sum: float = 0
        self._queue_samples = 0
        self._refusals = 0
        self._window_end_ms = clock.now_ms() + WINDOW_MS

    def arrived(self, rank: float, queue_share: float) -> None:
        """Count a request that came in, refused or not."""
        self._advance()
        bucket = min(int(rank * SLICES), _BUCKETS - 1)
        self._arrivals[bucket] += 1
        self._sample(queue_share)

    def completed(self, queue_share: float) -> None:
        """Count a request that the backend server finished."""
        self._advance()
        self._completions += 1
        self._sample(queue_share)

    def refused(self) -> None:
        """Count a request that was refused because of load."""
        self._refusals += 1

    def current(self) -> float:
        """Return the threshold now; requests of a greater rank don't pass."""
        self._advance()
        return self._rank

    def pressure(self) -> float:
        """Return how far the threshold is closed, from 1 for open upwards."""
        return OPEN_RANK / self.current()

    def _sample(self, queue_share: float) -> None:
        self._queue_share_sum += queue_share
        self._queue_samples += 1

    def _advance(self) -> None:
        overdue_ms = self._clock.now_ms() - self._window_end_ms
        if overdue_ms < 0:
            return
        self._close_window()
        for _ in range(min(int(overdue_ms / WINDOW_MS), _BUCKETS)):
            self._close_window()
        self._window_end_ms = self._clock.now_ms() + WINDOW_MS

    def _close_window(self) -> None:
        queue_share = self._queue_share_sum / max(self._queue_samples, 1)
        if self._refusals or queue_share > OVERLOADED_QUEUE:
            self._lower()
        elif queue_share < RELAXED_QUEUE:
            self._raise(GROWTH if self._queue_share_sum else IDLE_GROWTH)
        self._arrivals = [count * CARRY_OVER for count in self._arrivals]
        self._completions *= CARRY_OVER
        self._queue_share_sum = 0
        self._queue_samples = 0
        self._refusals = 0

    def _lower(self) -> None:
        budget = self._completions * SAFETY
        for bucket, count in enumerate(self._arrivals):
            budget -= count
            if budget < 0:
                rank = bucket / SLICES
                self._rank = max(min(self._rank, rank), LEAST_RANK)
                return

    def _raise(self, growth: float) -> None:
        step = max(self._rank * growth, LEAST_STEP)
        self._rank = min(self._rank + step, OPEN_RANK)


@dataclasses.dataclass(frozen=True, slots=True)
class ThresholdReport:
    """Threshold of a service as heard, and how long ago it was set.

    The age travels along, so that a report that nodes tell each other in a
    circle still grows old.
    """

    rank: float
    age_ms: int = 0


@dataclasses.dataclass(slots=True)
class _Heard:
    rank: float
    set_ms: float

    def faded(self, now_ms: float) -> float:
        stale_ms = now_ms - self.set_ms - HOLD_MS
        if stale_ms <= 0:
            return self.rank
        progress = min(stale_ms / FADE_MS, 1)
        return self.rank + (OPEN_RANK - self.rank) * progress


class ThresholdView:
    """Thresholds of other services as this node knows them."""

    def __init__(self, clock: Clock) -> None:
        """Know nothing: every service counts as open."""
        self._clock = clock
        self._direct_by_service: dict[str, dict[str, _Heard]] = {}
        self._indirect_by_service: dict[str, _Heard] = {}
        self._reports: dict[str, ThresholdReport] = {}
        self._reports_made_ms: float = -REPORT_CACHE_MS

    def hear_direct(self, service: str, server: str, rank: float) -> None:
        """Take over what a backend server's own node reports."""
        by_server = self._direct_by_service.setdefault(service, {})
        by_server[server] = _Heard(rank, self._clock.now_ms())

    def hear_indirect(self, service: str, report: ThresholdReport) -> None:
        """Take over a report that was passed on, if it is newer."""
        set_ms = self._clock.now_ms() - report.age_ms
        known = self._indirect_by_service.get(service)
        if known is None or known.set_ms < set_ms:
            self._indirect_by_service[service] = _Heard(report.rank, set_ms)

    def current(self, service: str) -> float:
        """Return the threshold of a service, averaged over its servers."""
        now_ms = self._clock.now_ms()
        fresh = self._fresh_direct(service, now_ms)
        if fresh:
            return sum(heard.faded(now_ms) for heard in fresh) / len(fresh)
        indirect = self._indirect_by_service.get(service)
        return indirect.faded(now_ms) if indirect else OPEN_RANK

    def reports(self) -> dict[str, ThresholdReport]:
        """Return what to pass on: every service that isn't fully open."""
        now_ms = self._clock.now_ms()
        if now_ms - self._reports_made_ms >= REPORT_CACHE_MS:
            self._reports = self._make_reports(now_ms)
            self._reports_made_ms = now_ms
        return self._reports

    def _make_reports(self, now_ms: float) -> dict[str, ThresholdReport]:
        services = {*self._direct_by_service, *self._indirect_by_service}
        reports = {}
        for service in services:
            age_ms = now_ms - self._newest_ms(service, now_ms)
            if age_ms < HOLD_MS + FADE_MS:
                rank = self.current(service)
                reports[service] = ThresholdReport(rank, int(age_ms))
        return reports

    def _newest_ms(self, service: str, now_ms: float) -> float:
        fresh = self._fresh_direct(service, now_ms)
        if fresh:
            return max(heard.set_ms for heard in fresh)
        indirect = self._indirect_by_service.get(service)
        return indirect.set_ms if indirect else float('-inf')

    def _fresh_direct(self, service: str, now_ms: float) -> list[_Heard]:
        by_server = self._direct_by_service.get(service)
        if not by_server:
            return []
        oldest_ms = now_ms - HOLD_MS - FADE_MS
        return [
            heard for heard in by_server.values() if heard.set_ms > oldest_ms
        ]

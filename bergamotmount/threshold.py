"""Thresholds: the rank above which a service refuses, and its spread.

Each ingress sets a threshold for its own backend server from the arrivals it
sees and the work it finishes. Answers and heartbeats carry thresholds, so the
entry node refuses at the entry what would be refused deeper down, before any
work is spent on it. A threshold without fresh reports fades until it is open.
"""

import dataclasses
from collections.abc import Callable

from bergamotmount.clock import Clock
from bergamotmount.limit import ConcurrencyLimit, ServiceTime
from bergamotmount.rank import LEVELS, OPEN_RANK

#: Shortest and longest time over which arrivals are counted.
MIN_WINDOW_MS = 100
MAX_WINDOW_MS = 1000

#: Service times in a window: what a threshold does shows only after one.
SERVICE_TIMES = 2

#: Weight of former windows in the rate of arrivals.
CARRY_OVER = 0.6

#: What is left after a window of a rate that the threshold keeps from view.
UNSEEN_FADE = 0.95

#: Slices of one importance level in the rates of arrivals.
SLICES = 32

#: Least visible share of a slice from which its whole rate is inferred.
LEAST_VISIBLE = 0.1

#: Share of the queue in use above which a window counts as overloaded, and
#: share below which it counts as relaxed.
OVERLOADED_QUEUE = 0.5
RELAXED_QUEUE = 0.25

#: Arrivals that are let in, as a factor on what the server can finish.
OVERLOADED_FACTOR = 0.9
STEADY_FACTOR = 1.0
RELAXED_FACTOR = 1.1
IDLE_FACTOR = 1.5

#: A fall of the threshold below this share of its value is told at once.
URGENT_DROP = 0.9

#: Least rank to which a threshold falls, so that some requests always pass.
LEAST_RANK = 1 / SLICES

#: Age up to which a report holds as it is, and over which it then fades.
HOLD_MS = 500
FADE_MS = 2000

#: Time for which prepared reports are sent again.
REPORT_CACHE_MS = 20

_BUCKETS = LEVELS * SLICES


def _do_nothing() -> None:
    """Stand for a callback that nobody needs."""


class ThresholdController:
    """Sets the threshold of one backend server.

    It keeps the rate of arrivals by rank and the rate that the server can
    finish, and sets the threshold where the one reaches the other. What the
    threshold itself keeps from view is remembered and fades, so that opening
    again lets in little more at each step than the server can take.
    """

    def __init__(
        self,
        clock: Clock,
        limit: ConcurrencyLimit,
        service_time: ServiceTime,
        on_drop: Callable[[], None] = _do_nothing,
    ) -> None:
        """Start open, for the server of ``limit`` and ``service_time``.

        ``on_drop`` is called when the threshold falls so far that others
        should hear of it before the next answer or heartbeat.
        """
        self._on_drop = on_drop
        self._clock = clock
        self._limit = limit
        self._service_time = service_time
        self._rank = OPEN_RANK
        self._counts = [0 for _ in range(_BUCKETS)]
        self._rates = [float(0) for _ in range(_BUCKETS)]
        self._queue_share_sum: float = 0
        self._queue_samples = 0
        self._refusals = 0
        self._completions = 0
        self._window_start_ms = clock.now_ms()
        self._window_end_ms = self._window_start_ms + MIN_WINDOW_MS

    def arrived(self, rank: float, queue_share: float) -> None:
        """Count a request that came in, refused or not."""
        self._advance()
        bucket = min(int(rank * SLICES), _BUCKETS - 1)
        self._counts[bucket] += 1
        self._sample(queue_share)

    def completed(self, queue_share: float) -> None:
        """Count a request that the backend server has finished."""
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
        now_ms = self._clock.now_ms()
        if now_ms < self._window_end_ms:
            return
        elapsed_ms = now_ms - self._window_start_ms
        window_ms = self._window_ms()
        self._close_window(elapsed_ms)
        for _ in range(min(int(elapsed_ms / window_ms) - 1, _BUCKETS)):
            self._close_window(window_ms)
        self._window_start_ms = now_ms
        self._window_end_ms = now_ms + self._window_ms()

    def _window_ms(self) -> float:
        window_ms = SERVICE_TIMES * self._service_time.current_ms()
        return min(max(window_ms, MIN_WINDOW_MS), MAX_WINDOW_MS)

    def _close_window(self, window_ms: float) -> None:
        self._update_rates(window_ms)
        before = self._rank
        finished = self._finished_per_ms(window_ms)
        self._set_rank(finished * self._factor())
        if self._rank < before * URGENT_DROP:
            self._on_drop()
        self._counts = [0 for _ in range(_BUCKETS)]
        self._queue_share_sum = 0
        self._queue_samples = 0
        self._refusals = 0
        self._completions = 0

    def _is_overloaded(self) -> bool:
        return bool(self._refusals) or self._queue_share() > OVERLOADED_QUEUE

    def _queue_share(self) -> float:
        return self._queue_share_sum / max(self._queue_samples, 1)

    def _finished_per_ms(self, window_ms: float) -> float:
        service_ms = self._service_time.current_ms()
        if not service_ms:
            return float('inf')
        finished = self._limit.current() / service_ms
        if self._is_overloaded():
            # A server that has just slowed shows it here first: the average
            # of service times still lacks the requests that take long.
            return min(finished, (self._completions + 1) / window_ms)
        return finished

    def _update_rates(self, window_ms: float) -> None:
        edge = self._rank * SLICES
        for bucket, count in enumerate(self._counts):
            visible = min(edge - bucket, 1)
            rate = self._rates[bucket]
            if visible < LEAST_VISIBLE:
                rate = max(rate * UNSEEN_FADE, count / window_ms)
            else:
                rate *= CARRY_OVER
                rate += (1 - CARRY_OVER) * count / visible / window_ms
            self._rates[bucket] = rate

    def _factor(self) -> float:
        queue_share = self._queue_share()
        if self._is_overloaded():
            return OVERLOADED_FACTOR
        if queue_share > RELAXED_QUEUE:
            return STEADY_FACTOR
        return RELAXED_FACTOR if queue_share else IDLE_FACTOR

    def _set_rank(self, budget: float) -> None:
        self._rank = OPEN_RANK
        for bucket, rate in enumerate(self._rates):
            if rate > budget:
                rank = (bucket + budget / rate) / SLICES
                self._rank = max(rank, LEAST_RANK)
                return
            budget -= rate


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

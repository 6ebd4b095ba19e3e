"""Thresholds: the rank above which a service refuses, and its spread.

Each ingress sets a threshold for its own backend server from the arrivals it
sees and the work it finishes. Answers and heartbeats carry thresholds, so the
entry node refuses at the entry what would be refused deeper down, before any
work is spent on it. A threshold without fresh reports fades until it is open.
"""

import collections
import dataclasses
from collections.abc import Callable

from bergamotmount.clock import Clock
from bergamotmount.limit import ConcurrencyLimit, ServiceTime
from bergamotmount.rank import LEVELS, OPEN_RANK

#: Time over which arrivals and load are counted at least.
WINDOW_MS = 100

#: Time over which the rates of arrivals are averaged.
RATE_MS = 400

#: Time until a change of the threshold shows in what arrives.
SETTLE_MS = 1500

#: Time in which half of a rate that is kept from view is forgotten.
UNSEEN_HALF_LIFE_MS = 8000

#: Slices of one importance level in the rates of arrivals.
SLICES = 32

#: Share of the limit that should be in use, and the time over which a
#: deviation from it is corrected.
TARGET_LOAD = 1.1
CORRECTION_MS = 1500

#: Least load that a deviation is related to.
LEAST_LOAD = 0.3

#: Greatest correction in one window, downwards and upwards.
MAX_DECREASE = 0.4
MAX_INCREASE = 0.3

#: Load above which no more is let in than the server can finish, and the
#: factor on what it can finish.
BUSY_LOAD = 1.2
CAPACITY_FACTOR = 1.1

#: Share of what the server can finish that is let in at least while it is
#: not busy: what the threshold hides can not show that there is room.
LEAST_SHARE = 0.3

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

    Load pattern: demand jumps to twice of what the server can finish, and
    what is refused at the entry shows at the server only after the calls of
    requests that are already in: half a second or more later. A controller
    that acts on each window then swings between closed and open.

    It keeps the rate of arrivals by rank, corrects the rate that is let in
    slowly towards the target load, and never lets in more than the server
    can finish while that is busy. Rates above the lowest threshold of the
    last while are remembered and not forgotten before news of them can come.
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
        self._load_sum: float = 0
        self._load_samples = 0
        self._former: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._window_start_ms = clock.now_ms()

    def arrived(self, rank: float, load: float) -> None:
        """Count a request that came in for the first time, refused or not.

        ``load`` is what is in flight and waits, as a share of the limit.
        """
        self._advance()
        bucket = min(int(rank * SLICES), _BUCKETS - 1)
        self._counts[bucket] += 1
        self._sample(load)

    def completed(self, load: float) -> None:
        """Count a request that the backend server has finished."""
        self._advance()
        self._sample(load)

    def current(self) -> float:
        """Return the threshold now; requests of a greater rank don't pass."""
        self._advance()
        return self._rank

    def pressure(self) -> float:
        """Return how far the threshold is closed, from 1 for open upwards."""
        return OPEN_RANK / self.current()

    def _sample(self, load: float) -> None:
        self._load_sum += load
        self._load_samples += 1

    def _advance(self) -> None:
        now_ms = self._clock.now_ms()
        elapsed_ms = now_ms - self._window_start_ms
        if elapsed_ms < WINDOW_MS:
            return
        self._window_start_ms = now_ms
        self._update_rates(elapsed_ms, self._settled_rank(now_ms))
        before = self._rank
        self._rank = self._rank_at(self._allowed(elapsed_ms))
        self._load_sum = 0
        self._load_samples = 0
        if self._rank < before * URGENT_DROP:
            self._on_drop()

    def _settled_rank(self, now_ms: float) -> float:
        self._former.append((now_ms, self._rank))
        while self._former[0][0] < now_ms - SETTLE_MS:
            self._former.popleft()
        return min(rank for _, rank in self._former)

    def _update_rates(self, elapsed_ms: float, settled_rank: float) -> None:
        weight = min(elapsed_ms / RATE_MS, 1)
        kept = 0.5 ** (elapsed_ms / UNSEEN_HALF_LIFE_MS)
        settled_buckets = int(settled_rank * SLICES)
        for bucket, count in enumerate(self._counts):
            rate = self._rates[bucket]
            seen = rate + weight * (count / elapsed_ms - rate)
            if bucket >= settled_buckets:
                seen = max(seen, rate * kept)
            self._rates[bucket] = seen
        self._counts = [0 for _ in range(_BUCKETS)]

    def _allowed(self, elapsed_ms: float) -> float:
        load = self._load_sum / max(self._load_samples, 1)
        if elapsed_ms > SETTLE_MS:
            # Nothing came for long: what was seen before no longer holds.
            load = 0
        deviation = (TARGET_LOAD - load) / max(load, LEAST_LOAD)
        change = deviation * elapsed_ms / CORRECTION_MS
        bounded = min(max(change, -MAX_DECREASE), MAX_INCREASE)
        allowed = self._rate_up_to(self._rank) * (1 + bounded)
        service_ms = self._service_time.current_ms()
        if not service_ms or not load:
            return float('inf')
        finished = self._limit.current() / service_ms
        if load > BUSY_LOAD:
            return min(allowed, finished * CAPACITY_FACTOR)
        return max(allowed, finished * LEAST_SHARE)

    def _rate_up_to(self, rank: float) -> float:
        whole = int(rank * SLICES)
        total = sum(self._rates[:whole])
        if whole < _BUCKETS:
            total += self._rates[whole] * (rank * SLICES - whole)
        return total

    def _rank_at(self, allowed: float) -> float:
        for bucket, rate in enumerate(self._rates):
            if rate > allowed:
                return max((bucket + allowed / rate) / SLICES, LEAST_RANK)
            allowed -= rate
        return OPEN_RANK


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
        indirect = self._indirect_by_service.get(service)
        if fresh and not _is_newer(indirect, fresh):
            return sum(heard.faded(now_ms) for heard in fresh) / len(fresh)
        return indirect.faded(now_ms) if indirect else OPEN_RANK

    def reports(self) -> dict[str, ThresholdReport]:
        """Return what to pass on: every service that isn't fully open."""
        now_ms = self._clock.now_ms()
        if now_ms - self._reports_made_ms >= REPORT_CACHE_MS:
            self._reports = self._make_reports(now_ms)
            self._reports_made_ms = now_ms
        return self._reports

    def closed(self) -> dict[str, ThresholdReport]:
        """Return what to pass on of services that refuse anything."""
        return {
            service: report
            for service, report in self.reports().items()
            if report.rank < OPEN_RANK
        }

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
        heard = self._fresh_direct(service, now_ms)
        indirect = self._indirect_by_service.get(service)
        if indirect is not None:
            heard.append(indirect)
        return max((each.set_ms for each in heard), default=float('-inf'))

    def _fresh_direct(self, service: str, now_ms: float) -> list[_Heard]:
        by_server = self._direct_by_service.get(service)
        if not by_server:
            return []
        oldest_ms = now_ms - HOLD_MS - FADE_MS
        return [
            heard for heard in by_server.values() if heard.set_ms > oldest_ms
        ]


def _is_newer(indirect: _Heard | None, direct: list[_Heard]) -> bool:
    if indirect is None:
        return False
    return indirect.set_ms > max(heard.set_ms for heard in direct)

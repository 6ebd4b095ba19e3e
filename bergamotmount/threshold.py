"""Thresholds: the rank above which a backend server's node refuses requests.

Each ingress computes the threshold of its backend server from the requests
that arrive and complete. Answers and heartbeats carry thresholds to other
nodes, so that the entry node refuses requests that would be refused further
down the call graph, before any work is done for them. A threshold that is not
reported again decays until it admits everything.
"""

from collections.abc import Callable

from bergamotmount.clock import MS_PER_SECOND, Clock
from bergamotmount.limit import ConcurrencyLimit, ServiceTime
from bergamotmount.rank import ADMIT_ALL_RANK, LEVELS
from bergamotmount.reports import (
    MIN_ADMITTED_SHARE,
    DemandReport,
    threshold_for,
)

#: Minimum length of the window in which arrivals and load are counted.
WINDOW_MS = 100

#: Time constants of the averages of demand and of service time.
DEMAND_AVERAGE_MS = 500
SERVICE_TIME_AVERAGE_MS = 1000

#: Share of the server's capacity that is admitted.
TARGET_UTILIZATION = 0.95

#: Time in which the queued requests should be processed.
QUEUE_DRAIN_MS = 400

#: Admitted share of a level from which its demand can be measured well. Below
#: it, a new measurement counts proportionally less.
RELIABLE_SHARE = 0.25

#: Weight of one arrival in the average of the thresholds at the entries.
ENTRY_THRESHOLD_WEIGHT = 0.05

#: A new threshold below this share of the previous one is sent immediately.
SHARP_DROP_RATIO = 0.9

#: Time without requests after which earlier measurements no longer apply.
IDLE_MS = 1500


def _do_nothing() -> None:
    """Ignore a sharp drop of the threshold."""


class ThresholdController:
    """Computes the threshold of one backend server.

    Load pattern: demand jumps to twice the server's capacity. Refusals at the
    entry have an effect at the server only half a second or more later,
    because requests that were admitted before still make their calls. A
    feedback controller that adjusts the threshold by the observed load then
    oscillates between refusing nearly everything and admitting everything.

    This controller has no such feedback. It computes the threshold from the
    capacity of the server and from the total demand, including the requests
    that are refused at the entry. Each arrival carries the threshold that its
    entry applied. The requests admitted within a level are a uniform sample,
    so one arrival counts as the inverse of the share that was admitted.
    """

    def __init__(
        self,
        clock: Clock,
        limit: ConcurrencyLimit,
        service_time: ServiceTime,
        on_sharp_drop: Callable[[], None] = _do_nothing,
    ) -> None:
        """Start with a threshold that admits everything.

        ``limit`` and ``service_time`` describe the backend server.
        ``on_sharp_drop`` is called when the threshold falls so far that other
        nodes should learn of it before the next answer or heartbeat.
        """
        self._on_sharp_drop = on_sharp_drop
        self._clock = clock
        self._limit = limit
        self._service_time = service_time
        self._threshold = ADMIT_ALL_RANK
        self._report = DemandReport()
        self._arrivals = [float(0) for _ in range(LEVELS)]
        self._entry_threshold = ADMIT_ALL_RANK
        self._demand = [float(0) for _ in range(LEVELS)]
        self._service_ms: float = 0
        self._load_sum: float = 0
        self._load_samples = 0
        self._window_start_ms = clock.now_ms()

    def record_arrival(
        self,
        rank: float,
        load: float,
        entry_threshold: float = ADMIT_ALL_RANK,
    ) -> None:
        """Count the first arrival of a request, admitted or refused.

        ``load`` is the number of requests in flight and queued, divided by
        the limit. ``entry_threshold`` is the threshold that the entry node
        applied to the root request.
        """
        self._update_if_due()
        level = min(int(rank), LEVELS - 1)
        self._arrivals[level] += 1 / _admitted_share(level, entry_threshold)
        self._entry_threshold += ENTRY_THRESHOLD_WEIGHT * (
            entry_threshold - self._entry_threshold
        )
        self._record_load(load)

    def record_completion(self, load: float) -> None:
        """Count a request that the backend server has finished."""
        self._update_if_due()
        self._record_load(load)

    def threshold(self) -> float:
        """Return the current threshold, the highest rank that is admitted."""
        self._update_if_due()
        return self._threshold

    def demand_report(self) -> DemandReport:
        """Return the admissible rate and the demand by level."""
        self._update_if_due()
        return self._report

    def retry_after_factor(self) -> float:
        """Return the factor on retry-after advice for this threshold.

        It is 1 while everything is admitted and grows as the threshold falls.
        """
        return ADMIT_ALL_RANK / self.threshold()

    def _record_load(self, load: float) -> None:
        self._load_sum += load
        self._load_samples += 1

    def _update_if_due(self) -> None:
        now_ms = self._clock.now_ms()
        elapsed_ms = now_ms - self._window_start_ms
        if elapsed_ms < WINDOW_MS:
            return
        self._window_start_ms = now_ms
        self._update_demand(elapsed_ms)
        allowed = self._admissible_rate(elapsed_ms) * MS_PER_SECOND
        self._report = DemandReport(allowed, tuple(self._demand))
        previous = self._threshold
        self._threshold = threshold_for(self._demand, allowed)
        self._load_sum = 0
        self._load_samples = 0
        if self._threshold < previous * SHARP_DROP_RATIO:
            self._on_sharp_drop()

    def _update_demand(self, elapsed_ms: float) -> None:
        weight = min(elapsed_ms / DEMAND_AVERAGE_MS, 1)
        for level, count in enumerate(self._arrivals):
            rate = count / elapsed_ms * MS_PER_SECOND
            # A small admitted share is a poor sample of the demand, so the
            # earlier estimate keeps more weight.
            share = _admitted_share(level, self._entry_threshold)
            level_weight = weight * min(share / RELIABLE_SHARE, 1)
            self._demand[level] += level_weight * (rate - self._demand[level])
        self._arrivals = [float(0) for _ in range(LEVELS)]

    def _admissible_rate(self, elapsed_ms: float) -> float:
        """Return the admissible rate, in requests per millisecond."""
        rate_limit = self._limit.rate.per_second / MS_PER_SECOND
        return min(
            self._completion_rate(elapsed_ms), TARGET_UTILIZATION * rate_limit
        )

    def _completion_rate(self, elapsed_ms: float) -> float:
        """Return the rate at which the server can work off its requests."""
        service_ms = self._service_time.current_ms()
        if not service_ms or not self._load_samples or elapsed_ms > IDLE_MS:
            self._service_ms = service_ms
            return float('inf')
        weight = min(elapsed_ms / SERVICE_TIME_AVERAGE_MS, 1)
        if not self._service_ms:
            weight = 1
        self._service_ms += weight * (service_ms - self._service_ms)
        limit = self._limit.current()
        load = self._load_sum / self._load_samples
        queued = max(load - 1, 0) * limit
        completed = TARGET_UTILIZATION * limit / self._service_ms
        return max(completed - queued / QUEUE_DRAIN_MS, 0)


def _admitted_share(level: int, entry_threshold: float) -> float:
    """Return the share of a level that an entry node admits."""
    return min(max(entry_threshold - level, MIN_ADMITTED_SHARE), 1)

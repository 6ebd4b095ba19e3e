"""Thresholds: the rank above which a service refuses, and its spread.

Each ingress sets a threshold for its own backend server from the arrivals it
sees and the work it finishes. Answers and heartbeats carry thresholds, so the
entry node refuses at the entry what would be refused deeper down, before any
work is spent on it. A threshold without fresh reports fades until it is open.
"""

from collections.abc import Callable

from bergamotmount.clock import MS_PER_SECOND, Clock
from bergamotmount.limit import ConcurrencyLimit, ServiceTime
from bergamotmount.rank import LEVELS, OPEN_RANK
from bergamotmount.reports import LEAST_OPEN, DemandReport, rank_for

#: Time over which arrivals and load are counted at least.
WINDOW_MS = 100

#: Time over which demand and service time are averaged.
DEMAND_MS = 500
SERVICE_MS = 1000

#: Share of what the server can finish that is let in.
TARGET_SHARE = 0.95

#: Time in which requests that wait should be worked off.
DRAIN_MS = 400

#: Share of a level that must be let in to see its demand well.
ENOUGH_OPEN = 0.25

#: Weight of one more arrival in how far entries are open.
ENTRY_WEIGHT = 0.05

#: A fall of the threshold below this share of its value is told at once.
URGENT_DROP = 0.9

#: Time without arrivals after which what was seen before no longer holds.
IDLE_MS = 1500


def _do_nothing() -> None:
    """Stand for a callback that nobody needs."""


class ThresholdController:
    """Sets the threshold of one backend server.

    Load pattern: demand jumps to twice of what the server can finish, and
    what is refused at the entry shows at the server only after the calls of
    requests that are already in: half a second or more later. A controller
    that corrects the threshold by what it sees then swings between closed and
    open.

    This one doesn't correct: it works out the threshold from what the server
    can finish and from the whole demand, seen or not. Each arrival tells how
    far its entry was open, and within a level those let in are drawn evenly;
    so one arrival stands for as many as the inverse of the open share.
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
        self._report = DemandReport()
        self._counts = [float(0) for _ in range(LEVELS)]
        self._entry_threshold = OPEN_RANK
        self._demand = [float(0) for _ in range(LEVELS)]
        self._service_ms: float = 0
        self._load_sum: float = 0
        self._load_samples = 0
        self._window_start_ms = clock.now_ms()

    def arrived(
        self,
        rank: float,
        load: float,
        entry_threshold: float = OPEN_RANK,
    ) -> None:
        """Count a request that came in for the first time, refused or not.

        ``load`` is what is in flight and waits, as a share of the limit,
        ``entry_threshold`` the rank up to which its entry let requests in.
        """
        self._advance()
        level = min(int(rank), LEVELS - 1)
        self._counts[level] += 1 / _open_share(level, entry_threshold)
        self._entry_threshold += ENTRY_WEIGHT * (
            entry_threshold - self._entry_threshold
        )
        self._sample(load)

    def completed(self, load: float) -> None:
        """Count a request that the backend server has finished."""
        self._advance()
        self._sample(load)

    def current(self) -> float:
        """Return the threshold now; requests of a greater rank don't pass."""
        self._advance()
        return self._rank

    def report(self) -> DemandReport:
        """Return what the server can take, and what is asked of it."""
        self._advance()
        return self._report

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
        self._update_demand(elapsed_ms)
        allowed = self._allowed(elapsed_ms) * MS_PER_SECOND
        self._report = DemandReport(allowed, tuple(self._demand))
        before = self._rank
        self._rank = rank_for(self._demand, allowed)
        self._load_sum = 0
        self._load_samples = 0
        if self._rank < before * URGENT_DROP:
            self._on_drop()

    def _update_demand(self, elapsed_ms: float) -> None:
        weight = min(elapsed_ms / DEMAND_MS, 1)
        for level, count in enumerate(self._counts):
            rate = count / elapsed_ms * MS_PER_SECOND
            # What is hardly let in is hardly seen: keep what was known of it.
            open_share = _open_share(level, self._entry_threshold)
            seen = weight * min(open_share / ENOUGH_OPEN, 1)
            self._demand[level] += seen * (rate - self._demand[level])
        self._counts = [float(0) for _ in range(LEVELS)]

    def _allowed(self, elapsed_ms: float) -> float:
        """Return the rate that may be let in, in requests a millisecond."""
        service_ms = self._service_time.current_ms()
        if not service_ms or not self._load_samples or elapsed_ms > IDLE_MS:
            self._service_ms = service_ms
            return float('inf')
        weight = min(elapsed_ms / SERVICE_MS, 1)
        if not self._service_ms:
            weight = 1
        self._service_ms += weight * (service_ms - self._service_ms)
        limit = self._limit.current()
        load = self._load_sum / self._load_samples
        waiting = max(load - 1, 0) * limit
        return TARGET_SHARE * limit / self._service_ms - waiting / DRAIN_MS


def _open_share(level: int, entry_threshold: float) -> float:
    """Return the share of a level that an entry lets in."""
    return min(max(entry_threshold - level, LEAST_OPEN), 1)

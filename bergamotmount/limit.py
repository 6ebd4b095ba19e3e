"""Concurrency limit of one backend server.

The maximum is the number of slots that the server announces, minus headroom.
After a cold start the limit ramps up to it. When the server shows overload (it
sheds or drops a request) the limit decreases by a factor; successful requests
raise it again one slot at a time::

    limit = ConcurrencyLimit(clock)
    limit.update_slots(slots=55, slow_start_ms=2000)
    if in_flight < limit.current():
        ...
"""

from bergamotmount.clock import Clock
from bergamotmount.ratelimit import RateLimit

#: Share of the slots that is available when a slow start begins.
SLOW_START_SHARE = 0.2

#: Factor that is applied to the limit when the server shows overload.
DECREASE_FACTOR = 0.9

#: Minimum time between two decreases.
MIN_DECREASE_INTERVAL_MS = 100

#: Maximum number of operations whose service times are kept.
MAX_OPERATIONS = 256

#: Successful requests after which a lowered limit rises by one slot.
SUCCESSES_PER_INCREASE = 4


class ConcurrencyLimit:
    """Limits the requests that a backend server executes concurrently.

    ``rate`` limits the requests per second, if the server states a rate.
    """

    def __init__(self, clock: Clock, headroom: float = 0) -> None:
        """Start with a limit of 0, until the slots are known.

        ``headroom`` is the share of the slots that is never used, for servers
        that slow down when they are nearly full.
        """
        self.rate = RateLimit(clock)
        self._clock = clock
        self._headroom = headroom
        self._slots = 0
        self._limit: float = 0
        self._slow_start_ms: float = 0
        self._ramp_start_ms: float = 0
        self._last_decrease_ms: float = 0
        self._successes = 0

    @property
    def slots(self) -> int:
        """Number of slots that the server announced last."""
        return self._slots

    def update_slots(self, slots: int, slow_start_ms: float = 0) -> None:
        """Update the number of slots that the server announced.

        A positive ``slow_start_ms`` starts a ramp of that duration.
        """
        if slots != self._slots:
            self._limit = slots - round(slots * self._headroom)
        self._slots = slots
        if slow_start_ms > 0:
            self._slow_start_ms = slow_start_ms
            self._ramp_start_ms = self._clock.now_ms()

    def current(self) -> int:
        """Return the current limit, at least 1 once the slots are known."""
        if not self._slots:
            return 0
        return max(1, int(min(self._limit, self._ramp_slots())))

    def record_success(self) -> None:
        """Count a successful request and raise a lowered limit."""
        max_limit = self._slots - round(self._slots * self._headroom)
        if self._limit >= max_limit:
            return
        self._successes += 1
        if self._successes >= SUCCESSES_PER_INCREASE:
            self._successes = 0
            self._limit = min(self._limit + 1, max_limit)

    def record_overload(self) -> None:
        """Lower the limit after the server showed overload."""
        now_ms = self._clock.now_ms()
        if now_ms - self._last_decrease_ms < MIN_DECREASE_INTERVAL_MS:
            return
        self._last_decrease_ms = now_ms
        self._successes = 0
        self._limit = max(1, self._limit * DECREASE_FACTOR)

    def _ramp_slots(self) -> float:
        if not self._slow_start_ms:
            return self._slots
        elapsed_ms = self._clock.now_ms() - self._ramp_start_ms
        progress = elapsed_ms / self._slow_start_ms
        if progress >= 1:
            self._slow_start_ms = 0
            return self._slots
        return self._slots * (
            SLOW_START_SHARE + (1 - SLOW_START_SHARE) * progress
        )


class ServiceTime:
    """Service times of the backend server, in milliseconds.

    There is one average for all requests and one for each operation. The
    operations of a server differ by an order of magnitude: a short one must
    not be refused because it couldn't finish in the mean time of all::

        service_time.add_sample(15, 'look')
        service_time.expected_ms('look')
    """

    def __init__(self, clock: Clock) -> None:
        """Start without samples."""
        self._clock = clock
        self._all = _DecayingAverage(clock)
        self._average_by_operation: dict[str, _DecayingAverage] = {}

    def add_sample(self, service_ms: float, operation: str = '') -> None:
        """Add one sample to the averages."""
        self._all.add_sample(service_ms)
        average = self._average_by_operation.get(operation)
        if average is None:
            if len(self._average_by_operation) >= MAX_OPERATIONS:
                # Operations come and go with the policy.
                self._average_by_operation.clear()
            average = _DecayingAverage(self._clock)
            self._average_by_operation[operation] = average
        average.add_sample(service_ms)

    def current_ms(self) -> float:
        """Return the average of all requests, 0 before the first sample."""
        return self._all.current_ms()

    def expected_ms(self, operation: str) -> float:
        """Return the average of an operation; of all if it has no samples."""
        average = self._average_by_operation.get(operation)
        return self.current_ms() if average is None else average.current_ms()


class _DecayingAverage:
    """Moving average that decays while there are no new samples.

    Otherwise one slow period would make every later deadline seem impossible
    to meet.
    """

    #: Weight of a new sample.
    weight = 0.1

    #: Half-life of the average without new samples.
    half_life_ms = 1000

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._average_ms: float = 0
        self._sampled_ms: float = 0

    def add_sample(self, sample_ms: float) -> None:
        average_ms = self.current_ms()
        if average_ms:
            average_ms += self.weight * (sample_ms - average_ms)
        else:
            average_ms = sample_ms
        self._average_ms = average_ms
        self._sampled_ms = self._clock.now_ms()

    def current_ms(self) -> float:
        age_ms = self._clock.now_ms() - self._sampled_ms
        if age_ms < self.half_life_ms:
            return self._average_ms
        return self._average_ms * 0.5 ** (age_ms / self.half_life_ms)

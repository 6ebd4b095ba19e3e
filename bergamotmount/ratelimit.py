"""Rate limit that a backend server states, enforced by the node beside it.

Load pattern: one server of a service is overloaded and states the rate that it
takes from all nodes together, while the service gets as many requests as
before. All requests to a server pass the node beside it, so that node alone
enforces the limit, as a token bucket, and needs no agreement with others. It
reports how full the bucket is as load: the other nodes then choose other
servers, and requests that arrive nevertheless are refused before they reach
the server.
"""

import math

from bergamotmount.clock import MS_PER_SECOND, Clock

#: Time whose requests may be sent at once, after a time without requests.
BURST_MS = 1000

#: Tolerance of rounding errors in the number of tokens.
_EPSILON = 1e-6

#: Least rate that is used, in requests per second. A server that states 0
#: still gets the requests whose responses show that it has recovered.
MIN_RATE = 0.5


class RateLimit:
    """Token bucket with the rate that a backend server states.

    ::

        rate_limit = RateLimit(clock)
        rate_limit.record_response(13.3, sent_ms=clock.now_ms())
        if rate_limit.has_token():
            rate_limit.take()
    """

    def __init__(self, clock: Clock) -> None:
        """Start without a limit."""
        self.per_second = math.inf
        self._clock = clock
        self._tokens: float = 0
        self._refilled_ms: float = 0
        self._stated_ms = -math.inf

    @property
    def is_limited(self) -> bool:
        """Whether the server has stated a limit that still holds."""
        return self.per_second < math.inf

    def clear(self) -> None:
        """Remove the limit; the server was replaced by another process."""
        self.per_second = math.inf
        self._stated_ms = -math.inf

    def record_response(self, per_second: float, sent_ms: float) -> None:
        """Apply the rate in a response, infinite if it states none.

        ``sent_ms`` is when the request was sent. The limit ends with the
        response to a request that was sent after it was stated last: others
        may have been given before.
        """
        if per_second < math.inf:
            self._stated_ms = self._clock.now_ms()
            self._set_rate(max(per_second, MIN_RATE))
        elif sent_ms >= self._stated_ms:
            self.clear()

    def has_token(self) -> bool:
        """Return whether a request may be sent now."""
        return not self.is_limited or self._refill() >= 1 - _EPSILON

    def take(self) -> None:
        """Count a request that is sent."""
        if self.is_limited:
            self._tokens = self._refill() - 1

    def wait_ms(self, position: int = 1) -> float:
        """Return the time until the request at a position may be sent.

        The next request has position 1.
        """
        if not self.is_limited:
            return 0
        missing = position - self._refill()
        if missing <= _EPSILON:
            return 0
        return missing / self.per_second * MS_PER_SECOND

    def load(self, queued: int) -> float:
        """Return the used share of the bucket, above 1 with a queue."""
        if not self.is_limited:
            return 0
        return 1 + (queued - self._refill()) / self._capacity()

    def _set_rate(self, per_second: float) -> None:
        if not self.is_limited:
            # The server has just got more than it takes.
            self._tokens = 0
            self._refilled_ms = self._clock.now_ms()
        self._refill()
        self.per_second = per_second

    def _refill(self) -> float:
        now_ms = self._clock.now_ms()
        if self.is_limited:
            elapsed_ms = now_ms - self._refilled_ms
            refilled = self._tokens + elapsed_ms * (
                self.per_second / MS_PER_SECOND
            )
            self._tokens = min(refilled, self._capacity())
        self._refilled_ms = now_ms
        return self._tokens

    def _capacity(self) -> float:
        return max(self.per_second * BURST_MS / MS_PER_SECOND, 1)

"""Token bucket of an organisation's quota, as its owner keeps it."""

from bergamotmount.clock import MS_PER_SECOND, Clock
from bergamotmount.organisations.organisation import Quota


class TokenBucket:
    """Mints tokens at the rate of a quota, up to its burst.

    It starts empty: what an earlier owner has granted isn't known, so nothing
    is taken to be left of the burst. ``share`` is the part of the quota that
    may be granted here::

        bucket = TokenBucket(clock, Quota(rate_per_s=10, burst=5))
        bucket.refill(share=1)
        bucket.take(2)    # 0, as no time has passed
    """

    def __init__(self, clock: Clock, quota: Quota) -> None:
        """Start empty."""
        self.quota = quota
        self.level: float = 0
        self._clock = clock
        self._refilled_ms = clock.now_ms()
        self._expected_until_ms = self._refilled_ms
        self._share: float = 1

    def refill(self, share: float) -> None:
        """Add what was minted since the last call.

        The lower of the shares at both ends of that time counts.
        """
        now_ms = self._clock.now_ms()
        elapsed_s = (now_ms - self._refilled_ms) / MS_PER_SECOND
        minted = elapsed_s * self.quota.rate_per_s * min(share, self._share)
        burst = max(self.quota.burst, 1)
        self.level = min(self.level + minted, burst)
        self._refilled_ms = now_ms
        self._share = share

    def take(self, wanted: int, reserve: float = 0) -> int:
        """Take up to ``wanted`` tokens and return their number.

        At least ``reserve`` tokens are left afterwards.
        """
        taken = max(min(wanted, int(self.level - reserve)), 0)
        self.level -= taken
        return taken

    def retry_after_ms(self, waiting: int) -> float:
        """Return when a token is expected for callers that wait in vain.

        Callers that are told one after the other are expected one after the
        other, at the rate at which tokens are minted.
        """
        now_ms = self._clock.now_ms()
        rate_per_ms = self.quota.rate_per_s * self._share / MS_PER_SECOND
        if rate_per_ms <= 0:
            return MAX_RETRY_AFTER_MS
        first_ms = now_ms + max(1 - self.level, 0) / rate_per_ms
        start_ms = max(self._expected_until_ms, first_ms)
        latest_ms = now_ms + MAX_RETRY_AFTER_MS
        self._expected_until_ms = min(
            start_ms + waiting / rate_per_ms, latest_ms
        )
        return min(start_ms, latest_ms) - now_ms


#: Upper bound of the time that a refused caller is told to wait.
MAX_RETRY_AFTER_MS = 5000

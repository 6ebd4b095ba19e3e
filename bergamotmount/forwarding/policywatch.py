"""Policy watch: finds out in time that a newer version exists.

A long poll brings a new version at once, unless its connection has gone silent;
a quiet store looks the same. So the version that a node applies is checked
again and again: by an own read of the store, or by a peer that has just read
it. After each check a node draws the time of its next own read. Few nodes draw
an early one; what they read is passed along the ring of members, and the others
draw anew. A node that hears from nobody reads by itself.

Load pattern: the connections of all nodes to the store, and between them, go
silent at once, and operators publish a version. It has to be in force at all
nodes after ``apply_ms``. The latest own read comes after half of that time; it
may be silent too, twice, for 15 % each.

While all is well, the deployment as a whole makes one to a few reads in each
round of a third of ``apply_ms``, not one for each node.
"""

import dataclasses
import math
import random

from bergamotmount.clock import Clock
from bergamotmount.forwarding.policysource import RoutePolicySource
from bergamotmount.forwarding.store import store_backoff_ms
from bergamotmount.log import part_logger
from bergamotmount.ports import LogError

#: Time in which a published version has to be in force.
APPLY_MS = 3000

#: Shares of that time: silence of the store after which a request is sent
#: again, and range of the age of the last check at which a node reads.
SILENCE_SHARE = 0.15
MIN_READ_SHARE = 0.25
MAX_READ_SHARE = 0.5

#: Out of this number of draws, the highest age counts: few nodes read early.
DRAWS = 5

_log = part_logger('policy')


@dataclasses.dataclass(frozen=True, slots=True)
class PolicyTimes:
    """Times of policy checks, in milliseconds.

    ::

        PolicyTimes.within(2000).silence_ms  # 300
    """

    silence_ms: float
    min_read_ms: float
    max_read_ms: float

    @classmethod
    def within(cls, apply_ms: float) -> 'PolicyTimes':
        """Return the times that bring versions into force in ``apply_ms``."""
        return cls(
            apply_ms * SILENCE_SHARE,
            apply_ms * MIN_READ_SHARE,
            apply_ms * MAX_READ_SHARE,
        )


class PolicyWatch:
    """Keeps checking that the active version of one node is the newest."""

    def __init__(
        self,
        clock: Clock,
        source: RoutePolicySource,
        times: PolicyTimes,
        rng: random.Random,
    ) -> None:
        """Read by ``source``, which lets the peers know of each check."""
        self._clock = clock
        self._source = source
        self._times = times
        self._rng = rng
        self._started_ms = clock.now_ms()
        self._heard_ms = -math.inf
        self._failures = 0

    @property
    def checked_ms(self) -> float:
        """Latest time at which no version newer than the active one existed."""
        return max(self._heard_ms, self._source.answered_ms)

    @property
    def age_ms(self) -> float:
        """Time since the last check, infinite before the first."""
        return self._clock.now_ms() - self.checked_ms

    def age_to_relay(self) -> int | None:
        """Return the age of the last check for peers, ``None`` without one.

        A check doesn't count while the newest record can't be read: a peer of
        another release may be able to.
        """
        age_ms = self.age_ms
        if math.isinf(age_ms) or self._source.has_unreadable_record:
            return None
        return math.ceil(age_ms)

    def hear(self, version: int, age_ms: int | None) -> bool:
        """Use a peer's check; return whether to pass it on.

        The peer knew this long ago that no version newer than its own existed.
        """
        if age_ms is None or version > self._source.version:
            return False
        checked_ms = self._clock.now_ms() - age_ms
        gained_ms = checked_ms - self.checked_ms
        self._heard_ms = max(self._heard_ms, checked_ms)
        # Copies of one check that come by several ways differ by less.
        return gained_ms >= self._times.min_read_ms / 2

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            checked_ms = self.checked_ms
            await self._clock.sleep(self._pause_before_read_ms())
            if self.checked_ms == checked_ms:
                await self._check()
            if self.checked_ms == checked_ms:
                await self._clock.sleep(self._times.silence_ms)

    def _pause_before_read_ms(self) -> float:
        drawn = max(self._rng.random() for _ in range(DRAWS))
        span_ms = self._times.max_read_ms - self._times.min_read_ms
        read_age_ms = self._times.min_read_ms + span_ms * drawn
        from_ms = max(self.checked_ms, self._started_ms)
        return max(from_ms + read_age_ms - self._clock.now_ms(), 0)

    async def _check(self) -> None:
        if self._source.is_retrying:
            # The next try of the long poll is a check too.
            return
        try:
            await self._source.verify()
        except LogError as error:
            self._failures += 1
            _log.info('Policy not checked: {}.', error)
            await self._clock.sleep(store_backoff_ms(self._failures, self._rng))
        else:
            self._failures = 0

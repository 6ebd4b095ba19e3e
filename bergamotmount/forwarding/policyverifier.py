"""Policy verifier: reads the store when the evidence on the policy gets old.

The evidence of other nodes arrives in answers and heartbeats. After each new
evidence a node draws the age at which it will read for itself. Few nodes draw
a low age; what they read reaches the others before their turn. The reads of
all nodes therefore grow much slower than their number, and a node that hears
from no other node still reads in time.
"""

import random

from bergamotmount.clock import Clock
from bergamotmount.forwarding.policysource import RoutePolicySource
from bergamotmount.forwarding.store import store_backoff_ms
from bergamotmount.log import part_logger
from bergamotmount.organisations.freshness import PolicyFreshness
from bergamotmount.ports import LogError

#: Range of the age of the evidence at which a node reads the store, as shares
#: of the lease.
MIN_READ_AGE_SHARE = 0.25
MAX_READ_AGE_SHARE = 0.5

#: Out of this number of draws, the highest age counts.
DRAWS = 3

#: Minimum pause after a read that gave no evidence.
FRUITLESS_READ_PAUSE_MS = 500

#: Interval at which a node without keys in its policy looks for some.
IDLE_INTERVAL_MS = 500

_log = part_logger('policy')


class PolicyVerifier:
    """Keeps the evidence on the policy of one node fresh."""

    def __init__(
        self,
        clock: Clock,
        source: RoutePolicySource,
        freshness: PolicyFreshness,
        rng: random.Random,
    ) -> None:
        """Read by ``source``; do nothing while no evidence is required."""
        self._clock = clock
        self._source = source
        self._freshness = freshness
        self._rng = rng
        self._failures = 0

    async def run(self) -> None:
        """Verify the policy until cancelled."""
        while True:
            verified_ms = self._freshness.verified_ms
            await self._clock.sleep(self._pause_before_read_ms())
            is_unchanged = self._freshness.verified_ms == verified_ms
            if self._is_needed and is_unchanged:
                await self._read()

    @property
    def _is_needed(self) -> bool:
        return self._freshness.is_required and self._source.has_keys

    def _pause_before_read_ms(self) -> float:
        if not self._is_needed:
            return IDLE_INTERVAL_MS
        drawn = max(self._rng.random() for _ in range(DRAWS))
        span = MAX_READ_AGE_SHARE - MIN_READ_AGE_SHARE
        read_age_share = MIN_READ_AGE_SHARE + span * drawn
        read_age_ms = self._freshness.lease_ms * read_age_share
        return max(read_age_ms - self._freshness.age_ms, 0)

    async def _read(self) -> None:
        try:
            await self._source.verify()
        except LogError as error:
            _log.info('Policy not verified: {}.', error)
            self._failures += 1
            await self._clock.sleep(store_backoff_ms(self._failures, self._rng))
        else:
            self._failures = 0
            if self._freshness.age_ms > FRUITLESS_READ_PAUSE_MS:
                await self._clock.sleep(FRUITLESS_READ_PAUSE_MS)

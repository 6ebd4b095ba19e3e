"""Policy verifier: reads the store when the evidence on the policy gets old.

The evidence of other nodes arrives in heartbeats. As long as that is recent
enough this node doesn't read, so the reads of all nodes grow much slower than
their number. A node that hears from no other node reads for itself.
"""

import random

from bergamotmount.clock import Clock
from bergamotmount.forwarding.policysource import RoutePolicySource
from bergamotmount.log import part_logger
from bergamotmount.organisations.freshness import PolicyFreshness
from bergamotmount.ports import LogError

#: Age of the evidence at which a node reads the store, as a share of the lease.
READ_AGE_SHARE = 0.25

#: Range of the factor that spreads the reads of different nodes.
READ_AGE_JITTER = (0.7, 1.3)

#: Interval at which a node without keys in its policy looks for some.
IDLE_INTERVAL_MS = 500

#: Initial and maximum pause after an error of the store, before jitter.
INITIAL_RETRY_MS = 300
MAX_RETRY_MS = 1500

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
        self._retry_ms = INITIAL_RETRY_MS

    async def run(self) -> None:
        """Verify the policy until cancelled."""
        while True:
            pause_ms = self._pause_before_read_ms()
            if pause_ms > 0:
                await self._clock.sleep(pause_ms)
            else:
                await self._read()

    def _pause_before_read_ms(self) -> float:
        if not self._freshness.is_required or not self._source.has_keys:
            return IDLE_INTERVAL_MS
        read_age_ms = self._freshness.lease_ms * READ_AGE_SHARE
        read_age_ms *= self._rng.uniform(*READ_AGE_JITTER)
        return read_age_ms - self._freshness.age_ms

    async def _read(self) -> None:
        try:
            await self._source.verify()
        except LogError as error:
            _log.info('Policy not verified: {}.', error)
            await self._clock.sleep(self._next_retry_ms())
        else:
            self._retry_ms = INITIAL_RETRY_MS
            await self._clock.sleep(self._pause_after_read_ms())

    def _pause_after_read_ms(self) -> float:
        """Return the pause after a read, whether or not it gave evidence."""
        return self._freshness.lease_ms * READ_AGE_SHARE / 2

    def _next_retry_ms(self) -> float:
        pause_ms = self._retry_ms * self._rng.uniform(0.5, 1)
        self._retry_ms = min(self._retry_ms * 2, MAX_RETRY_MS)
        return pause_ms

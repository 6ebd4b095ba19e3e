"""Freshness of the policy: until when the keys in it may be accepted.

A key that the operators withdraw must not be accepted anywhere after a given
time, not even by a node that hears of nothing. A node therefore accepts keys
only while it has evidence that its policy was the newest one a short time ago::

    freshness = PolicyFreshness(clock, lease_ms=4000)
    freshness.record(sent_ms)     # the store was asked at this time
    freshness.is_fresh            # for four seconds from then on

Evidence is dated from when the store was asked, not from when its answer was
read: the answer may have waited in a socket while this process was paused. A
peer passes on the age of its own evidence in the reply to a heartbeat, and the
receiver dates that from when it sent the heartbeat.

Load pattern: the store turns away a third of the nodes, and operators withdraw
a key at that moment. These nodes live on the evidence of the others. Nodes that
reach neither the store nor a peer stop accepting keys.
"""

import math

from bergamotmount.clock import Clock

#: Part of the time allowed for a withdrawal that isn't used, for clocks that
#: run at different speeds and for changes that the store shows late.
WITHDRAWAL_MARGIN_MS = 1000


def lease_for(withdrawal_ms: float) -> float:
    """Return for how long evidence counts if withdrawals may take this long."""
    return max(withdrawal_ms - WITHDRAWAL_MARGIN_MS, withdrawal_ms / 2)


class PolicyFreshness:
    """Evidence that the active policy is the newest, and its lease.

    ``verified_ms`` is the latest time at which the policy is known to have
    been the newest.
    """

    def __init__(self, clock: Clock, lease_ms: float = math.inf) -> None:
        """Start without evidence; an infinite lease needs none."""
        self.lease_ms = lease_ms
        self._clock = clock
        self.verified_ms = -math.inf

    @property
    def is_required(self) -> bool:
        """Whether keys are accepted on evidence only."""
        return self.lease_ms < math.inf

    @property
    def age_ms(self) -> float:
        """Time since the policy was known to be the newest."""
        return self._clock.now_ms() - self.verified_ms

    @property
    def is_fresh(self) -> bool:
        """Whether keys may be accepted now."""
        return not self.is_required or self.age_ms < self.lease_ms

    def record(self, verified_ms: float) -> None:
        """Record that the active policy was the newest at this time."""
        self.verified_ms = max(self.verified_ms, verified_ms)

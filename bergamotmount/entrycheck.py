"""Entry check: refuses requests that a downstream service would refuse.

The rank of a root request is compared with the thresholds of all services in
its call tree, where it enters the call graph and before any work is done for
it.
"""

import random
from collections.abc import Callable

from bergamotmount.outcomes import NotRun
from bergamotmount.policy import Policy
from bergamotmount.rank import ADMIT_ALL_RANK
from bergamotmount.reasons import RefusalReason
from bergamotmount.thresholdview import ThresholdView

#: One in this many requests over the threshold is admitted as a probe.
PROBE_ONE_IN = 200

#: Retry-after advice of an entry node; the minimum for requests refused
#: because of a threshold.
ENTRY_RETRY_AFTER_MS = 500

#: Maximum factor on the advice, reached at low thresholds.
MAX_RETRY_AFTER_FACTOR = 8


class EntryCheck:
    """Compares root requests with the thresholds of downstream services."""

    def __init__(
        self,
        threshold_view: ThresholdView,
        policy: Callable[[], Policy],
        rng: random.Random,
    ) -> None:
        """Use the active policy and the thresholds in ``threshold_view``.

        ``rng`` selects the probes and adds jitter to the advice.
        """
        self.threshold_view = threshold_view
        self._policy = policy
        self._rng = rng

    def threshold_of(self, service: str, operation: str) -> float:
        """Return the highest rank at which requests of an operation enter."""
        declared = self._policy().operation_by_name.get((service, operation))
        if declared is None:
            return ADMIT_ALL_RANK
        return min(
            map(self.threshold_view.threshold_of, declared.downstream_services)
        )

    def check(self, service: str, operation: str, rank: float) -> NotRun | None:
        """Return a refusal, or ``None`` when the request may enter.

        A small share of the requests over the threshold is admitted as
        probes. Otherwise outdated thresholds could block a service forever.
        """
        threshold = self.threshold_of(service, operation)
        if rank <= threshold or threshold >= ADMIT_ALL_RANK:
            return None
        if not self._rng.randrange(PROBE_ONE_IN):
            return None
        wait_ms = ENTRY_RETRY_AFTER_MS * self._rng.uniform(
            1, _retry_after_factor(threshold)
        )
        return NotRun(RefusalReason.OVER_THRESHOLD, int(wait_ms))


def _retry_after_factor(threshold: float) -> float:
    return min(ADMIT_ALL_RANK / threshold, MAX_RETRY_AFTER_FACTOR)

"""Check at the entry: refuses what a needed service would refuse.

A root request is compared with the thresholds of all services it needs.

Checked where a request enters the graph, before any work is done for it.
"""

import random
from collections.abc import Callable

from bergamotmount.outcomes import NotRun
from bergamotmount.policy import Policy
from bergamotmount.rank import OPEN_RANK
from bergamotmount.reasons import RefusalReason
from bergamotmount.thresholdview import ThresholdView

#: One in this many requests over the threshold is let in as a probe.
PROBE_ONE_IN = 200

#: Least advice to a caller that is refused at the entry, in milliseconds.
RETRY_AFTER_MS = 500

#: Greatest factor on the advice when a threshold is almost closed.
MAX_PRESSURE = 8


class EntryCheck:
    """Compares root requests with the thresholds of all they need."""

    def __init__(
        self,
        view: ThresholdView,
        policy: Callable[[], Policy],
        rng: random.Random,
    ) -> None:
        """Look up needs in the policy in force, thresholds in ``view``."""
        self.view = view
        self._policy = policy
        self._rng = rng

    def threshold_of(self, service: str, operation: str) -> float:
        """Return the rank up to which an operation's requests may enter."""
        declared = self._policy().operation_by_name.get((service, operation))
        if declared is None:
            return OPEN_RANK
        return min(map(self.view.current, declared.required_services))

    def check(self, service: str, operation: str, rank: float) -> NotRun | None:
        """Return a refusal, or ``None`` when the request may enter.

        A small share of what is over the threshold enters all the same, so
        that stale news can't shut a service for good.
        """
        threshold = self.threshold_of(service, operation)
        if rank <= threshold or threshold >= OPEN_RANK:
            return None
        if not self._rng.randrange(PROBE_ONE_IN):
            return None
        wait_ms = RETRY_AFTER_MS * self._rng.uniform(1, _pressure(threshold))
        return NotRun(RefusalReason.OVER_THRESHOLD, int(wait_ms))


def _pressure(threshold: float) -> float:
    return min(OPEN_RANK / threshold, MAX_PRESSURE)

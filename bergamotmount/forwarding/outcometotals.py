"""Totals of outcomes: what became of all requests at an entry, by second.

The decision log shows a sample of the requests that failed. Totals miss
nothing: each second a line tells, for a route and an outcome, how many
requests ended that way, and by which version of the policy. New requests and
calls that servers make are counted separately::

    entry: totals route=buy call=False outcome=refused reason=over_threshold
      policy=17 count=12
"""

import collections
import dataclasses
import enum

from bergamotmount.clock import MS_PER_SECOND, Clock
from bergamotmount.decisionlog import format_line
from bergamotmount.log import part_logger


class RequestOutcome(enum.StrEnum):
    """What became of a request, as its entry saw it."""

    ANSWERED = 'answered'
    LATE = 'late'
    FAILED = 'failed'
    DENIED = 'denied'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    GAVE_UP = 'gave_up'


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeKey:
    """What requests are counted by.

    ``call`` tells calls of servers from requests of callers. ``reason`` is
    that of a refusal or of an unknown outcome. ``policy`` is the version of
    the policy by which the route was found, -1 without one.
    """

    route: str
    call: bool
    outcome: RequestOutcome
    reason: str = ''
    policy: int = -1


class OutcomeTotals:
    """Counts the outcomes of one entry and writes them once a second."""

    def __init__(self, clock: Clock, part: str) -> None:
        """Prefix all lines with ``part``."""
        self._clock = clock
        self._logger = part_logger(part)
        self._second = 0
        self._count_by_key: collections.Counter[OutcomeKey] = (
            collections.Counter()
        )

    def record(self, key: OutcomeKey) -> None:
        """Count one request."""
        self.flush()
        self._count_by_key[key] += 1

    def flush(self) -> None:
        """Write the totals of earlier seconds; call regularly."""
        second = int(self._clock.now_ms()) // MS_PER_SECOND
        if second == self._second:
            return
        self._second = second
        for key, count in self._count_by_key.items():
            fields = {**dataclasses.asdict(key), 'count': count}
            self._logger.info(format_line('totals', fields))
        self._count_by_key.clear()

"""Reports that nodes exchange: on load, on calls and on crashes.

The threshold of a service follows from the sums over its servers: the rate
that they can admit, and their demand by level::

    >>> threshold_for([0.5, 0.5, 2, 0], allowed=2)
    2.5
"""

import dataclasses
import math
from collections.abc import Iterable, Sequence

from bergamotmount.rank import ADMIT_ALL_RANK, LEVELS

_NO_DEMAND = tuple(float(0) for _ in range(LEVELS))

#: Minimum share of a level that is admitted, to keep its demand measurable.
MIN_ADMITTED_SHARE = 1 / 32


@dataclasses.dataclass(frozen=True, slots=True)
class ThresholdReport:
    """Threshold of a service, and the time since it was computed.

    The report carries its age. A report that nodes relay in a loop therefore
    still expires.
    """

    rank: float
    age_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedCall:
    """One route's requests call another route, observed ``age_ms`` ago."""

    caller: str
    route: str
    age_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """A request was in flight at a server when it crashed, ``age_ms`` ago.

    An empty ``server`` reports that a server has run the request with success.
    """

    fingerprint: int
    server: str
    age_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class DemandReport:
    """Capacity of one backend server, and the demand for it.

    ``allowed`` is the rate of requests that may be admitted, infinite while
    it isn't known. ``demand`` is the rate of requests by level, including
    those that are refused at the entry. Rates are in requests per second.
    """

    allowed: float = math.inf
    demand: tuple[float, ...] = _NO_DEMAND


@dataclasses.dataclass(frozen=True, slots=True)
class PolicyEvidence:
    """A version of the policy, and how long ago it was known to be the newest.

    The age counts from the moment at which the report is written.
    """

    version: int
    age_ms: int


def threshold_for(demand: Sequence[float], allowed: float) -> float:
    """Return the highest rank up to which demand fits the allowed rate.

    An allowed rate below 0 stands for a queue that can't be worked off.
    """
    allowed = max(allowed, 0)
    for level, rate in enumerate(demand):
        if rate > allowed:
            return level + max(allowed / rate, MIN_ADMITTED_SHARE)
        allowed -= rate
    return ADMIT_ALL_RANK


def threshold_for_servers(reports: Iterable[DemandReport]) -> float:
    """Return the threshold of a service from its servers' reports."""
    allowed: float = 0
    demand = [float(0) for _ in range(LEVELS)]
    for report in reports:
        allowed += report.allowed
        for level, rate in enumerate(report.demand):
            demand[level] += rate
    return threshold_for(demand, allowed)

"""Reports of load that nodes give each other.

Reports of all servers of a service add up: what they can finish, and what is
asked of them by level, give the rank up to which requests can be let in::

    >>> rank_for([0.5, 0.5, 2, 0], allowed=2)
    2.5
"""

import dataclasses
import math
from collections.abc import Iterable, Sequence

from bergamotmount.rank import LEVELS, OPEN_RANK

_NO_DEMAND = tuple(float(0) for _ in range(LEVELS))

#: Least share of a level that stays open, so that its demand can be seen.
LEAST_OPEN = 1 / 32


@dataclasses.dataclass(frozen=True, slots=True)
class ThresholdReport:
    """Threshold of a service as heard, and how long ago it was set.

    The age travels along, so that a report that nodes tell each other in a
    circle still grows old.
    """

    rank: float
    age_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class DemandReport:
    """What one backend server can take, and what is asked of it.

    ``allowed`` is the rate of requests that it may be given, infinite while
    that isn't known; ``demand`` the rate of requests that its callers have,
    by level, let in or not. Rates are in requests a second.
    """

    allowed: float = math.inf
    demand: tuple[float, ...] = _NO_DEMAND


def rank_for(demand: Sequence[float], allowed: float) -> float:
    """Return the rank up to which demand by level fits what is allowed."""
    for level, rate in enumerate(demand):
        if rate > allowed:
            return level + max(allowed / rate, LEAST_OPEN)
        allowed -= rate
    return OPEN_RANK


def rank_for_all(reports: Iterable[DemandReport]) -> float:
    """Return the rank up to which the servers of these reports are open."""
    allowed: float = 0
    demand = [float(0) for _ in range(LEVELS)]
    for report in reports:
        allowed += report.allowed
        for level, rate in enumerate(report.demand):
            demand[level] += rate
    return rank_for(demand, allowed)

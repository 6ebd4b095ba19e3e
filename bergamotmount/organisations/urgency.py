"""Urgency: the level of a request by its organisation and its route.

The level of the organisation goes before that of the route. Nodes tell only a
few levels apart. If there are more combinations, the most important ones share
a level: under overload the least important ones are refused first, so it is
there that the order matters.

Load pattern: organisations of two levels send requests of three kinds, and the
servers can take half of them. Those of the important organisations are all
served, and among the others the important kinds are::

    urgency = Urgency([0, 1], route_levels=[0, 1, 2])
    urgency.level_of(0, 2)     # 0
    urgency.level_of(1, 2)     # 3
"""

import itertools
from collections.abc import Iterable

from bergamotmount.rank import LEVELS


class Urgency:
    """Levels of all combinations of organisation and route in a policy."""

    def __init__(
        self, organisation_levels: Iterable[int], route_levels: Iterable[int]
    ) -> None:
        """Order the combinations of these levels."""
        levels = set(organisation_levels)
        self._last_organisation_level = max(levels, default=0)
        pairs = itertools.product(
            levels or (self._last_organisation_level,), set(route_levels)
        )
        ordered = sorted(pairs)
        shared = max(len(ordered) - LEVELS, 0)
        self._level_by_pair = {
            pair: max(index - shared, 0) for index, pair in enumerate(ordered)
        }

    def level_of(self, organisation_level: int | None, route_level: int) -> int:
        """Return the level of a request.

        A request of no organisation counts as one of the least important.
        """
        if organisation_level is None:
            organisation_level = self._last_organisation_level
        return self._level_by_pair[organisation_level, route_level]

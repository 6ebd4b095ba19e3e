"""Route table: maps the host and path of a request to a route.

A :class:`RoutePolicy` is one complete policy record of the operators. A table
is built for each version::

    table = RouteTable(policy)
    route = table.find('shop.example', '/orders/17')
    service = SplitPicker(rng).pick(route)
"""

import dataclasses
import math
import random
from collections.abc import Iterable

from bergamotmount.organisations.keyring import KeyRing
from bergamotmount.organisations.organisation import Organisation
from bergamotmount.organisations.urgency import Urgency


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service of a route, and its weight in the traffic split."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Policy for the requests to one host and path prefix.

    ``timeout_ms`` is the maximum time until a caller gets its answer,
    ``level`` the importance, 0 first, ``max_servers`` the maximum number of
    backend servers that one request may be sent to, ``split`` the services
    that share the requests. An answer after ``goal_ms`` counts as late.
    Requests of a route that ``is_public`` need no key.
    """

    name: str
    host: str
    path_prefix: str
    is_idempotent: bool
    timeout_ms: float
    level: int
    max_servers: int
    split: tuple[WeightedService, ...]
    goal_ms: float = math.inf
    is_public: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ServicePolicy:
    """Policy for one service."""

    name: str
    health_path: str = '/'


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size limits and timeouts for the connections of callers."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class RoutePolicy:
    """A complete policy record; a higher ``version`` replaces a lower one.

    With ``organisations`` requests need a key, even if there are none in it;
    ``None`` stands for a policy without keys.
    """

    version: int
    routes: tuple[Route, ...]
    service_by_name: dict[str, ServicePolicy]
    limits: CallerLimits
    organisations: tuple[Organisation, ...] | None = None


class RouteTable:
    """Finds the route of a request.

    ``key_ring`` holds the keys that requests need, ``None`` if they need none,
    ``organisation_by_name`` their holders.
    """

    def __init__(self, policy: RoutePolicy) -> None:
        """Index the routes of a policy by host and prefix."""
        self.policy = policy
        self.key_ring = (
            None
            if policy.organisations is None
            else KeyRing(policy.organisations)
        )
        self.organisation_by_name = {
            organisation.name: organisation
            for organisation in policy.organisations or ()
        }
        self._urgency = (
            None
            if policy.organisations is None
            else Urgency(
                (each.level for each in policy.organisations),
                (route.level for route in policy.routes),
            )
        )
        self._route_by_prefix_by_host: dict[str, dict[str, Route]] = {}
        self._services_by_route_name: dict[str, tuple[str, ...]] = {}
        for route in policy.routes:
            route_by_prefix = self._route_by_prefix_by_host.setdefault(
                route.host, {}
            )
            route_by_prefix[route.path_prefix] = route
            self._services_by_route_name[route.name] = tuple(
                weighted.service for weighted in route.split
            )

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix of the path.

        Prefixes match whole path segments: they end with a slash.
        """
        route_by_prefix = self._route_by_prefix_by_host.get(_without_port(host))
        if route_by_prefix is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            route = route_by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None

    def level_of(self, organisation: Organisation | None, route: Route) -> int:
        """Return the level of a request, 0 for the most important."""
        if self._urgency is None:
            return route.level
        organisation_level = (
            None if organisation is None else organisation.level
        )
        return self._urgency.level_of(organisation_level, route.level)

    def services_of(self, name: str) -> tuple[str, ...]:
        """Return the services of a route, empty for an unknown route."""
        return self._services_by_route_name.get(name, ())


class SplitPicker:
    """Distributes the requests of a route to its services by weight.

    Smooth weighted round robin keeps the count of each service within one
    request of its share at any moment, independent of the request order.
    """

    def __init__(self, rng: random.Random) -> None:
        """Start at random positions, so nodes don't select in lockstep."""
        self._rng = rng
        self._weights_by_route: dict[
            tuple[str, tuple[WeightedService, ...]], list[float]
        ] = {}

    def pick(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        if len(route.split) == 1:
            return route.split[0].service
        key = route.name, route.split
        total_weight = sum(weighted.weight for weighted in route.split)
        current_weights = self._weights_by_route.get(key)
        if current_weights is None:
            current_weights = [
                self._rng.uniform(0, total_weight) for _ in route.split
            ]
            self._weights_by_route[key] = current_weights
        for index, weighted in enumerate(route.split):
            current_weights[index] += weighted.weight
        best = max(range(len(current_weights)), key=current_weights.__getitem__)
        current_weights[best] -= total_weight
        return route.split[best].service

    def keep_only(self, routes: Iterable[Route]) -> None:
        """Drop the state of all routes except those of the effective policy."""
        kept = {(route.name, route.split) for route in routes}
        for key in list(self._weights_by_route):
            if key not in kept:
                self._weights_by_route.pop(key)


def _without_port(host: str) -> str:
    return host.partition(':')[0].lower()

"""Routes: which service runs a request, found by host and longest prefix.

A :class:`RoutePolicy` is one full record of the operators. The table is built
once for each version::

    table = RouteTable(policy)
    route = table.find('shop.example', '/orders/17')
    service = route.pick_service(rng)
"""

import dataclasses
import random
from collections.abc import Iterable


@dataclasses.dataclass(frozen=True, slots=True)
class SplitPart:
    """One of several services that share a route, with its weight."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """What operators say of the requests to one host and path prefix.

    ``timeout_ms`` is the longest that a caller may be kept waiting,
    ``target_ms`` the time within which an answer is worth most, ``level`` the
    importance, 0 first, ``max_servers`` the number of backend servers that
    one request may be sent to.
    """

    name: str
    host: str
    path_prefix: str
    is_idempotent: bool
    timeout_ms: float
    target_ms: float
    level: int
    max_servers: int
    parts: tuple[SplitPart, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ServicePolicy:
    """What operators say of one service."""

    name: str
    health_path: str = '/'
    max_connections: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, and how long they may take or stay idle."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class RoutePolicy:
    """One full policy record; a greater ``version`` replaces a lesser one."""

    version: int
    routes: tuple[Route, ...]
    service_by_name: dict[str, ServicePolicy]
    limits: CallerLimits


class RouteTable:
    """Finds the route of a request."""

    def __init__(self, policy: RoutePolicy) -> None:
        """Sort the routes of a policy by host and prefix."""
        self.policy = policy
        self._by_prefix_by_host: dict[str, dict[str, Route]] = {}
        self._services_by_route: dict[str, tuple[str, ...]] = {}
        for route in policy.routes:
            by_prefix = self._by_prefix_by_host.setdefault(route.host, {})
            by_prefix[route.path_prefix] = route
            self._services_by_route[route.name] = tuple(
                part.service for part in route.parts
            )

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        by_prefix = self._by_prefix_by_host.get(_bare_host(host))
        if by_prefix is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None

    def services_of(self, name: str) -> tuple[str, ...]:
        """Return the services of a route, none for an unknown one."""
        return self._services_by_route.get(name, ())


class SplitPicker:
    """Shares the requests of a route among its services by weight.

    Smooth weighted round robin keeps each service within one request of its
    share at any moment, whatever the order of requests.
    """

    def __init__(self, rng: random.Random) -> None:
        """Start each route at a random point, so that nodes differ."""
        self._rng = rng
        self._current_by_route: dict[
            tuple[str, tuple[SplitPart, ...]], list[float]
        ] = {}

    def pick(self, route: Route) -> str:
        """Return the service that runs the next request of a route."""
        if len(route.parts) == 1:
            return route.parts[0].service
        key = route.name, route.parts
        total = sum(part.weight for part in route.parts)
        current = self._current_by_route.get(key)
        if current is None:
            current = [self._rng.uniform(0, total) for _ in route.parts]
            self._current_by_route[key] = current
        for index, part in enumerate(route.parts):
            current[index] += part.weight
        best = max(range(len(current)), key=current.__getitem__)
        current[best] -= total
        return route.parts[best].service

    def keep_only(self, routes: Iterable[Route]) -> None:
        """Forget routes that are no longer in force."""
        kept = {(route.name, route.parts) for route in routes}
        for key in list(self._current_by_route):
            if key not in kept:
                self._current_by_route.pop(key)


def _bare_host(host: str) -> str:
    return host.partition(':')[0].lower()

"""Services that requests of a route depend on, directly or transitively.

The node beside a backend server infers which routes the server calls. The
policy gives the services of these routes, and the answers to the calls list
the services downstream of those. Each answer therefore lists all services
downstream of a route. An entry uses them to refuse a request that a
downstream service would refuse::

    downstream_services.record('read', ['stock', 'bills'])
    downstream_services.services_of('read')    # ['stock', 'bills']
"""

from collections.abc import Iterable

from bergamotmount.clock import Clock

#: Time after which a service that answers no longer list is ignored.
DEPENDENCY_LIFETIME_MS = 30_000


class DownstreamServices:
    """Downstream services of each route, as listed in answers."""

    def __init__(self, clock: Clock) -> None:
        """Start without any dependencies."""
        self._clock = clock
        self._received_ms_by_service_by_route: dict[str, dict[str, float]] = {}

    def record(self, route: str, services: Iterable[str]) -> None:
        """Record the services that an answer to a route's request lists."""
        received_ms_by_service = self._received_ms_by_service_by_route.get(
            route
        )
        if received_ms_by_service is None:
            received_ms_by_service = {}
            self._received_ms_by_service_by_route[route] = (
                received_ms_by_service
            )
        now_ms = self._clock.now_ms()
        for service in services:
            received_ms_by_service[service] = now_ms

    def services_of(self, route: str) -> list[str]:
        """Return the services that requests of a route depend on."""
        received_ms_by_service = self._received_ms_by_service_by_route.get(
            route
        )
        if not received_ms_by_service:
            return []
        oldest_ms = self._clock.now_ms() - DEPENDENCY_LIFETIME_MS
        return [
            service
            for service, received_ms in received_ms_by_service.items()
            if received_ms > oldest_ms
        ]

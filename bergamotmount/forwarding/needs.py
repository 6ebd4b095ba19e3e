"""Services that requests of a route depend on, directly or through others.

A gateway learns which routes its backend server calls, and so knows the
services of these routes; the answers to the calls name the services further
down. Each answer can therefore name all services below a route. An entry uses
them to refuse a request that a service further down would refuse::

    downstream.record('read', ['stock', 'bills'])
    downstream.services_of('read')    # ['stock', 'bills']
"""

from collections.abc import Iterable

from bergamotmount.clock import Clock

#: Time after which a service that no answer names any more is dropped.
DEPENDENCY_LIFETIME_MS = 30_000


class DownstreamServices:
    """Services below each route, as named in answers."""

    def __init__(self, clock: Clock) -> None:
        """Start without any dependencies."""
        self._clock = clock
        self._received_ms_by_service_by_route: dict[str, dict[str, float]] = {}

    def record(self, route: str, services: Iterable[str]) -> None:
        """Record the services named in an answer as dependencies of a route."""
        received = self._received_ms_by_service_by_route.get(route)
        if received is None:
            received = {}
            self._received_ms_by_service_by_route[route] = received
        now_ms = self._clock.now_ms()
        for service in services:
            received[service] = now_ms

    def services_of(self, route: str) -> list[str]:
        """Return the services that requests of a route depend on."""
        received = self._received_ms_by_service_by_route.get(route)
        if not received:
            return []
        oldest_ms = self._clock.now_ms() - DEPENDENCY_LIFETIME_MS
        return [
            service
            for service, received_ms in received.items()
            if received_ms > oldest_ms
        ]

"""Which services the requests of a route need, over the whole depth.

A gateway learns the routes that its server calls and knows their services;
answers to these calls bring what they need in turn. So each answer can name
all services below a route, and an entry can refuse what would be refused deep
down::

    needs.hear('read', ['stock', 'bills'])
    needs.of('read')    # ['stock', 'bills']
"""

from collections.abc import Iterable

from bergamotmount.clock import Clock

#: Time after which a service that is no longer named isn't needed any more.
FORGET_MS = 30_000


class RouteNeeds:
    """Services below each route, as answers named them."""

    def __init__(self, clock: Clock) -> None:
        """Know of no needs."""
        self._clock = clock
        self._heard_ms_by_service_by_route: dict[str, dict[str, float]] = {}

    def hear(self, route: str, services: Iterable[str]) -> None:
        """Take over the services that an answer names."""
        heard = self._heard_ms_by_service_by_route.get(route)
        if heard is None:
            heard = {}
            self._heard_ms_by_service_by_route[route] = heard
        now_ms = self._clock.now_ms()
        for service in services:
            heard[service] = now_ms

    def of(self, route: str) -> list[str]:
        """Return the services below a route."""
        heard = self._heard_ms_by_service_by_route.get(route)
        if not heard:
            return []
        oldest_ms = self._clock.now_ms() - FORGET_MS
        return [
            service
            for service, heard_ms in heard.items()
            if heard_ms > oldest_ms
        ]

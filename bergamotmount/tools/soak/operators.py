"""Stand-in of the operators: publishes versions of the policy.

Each version has the same two routes, one that moves between services, and one
that only this version has.
"""

import random

from bergamotmount.tools.soak.ledger import Ledger
from bergamotmount.tools.soak.standinstore import StandinStore

SERVICES = ('desk', 'board')
MOVING_ROUTE = 'moving'

#: Number of latest versions whose own routes are probed.
PROBED_VERSIONS = 6


class Operators:
    """Publish versions, and tell the ledger what each allows."""

    def __init__(
        self, store: StandinStore, ledger: Ledger, rng: random.Random
    ) -> None:
        """Publish nothing yet."""
        self._store = store
        self._ledger = ledger
        self._rng = rng
        self._version = 0
        self._only_routes: list[str] = []

    def publish(self) -> None:
        """Publish the next version; the store acknowledges it at once."""
        self._version += self._rng.randint(1, 9)
        only_route = f'only-{self._version}'
        self._only_routes.append(only_route)
        service_by_route = {
            'order': 'desk',
            'view': 'board',
            MOVING_ROUTE: SERVICES[len(self._only_routes) % len(SERVICES)],
            only_route: 'board',
        }
        self._store.publish(
            make_policy(self._version, service_by_route, self._rng)
        )
        self._ledger.record_change(service_by_route)

    def choose_route(self) -> str:
        """Return a route that the latest versions treat differently."""
        only_routes = self._only_routes[-PROBED_VERSIONS:]
        return self._rng.choice((MOVING_ROUTE, *only_routes))


def make_policy(
    version: int, service_by_route: dict[str, str], rng: random.Random
) -> dict:
    """Return a policy record of the operators."""
    return {
        'version': f'{version:08x}',
        'routes': [
            _route(name, service, rng)
            for name, service in service_by_route.items()
        ],
        'services': [
            {'name': name, 'health_path': '/healthz'} for name in SERVICES
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 1048576,
            'header_timeout_s': 3,
            'idle_timeout_s': 15,
        },
    }


def _route(name: str, service: str, rng: random.Random) -> dict:
    return {
        'name': name,
        'host': 'shop.example',
        'path_prefix': f'/{name}/',
        'service': service,
        'route_type': 'non_idempotent' if name == 'order' else 'safe',
        'timeout_s': rng.choice((2, 5)),
        'target_latency_s': 1.5,
        'max_attempts': rng.choice((1, 2, 3)),
        'priority': 0,
    }

"""Check of a backend server's health path."""

import dataclasses

from bergamotmount.clock import Clock
from bergamotmount.forwarding.headers import HeaderNames
from bergamotmount.forwarding.http import header_of, pack_request
from bergamotmount.forwarding.httpclient import (
    NotConnectedError,
    PoolFactory,
)
from bergamotmount.forwarding.serverconnection import (
    BrokenExchangeError,
)
from bergamotmount.log import part_logger

#: Timeout of a check; a server with full slots may not answer in time.
CHECK_TIMEOUT_MS = 500

_OK = 200
_UNAVAILABLE = 503

_log = part_logger('health')


@dataclasses.dataclass(frozen=True, slots=True)
class Health:
    """What a server says of itself: its instance, and whether it serves.

    A server that is leaving or failing doesn't serve.
    """

    instance: str
    is_serving: bool


class HealthChecker:
    """Asks the server at an address for its health.

    ::

        health = await checker.check('10.0.0.1:8080', '/healthz')
    """

    def __init__(
        self, clock: Clock, pool_factory: PoolFactory, header_names: HeaderNames
    ) -> None:
        """Read the server's instance from its header."""
        self._clock = clock
        self._pool_factory = pool_factory
        self._header_names = header_names

    async def check(self, address: str, path: str) -> Health | None:
        """Return the server's health, ``None`` if it doesn't tell."""
        pool = self._pool_factory(self._clock, address)
        request = pack_request('GET', path, ['Host', address], b'')
        try:
            async with self._clock.timeout(CHECK_TIMEOUT_MS):
                connection = await pool.acquire()
                response = await connection.exchange(request, lambda _: True)
        except (BrokenExchangeError, NotConnectedError, TimeoutError) as error:
            _log.info(
                'Server at {} did not tell its health: {!r}.', address, error
            )
            return None
        connection.close()
        names = self._header_names
        instance = header_of(response.headers, names.instance)
        # A server without a free slot rejects checks like requests.
        is_shed = header_of(response.headers, names.not_run) is not None
        is_known = response.status in {_OK, _UNAVAILABLE} and not is_shed
        if instance is None or not is_known:
            return None
        return Health(instance, response.status == _OK)

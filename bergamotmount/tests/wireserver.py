"""Connections to a fake server that carry the bytes of real messages.

The pool and the connections are those of the node; only the transport is
fake. A response can be written a second time, late: at the point where the
next response on its connection is expected.
"""

import asyncio
from collections.abc import Callable

from bergamotmount.clock import Clock
from bergamotmount.forwarding.http import HttpResponse, pack_response
from bergamotmount.forwarding.httpclient import ConnectionPool
from bergamotmount.forwarding.serverconnection import (
    BrokenExchangeError,
    ServerConnection,
)
from bergamotmount.tests.faketransport import FakeTransport
from bergamotmount.tests.forwardingfixture import FakeHttpServer, parse_request

#: Tells whether a second copy of a response is held back.
Doubles = Callable[[HttpResponse], bool]


def double_nothing(_response: HttpResponse) -> bool:
    """Hold no second copy back."""
    return False


class WireTransport(FakeTransport):
    """Transport whose other end is a fake server."""

    def __init__(
        self,
        connection: ServerConnection,
        server: FakeHttpServer,
        doubles: Doubles,
    ) -> None:
        super().__init__(connection)
        self._connection = connection
        self._server = server
        self._doubles = doubles
        self._held = b''
        self._serving: asyncio.Task | None = None

    def write(self, chunk) -> None:
        super().write(chunk)
        self._serving = asyncio.create_task(self._serve(bytes(chunk)))

    async def _serve(self, packed: bytes) -> None:
        held, self._held = self._held, b''
        if held:
            self._connection.data_received(held)
        try:
            response = await self._server.serve(parse_request(packed))
        except BrokenExchangeError as error:
            self._connection.connection_lost(error)
            return
        headers = [text for header in response.headers for text in header]
        answer = pack_response(response.status, headers, response.body, False)
        if self._doubles(response):
            self._held = answer
        if not self.is_closed:
            self._connection.data_received(answer)


class WirePool(ConnectionPool):
    """Pool of real connections over fake transports.

    ::

        fixture = await make_forwarding_fixture(
            pool_factory=lambda clock, server: WirePool(clock, server),
        )
    """

    def __init__(
        self,
        clock: Clock,
        server: FakeHttpServer,
        doubles: Doubles = double_nothing,
    ) -> None:
        super().__init__(clock, 'server:80')
        self._server = server
        self._doubles = doubles

    async def _open(self, timeout_ms: float = 0) -> ServerConnection:
        connection = ServerConnection(self._clock)
        connection.connection_made(
            WireTransport(connection, self._server, self._doubles)
        )
        self.opened += 1
        connection.number = self.opened
        return connection

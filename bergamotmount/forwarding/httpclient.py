"""Pool of HTTP/1.1 connections to one server."""

import asyncio
from collections.abc import Callable

from bergamotmount.clock import Clock
from bergamotmount.forwarding.responsebuffer import ResponseBuffer
from bergamotmount.forwarding.serverconnection import ServerConnection
from bergamotmount.memoryaccount import MemoryAccount

#: Timeout of opening a connection.
CONNECT_TIMEOUT_MS = 1000

#: Timeout of finding out whether a connection is refused.
REFUSAL_TIMEOUT_MS = 100

#: Maximum idle time of a connection for a request that must not run twice.
#: The server may have closed one that was idle for longer.
MAX_FRESH_IDLE_MS = 400


class NotConnectedError(Exception):
    """No connection could be opened; nothing was sent."""


class ConnectionPool:
    """Connections to one server; the most recently used one goes first."""

    def __init__(
        self, clock: Clock, address: str, account: MemoryAccount | None = None
    ) -> None:
        """Start without connections; open them to ``ip:port`` on demand.

        What they hold counts in ``account``.
        """
        self.address = address
        self.opened = 0
        self._clock = clock
        self._idle: list[ServerConnection] = []
        self._in_use: set[ServerConnection] = set()
        self._buffer = ResponseBuffer(account=account)

    async def acquire(
        self, request_id: str = '', is_fresh: bool = False
    ) -> ServerConnection:
        """Return an idle or new connection for one exchange.

        No refusal of the request with this id has come on it before. With
        ``is_fresh`` it has been idle for ``MAX_FRESH_IDLE_MS`` at most. Raise
        :class:`NotConnectedError` if none can be opened.
        """
        connection = self._take_idle(request_id, is_fresh)
        if connection is None:
            connection = await self._open()
        if not connection.is_usable:
            raise NotConnectedError(f'{self.address}: closed by the server')
        self._in_use.add(connection)
        return connection

    async def is_refused(self) -> bool:
        """Return whether the server's host refuses a new connection.

        Nobody listens at the address then. A server that is merely too busy to
        answer in time doesn't count.
        """
        try:
            connection = await self._open(REFUSAL_TIMEOUT_MS)
        except NotConnectedError as error:
            return isinstance(error.__cause__, ConnectionError)
        self.release(connection)
        return False

    def release(self, connection: ServerConnection) -> None:
        """Return a connection to the pool after its exchange."""
        self._in_use.discard(connection)
        if connection.is_usable:
            self._idle.append(connection)
        else:
            connection.close()

    def close_idle(self) -> None:
        """Close connections that are unusable or idle for too long."""
        now_ms = self._clock.now_ms()
        kept = []
        for connection in self._idle:
            if connection.is_usable and now_ms < connection.idle_until_ms:
                kept.append(connection)
            else:
                connection.close()
        self._idle = kept

    def close(self) -> None:
        """Close all connections, including those in use."""
        for connection in (*self._idle, *self._in_use):
            connection.close()
        self._idle.clear()

    def _take_idle(
        self, request_id: str, is_fresh: bool
    ) -> ServerConnection | None:
        now_ms = self._clock.now_ms()
        for index in reversed(range(len(self._idle))):
            connection = self._idle[index]
            is_old = now_ms - connection.idle_since_ms > MAX_FRESH_IDLE_MS
            if is_fresh and is_old:
                break
            if not connection.may_carry(request_id):
                continue
            self._idle.pop(index)
            if connection.is_usable and now_ms < connection.idle_until_ms:
                return connection
            connection.close()
        return None

    async def _open(
        self, timeout_ms: float = CONNECT_TIMEOUT_MS
    ) -> ServerConnection:
        host, _, port = self.address.rpartition(':')
        loop = asyncio.get_running_loop()
        try:
            async with self._clock.timeout(timeout_ms):
                _, connection = await loop.create_connection(
                    lambda: ServerConnection(self._clock, self._buffer),
                    host,
                    int(port),
                )
        except (OSError, TimeoutError) as error:
            text = f'{self.address}: {error}'
            raise NotConnectedError(text) from error
        self.opened += 1
        connection.number = self.opened
        return connection


#: Creates the pool of connections to ``ip:port``.
PoolFactory = Callable[[Clock, str], ConnectionPool]
